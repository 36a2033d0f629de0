//! The other controllers: where they may be, and the one connection to each.

use fernknot::interface::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Addresses that are remembered; the longest unheard goes first.
const MOST: usize = 32;

/// How the connection to a controller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// To be tried again then, after a pause of so long.
    Down {
        retry_at: Nanos,
        backoff: Nanos,
    },
    /// Given up at `until` if nothing answers.
    Connecting {
        since: Nanos,
        deadline: Nanos,
    },
    Up,
}

#[derive(Clone, Debug)]
pub struct Peer {
    link: LinkState,
    /// As it said itself.
    pub zone: Option<String>,
    last_heard: Option<Nanos>,
}

/// All that were ever told.
#[derive(Debug)]
pub struct Peers {
    local_addr: SocketAddrV4,
    known: BTreeMap<SocketAddrV4, Peer>,
    initial_backoff: Nanos,
    max_backoff: Nanos,
    connect_timeout: Nanos,
}

/// What is to be done about a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum LinkAction {
    Connect(SocketAddrV4),
    AbortConnect(SocketAddrV4),
}

impl Peers {
    /// Knows nobody; `suspect` is how long a silent controller is waited for.
    pub fn new(me: SocketAddrV4, suspect: Nanos) -> Peers {
        Peers {
            local_addr: me,
            known: BTreeMap::new(),
            initial_backoff: suspect.times(0.1),
            max_backoff: suspect.times(2.0),
            connect_timeout: suspect.times(0.3),
        }
    }

    /// True where the address is new.
    pub fn add(&mut self, now: Nanos, addr: SocketAddrV4) -> bool {
        if addr == self.local_addr || self.known.contains_key(&addr) {
            return false;
        }
        if self.known.len() >= MOST {
            let down = self.known.iter().filter(|(_, peer)| peer.link != LinkState::Up);
            let Some(oldest) = down.min_by_key(|(_, peer)| peer.last_heard).map(|(addr, _)| *addr) else {
                return false;
            };
            self.known.remove(&oldest);
        }
        let link = LinkState::Down { retry_at: now, backoff: self.initial_backoff };
        self.known.insert(addr, Peer { link, zone: None, last_heard: None });
        true
    }

    /// It spoke: a connection to it is worth a try at once.
    pub fn record_heard(&mut self, now: Nanos, addr: SocketAddrV4, zone: Option<&str>) {
        let Some(peer) = self.known.get_mut(&addr) else { return };
        peer.last_heard = Some(now);
        if let Some(zone) = zone {
            peer.zone = Some(zone.to_string());
            match &mut peer.link {
                LinkState::Down { retry_at: at, .. } => *at = now,
                // Begun while it had no power: its first packet is lost and is sent again after a second. Guards
                // the return of all at once, when each begins before the others are there.
                LinkState::Connecting { since: at, deadline: until } => {
                    *until = (*until).min((*at + self.initial_backoff).max(now))
                }
                _ => {}
            }
        }
    }

    pub fn link_opened(&mut self, addr: SocketAddrV4) {
        if let Some(peer) = self.known.get_mut(&addr) {
            peer.link = LinkState::Up;
        }
    }

    pub fn link_closed(&mut self, now: Nanos, addr: SocketAddrV4) {
        let (first, last) = (self.initial_backoff, self.max_backoff);
        if let Some(peer) = self.known.get_mut(&addr) {
            let pause = match peer.link {
                LinkState::Down { backoff: pause, .. } => pause,
                LinkState::Up => first,
                // What never answered is tried ever less.
                LinkState::Connecting { .. } if peer.last_heard.is_some_and(|at| now - at < last) => {
                    first.times(2.0)
                }
                LinkState::Connecting { since: at, .. } => {
                    (now - at).times(2.0).max(first.times(4.0)).min(last)
                }
            };
            peer.link = LinkState::Down { retry_at: now + pause, backoff: pause };
        }
    }

    /// What is to be done now, one at a time.
    pub fn poll_action(&mut self, now: Nanos) -> Option<LinkAction> {
        for (addr, peer) in &mut self.known {
            match peer.link {
                LinkState::Down { retry_at: at, .. } if at <= now => {
                    peer.link = LinkState::Connecting { since: now, deadline: now + self.connect_timeout };
                    return Some(LinkAction::Connect(*addr));
                }
                // A machine without power, or behind a cut, gives no answer at all.
                LinkState::Connecting { deadline: until, .. } if now >= until => {
                    let lately = peer.last_heard.is_some_and(|heard| now - heard < self.connect_timeout);
                    let wait = if lately { Nanos(0) } else { self.initial_backoff };
                    peer.link = LinkState::Down { retry_at: now + wait, backoff: self.initial_backoff };
                    return Some(LinkAction::AbortConnect(*addr));
                }
                _ => {}
            }
        }
        None
    }

    pub fn next_timeout(&self) -> Option<Nanos> {
        let times = self.known.values().filter_map(|peer| match peer.link {
            LinkState::Down { retry_at: at, .. } => Some(at),
            LinkState::Connecting { deadline: until, .. } => Some(until),
            LinkState::Up => None,
        });
        times.min()
    }

    pub fn is_connected(&self, addr: SocketAddrV4) -> bool {
        self.known.get(&addr).is_some_and(|peer| peer.link == LinkState::Up)
    }

    /// Those to whom a connection stands.
    pub fn connected(&self) -> Vec<SocketAddrV4> {
        self.known.iter().filter(|(_, peer)| peer.link == LinkState::Up).map(|(addr, _)| *addr).collect()
    }

    pub fn known_addrs(&self) -> Vec<SocketAddrV4> {
        self.known.keys().copied().collect()
    }

    pub fn zone(&self, addr: SocketAddrV4) -> Option<&str> {
        self.known.get(&addr).and_then(|peer| peer.zone.as_deref())
    }
}

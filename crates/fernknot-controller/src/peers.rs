//! The other registrars: where they may be, and the one connection to each.

use fernknot::interface::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Addresses that are remembered; the longest unheard goes first.
const MOST: usize = 32;

/// How the connection to a registrar stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// To be tried again then, after a pause of so long.
    Down {
        at: Nanos,
        pause: Nanos,
    },
    /// Given up at `until` if nothing answers.
    Begun {
        at: Nanos,
        until: Nanos,
    },
    Up,
}

#[derive(Clone, Debug)]
pub struct Peer {
    link: LinkState,
    /// As it said itself.
    pub zone: Option<String>,
    heard: Option<Nanos>,
}

/// All that were ever told.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddrV4,
    known: BTreeMap<SocketAddrV4, Peer>,
    first_pause: Nanos,
    last_pause: Nanos,
    connect_within: Nanos,
}

/// What is to be done about a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum LinkAction {
    Connect(SocketAddrV4),
    GiveUp(SocketAddrV4),
}

impl Peers {
    /// Knows nobody; `suspect` is how long a silent registrar is waited for.
    pub fn new(me: SocketAddrV4, suspect: Nanos) -> Peers {
        Peers {
            me,
            known: BTreeMap::new(),
            first_pause: suspect.times(0.1),
            last_pause: suspect.times(2.0),
            connect_within: suspect.times(0.3),
        }
    }

    /// True where the address is new.
    pub fn know(&mut self, now: Nanos, addr: SocketAddrV4) -> bool {
        if addr == self.me || self.known.contains_key(&addr) {
            return false;
        }
        if self.known.len() >= MOST {
            let down = self.known.iter().filter(|(_, peer)| peer.link != LinkState::Up);
            let Some(oldest) = down.min_by_key(|(_, peer)| peer.heard).map(|(addr, _)| *addr) else {
                return false;
            };
            self.known.remove(&oldest);
        }
        let link = LinkState::Down { at: now, pause: self.first_pause };
        self.known.insert(addr, Peer { link, zone: None, heard: None });
        true
    }

    /// It spoke: a connection to it is worth a try at once.
    pub fn heard(&mut self, now: Nanos, addr: SocketAddrV4, zone: Option<&str>) {
        let Some(peer) = self.known.get_mut(&addr) else { return };
        peer.heard = Some(now);
        if let Some(zone) = zone {
            peer.zone = Some(zone.to_string());
            match &mut peer.link {
                LinkState::Down { at, .. } => *at = now,
                // Begun while it had no power: its first packet is lost and is sent again after a second. Guards
                // the return of all at once, when each begins before the others are there.
                LinkState::Begun { at, until } => *until = (*until).min((*at + self.first_pause).max(now)),
                _ => {}
            }
        }
    }

    pub fn opened(&mut self, addr: SocketAddrV4) {
        if let Some(peer) = self.known.get_mut(&addr) {
            peer.link = LinkState::Up;
        }
    }

    pub fn closed(&mut self, now: Nanos, addr: SocketAddrV4) {
        let (first, last) = (self.first_pause, self.last_pause);
        if let Some(peer) = self.known.get_mut(&addr) {
            let pause = match peer.link {
                LinkState::Down { pause, .. } => pause,
                LinkState::Up => first,
                // What never answered is tried ever less.
                LinkState::Begun { .. } if peer.heard.is_some_and(|at| now - at < last) => first.times(2.0),
                LinkState::Begun { at, .. } => (now - at).times(2.0).max(first.times(4.0)).min(last),
            };
            peer.link = LinkState::Down { at: now + pause, pause };
        }
    }

    /// What is to be done now, one at a time.
    pub fn next(&mut self, now: Nanos) -> Option<LinkAction> {
        for (addr, peer) in &mut self.known {
            match peer.link {
                LinkState::Down { at, .. } if at <= now => {
                    peer.link = LinkState::Begun { at: now, until: now + self.connect_within };
                    return Some(LinkAction::Connect(*addr));
                }
                // A machine without power, or behind a cut, gives no answer at all.
                LinkState::Begun { until, .. } if now >= until => {
                    let lately = peer.heard.is_some_and(|heard| now - heard < self.connect_within);
                    let wait = if lately { Nanos(0) } else { self.first_pause };
                    peer.link = LinkState::Down { at: now + wait, pause: self.first_pause };
                    return Some(LinkAction::GiveUp(*addr));
                }
                _ => {}
            }
        }
        None
    }

    pub fn due(&self) -> Option<Nanos> {
        let times = self.known.values().filter_map(|peer| match peer.link {
            LinkState::Down { at, .. } => Some(at),
            LinkState::Begun { until, .. } => Some(until),
            LinkState::Up => None,
        });
        times.min()
    }

    pub fn is_up(&self, addr: SocketAddrV4) -> bool {
        self.known.get(&addr).is_some_and(|peer| peer.link == LinkState::Up)
    }

    /// Those to whom a connection stands.
    pub fn up(&self) -> Vec<SocketAddrV4> {
        self.known.iter().filter(|(_, peer)| peer.link == LinkState::Up).map(|(addr, _)| *addr).collect()
    }

    pub fn all(&self) -> Vec<SocketAddrV4> {
        self.known.keys().copied().collect()
    }

    pub fn zone(&self, addr: SocketAddrV4) -> Option<&str> {
        self.known.get(&addr).and_then(|peer| peer.zone.as_deref())
    }
}

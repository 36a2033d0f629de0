//! The other controllers: where they may be, and the one connection to each.

use fernknot::interface::Nanos;
use fernknot_rpc::ControllerEndpoint;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Addresses that are remembered; the one unheard for the longest goes first.
const MAX_KNOWN_PEERS: usize = 32;

/// The state of the connection to a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// To be opened at `retry_at`, after a backoff of so long.
    Down { retry_at: Nanos, backoff: Nanos },
    /// Aborted at `deadline` if nothing answers.
    Connecting { since: Nanos, deadline: Nanos },
    /// Open.
    Up,
}

/// One of the other controllers.
#[derive(Clone, Debug)]
struct Peer {
    link: LinkState,
    /// Its failure domain, as it said itself.
    zone: Option<String>,
    last_heard: Option<Nanos>,
}

/// All other controllers whose addresses have been learnt.
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
    /// Open a connection.
    Connect(SocketAddrV4),
    /// Stop opening the connection.
    AbortConnect(SocketAddrV4),
}

impl Peers {
    /// Knows nobody; `suspicion_timeout` is how long a controller that is not heard is waited for.
    pub fn new(local_addr: SocketAddrV4, suspicion_timeout: Nanos) -> Peers {
        Peers {
            local_addr,
            known: BTreeMap::new(),
            initial_backoff: suspicion_timeout.times(0.1),
            max_backoff: suspicion_timeout.times(2.0),
            connect_timeout: suspicion_timeout.times(0.3),
        }
    }

    /// Learns an address. True where it is new.
    pub fn add(&mut self, now: Nanos, addr: SocketAddrV4) -> bool {
        if addr == self.local_addr || self.known.contains_key(&addr) {
            return false;
        }
        if self.known.len() >= MAX_KNOWN_PEERS && !self.evict_oldest() {
            return false;
        }
        let link = LinkState::Down { retry_at: now, backoff: self.initial_backoff };
        self.known.insert(addr, Peer { link, zone: None, last_heard: None });
        true
    }

    /// Forgets the address that has been unheard for the longest, among those without a connection. False where there
    /// is none.
    fn evict_oldest(&mut self) -> bool {
        let not_up = self.known.iter().filter(|(_, peer)| peer.link != LinkState::Up);
        let oldest = not_up.min_by_key(|(_, peer)| peer.last_heard).map(|(addr, _)| *addr);
        oldest.is_some_and(|addr| self.known.remove(&addr).is_some())
    }

    /// It sent something. Where it named its zone it has just started or connected: a connection to it is worth an
    /// attempt at once.
    pub fn record_heard(&mut self, now: Nanos, addr: SocketAddrV4, zone: Option<&str>) {
        let Some(peer) = self.known.get_mut(&addr) else { return };
        peer.last_heard = Some(now);
        let Some(zone) = zone else { return };
        peer.zone = Some(zone.to_string());
        match &mut peer.link {
            LinkState::Down { retry_at, .. } => *retry_at = now,
            // Begun while it had no power: its first packet is lost and is sent again after a second. Guards the
            // return of all at once, when each begins before the others are there.
            LinkState::Connecting { since, deadline } => {
                *deadline = (*deadline).min((*since + self.initial_backoff).max(now));
            }
            LinkState::Up => {}
        }
    }

    /// The connection to it is up.
    pub fn link_opened(&mut self, addr: SocketAddrV4) {
        if let Some(peer) = self.known.get_mut(&addr) {
            peer.link = LinkState::Up;
        }
    }

    /// The connection to it has gone, or never came up: another attempt follows after a backoff.
    pub fn link_closed(&mut self, now: Nanos, addr: SocketAddrV4) {
        let (initial, max) = (self.initial_backoff, self.max_backoff);
        let Some(peer) = self.known.get_mut(&addr) else { return };
        let heard_lately = peer.last_heard.is_some_and(|heard| now - heard < max);
        let backoff = match peer.link {
            LinkState::Down { backoff, .. } => backoff,
            LinkState::Up => initial,
            LinkState::Connecting { .. } if heard_lately => initial.times(2.0),
            // What never answered is tried ever less.
            LinkState::Connecting { since, .. } => (now - since).times(2.0).max(initial.times(4.0)).min(max),
        };
        peer.link = LinkState::Down { retry_at: now + backoff, backoff };
    }

    /// What is to be done now, one at a time.
    pub fn poll_action(&mut self, now: Nanos) -> Option<LinkAction> {
        for (addr, peer) in &mut self.known {
            match peer.link {
                LinkState::Down { retry_at, .. } if retry_at <= now => {
                    peer.link = LinkState::Connecting { since: now, deadline: now + self.connect_timeout };
                    return Some(LinkAction::Connect(*addr));
                }
                // A machine without power, or behind a partition, gives no answer at all.
                LinkState::Connecting { deadline, .. } if now >= deadline => {
                    let heard_lately =
                        peer.last_heard.is_some_and(|heard| now - heard < self.connect_timeout);
                    let wait = if heard_lately { Nanos(0) } else { self.initial_backoff };
                    peer.link = LinkState::Down { retry_at: now + wait, backoff: self.initial_backoff };
                    return Some(LinkAction::AbortConnect(*addr));
                }
                _ => {}
            }
        }
        None
    }

    /// When a connection has to be opened, or its opening to be aborted.
    pub fn next_timeout(&self) -> Option<Nanos> {
        let times = self.known.values().filter_map(|peer| match peer.link {
            LinkState::Down { retry_at, .. } => Some(retry_at),
            LinkState::Connecting { deadline, .. } => Some(deadline),
            LinkState::Up => None,
        });
        times.min()
    }

    /// Whether a connection to it is up.
    pub fn is_connected(&self, addr: SocketAddrV4) -> bool {
        self.known.get(&addr).is_some_and(|peer| peer.link == LinkState::Up)
    }

    /// Those to which a connection is up.
    pub fn connected(&self) -> Vec<SocketAddrV4> {
        self.connected_peers().map(|(addr, _)| addr).collect()
    }

    /// The same, where they have said which zone they are in.
    pub fn connected_endpoints(&self) -> impl Iterator<Item = ControllerEndpoint> {
        self.connected_peers()
            .filter_map(|(addr, peer)| Some(ControllerEndpoint { addr, zone: peer.zone.clone()? }))
    }

    fn connected_peers(&self) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        let up = self.known.iter().filter(|(_, peer)| peer.link == LinkState::Up);
        up.map(|(addr, peer)| (*addr, peer))
    }

    /// All addresses that have been learnt and are remembered.
    pub fn known_addrs(&self) -> Vec<SocketAddrV4> {
        self.known.keys().copied().collect()
    }
}

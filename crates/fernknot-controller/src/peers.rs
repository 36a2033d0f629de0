//! Known addresses of the other controllers, and the one connection to each.

use fernknot::interface::Nanos;
use fernknot_rpc::ControllerEndpoint;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of known addresses; the one without a message for the longest time is evicted first.
const MAX_KNOWN_PEERS: usize = 32;

/// State of the connection that this controller opens to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// Closed, to be opened at `retry_at`, after a delay of `backoff`.
    Down { retry_at: Nanos, backoff: Nanos },
    /// Being opened; aborted at `deadline` if there is no response.
    Connecting { since: Nanos, deadline: Nanos },
    /// Open: messages can be sent.
    Up,
}

/// Another controller, known by its internal address.
#[derive(Clone, Debug)]
struct Peer {
    link: LinkState,
    /// Failure domain, as the controller reported it.
    zone: Option<String>,
    last_received_at: Option<Nanos>,
}

/// All other controllers with known internal addresses, at most `MAX_KNOWN_PEERS`.
#[derive(Debug)]
pub struct Peers {
    local_addr: SocketAddrV4,
    known: BTreeMap<SocketAddrV4, Peer>,
    initial_backoff: Nanos,
    max_backoff: Nanos,
    connect_timeout: Nanos,
}

/// Action to take on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Open a connection.
    Connect(SocketAddrV4),
    /// Abort the attempt to open a connection.
    AbortConnect(SocketAddrV4),
}

impl Peers {
    /// Creates a table without peers. `suspicion_timeout` is the time without a message after which a controller is
    /// considered failed.
    pub fn new(local_addr: SocketAddrV4, suspicion_timeout: Nanos) -> Peers {
        Peers {
            local_addr,
            known: BTreeMap::new(),
            initial_backoff: suspicion_timeout.times(0.1),
            max_backoff: suspicion_timeout.times(2.0),
            connect_timeout: suspicion_timeout.times(0.3),
        }
    }

    /// Adds an address. Returns true if it is new.
    pub fn add(&mut self, now: Nanos, addr: SocketAddrV4) -> bool {
        if addr == self.local_addr || self.known.contains_key(&addr) {
            return false;
        }
        if self.known.len() >= MAX_KNOWN_PEERS && !self.evict_oldest() {
            return false;
        }
        let link = LinkState::Down { retry_at: now, backoff: self.initial_backoff };
        self.known.insert(addr, Peer { link, zone: None, last_received_at: None });
        true
    }

    /// Removes the address without a message for the longest time, among those without a connection. Returns false if
    /// there is none.
    fn evict_oldest(&mut self) -> bool {
        let not_up = self.known.iter().filter(|(_, peer)| peer.link != LinkState::Up);
        let oldest = not_up.min_by_key(|(_, peer)| peer.last_received_at).map(|(addr, _)| *addr);
        oldest.is_some_and(|addr| self.known.remove(&addr).is_some())
    }

    /// Records a message from a controller. A message that names its zone shows that the controller has just started
    /// or connected, so a connection to it is attempted without further delay.
    pub fn record_message(&mut self, now: Nanos, addr: SocketAddrV4, zone: Option<&str>) {
        let Some(peer) = self.known.get_mut(&addr) else { return };
        peer.last_received_at = Some(now);
        let Some(zone) = zone else { return };
        peer.zone = Some(zone.to_string());
        match &mut peer.link {
            LinkState::Down { retry_at, .. } => *retry_at = now,
            // The attempt may have begun before the machine was running: its first packet is then lost, and TCP
            // retransmits it only after a second. An earlier deadline avoids that delay when all controllers start at
            // the same time.
            LinkState::Connecting { since, deadline } => {
                *deadline = (*deadline).min((*since + self.initial_backoff).max(now));
            }
            LinkState::Up => {}
        }
    }

    /// Records that the connection to a controller is open.
    pub fn link_opened(&mut self, addr: SocketAddrV4) {
        if let Some(peer) = self.known.get_mut(&addr) {
            peer.link = LinkState::Up;
        }
    }

    /// Records that the connection to a controller was closed or not established. The next attempt follows after a
    /// backoff.
    pub fn link_closed(&mut self, now: Nanos, addr: SocketAddrV4) {
        let (initial, max) = (self.initial_backoff, self.max_backoff);
        let Some(peer) = self.known.get_mut(&addr) else { return };
        let received_recently = peer.last_received_at.is_some_and(|received_at| now - received_at < max);
        let backoff = match peer.link {
            LinkState::Down { backoff, .. } => backoff,
            LinkState::Up => initial,
            LinkState::Connecting { .. } if received_recently => initial.times(2.0),
            // Without a recent message, the delay grows with the duration of the failed attempt.
            LinkState::Connecting { since, .. } => (now - since).times(2.0).max(initial.times(4.0)).min(max),
        };
        peer.link = LinkState::Down { retry_at: now + backoff, backoff };
    }

    /// Returns the next action that is due, or None if there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<LinkAction> {
        for (addr, peer) in &mut self.known {
            match peer.link {
                LinkState::Down { retry_at, .. } if retry_at <= now => {
                    peer.link = LinkState::Connecting { since: now, deadline: now + self.connect_timeout };
                    return Some(LinkAction::Connect(*addr));
                }
                // A machine that is switched off, or behind a network partition, sends no response at all.
                LinkState::Connecting { deadline, .. } if now >= deadline => {
                    let received_recently = peer
                        .last_received_at
                        .is_some_and(|received_at| now - received_at < self.connect_timeout);
                    let wait = if received_recently { Nanos(0) } else { self.initial_backoff };
                    peer.link = LinkState::Down { retry_at: now + wait, backoff: self.initial_backoff };
                    return Some(LinkAction::AbortConnect(*addr));
                }
                _ => {}
            }
        }
        None
    }

    /// Returns the time at which the next connection is to be opened or aborted.
    pub fn next_timeout(&self) -> Option<Nanos> {
        let times = self.known.values().filter_map(|peer| match peer.link {
            LinkState::Down { retry_at, .. } => Some(retry_at),
            LinkState::Connecting { deadline, .. } => Some(deadline),
            LinkState::Up => None,
        });
        times.min()
    }

    /// Whether a connection to the controller is open.
    pub fn is_connected(&self, addr: SocketAddrV4) -> bool {
        self.known.get(&addr).is_some_and(|peer| peer.link == LinkState::Up)
    }

    /// Addresses of the controllers to which a connection is open.
    pub fn connected(&self) -> Vec<SocketAddrV4> {
        self.connected_peers().map(|(addr, _)| addr).collect()
    }

    /// Addresses and zones of the connected controllers whose zones are known.
    pub fn connected_endpoints(&self) -> impl Iterator<Item = ControllerEndpoint> {
        self.connected_peers()
            .filter_map(|(addr, peer)| Some(ControllerEndpoint { addr, zone: peer.zone.clone()? }))
    }

    fn connected_peers(&self) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        let up = self.known.iter().filter(|(_, peer)| peer.link == LinkState::Up);
        up.map(|(addr, peer)| (*addr, peer))
    }

    /// All known addresses.
    pub fn known_addrs(&self) -> Vec<SocketAddrV4> {
        self.known.keys().copied().collect()
    }
}

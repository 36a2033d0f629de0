//! What is known of the other replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use super::clock::Clock;
use crate::types::{Member, MemberId, PeerHeartbeat, StatePosition, View};

/// Peers that are remembered, at most.
pub(crate) const MAX_PEERS: usize = 32;
/// Addresses that are remembered, at most.
const MAX_ADDRESSES: usize = 2 * MAX_PEERS;

/// What is known of another replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When that came.
    pub last_heard: Nanos,
    /// When the newest of this replica's heartbeats left that the peer has answered.
    pub last_echoed: Option<Nanos>,
    /// The newest state on its disk; an acknowledgement may be ahead of the heartbeats.
    pub stored: StatePosition,
    /// Until then it is left out of the next view: it did not store in time.
    pub excluded_until: Nanos,
    /// When the newest state was sent to it last.
    pub state_sent_at: Option<Nanos>,
    /// Since when it is recovering.
    pub recovering_since: Option<Nanos>,
}

impl Peer {
    fn new(heartbeat: PeerHeartbeat, now: Nanos) -> Peer {
        let stored = StatePosition { view: heartbeat.state_view, revision: heartbeat.revision };
        Peer {
            heartbeat,
            last_heard: now,
            last_echoed: None,
            stored,
            excluded_until: Nanos(0),
            state_sent_at: None,
            recovering_since: None,
        }
    }

    /// Whether a heartbeat of it came within the suspicion time-out.
    pub fn was_heard(&self, clock: &Clock) -> bool {
        clock.now - self.last_heard <= clock.suspicion_timeout
    }

    /// Whether messages went both ways within the suspicion time-out.
    pub fn is_reachable(&self, clock: &Clock) -> bool {
        let recent = |at: Nanos| clock.now - at <= clock.suspicion_timeout;
        self.was_heard(clock) && self.last_echoed.is_some_and(recent)
    }

    /// Whether it has been recovering for so long that nobody waits for it.
    pub fn recovers_too_long(&self, clock: &Clock) -> bool {
        self.recovering_since.is_some_and(|since| clock.has_passed(2.0, since))
    }

    /// Whether it has the state with which the view began, or a later one of the view, on disk.
    pub fn has_state_of(&self, view: &View) -> bool {
        self.heartbeat.view == view.number && self.heartbeat.state_view == view.number
    }
}

/// The other replicas, and the addresses where some may be.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peers {
    own_id: MemberId,
    own_address: SocketAddrV4,
    by_id: BTreeMap<MemberId, Peer>,
    addresses: BTreeSet<SocketAddrV4>,
}

impl Peers {
    pub fn new(me: &Member, mut addresses: BTreeSet<SocketAddrV4>) -> Peers {
        addresses.remove(&me.addr);
        Peers { own_id: me.id, own_address: me.addr, by_id: BTreeMap::new(), addresses }
    }

    pub fn get(&self, id: MemberId) -> Option<&Peer> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.by_id.get_mut(&id)
    }

    /// All known peers, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    pub fn addresses(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.addresses.iter()
    }

    /// Remembers an address; says whether it is new.
    pub fn learn_address(&mut self, address: SocketAddrV4) -> bool {
        address != self.own_address && self.addresses.len() < MAX_ADDRESSES && self.addresses.insert(address)
    }

    /// Takes over the addresses that an earlier identity knew.
    pub fn take_addresses(&mut self, earlier: &mut Peers) {
        self.addresses.append(&mut earlier.addresses);
    }

    /// Where a member listens now.
    pub fn address_of(&self, member: &Member) -> SocketAddrV4 {
        self.get(member.id).map_or(member.addr, |peer| peer.heartbeat.sender.addr)
    }

    /// Whether another incarnation of a disk has been heard from the member's address since.
    pub fn is_replaced(&self, member: &Member) -> bool {
        if member.id == MemberId(0) || member.id == self.own_id {
            return false;
        }
        let last_heard = self.get(member.id).map(|peer| peer.last_heard);
        let address = self.address_of(member);
        let replaces = |other: &Peer| {
            other.heartbeat.sender.id != member.id
                && other.heartbeat.sender.addr == address
                && Some(other.last_heard) > last_heard
        };
        address == self.own_address || self.iter().any(replaces)
    }

    /// Whether the member is not reachable, after this replica has listened for long enough.
    pub fn is_suspected(&self, member: &Member, clock: &Clock) -> bool {
        if member.id == self.own_id {
            return false;
        }
        let reachable = self.get(member.id).is_some_and(|peer| peer.is_reachable(clock));
        self.is_replaced(member) || (!reachable && clock.has_listened(clock.now))
    }

    /// Whether there is room for this peer; where not, one that doesn't vote in the view makes room, the one that was
    /// silent for longest.
    pub fn make_room_for(&mut self, id: MemberId, view: &View) -> bool {
        if self.by_id.contains_key(&id) || self.by_id.len() < MAX_PEERS {
            return true;
        }
        let strangers = self.by_id.iter().filter(|(id, _)| !view.has_voter_id(**id));
        let stalest = strangers.min_by_key(|(_, peer)| peer.last_heard).map(|(id, _)| *id);
        stalest.is_some_and(|stalest| self.by_id.remove(&stalest).is_some())
    }

    /// Takes over a peer's newest heartbeat. `incarnation` is that of this process.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat, incarnation: u64, now: Nanos) {
        let peer = self.by_id.entry(heartbeat.sender.id).or_insert_with(|| Peer::new(heartbeat.clone(), now));
        peer.last_heard = now;
        // Guards against echoes of an earlier process, whose clock had other times.
        if heartbeat.echo.incarnation == incarnation && heartbeat.echo.sent_at <= now.0 {
            peer.last_echoed = peer.last_echoed.max(Some(Nanos(heartbeat.echo.sent_at)));
        }
        let stored = StatePosition { view: heartbeat.state_view, revision: heartbeat.revision };
        peer.stored = peer.stored.max(stored);
        peer.recovering_since = heartbeat.recovering.then(|| peer.recovering_since.unwrap_or(now));
        peer.heartbeat = heartbeat.clone();
    }
}

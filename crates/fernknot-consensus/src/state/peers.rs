//! State of the other replicas, as known to this one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use super::clock::Clock;
use crate::types::{Member, MemberId, PeerHeartbeat, StatePosition, View};

/// Maximum number of other replicas that are tracked; beyond it, heartbeats of new ones replace the non-voter with
/// the oldest heartbeat.
pub(crate) const MAX_PEERS: usize = 32;
/// Maximum number of addresses that are kept.
const MAX_ADDRESSES: usize = 2 * MAX_PEERS;

/// State of another replica, which has sent at least one heartbeat to this process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// Its newest heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// Time at which its newest heartbeat was received.
    pub last_heartbeat_at: Nanos,
    /// Time at which the newest of this replica's heartbeats that the peer has echoed was sent.
    pub newest_echo_sent_at: Option<Nanos>,
    /// Position of the newest state on its disk. Acknowledgements may advance it ahead of the heartbeats.
    pub stored: StatePosition,
    /// Time until which it is left out of the next view, because it did not store a state that it was sent.
    pub excluded_until: Nanos,
    /// Time at which the newest state was last sent to it.
    pub state_sent_at: Option<Nanos>,
    /// Time of the first of the heartbeats in which it has since reported that it is recovering; `None` if it is not
    /// recovering.
    pub recovering_since: Option<Nanos>,
}

impl Peer {
    fn new(heartbeat: PeerHeartbeat, now: Nanos) -> Peer {
        let stored = StatePosition { view: heartbeat.state_view, revision: heartbeat.revision };
        Peer {
            heartbeat,
            last_heartbeat_at: now,
            newest_echo_sent_at: None,
            stored,
            excluded_until: Nanos(0),
            state_sent_at: None,
            recovering_since: None,
        }
    }

    /// Whether a heartbeat was received from it within the suspicion time-out.
    pub fn has_recent_heartbeat(&self, clock: &Clock) -> bool {
        clock.now - self.last_heartbeat_at <= clock.suspicion_timeout
    }

    /// Whether heartbeats were received in both directions within the suspicion time-out.
    pub fn is_reachable(&self, clock: &Clock) -> bool {
        let recent = |at: Nanos| clock.now - at <= clock.suspicion_timeout;
        self.has_recent_heartbeat(clock) && self.newest_echo_sent_at.is_some_and(recent)
    }

    /// Whether it has been recovering for more than two suspicion time-outs, so that others no longer wait for it.
    pub fn is_recovery_overdue(&self, clock: &Clock) -> bool {
        self.recovering_since.is_some_and(|since| clock.timeouts_passed(2.0, since))
    }

    /// Whether it has the first state of the view, or a later one of the view, on disk.
    pub fn has_state_of(&self, view: &View) -> bool {
        self.heartbeat.view == view.number && self.heartbeat.state_view == view.number
    }
}

/// The other replicas, and addresses at which there may be more.
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

    /// Iterates over the known peers, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_id.values()
    }

    pub fn addresses(&self) -> impl Iterator<Item = &SocketAddrV4> {
        self.addresses.iter()
    }

    /// Adds an address. Returns whether it is new.
    pub fn add_address(&mut self, address: SocketAddrV4) -> bool {
        address != self.own_address && self.addresses.len() < MAX_ADDRESSES && self.addresses.insert(address)
    }

    /// Moves over the addresses that the previous identity knew.
    pub fn inherit_addresses(&mut self, previous: &mut Peers) {
        self.addresses.append(&mut previous.addresses);
    }

    /// Returns the address on which a member currently listens.
    pub fn address_of(&self, member: &Member) -> SocketAddrV4 {
        self.get(member.id).map_or(member.addr, |peer| peer.heartbeat.sender.addr)
    }

    /// Whether another incarnation of a disk has taken the member's address: that of this replica, or one whose
    /// heartbeat came from there after the member's last.
    pub fn is_replaced(&self, member: &Member) -> bool {
        if member.id == MemberId(0) || member.id == self.own_id {
            return false;
        }
        let last_heartbeat_at = self.get(member.id).map(|peer| peer.last_heartbeat_at);
        let address = self.address_of(member);
        let replaces = |other: &Peer| {
            other.heartbeat.sender.id != member.id
                && other.heartbeat.sender.addr == address
                && Some(other.last_heartbeat_at) > last_heartbeat_at
        };
        address == self.own_address || self.iter().any(replaces)
    }

    /// Whether the member is unreachable and this replica has run for longer than the suspicion time-out, so that it
    /// can tell, or another disk has taken the member's address.
    pub fn is_suspected(&self, member: &Member, clock: &Clock) -> bool {
        if member.id == self.own_id {
            return false;
        }
        let reachable = self.get(member.id).is_some_and(|peer| peer.is_reachable(clock));
        self.is_replaced(member) || (!reachable && clock.can_detect_failures(clock.now))
    }

    /// Makes room for this peer, if necessary by removing the non-voter whose last heartbeat is the oldest. Returns
    /// whether there is room.
    pub fn make_room_for(&mut self, id: MemberId, view: &View) -> bool {
        if self.by_id.contains_key(&id) || self.by_id.len() < MAX_PEERS {
            return true;
        }
        let non_voters = self.by_id.iter().filter(|(id, _)| !view.has_voter_id(**id));
        let stalest = non_voters.min_by_key(|(_, peer)| peer.last_heartbeat_at).map(|(id, _)| *id);
        stalest.is_some_and(|stalest| self.by_id.remove(&stalest).is_some())
    }

    /// Records a peer's newest heartbeat. `incarnation` is that of this process.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat, incarnation: u64, now: Nanos) {
        let peer = self.by_id.entry(heartbeat.sender.id).or_insert_with(|| Peer::new(heartbeat.clone(), now));
        peer.last_heartbeat_at = now;
        // An echo of an earlier process's heartbeat has a time of another clock.
        if heartbeat.echo.incarnation == incarnation && heartbeat.echo.sent_at <= now.0 {
            peer.newest_echo_sent_at = peer.newest_echo_sent_at.max(Some(Nanos(heartbeat.echo.sent_at)));
        }
        let stored = StatePosition { view: heartbeat.state_view, revision: heartbeat.revision };
        peer.stored = peer.stored.max(stored);
        peer.recovering_since = heartbeat.recovering.then(|| peer.recovering_since.unwrap_or(now));
        peer.heartbeat = heartbeat.clone();
    }
}

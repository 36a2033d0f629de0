//! What is known of one incarnation of a node, and how two records of it are merged.

use bitcode::{Decode, Encode};
use fnv::FnvHasher;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The hash of an incarnation's id, short enough to be sent with every heartbeat between controllers.
pub type IncarnationHash = u64;

/// Hashes an incarnation's id with FNV-1a (64 bits).
pub fn incarnation_hash(id: &str) -> IncarnationHash {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// Whether requests may be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum NodeState {
    /// Accepts requests.
    Ready,
    /// Announced that it drains; accepts no new requests for the rest of this incarnation.
    Draining,
    /// Sent no heartbeat for too long, or another incarnation uses its address; accepts requests again only after a
    /// later heartbeat.
    Lost,
    /// Deregistered; final for this incarnation.
    Gone,
}

/// One incarnation of a node as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeRecord {
    /// The id of this incarnation; a restarted node has another.
    pub id: String,
    /// The service that the node belongs to. Empty in a tombstone of an unknown incarnation ([`Self::gone`]).
    pub service: String,
    /// Where the node accepts requests.
    pub addr: SocketAddrV4,
    /// The zone (failure domain) of its machine.
    pub zone: String,
    /// Whether requests may be sent to it.
    pub state: NodeState,
    /// Requests it works on at once.
    pub capacity: u32,
    /// How much longer it is warming up, in milliseconds from when this record was sent.
    pub warm_up_left_ms: u64,
    /// Rises with each call of this incarnation; an older call never undoes a newer one.
    pub sequence: u64,
}

impl NodeRecord {
    /// The tombstone of an incarnation of which nothing else is known.
    pub fn gone(id: &str) -> NodeRecord {
        NodeRecord {
            id: id.to_string(),
            service: String::new(),
            addr: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            state: NodeState::Gone,
            capacity: 0,
            warm_up_left_ms: 0,
            sequence: 0,
        }
    }

    /// Whether new requests may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.state == NodeState::Ready
    }

    /// Whether it may be working: ready or draining.
    pub fn is_up(&self) -> bool {
        matches!(self.state, NodeState::Ready | NodeState::Draining)
    }

    /// Merges another record of the same incarnation; records merged in any order give the same result. Returns
    /// whether anything differs now that a gateway acts on (the sequence and the warm-up don't count).
    pub fn merge(&mut self, other: &NodeRecord) -> bool {
        let state = merge_states((self.state, self.sequence), (other.state, other.sequence));
        let mut changed = state != self.state;
        self.state = state;
        // A tombstone of an unknown incarnation says nothing but that the incarnation is gone.
        let fills_tombstone = self.service.is_empty() && !other.service.is_empty();
        if other.sequence > self.sequence || fills_tombstone {
            changed |= self.service != other.service
                || self.addr != other.addr
                || self.zone != other.zone
                || self.capacity != other.capacity;
            if !other.service.is_empty() {
                self.copy_description(other);
            }
            self.sequence = self.sequence.max(other.sequence);
        }
        changed
    }

    fn copy_description(&mut self, other: &NodeRecord) {
        self.service.clone_from(&other.service);
        self.addr = other.addr;
        self.zone.clone_from(&other.zone);
        self.capacity = other.capacity;
        self.warm_up_left_ms = other.warm_up_left_ms;
    }
}

/// Merges two states, each with its sequence. Gone is final and draining is never undone; otherwise the later call
/// counts, and with equal sequences the loss, which came after the call.
fn merge_states(one: (NodeState, u64), other: (NodeState, u64)) -> NodeState {
    use NodeState::*;
    if one.0 == Gone || other.0 == Gone {
        return Gone;
    }
    let (late, early) = if one.1 >= other.1 { (one, other) } else { (other, one) };
    let is_lost = late.0 == Lost || (early.0 == Lost && early.1 == late.1);
    if is_lost {
        Lost
    } else if late.0 == Draining || early.0 == Draining {
        Draining
    } else {
        Ready
    }
}

//! Record of one incarnation of a node, and the rule by which two records of it are merged.

use bitcode::{Decode, Encode};
use fnv::FnvHasher;
use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Hash of an incarnation's id, short enough to be sent with every heartbeat between controllers.
pub type IncarnationHash = u64;

/// Hashes an incarnation's id with FNV-1a (64 bits).
pub fn incarnation_hash(id: &str) -> IncarnationHash {
    let mut hasher = FnvHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish()
}

/// State of a node, which determines whether requests may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum NodeState {
    /// Accepts requests.
    Ready,
    /// Announced that it drains; accepts no new requests for the rest of this incarnation.
    Draining,
    /// Sent no heartbeat for 3.5 heartbeat intervals, or another incarnation uses its address; accepts requests again
    /// only after a later heartbeat.
    Lost,
    /// Deregistered; final for this incarnation.
    Gone,
}

/// One incarnation of a node, as described by its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeRecord {
    /// Id of this incarnation; a restarted node has a different one.
    pub id: String,
    /// Service to which the node belongs. Empty in a tombstone of an unknown incarnation ([`Self::gone`]).
    pub service: String,
    /// Address at which the node accepts requests.
    pub addr: SocketAddrV4,
    /// Zone (failure domain) of the node's machine.
    pub zone: String,
    /// State of the node, by its own report or as the process that holds the record infers it.
    pub state: NodeState,
    /// Number of requests that the node processes concurrently.
    pub capacity: u32,
    /// Remaining time of the node's warm-up, in milliseconds from when this record was sent; 0 if there is none.
    pub warm_up_left_ms: u64,
    /// Sequence number of the heartbeat that this record describes, increasing with each heartbeat of this
    /// incarnation; an older heartbeat never overrides a newer one. 0 in a tombstone of an unknown incarnation.
    pub sequence: u64,
}

impl NodeRecord {
    /// Creates the tombstone of an incarnation of which nothing else is known.
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

    /// Whether it may be processing requests: ready or draining.
    pub fn is_up(&self) -> bool {
        matches!(self.state, NodeState::Ready | NodeState::Draining)
    }

    /// Merges another record of the same incarnation. Whatever the order in which records are merged, the sequence,
    /// the description and whether the incarnation is gone come out the same; whether an announcement to drain
    /// survives a loss depends on it, which `TrackedRecord` corrects. Returns whether something that gateways act on
    /// has changed (changes of the sequence and the warm-up alone are not counted).
    pub fn merge(&mut self, other: &NodeRecord) -> bool {
        let state = merge_states((self.state, self.sequence), (other.state, other.sequence));
        let mut changed = state != self.state;
        self.state = state;
        // A tombstone of an unknown incarnation contains no description.
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

/// Merges two states, each with its sequence. Gone is final and draining is never undone. Otherwise the later call
/// takes precedence; with equal sequences the loss does, because it followed the call.
fn merge_states(one: (NodeState, u64), other: (NodeState, u64)) -> NodeState {
    use NodeState::*;
    if one.0 == Gone || other.0 == Gone {
        return Gone;
    }
    let (newer, older) = if one.1 >= other.1 { (one, other) } else { (other, one) };
    let is_lost = newer.0 == Lost || (older.0 == Lost && older.1 == newer.1);
    if is_lost {
        Lost
    } else if newer.0 == Draining || older.0 == Draining {
        Draining
    } else {
        Ready
    }
}

//! What is known of one life of a node, and how two tellings of it are joined.

use bitcode::{Decode, Encode};
use std::net::SocketAddrV4;

/// The hash of a life's id, short enough to be told with every beat.
pub type IncarnationHash = u64;

/// The hash by which controllers tell each other of a life (FNV-1a, 64 bits).
pub fn incarnation_hash(id: &str) -> IncarnationHash {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ byte as u64).wrapping_mul(0x0100_0000_01b3))
}

/// What may be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum NodeState {
    /// Takes requests.
    Ready,
    /// Said that it is leaving; never takes requests again in this life.
    Draining,
    /// Unheard for too long, or its address was taken by another life; takes none until a later beat of it.
    Lost,
    /// Said that it is out; final for this life.
    Gone,
}

/// One life of a node as its beats tell it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct NodeRecord {
    /// The id of this life; a restart has another.
    pub id: String,
    pub service: String,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub state: NodeState,
    /// Requests it works on at once.
    pub capacity: u32,
    /// Milliseconds that it stays slow from its start, counted from when this is told.
    pub warm_up_left_ms: u64,
    /// Rises with each call of this life; an older call never undoes a newer one.
    pub sequence: u64,
}

impl NodeRecord {
    /// What a word about a life that this process never heard of leaves behind.
    pub fn gone(id: &str) -> NodeRecord {
        NodeRecord {
            id: id.to_string(),
            service: String::new(),
            addr: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            state: NodeState::Gone,
            capacity: 0,
            warm_up_left_ms: 0,
            sequence: 0,
        }
    }

    /// True where requests may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.state == NodeState::Ready
    }

    /// True while it may still be at work: ready or draining.
    pub fn is_up(&self) -> bool {
        matches!(self.state, NodeState::Ready | NodeState::Draining)
    }

    /// Takes in another telling of the same life; any order of tellings ends alike. Returns whether something that
    /// a gateway acts on differs now (the number of the call and the time to warm up don't count).
    pub fn merge(&mut self, other: &NodeRecord) -> bool {
        let state = merge_states((self.state, self.sequence), (other.state, other.sequence));
        let mut changed = state != self.state;
        self.state = state;
        // A word left by a call about an unknown life knows nothing but that it is gone.
        if other.sequence > self.sequence || (self.service.is_empty() && !other.service.is_empty()) {
            changed |= self.service != other.service
                || self.addr != other.addr
                || self.zone != other.zone
                || self.capacity != other.capacity;
            if !other.service.is_empty() {
                self.service.clone_from(&other.service);
                self.addr = other.addr;
                self.zone.clone_from(&other.zone);
                self.capacity = other.capacity;
                self.warm_up_left_ms = other.warm_up_left_ms;
            }
            self.sequence = self.sequence.max(other.sequence);
        }
        changed
    }
}

/// Gone is final and draining is never taken back; else the later call counts, and of one call the loss after it.
fn merge_states(a: (NodeState, u64), b: (NodeState, u64)) -> NodeState {
    use NodeState::*;
    if a.0 == Gone || b.0 == Gone {
        return Gone;
    }
    let (late, early) = if a.1 >= b.1 { (a, b) } else { (b, a) };
    let lost = late.0 == Lost || (early.0 == Lost && early.1 == late.1);
    if lost {
        Lost
    } else if late.0 == Draining || early.0 == Draining {
        Draining
    } else {
        Ready
    }
}

//! State of a connection to a data node.

use crate::tcp_connection::TcpConnection;
use fernknot::interface::{AttemptNumber, Nanos, NodeId, PartId};
use fernknot_protocol::outbox::Outbox;
use std::collections::{HashMap, VecDeque};

/// Identifier of an attempt to have a part answered by a node. A multiget, which is the request of a client, has a part
/// for each shard that it queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Identifier of the part, which names its multiget.
    pub part: PartId,
    /// Number of the attempt among those of the part.
    pub number: AttemptNumber,
}

/// Progress of the writing of an attempt's frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteState {
    /// No byte has been written.
    Queued,
    /// Some bytes have been written, but not all.
    Started,
    /// All bytes have been written.
    Written,
}

/// Attempt whose answer is pending.
pub struct PendingAttempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Number of the call, which is the frame that contains the attempt, among those of the connection.
    pub call: u64,
    /// Progress of the writing of the call's frame.
    pub state: WriteState,
}

/// Frame to be sent.
pub enum OutgoingFrame {
    /// Call with these attempts.
    Call(Vec<AttemptId>),
    /// Cancellation of the part with this id.
    Cancel(String),
}

/// Connection to a data node.
pub struct NodeConnection {
    /// Data node at the other end.
    pub node: NodeId,
    /// The socket and its buffers.
    pub tcp: TcpConnection,
    /// Whether the connection is established.
    pub is_connected: bool,
    /// Whether the connection accepts no new calls, because the node has moved or restarted or does not answer on it.
    pub is_retired: bool,
    /// Frames that are not yet in the output buffer.
    pub queued_frames: VecDeque<OutgoingFrame>,
    /// Frames that are in the output buffer, some bytes of the first perhaps already written.
    pub outbox: Outbox<OutgoingFrame>,
    /// Attempts with a pending answer, by the ids of their parts.
    pub pending_attempts: HashMap<String, PendingAttempt>,
    /// Number of attempts with a pending answer, by call.
    pub attempts_by_call: HashMap<u64, usize>,
    /// Number of the next call.
    pub next_call: u64,
    /// Ids of cancelled parts, whose answers may still arrive; the oldest is dropped beyond
    /// `max_remembered_cancellations`.
    pub cancelled_part_ids: VecDeque<String>,
    /// Time at which a frame was last encoded, or an answer last received.
    pub last_used: Nanos,
    /// Time at which bytes were last received.
    pub last_received: Nanos,
    /// Time for which the idle timer is set.
    pub idle_timer_at: Nanos,
    /// Deadline for the connection to be established, or for a frame that has begun to arrive to be complete.
    pub deadline: Option<Nanos>,
}

impl NodeConnection {
    /// Returns whether no answer is pending and no output is waiting to be written.
    pub fn is_idle(&self) -> bool {
        self.pending_attempts.is_empty() && self.queued_frames.is_empty() && self.tcp.output.is_empty()
    }

    /// Returns whether a call with these parts can be sent on this connection. Answers contain only the part's id, not
    /// the attempt, so two attempts for the same part never share a connection.
    pub fn accepts_call(&self, part_ids: &[&str], max_calls: usize) -> bool {
        let is_new = |id: &&str| {
            !self.pending_attempts.contains_key(*id)
                && !self.cancelled_part_ids.iter().any(|cancelled| cancelled == id)
        };
        !self.is_retired && self.attempts_by_call.len() < max_calls && part_ids.iter().all(is_new)
    }

    /// Removes and returns the pending attempt for a part.
    pub fn take_pending(&mut self, part_id: &str) -> Option<PendingAttempt> {
        let attempt = self.pending_attempts.remove(part_id)?;
        if let Some(left) = self.attempts_by_call.get_mut(&attempt.call) {
            *left -= 1;
            if *left == 0 {
                self.attempts_by_call.remove(&attempt.call);
            }
        }
        Some(attempt)
    }
}

//! One connection to a data node, and what is on it.

use crate::tcp_connection::TcpConnection;
use fernknot::interface::{AttemptNumber, Nanos, NodeId, PartId};
use fernknot_protocol::outbox::Outbox;
use std::collections::{HashMap, VecDeque};

/// One attempt to have a part answered by a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The part.
    pub part: PartId,
    /// The attempt's number among those of the part.
    pub number: AttemptNumber,
}

/// How much of an attempt's frame has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteState {
    /// No byte.
    Queued,
    /// Its first byte, not its last.
    Begun,
    /// All bytes.
    Written,
}

/// An attempt that waits for its answer.
pub struct PendingAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// The call that it is a part of.
    pub call: u64,
    /// How much of its frame has been written.
    pub state: WriteState,
}

/// A frame that is to be sent.
pub enum OutgoingFrame {
    Call(Vec<AttemptId>),
    /// The answer to the part of this id is no longer needed.
    Cancel(String),
}

/// A connection to a data node.
pub struct NodeConnection {
    /// The node.
    pub node: NodeId,
    /// The socket and its buffers.
    pub tcp: TcpConnection,
    /// The connection has been set up.
    pub is_up: bool,
    /// The node has moved or restarted since, or answers nothing here; it takes no new calls.
    pub is_retired: bool,
    /// Frames that are not in the output buffer yet.
    pub queued: VecDeque<OutgoingFrame>,
    /// Frames that are in the output buffer.
    pub outbox: Outbox<OutgoingFrame>,
    /// Attempts that wait for an answer, by the ids of their parts.
    pub pending: HashMap<String, PendingAttempt>,
    /// Calls with attempts that wait for an answer, and how many.
    pub attempts_by_call: HashMap<u64, usize>,
    /// The number of the next call.
    pub next_call: u64,
    /// Parts that were cancelled, whose answers may still come.
    pub cancelled: VecDeque<String>,
    /// When a frame was last written, or an answer last came.
    pub last_used: Nanos,
    /// When bytes last came.
    pub last_received: Nanos,
    /// When the timer that closes it when idle is due.
    pub idle_timer_at: Nanos,
    /// When it must be up, or the frame that has begun to arrive must be complete.
    pub deadline: Option<Nanos>,
}

impl NodeConnection {
    /// Whether nothing waits to be answered or written.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.queued.is_empty() && self.tcp.output.is_empty()
    }

    /// Whether a call of parts of these ids can be sent here. The id of a part does not tell its attempts apart, so two
    /// of one part never share a connection.
    pub fn accepts(&self, part_ids: &[&str], max_calls: usize) -> bool {
        let is_new = |id: &&str| {
            !self.pending.contains_key(*id) && !self.cancelled.iter().any(|cancelled| cancelled == id)
        };
        !self.is_retired && self.attempts_by_call.len() < max_calls && part_ids.iter().all(is_new)
    }

    /// Removes the attempt that waits under a part's id.
    pub fn release(&mut self, part_id: &str) -> Option<PendingAttempt> {
        let attempt = self.pending.remove(part_id)?;
        if let Some(left) = self.attempts_by_call.get_mut(&attempt.call) {
            *left -= 1;
            if *left == 0 {
                self.attempts_by_call.remove(&attempt.call);
            }
        }
        Some(attempt)
    }
}

//! Parts of a multiget, and the attempts to have them answered.

use fernknot::interface::{AttemptNumber, Nanos, NodeId, ShardId};

/// Attempt to have a part answered by a node.
pub struct AttemptState {
    /// Node that the attempt is sent to.
    pub node: NodeId,
    /// Time at which the decision module decided on the attempt; the host may send it later.
    pub sent_at: Nanos,
    /// Time from which on the attempt counts as timed out.
    pub deadline: Nanos,
    /// Whether the end of the attempt has been reported.
    pub is_over: bool,
}

/// Phase that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The only phase of a multiget that is not a query in two phases.
    Plain,
    /// The first of two phases, in which blocks are asked which blocks hold matches.
    Match,
    /// The second of two phases, in which the blocks that hold matches are fetched.
    Fetch,
}

/// Part of a multiget: its query to one shard.
pub struct PartState {
    /// Shard that the part is sent to.
    pub shard: ShardId,
    /// Phase that the part belongs to.
    pub phase: Phase,
    /// Identifier of the part in messages to nodes.
    pub id: String,
    /// Value of the first answer; `None` without one, and for a part of a first phase.
    pub value: Option<String>,
    /// Attempt that returned the first answer; `None` if `value` is.
    pub answered_by: Option<AttemptNumber>,
    /// Attempts at this part, indexed by attempt number.
    pub attempts: Vec<AttemptState>,
}

impl PartState {
    /// Returns a part without attempts. Part ids are unique: a client's id contains no comma, so the id of a plain part
    /// never equals that of a part of two phases, and the letter distinguishes the phases.
    pub(crate) fn new(multiget_id: &str, shard: ShardId, phase: Phase) -> PartState {
        let suffix = match phase {
            Phase::Plain => "",
            Phase::Match => ",m",
            Phase::Fetch => ",f",
        };
        let id = format!("{multiget_id}{suffix}.{}", shard.0);
        PartState { shard, phase, id, value: None, answered_by: None, attempts: Vec::new() }
    }

    /// Records the value of an answer unless an earlier attempt answered the part.
    pub(crate) fn record_answer(&mut self, attempt: AttemptNumber, value: String) {
        if self.value.is_none() {
            (self.value, self.answered_by) = (Some(value), Some(attempt));
        }
    }
}

//! A part of a multiget, and the attempts to have it answered.

use fernknot::interface::{AttemptNumber, Nanos, NodeId, ShardId};

/// One attempt to have a part answered by a node.
pub struct AttemptState {
    /// The node.
    pub node: NodeId,
    /// When the attempt was decided on.
    pub sent: Nanos,
    /// When it is no longer waited for.
    pub stop_at: Nanos,
    /// Its end has been reported.
    pub is_over: bool,
}

/// The phase that a part belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The one phase of a plain multiget.
    Plain,
    /// The first of two phases.
    Match,
    /// The second of two phases.
    Fetch,
}

/// A part of a multiget.
pub struct PartState {
    /// The shard that is asked.
    pub shard: ShardId,
    /// The phase that it belongs to.
    pub phase: Phase,
    /// Its id in frames.
    pub id: String,
    /// The value of the first answer.
    pub value: Option<String>,
    /// The attempt that gave it.
    pub answered_by: Option<AttemptNumber>,
    /// Its attempts, by their numbers.
    pub attempts: Vec<AttemptState>,
}

impl PartState {
    /// Guards against ids that collide: a client's id has no comma, so the id of a plain part is never that of a part of
    /// a phase, and the letter distinguishes the phases.
    pub(crate) fn new(multiget_id: &str, shard: ShardId, of: Phase) -> PartState {
        let phase = match of {
            Phase::Plain => "",
            Phase::Match => ",m",
            Phase::Fetch => ",f",
        };
        let id = format!("{multiget_id}{phase}.{}", shard.0);
        PartState { shard, phase: of, id, value: None, answered_by: None, attempts: Vec::new() }
    }

    /// Takes a value, if it is the first.
    pub(crate) fn answer(&mut self, attempt: AttemptNumber, value: String) {
        if self.value.is_none() {
            (self.value, self.answered_by) = (Some(value), Some(attempt));
        }
    }
}

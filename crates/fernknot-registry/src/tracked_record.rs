//! Node record, with what the record itself does not keep when the node is lost.

use crate::node_record::{NodeRecord, NodeState};
use fernknot::interface::Nanos;

/// Node record, with the time at which the node went out of service.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRecord {
    record: NodeRecord,
    /// Whether the node announced that it drains. Stored apart from the state, so that a loss in between does not
    /// undo it.
    announced_draining: bool,
    /// Time since which the node is lost or gone; None while it is up.
    down_since: Option<Nanos>,
}

impl TrackedRecord {
    /// Starts to track a record.
    pub fn new(now: Nanos, record: NodeRecord) -> TrackedRecord {
        let announced_draining = record.state == NodeState::Draining;
        let down_since = (!record.is_up()).then_some(now);
        TrackedRecord { record, announced_draining, down_since }
    }

    /// Returns the merged record.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// Returns the time since which the node is lost or gone; None while it is up.
    pub fn down_since(&self) -> Option<Nanos> {
        self.down_since
    }

    /// Merges another record of the same incarnation. Returns whether something that gateways act on has changed.
    pub fn merge(&mut self, now: Nanos, other: &NodeRecord) -> bool {
        let old_state = self.record.state;
        let mut changed = self.record.merge(other);
        self.announced_draining |= other.state == NodeState::Draining;
        if self.announced_draining && self.record.state == NodeState::Ready {
            self.record.state = NodeState::Draining;
            changed |= old_state != NodeState::Draining;
        }
        self.down_since = if self.record.is_up() { None } else { self.down_since.or(Some(now)) };
        changed
    }

    /// Marks the node as lost: it sent no heartbeat for too long, or another incarnation uses its address.
    pub fn mark_lost(&mut self, now: Nanos) {
        self.record.state = NodeState::Lost;
        self.down_since = Some(now);
    }
}

//! The record of an incarnation with what has to outlast its losses.

use crate::node_record::{NodeRecord, NodeState};
use fernknot::interface::Nanos;

/// A node record, and when it went out of service.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRecord {
    record: NodeRecord,
    /// The node announced that it drains. Kept apart from the state, so that a loss in between does not undo it.
    announced_draining: bool,
    /// Since when it is lost or gone.
    out_since: Option<Nanos>,
}

impl TrackedRecord {
    /// A record that is tracked from now on.
    pub fn new(now: Nanos, record: NodeRecord) -> TrackedRecord {
        let announced_draining = record.state == NodeState::Draining;
        let out_since = (!record.is_up()).then_some(now);
        TrackedRecord { record, announced_draining, out_since }
    }

    /// The merged record.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// Since when it is lost or gone.
    pub fn out_since(&self) -> Option<Nanos> {
        self.out_since
    }

    /// Merges another record of the incarnation. Returns whether anything differs now that a gateway acts on.
    pub fn merge(&mut self, now: Nanos, other: &NodeRecord) -> bool {
        let old_state = self.record.state;
        let mut changed = self.record.merge(other);
        self.announced_draining |= other.state == NodeState::Draining;
        if self.announced_draining && self.record.state == NodeState::Ready {
            self.record.state = NodeState::Draining;
            changed |= old_state != NodeState::Draining;
        }
        self.out_since = if self.record.is_up() { None } else { self.out_since.or(Some(now)) };
        changed
    }

    /// The node sent no heartbeat for too long, or another incarnation uses its address.
    pub fn mark_lost(&mut self, now: Nanos) {
        self.record.state = NodeState::Lost;
        self.out_since = Some(now);
    }
}

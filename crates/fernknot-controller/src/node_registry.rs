//! Known nodes, and the updates that peers and subscribers have yet to be sent.

use fernknot::interface::Nanos;
use fernknot_registry::{
    CallOutcome, IncarnationHash, NodeRecord, NodeState, Registry, RegistryLimits, VersionedRecords,
    incarnation_hash,
};
use std::collections::BTreeSet;

/// Registry of nodes, with the progress of its replication to peers and subscribers.
pub struct NodeRegistry {
    registry: Registry,
    /// Version of the registry that was last sent to subscribers.
    published_version: u64,
    /// Whether a known node has changed, left or begun to leave since subscribers were last sent updates.
    has_departure: bool,
    /// Ids of the incarnations whose records the other controllers are to be sent: first changed at this controller,
    /// or leaving, that is draining or gone.
    unannounced: BTreeSet<String>,
}

impl NodeRegistry {
    /// Creates a registry without nodes. `heartbeat_interval` is the nominal interval between two heartbeats of a
    /// node.
    pub fn new(heartbeat_interval: Nanos) -> NodeRegistry {
        NodeRegistry {
            registry: Registry::new(heartbeat_interval, RegistryLimits::default()),
            published_version: 0,
            has_departure: false,
            unannounced: BTreeSet::new(),
        }
    }

    /// Records a heartbeat that a node sent to this controller.
    pub fn record_heartbeat(&mut self, now: Nanos, record: NodeRecord) -> CallOutcome {
        let (id, is_ready) = (record.id.clone(), record.is_ready());
        let outcome = self.registry.record_heartbeat(now, record);
        self.has_departure |= outcome == CallOutcome::Changed || outcome.is_update() && !is_ready;
        self.announce_update(id, outcome);
        outcome
    }

    /// Records a deregistration that a node sent to this controller.
    pub fn deregister(&mut self, now: Nanos, id: &str) -> CallOutcome {
        let outcome = self.registry.deregister(now, id);
        self.has_departure |= outcome.is_update();
        self.announce_update(id.to_string(), outcome);
        outcome
    }

    fn announce_update(&mut self, id: String, outcome: CallOutcome) {
        if outcome.is_update() {
            self.unannounced.insert(id);
        }
    }

    /// Schedules the record of a node to be sent to the other controllers, whether it changed here or not.
    pub fn announce(&mut self, id: String) {
        self.unannounced.insert(id);
    }

    /// Merges records that another controller sent. Returns the number of records that changed.
    ///
    /// Records of leaving nodes are forwarded once by each controller that learns of them, so that they also reach a
    /// third controller to which the sender is partitioned in one direction while nodes and gateways can reach both.
    pub fn merge_from_peer(&mut self, now: Nanos, records: &[NodeRecord]) -> usize {
        let before = self.registry.version();
        let changed = self.registry.merge_reported(now, records);
        let updates = self.registry.changes_since(before).map_or(Vec::new(), |changes| changes.records);
        self.has_departure |= updates.iter().any(|record| !record.is_ready());
        let is_leaving = |record: &&NodeRecord| matches!(record.state, NodeState::Draining | NodeState::Gone);
        self.unannounced.extend(updates.iter().filter(is_leaving).map(|record| record.id.clone()));
        changed
    }

    /// Records that another controller received heartbeats of these incarnations. Returns the unknown ones.
    pub fn record_peer_heartbeats(&mut self, now: Nanos, hashes: &[IncarnationHash]) -> Vec<IncarnationHash> {
        self.registry.record_peer_heartbeats(now, hashes)
    }

    /// Records of these incarnations, without the unknown ones.
    pub fn records_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        self.registry.records_of(hashes)
    }

    /// Takes the records to send to the other controllers; None if nothing has changed.
    pub fn take_announcement(&mut self) -> Option<Vec<NodeRecord>> {
        if self.unannounced.is_empty() {
            return None;
        }
        let ids = std::mem::take(&mut self.unannounced);
        let hashes: Vec<IncarnationHash> = ids.iter().map(|id| incarnation_hash(id)).collect();
        Some(self.registry.records_of(&hashes))
    }

    /// Whether records have changed since subscribers were last sent updates.
    pub fn has_unpublished(&self) -> bool {
        self.registry.version() != self.published_version
    }

    /// Whether a known node has changed, left or begun to leave since subscribers were last sent updates.
    pub fn has_departure(&self) -> bool {
        self.has_departure
    }

    /// Takes the records that changed since the last call, to be sent to subscribers; None if there are none.
    pub fn take_unpublished(&mut self) -> Option<Vec<NodeRecord>> {
        self.has_departure = false;
        if !self.has_unpublished() {
            return None;
        }
        let changes = self.registry.changes_since(self.published_version);
        let VersionedRecords { version, records } = changes.unwrap_or_else(|| self.registry.snapshot());
        self.published_version = version;
        (!records.is_empty()).then_some(records)
    }

    /// Takes the incarnations whose heartbeats this controller received since the last call.
    pub fn take_heartbeats(&mut self, now: Nanos) -> Vec<IncarnationHash> {
        self.registry.take_unreported(now)
    }

    /// Restarts the time without a heartbeat after which each node is lost, because heartbeats may have been missed
    /// up to now.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.registry.reset_liveness(now);
    }

    /// Marks nodes as lost that have sent no heartbeat to any known controller for 3.5 heartbeat intervals. Returns
    /// their number.
    pub fn expire(&mut self, now: Nanos) -> usize {
        let lost = self.registry.expire(now);
        self.has_departure |= lost > 0;
        lost
    }

    /// Number of nodes that are up: ready or draining.
    pub fn up_count(&self) -> usize {
        self.registry.up_count()
    }

    /// All records, with the version of the registry that they represent.
    pub fn snapshot(&self) -> VersionedRecords {
        self.registry.snapshot()
    }
}

//! The nodes that are known here, and which of their changes other processes have yet to be sent.

use fernknot::interface::Nanos;
use fernknot_registry::{
    CallOutcome, IncarnationHash, NodeRecord, NodeState, Registry, RegistryLimits, VersionedRecords,
    incarnation_hash,
};
use std::collections::BTreeSet;

/// The registry of nodes together with the progress of its replication to peers and subscribers.
pub struct NodeRegistry {
    registry: Registry,
    /// The version of the registry that subscribers have been sent.
    published_version: u64,
    /// Incarnations of which the other controllers are to be sent an update: they changed first here, or are leaving.
    unannounced: BTreeSet<String>,
}

impl NodeRegistry {
    /// Knows no node; `heartbeat_interval` is the usual interval between two heartbeats of one.
    pub fn new(heartbeat_interval: Nanos) -> NodeRegistry {
        NodeRegistry {
            registry: Registry::new(heartbeat_interval, RegistryLimits::default()),
            published_version: 0,
            unannounced: BTreeSet::new(),
        }
    }

    /// A node sent a heartbeat to this controller.
    pub fn record_heartbeat(&mut self, now: Nanos, record: NodeRecord) -> CallOutcome {
        let id = record.id.clone();
        let outcome = self.registry.record_heartbeat(now, record);
        self.announce_update(id, outcome);
        outcome
    }

    /// A node ended, and said so to this controller.
    pub fn deregister(&mut self, now: Nanos, id: &str) -> CallOutcome {
        let outcome = self.registry.deregister(now, id);
        self.announce_update(id.to_string(), outcome);
        outcome
    }

    fn announce_update(&mut self, id: String, outcome: CallOutcome) {
        if outcome.is_update() {
            self.unannounced.insert(id);
        }
    }

    /// Has the other controllers sent the record of a node, whether it changed here or not.
    pub fn announce(&mut self, id: String) {
        self.unannounced.insert(id);
    }

    /// Another controller sent records; returns how many changed something here.
    ///
    /// That a node leaves is passed on once by each controller that learns of it. This guards against a partition in
    /// one direction between the sender and a third controller, where nodes and gateways reach both.
    pub fn merge_from_peer(&mut self, now: Nanos, records: &[NodeRecord]) -> usize {
        let before = self.registry.version();
        let changed = self.registry.merge_reported(now, records);
        let updates = self.registry.changes_since(before).map_or(Vec::new(), |changes| changes.records);
        let is_leaving = |record: &&NodeRecord| matches!(record.state, NodeState::Draining | NodeState::Gone);
        self.unannounced.extend(updates.iter().filter(is_leaving).map(|record| record.id.clone()));
        changed
    }

    /// Another controller heard heartbeats of these incarnations. Returns those that are not known here.
    pub fn record_peer_heartbeats(&mut self, now: Nanos, hashes: &[IncarnationHash]) -> Vec<IncarnationHash> {
        self.registry.record_peer_heartbeats(now, hashes)
    }

    /// The records of those among these incarnations that are known here.
    pub fn records_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        self.registry.records_of(hashes)
    }

    /// Records that the other controllers are to be sent now. None where nothing has changed.
    pub fn take_announcement(&mut self) -> Option<Vec<NodeRecord>> {
        if self.unannounced.is_empty() {
            return None;
        }
        let ids = std::mem::take(&mut self.unannounced);
        let hashes: Vec<IncarnationHash> = ids.iter().map(|id| incarnation_hash(id)).collect();
        Some(self.registry.records_of(&hashes))
    }

    /// Records that changed since subscribers were last sent some. None where there are none.
    pub fn take_unpublished(&mut self) -> Option<Vec<NodeRecord>> {
        if self.registry.version() == self.published_version {
            return None;
        }
        let changes = self.registry.changes_since(self.published_version);
        let VersionedRecords { version, records } = changes.unwrap_or_else(|| self.registry.snapshot());
        self.published_version = version;
        (!records.is_empty()).then_some(records)
    }

    /// Incarnations whose heartbeats came here since this was last asked.
    pub fn take_heartbeats(&mut self, now: Nanos) -> Vec<IncarnationHash> {
        self.registry.take_unreported(now)
    }

    /// Missing heartbeats mean nothing up to now: every node gets a full span again.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.registry.reset_liveness(now);
    }

    /// Marks nodes as lost whose heartbeats have stopped; returns how many.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.registry.expire(now)
    }

    /// How many nodes are up.
    pub fn up_count(&self) -> usize {
        self.registry.up_count()
    }

    /// All records, with the version that they make up.
    pub fn snapshot(&self) -> VersionedRecords {
        self.registry.snapshot()
    }
}

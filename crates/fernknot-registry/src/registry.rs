//! A controller's registry of nodes: which incarnations are known, and which are lost because heartbeats are missing.

use crate::incarnation_table::{Incarnation, IncarnationTable};
use crate::node_record::{IncarnationHash, NodeRecord, NodeState, incarnation_hash};
use fernknot::interface::Nanos;

/// Time without a heartbeat after which an incarnation is lost, in heartbeat intervals.
const LOST_AFTER_HEARTBEAT_INTERVALS: f64 = 3.5;
/// Age of a heartbeat, in heartbeat intervals, below which an incarnation keeps its address and state despite
/// contrary reports of other processes.
const RECENT_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Maximum length of an incarnation's id, a service or a zone, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Limits of a [`Registry`].
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Maximum number of known incarnations, lost and gone ones included.
    pub max_incarnations: usize,
    /// Time for which a lost or gone incarnation is kept, so that processes that synchronise late still learn of its
    /// end.
    pub tombstone_retention: Nanos,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        RegistryLimits { max_incarnations: 50_000, tombstone_retention: Nanos(120_000_000_000) }
    }
}

/// Result of a node's heartbeat or deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The incarnation was unknown here, and is added.
    New,
    /// Something that gateways act on has changed: the state, service, address, zone, capacity or end of the warm-up.
    Changed,
    /// Call that changes nothing that gateways act on: a heartbeat of an incarnation that is up, or a deregistration of
    /// one that is gone.
    Unchanged,
    /// The heartbeat is older than the known record, repeats the last one of an incarnation that is lost since, or
    /// comes from one that is gone. It changes nothing.
    Stale,
    /// The registry is full, or a name is invalid: an empty id, the empty service of a heartbeat, or a name over 200
    /// bytes. The call changes nothing.
    Rejected,
}

impl CallOutcome {
    /// Whether gateways have to be notified.
    pub fn is_update(self) -> bool {
        matches!(self, CallOutcome::New | CallOutcome::Changed)
    }
}

/// Records of changed incarnations, and the version of the registry that they bring a reader to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecords {
    /// Version of the registry: the number of its newest change.
    pub version: u64,
    /// Records, oldest change first.
    pub records: Vec<NodeRecord>,
}

/// Nodes of all services, as described by their heartbeats: soft state, restored after a restart by heartbeats and
/// the other controllers.
///
/// Changes are numbered by a version that starts from 0 with the process. Time is passed as an argument and never
/// goes back.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Nanos,
    tombstone_retention: Nanos,
    incarnations: IncarnationTable,
    unreported: Vec<IncarnationHash>,
    now: Nanos,
}

impl Registry {
    /// Creates an empty registry. `heartbeat_interval` is the time between two heartbeats of a node.
    pub fn new(heartbeat_interval: Nanos, limits: RegistryLimits) -> Registry {
        let heartbeat_interval = Nanos(heartbeat_interval.0.max(1));
        Registry {
            heartbeat_interval,
            tombstone_retention: limits.tombstone_retention,
            incarnations: IncarnationTable::new(limits.max_incarnations.max(1), heartbeat_interval),
            unreported: Vec::new(),
            now: Nanos(0),
        }
    }

    /// Records a heartbeat that a node sent to this controller.
    pub fn record_heartbeat(&mut self, now: Nanos, record: NodeRecord) -> CallOutcome {
        self.advance_clock(now);
        if !has_valid_names(&record) || record.service.is_empty() {
            return CallOutcome::Rejected;
        }
        let id = record.id.clone();
        let outcome = self.apply_heartbeat(record);
        if !matches!(outcome, CallOutcome::Rejected | CallOutcome::Stale) {
            self.mark_heartbeat_received(&id);
            // Another incarnation at this address can no longer be up.
            self.incarnations.claim_address(self.now, &id);
        }
        outcome
    }

    /// Records that an incarnation is gone. An unknown one is recorded too, because another controller may report it
    /// later.
    pub fn deregister(&mut self, now: Nanos, id: &str) -> CallOutcome {
        self.advance_clock(now);
        let tombstone = NodeRecord::gone(id);
        if !has_valid_names(&tombstone) {
            return CallOutcome::Rejected;
        }
        match self.get(id).map(|record| record.state) {
            Some(NodeState::Gone) => CallOutcome::Unchanged,
            Some(_) => {
                self.incarnations.merge(self.now, id, &tombstone);
                CallOutcome::Changed
            }
            None if self.incarnations.ensure_capacity() => {
                self.incarnations.insert(self.now, tombstone);
                CallOutcome::New
            }
            None => CallOutcome::Rejected,
        }
    }

    /// Merges records that another controller or a gateway reported. Returns the number of incarnations that changed.
    pub fn merge_reported(&mut self, now: Nanos, records: &[NodeRecord]) -> usize {
        self.advance_clock(now);
        // Lost and gone incarnations first: they release addresses that later records in the same report may use.
        let (up, down): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            records.iter().partition(|record| record.is_up());
        let valid = down.into_iter().chain(up).filter(|record| has_valid_names(record));
        valid.filter(|record| self.merge_record(record)).count()
    }

    /// Records that another controller receives heartbeats of these incarnations, so that they do not expire here.
    /// Returns those that are unknown or marked as lost here, whose records are to be requested from it.
    #[must_use]
    pub fn record_peer_heartbeats(&mut self, now: Nanos, hashes: &[IncarnationHash]) -> Vec<IncarnationHash> {
        self.advance_clock(now);
        let mut unknown = Vec::new();
        for hash in hashes {
            match self.incarnations.by_hash_mut(*hash) {
                Some(incarnation) if incarnation.record().is_up() => incarnation.last_heartbeat_at = self.now,
                Some(incarnation) if incarnation.record().state == NodeState::Gone => {}
                _ => unknown.push(*hash),
            }
        }
        unknown
    }

    /// Takes the incarnations whose heartbeats were received here since the last call, to be reported to the other
    /// controllers.
    #[must_use]
    pub fn take_unreported(&mut self, now: Nanos) -> Vec<IncarnationHash> {
        self.advance_clock(now);
        let unreported = std::mem::take(&mut self.unreported);
        for hash in &unreported {
            if let Some(incarnation) = self.incarnations.by_hash_mut(*hash) {
                incarnation.unreported = false;
            }
        }
        unreported
    }

    /// Returns the records of these incarnations, without the unknown ones.
    pub fn records_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        let known = hashes.iter().filter_map(|hash| self.incarnations.by_hash(*hash));
        known.map(|incarnation| incarnation.current_record(self.now)).collect()
    }

    /// Restarts, for every incarnation, the time without a heartbeat after which it is lost. To be called after a
    /// jump of the clock, and while the other controllers are unreachable, because missing heartbeats are then no
    /// evidence of a loss.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.advance_clock(now);
        for incarnation in self.incarnations.values_mut() {
            incarnation.last_heartbeat_at = self.now;
        }
    }

    /// Marks incarnations without a heartbeat for 3.5 heartbeat intervals as lost, and removes those whose tombstone
    /// retention has passed. Returns the number of incarnations marked as lost.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.advance_clock(now);
        let timeout = self.heartbeat_interval.times(LOST_AFTER_HEARTBEAT_INTERVALS);
        let lost = self.incarnations.ids_where(|incarnation| {
            incarnation.record().is_up() && self.now - incarnation.last_heartbeat_at > timeout
        });
        lost.iter().for_each(|id| self.incarnations.mark_lost(self.now, id));
        let retention = self.tombstone_retention;
        let expired = self.incarnations.ids_where(|incarnation| {
            incarnation.down_since().is_some_and(|since| self.now - since > retention)
        });
        expired.iter().for_each(|id| self.incarnations.remove(id));
        lost.len()
    }

    /// Version of the newest change; increases by one with each change, from 0 at the start of the process.
    pub fn version(&self) -> u64 {
        self.incarnations.changes().version()
    }

    /// Returns the incarnations that changed since a version. `None` if some of the changes are no longer kept, or
    /// the version is not one of this process; use [`Self::snapshot`] then.
    pub fn changes_since(&self, version: u64) -> Option<VersionedRecords> {
        let changed = self.incarnations.changes().since(version)?;
        Some(VersionedRecords { version: self.version(), records: self.current_records(changed) })
    }

    /// Returns the records of all known incarnations, lost and gone ones included.
    pub fn snapshot(&self) -> VersionedRecords {
        let records = self.current_records(self.incarnations.changes().all());
        VersionedRecords { version: self.version(), records }
    }

    /// Returns the record of an incarnation by its id.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.incarnations.get(id).map(Incarnation::record)
    }

    /// Number of known incarnations, lost and gone ones included.
    pub fn len(&self) -> usize {
        self.incarnations.len()
    }

    /// Whether no incarnation is known, as after a start.
    pub fn is_empty(&self) -> bool {
        self.incarnations.len() == 0
    }

    /// Number of incarnations that are ready or draining.
    pub fn up_count(&self) -> usize {
        self.incarnations.values().filter(|incarnation| incarnation.record().is_up()).count()
    }

    fn advance_clock(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn apply_heartbeat(&mut self, record: NodeRecord) -> CallOutcome {
        let Some(known) = self.get(&record.id) else {
            if !self.incarnations.ensure_capacity() {
                return CallOutcome::Rejected;
            }
            self.incarnations.insert(self.now, record);
            return CallOutcome::New;
        };
        let is_repeated = record.sequence == known.sequence;
        let is_stale = known.state == NodeState::Gone
            || record.sequence < known.sequence
            || (is_repeated && known.state == NodeState::Lost);
        if is_stale {
            CallOutcome::Stale
        } else if self.incarnations.merge(self.now, &record.id, &record) {
            CallOutcome::Changed
        } else {
            CallOutcome::Unchanged
        }
    }

    fn mark_heartbeat_received(&mut self, id: &str) {
        let Some(incarnation) = self.incarnations.get_mut(id) else { return };
        incarnation.last_heartbeat_at = self.now;
        if !incarnation.unreported {
            incarnation.unreported = true;
            self.unreported.push(incarnation_hash(id));
        }
    }

    /// Merges a reported record. Returns whether something has changed.
    fn merge_record(&mut self, record: &NodeRecord) -> bool {
        if record.is_up() && self.is_address_in_use(record) {
            return false;
        }
        let Some(known) = self.incarnations.get(&record.id) else {
            if !self.incarnations.ensure_capacity() {
                return false;
            }
            self.incarnations.insert(self.now, record.clone());
            self.incarnations.claim_address(self.now, &record.id);
            return true;
        };
        let (known_sequence, known_state) = (known.record().sequence, known.record().state);
        let reports_loss = record.state == NodeState::Lost && record.sequence <= known_sequence;
        if reports_loss && known.record().is_up() && self.has_recent_heartbeat(known) {
            // The reporter was partitioned from the controllers that receive the heartbeats: send it the record
            // again.
            self.incarnations.assign_version(&record.id);
            return false;
        }
        let changed = self.incarnations.merge(self.now, &record.id, record);
        // Only a newer heartbeat shows that a node is up; otherwise two controllers would keep a dead node alive by
        // reporting it to each other.
        if record.sequence > known_sequence
            && record.is_up()
            && let Some(incarnation) = self.incarnations.get_mut(&record.id)
        {
            incarnation.last_heartbeat_at = self.now;
        }
        // The reporter's record is outdated: send it the current one again.
        if !changed && known_state != record.state && record.sequence <= known_sequence {
            self.incarnations.assign_version(&record.id);
        }
        if changed {
            self.incarnations.claim_address(self.now, &record.id);
        }
        changed
    }

    fn current_records<'a>(&self, ids: impl Iterator<Item = &'a str>) -> Vec<NodeRecord> {
        let known = ids.filter_map(|id| self.incarnations.get(id));
        known.map(|incarnation| incarnation.current_record(self.now)).collect()
    }

    /// Whether the last heartbeat is less than 1.5 heartbeat intervals old, so that contrary reports of other
    /// processes are ignored.
    fn has_recent_heartbeat(&self, incarnation: &Incarnation) -> bool {
        self.now - incarnation.last_heartbeat_at < self.heartbeat_interval.times(RECENT_HEARTBEAT_INTERVALS)
    }

    fn is_address_in_use(&self, record: &NodeRecord) -> bool {
        let incarnation = self.incarnations.incarnation_at(record.addr);
        incarnation.is_some_and(|incarnation| {
            incarnation.record().id != record.id && self.has_recent_heartbeat(incarnation)
        })
    }
}

fn has_valid_names(record: &NodeRecord) -> bool {
    let is_short = |name: &str| name.len() <= MAX_NAME_BYTES;
    !record.id.is_empty() && is_short(&record.id) && is_short(&record.service) && is_short(&record.zone)
}

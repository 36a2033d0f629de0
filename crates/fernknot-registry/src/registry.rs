//! A controller's registry of nodes.

use crate::incarnation_table::{Incarnation, IncarnationTable};
use crate::node_record::{IncarnationHash, NodeRecord, NodeState, incarnation_hash};
use fernknot::interface::Nanos;

/// An incarnation without a heartbeat for this many heartbeat intervals is lost.
const HEARTBEATS_UNTIL_LOST: f64 = 3.5;
/// An incarnation heard of within this many heartbeat intervals keeps its address, and its state, against what other
/// processes report.
const HEARTBEATS_TRUSTED: f64 = 1.5;
/// Longest name of an incarnation, a service or a zone.
const MAX_NAME_BYTES: usize = 200;

/// Limits of a [`Registry`].
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Incarnations known at once, lost and gone ones included.
    pub max_incarnations: usize,
    /// How long a lost or gone incarnation is remembered, so that processes that ask late learn of its end.
    pub tombstone_retention: Nanos,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        RegistryLimits { max_incarnations: 50_000, tombstone_retention: Nanos(120_000_000_000) }
    }
}

/// The result of a node's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The first call of this incarnation.
    New,
    /// Something that gateways act on differs now.
    Changed,
    /// The node is up, and nothing that gateways act on differs.
    Unchanged,
    /// Older than what is known, or of an incarnation that is out; changes nothing.
    Stale,
    /// Names too long, or no room: the incarnation is not known after this call.
    Rejected,
}

impl CallOutcome {
    /// Whether gateways have to be notified.
    pub fn is_update(self) -> bool {
        matches!(self, CallOutcome::New | CallOutcome::Changed)
    }
}

/// Records with the version of the registry that they lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecords {
    /// The version of the newest change.
    pub version: u64,
    /// The records, oldest change first.
    pub records: Vec<NodeRecord>,
}

/// The nodes of all services as their heartbeats describe them: soft state, refilled by heartbeats and by the other
/// controllers after a restart.
///
/// Changes are numbered by a version that starts from 0 with the process. Time is an argument and never goes back.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Nanos,
    tombstone_retention: Nanos,
    incarnations: IncarnationTable,
    unreported: Vec<IncarnationHash>,
    now: Nanos,
}

impl Registry {
    /// Knows no node yet. `heartbeat_interval` is the time between two heartbeats of a node.
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

    /// A node's heartbeat came to this controller.
    pub fn record_heartbeat(&mut self, now: Nanos, record: NodeRecord) -> CallOutcome {
        self.advance_clock(now);
        if !has_valid_names(&record) || record.service.is_empty() {
            return CallOutcome::Rejected;
        }
        let id = record.id.clone();
        let outcome = self.apply_heartbeat(record);
        if !matches!(outcome, CallOutcome::Rejected | CallOutcome::Stale) {
            self.mark_heard(&id);
            // Another incarnation at this address can't be up.
            self.incarnations.claim_address(self.now, &id);
        }
        outcome
    }

    /// A node deregistered. Remembered also where the incarnation was unknown here: another controller may report it
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
            None if self.incarnations.make_room() => {
                self.incarnations.insert(self.now, tombstone);
                CallOutcome::New
            }
            None => CallOutcome::Rejected,
        }
    }

    /// Another controller, or a gateway, reported what it knows. Returns how many incarnations differ now.
    pub fn merge_reported(&mut self, now: Nanos, records: &[NodeRecord]) -> usize {
        self.advance_clock(now);
        // Ended incarnations first: their addresses are free for those that follow in the same report.
        let (up, out): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            records.iter().partition(|record| record.is_up());
        let valid = out.into_iter().chain(up).filter(|record| has_valid_names(record));
        valid.filter(|record| self.merge_one(record)).count()
    }

    /// Another controller receives heartbeats of these incarnations: they don't expire here. Returns those that are
    /// unknown here or taken for lost, whose records are to be requested from it.
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

    /// Takes the incarnations whose heartbeats came here since the last call, to be reported to the other controllers.
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

    /// The records of these incarnations, as far as they are known.
    pub fn records_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        let known = hashes.iter().filter_map(|hash| self.incarnations.by_hash(*hash));
        known.map(|incarnation| incarnation.current_record(self.now)).collect()
    }

    /// This process was stalled or partitioned: missing heartbeats prove nothing. Every incarnation counts as heard of
    /// now. To be called after a jump of the clock, and as long as the other controllers are out of reach.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.advance_clock(now);
        for incarnation in self.incarnations.values_mut() {
            incarnation.last_heartbeat_at = self.now;
        }
    }

    /// Marks incarnations without heartbeats as lost, and forgets those whose tombstone retention is over. Returns how
    /// many were lost.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.advance_clock(now);
        let timeout = self.heartbeat_interval.times(HEARTBEATS_UNTIL_LOST);
        let lost = self.incarnations.ids_where(|incarnation| {
            incarnation.record().is_up() && self.now - incarnation.last_heartbeat_at > timeout
        });
        lost.iter().for_each(|id| self.incarnations.mark_lost(self.now, id));
        let retention = self.tombstone_retention;
        let expired = self.incarnations.ids_where(|incarnation| {
            incarnation.out_since().is_some_and(|since| self.now - since > retention)
        });
        expired.iter().for_each(|id| self.incarnations.forget(id));
        lost.len()
    }

    /// The version of the newest change; rises by one with each change, from 0 after a start of this process.
    pub fn version(&self) -> u64 {
        self.incarnations.changes().version()
    }

    /// The incarnations that differ since a version. `None` where some of the changes are no longer remembered, or the
    /// version is not one of this process: take a [`Self::snapshot`].
    pub fn changes_since(&self, version: u64) -> Option<VersionedRecords> {
        let changed = self.incarnations.changes().since(version)?;
        Some(VersionedRecords { version: self.version(), records: self.current_records(changed) })
    }

    /// All remembered incarnations.
    pub fn snapshot(&self) -> VersionedRecords {
        let records = self.current_records(self.incarnations.changes().all());
        VersionedRecords { version: self.version(), records }
    }

    /// The record of an incarnation by its id.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.incarnations.get(id).map(Incarnation::record)
    }

    /// The number of remembered incarnations, lost and gone ones included.
    pub fn len(&self) -> usize {
        self.incarnations.len()
    }

    /// Whether nothing is known, as after a start.
    pub fn is_empty(&self) -> bool {
        self.incarnations.len() == 0
    }

    /// The number of incarnations that are ready or draining.
    pub fn up_count(&self) -> usize {
        self.incarnations.values().filter(|incarnation| incarnation.record().is_up()).count()
    }

    fn advance_clock(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn apply_heartbeat(&mut self, record: NodeRecord) -> CallOutcome {
        let Some(known) = self.get(&record.id) else {
            if !self.incarnations.make_room() {
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

    fn mark_heard(&mut self, id: &str) {
        let Some(incarnation) = self.incarnations.get_mut(id) else { return };
        incarnation.last_heartbeat_at = self.now;
        if !incarnation.unreported {
            incarnation.unreported = true;
            self.unreported.push(incarnation_hash(id));
        }
    }

    /// Merges a reported record. Returns whether something differs now.
    fn merge_one(&mut self, record: &NodeRecord) -> bool {
        if record.is_up() && self.is_address_in_use(record) {
            return false;
        }
        let Some(known) = self.incarnations.get(&record.id) else {
            if !self.incarnations.make_room() {
                return false;
            }
            self.incarnations.insert(self.now, record.clone());
            self.incarnations.claim_address(self.now, &record.id);
            return true;
        };
        let (known_sequence, known_state) = (known.record().sequence, known.record().state);
        let reports_loss = record.state == NodeState::Lost && record.sequence <= known_sequence;
        if reports_loss && known.record().is_up() && self.is_trusted(known) {
            // The reporter lost it while it was partitioned from where the heartbeats go: notify it once more.
            self.incarnations.assign_version(&record.id);
            return false;
        }
        let changed = self.incarnations.merge(self.now, &record.id, record);
        // Only a heartbeat not known here proves that a node is up: otherwise two controllers would keep a dead node
        // alive between them.
        if record.sequence > known_sequence
            && record.is_up()
            && let Some(incarnation) = self.incarnations.get_mut(&record.id)
        {
            incarnation.last_heartbeat_at = self.now;
        }
        // The reporter knows less: notify it once more.
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

    /// Heard of so recently that other processes' reports don't count against it.
    fn is_trusted(&self, incarnation: &Incarnation) -> bool {
        self.now - incarnation.last_heartbeat_at < self.heartbeat_interval.times(HEARTBEATS_TRUSTED)
    }

    fn is_address_in_use(&self, record: &NodeRecord) -> bool {
        let user = self.incarnations.user_of(record.addr);
        user.is_some_and(|user| user.record().id != record.id && self.is_trusted(user))
    }
}

fn has_valid_names(record: &NodeRecord) -> bool {
    let is_short = |name: &str| name.len() <= MAX_NAME_BYTES;
    !record.id.is_empty() && is_short(&record.id) && is_short(&record.service) && is_short(&record.zone)
}

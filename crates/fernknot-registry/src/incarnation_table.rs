//! Incarnations known to a registry, with indexes kept consistent with them.

use crate::address_index::AddressIndex;
use crate::change_log::ChangeLog;
use crate::node_record::{IncarnationHash, NodeRecord, incarnation_hash};
use crate::tracked_record::TrackedRecord;
use fernknot::interface::Nanos;
use std::collections::HashMap;
use std::net::SocketAddrV4;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// Incarnation of a node that the registry knows, with the times that decide whether it is lost.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    tracked: TrackedRecord,
    /// Time of the last heartbeat, received here or reported by another controller.
    pub last_heartbeat_at: Nanos,
    /// Whether a heartbeat was received here since the last report to the other controllers.
    pub unreported: bool,
    /// Version, in the change log, of the last change of this incarnation.
    version: u64,
    warm_up_until: Nanos,
}

impl Incarnation {
    /// Record that results from all merged ones; its warm-up time is as of when it was received.
    pub fn record(&self) -> &NodeRecord {
        self.tracked.record()
    }

    /// Time since which the incarnation is lost or gone; None while it is up.
    pub fn down_since(&self) -> Option<Nanos> {
        self.tracked.down_since()
    }

    /// Returns the record with the remaining warm-up time at `now`.
    pub fn current_record(&self, now: Nanos) -> NodeRecord {
        let warm_up_left_ms = (self.warm_up_until - now).0 / NANOS_PER_MILLISECOND;
        NodeRecord { warm_up_left_ms, ..self.record().clone() }
    }
}

/// Known incarnations, indexed by id, hash, address and last change.
#[derive(Clone, Debug)]
pub(crate) struct IncarnationTable {
    max_incarnations: usize,
    /// Maximum difference between two ends of a warm-up that are considered equal.
    warm_up_tolerance: Nanos,
    by_id: HashMap<String, Incarnation>,
    id_by_hash: HashMap<IncarnationHash, String>,
    addresses: AddressIndex,
    changes: ChangeLog,
}

impl IncarnationTable {
    /// Creates an empty table.
    pub fn new(max_incarnations: usize, warm_up_tolerance: Nanos) -> IncarnationTable {
        IncarnationTable {
            max_incarnations,
            warm_up_tolerance,
            by_id: HashMap::new(),
            id_by_hash: HashMap::new(),
            addresses: AddressIndex::default(),
            changes: ChangeLog::default(),
        }
    }

    /// Returns an incarnation by its id.
    pub fn get(&self, id: &str) -> Option<&Incarnation> {
        self.by_id.get(id)
    }

    /// Returns a mutable reference to an incarnation by its id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Incarnation> {
        self.by_id.get_mut(id)
    }

    /// Returns an incarnation by the hash of its id.
    pub fn by_hash(&self, hash: IncarnationHash) -> Option<&Incarnation> {
        self.id_by_hash.get(&hash).and_then(|id| self.by_id.get(id))
    }

    /// Returns a mutable reference to an incarnation by the hash of its id.
    pub fn by_hash_mut(&mut self, hash: IncarnationHash) -> Option<&mut Incarnation> {
        self.id_by_hash.get(&hash).and_then(|id| self.by_id.get_mut(id))
    }

    /// Returns the incarnation that uses an address.
    pub fn incarnation_at(&self, addr: SocketAddrV4) -> Option<&Incarnation> {
        self.addresses.incarnation_at(addr).and_then(|id| self.by_id.get(id))
    }

    /// Number of incarnations.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All incarnations, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &Incarnation> {
        self.by_id.values()
    }

    /// All incarnations, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Incarnation> {
        self.by_id.values_mut()
    }

    /// Log of the incarnations' last changes.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// Returns the sorted ids of the matching incarnations. Sorted because changes are numbered in this order, and
    /// the iteration order of a hash map differs between processes.
    pub fn ids_where(&self, is_wanted: impl Fn(&Incarnation) -> bool) -> Vec<String> {
        let wanted = self.by_id.iter().filter(|(_, incarnation)| is_wanted(incarnation));
        let mut ids: Vec<String> = wanted.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds an unknown incarnation.
    pub fn insert(&mut self, now: Nanos, record: NodeRecord) {
        let id = record.id.clone();
        self.id_by_hash.insert(incarnation_hash(&id), id.clone());
        let incarnation = Incarnation {
            last_heartbeat_at: now,
            unreported: false,
            version: 0,
            warm_up_until: warm_up_until(now, &record),
            tracked: TrackedRecord::new(now, record),
        };
        self.by_id.insert(id.clone(), incarnation);
        self.assign_version(&id);
    }

    /// Merges a record into a known incarnation, and assigns a new version if it changes. Returns whether it does.
    pub fn merge(&mut self, now: Nanos, id: &str, record: &NodeRecord) -> bool {
        let Some(incarnation) = self.by_id.get_mut(id) else { return false };
        let (old_addr, old_sequence) = (incarnation.record().addr, incarnation.record().sequence);
        let mut changed = incarnation.tracked.merge(now, record);
        if record.sequence > old_sequence {
            let (old, new) = (incarnation.warm_up_until, warm_up_until(now, record));
            let difference = (new - old).max(old - new);
            // The remaining warm-up decreases with time; only a different end is a change.
            changed |= new.max(old) > now && difference > self.warm_up_tolerance;
            incarnation.warm_up_until = new;
        }
        if !incarnation.record().is_up() || incarnation.record().addr != old_addr {
            self.addresses.release(old_addr, id);
        }
        if changed {
            self.assign_version(id);
        }
        changed
    }

    /// Assigns the next version to an incarnation, so that it counts as changed for the readers of the change log.
    pub fn assign_version(&mut self, id: &str) {
        if let Some(incarnation) = self.by_id.get_mut(id) {
            incarnation.version = self.changes.record(incarnation.version, id);
        }
    }

    /// Assigns an incarnation that is up its address; another incarnation at that address is marked as lost.
    pub fn claim_address(&mut self, now: Nanos, id: &str) {
        let up = self.by_id.get(id).map(Incarnation::record).filter(|record| record.is_up());
        let Some(addr) = up.map(|record| record.addr) else { return };
        if let Some(previous) = self.addresses.claim(addr, id) {
            self.mark_lost(now, &previous);
        }
    }

    /// Marks an incarnation as lost if it is up.
    pub fn mark_lost(&mut self, now: Nanos, id: &str) {
        let known = self.by_id.get_mut(id);
        let Some(incarnation) = known.filter(|incarnation| incarnation.record().is_up()) else { return };
        incarnation.tracked.mark_lost(now);
        self.addresses.release(incarnation.record().addr, id);
        self.assign_version(id);
    }

    /// Removes an incarnation from the table and all indexes.
    pub fn remove(&mut self, id: &str) {
        let Some(incarnation) = self.by_id.remove(id) else { return };
        self.changes.remove(incarnation.version);
        self.id_by_hash.remove(&incarnation_hash(id));
        self.addresses.release(incarnation.record().addr, id);
    }

    /// Ensures capacity for one more incarnation by removing the one that has been down for the longest time, never
    /// one that is up. Returns whether there is capacity.
    #[must_use]
    pub fn ensure_capacity(&mut self) -> bool {
        if self.by_id.len() < self.max_incarnations {
            return true;
        }
        let down = self
            .by_id
            .iter()
            .filter_map(|(id, incarnation)| incarnation.down_since().map(|since| (since, id)));
        let Some(oldest) = down.min().map(|(_, id)| id.clone()) else { return false };
        self.remove(&oldest);
        true
    }
}

fn warm_up_until(now: Nanos, record: &NodeRecord) -> Nanos {
    now + Nanos(record.warm_up_left_ms.saturating_mul(NANOS_PER_MILLISECOND))
}

//! The incarnations that a registry knows, with the indexes that have to agree with them.

use crate::address_index::AddressIndex;
use crate::change_log::ChangeLog;
use crate::node_record::{IncarnationHash, NodeRecord, incarnation_hash};
use crate::tracked_record::TrackedRecord;
use fernknot::interface::Nanos;
use std::collections::HashMap;
use std::net::SocketAddrV4;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// One incarnation of a node.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    tracked: TrackedRecord,
    /// When its last heartbeat came here, or was reported to have come to another controller.
    pub last_heartbeat_at: Nanos,
    /// A heartbeat came here since the other controllers were last notified.
    pub unreported: bool,
    /// The version of its last change.
    version: u64,
    warm_up_until: Nanos,
}

impl Incarnation {
    /// The record as it was last merged.
    pub fn record(&self) -> &NodeRecord {
        self.tracked.record()
    }

    /// Since when it is lost or gone.
    pub fn out_since(&self) -> Option<Nanos> {
        self.tracked.out_since()
    }

    /// The record with the warm-up that is left now.
    pub fn current_record(&self, now: Nanos) -> NodeRecord {
        let warm_up_left_ms = (self.warm_up_until - now).0 / NANOS_PER_MILLISECOND;
        NodeRecord { warm_up_left_ms, ..self.record().clone() }
    }
}

/// The known incarnations by id, hash, address and last change.
#[derive(Clone, Debug)]
pub(crate) struct IncarnationTable {
    max_incarnations: usize,
    /// Two ends of a warm-up at most this far apart are the same.
    warm_up_tolerance: Nanos,
    by_id: HashMap<String, Incarnation>,
    id_by_hash: HashMap<IncarnationHash, String>,
    addresses: AddressIndex,
    changes: ChangeLog,
}

impl IncarnationTable {
    /// Without incarnations yet.
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

    /// An incarnation by its id.
    pub fn get(&self, id: &str) -> Option<&Incarnation> {
        self.by_id.get(id)
    }

    /// An incarnation by its id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Incarnation> {
        self.by_id.get_mut(id)
    }

    /// An incarnation by its id's hash.
    pub fn by_hash(&self, hash: IncarnationHash) -> Option<&Incarnation> {
        self.id_by_hash.get(&hash).and_then(|id| self.by_id.get(id))
    }

    /// An incarnation by its id's hash.
    pub fn by_hash_mut(&mut self, hash: IncarnationHash) -> Option<&mut Incarnation> {
        self.id_by_hash.get(&hash).and_then(|id| self.by_id.get_mut(id))
    }

    /// The incarnation that uses an address.
    pub fn user_of(&self, addr: SocketAddrV4) -> Option<&Incarnation> {
        self.addresses.user_of(addr).and_then(|id| self.by_id.get(id))
    }

    /// The number of incarnations.
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

    /// The order of the incarnations' last changes.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// The ids of the incarnations for which this holds, sorted: the order in which a hash map is walked differs from
    /// process to process, and changes are numbered in this order.
    pub fn ids_where(&self, is_wanted: impl Fn(&Incarnation) -> bool) -> Vec<String> {
        let wanted = self.by_id.iter().filter(|(_, incarnation)| is_wanted(incarnation));
        let mut ids: Vec<String> = wanted.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds an incarnation that is unknown until now.
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

    /// Merges a record into a known incarnation, and numbers the change if there is one. Returns whether there is.
    pub fn merge(&mut self, now: Nanos, id: &str, record: &NodeRecord) -> bool {
        let Some(incarnation) = self.by_id.get_mut(id) else { return false };
        let (old_addr, old_sequence) = (incarnation.record().addr, incarnation.record().sequence);
        let mut changed = incarnation.tracked.merge(now, record);
        if record.sequence > old_sequence {
            let (old, new) = (incarnation.warm_up_until, warm_up_until(now, record));
            let difference = (new - old).max(old - new);
            // The warm-up left falls with the clock: only a node that says otherwise has changed.
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

    /// Numbers a change of an incarnation, so that it is among the next changes.
    pub fn assign_version(&mut self, id: &str) {
        if let Some(incarnation) = self.by_id.get_mut(id) {
            incarnation.version = self.changes.record(incarnation.version, id);
        }
    }

    /// Gives an incarnation that is up its address; another one there is lost.
    pub fn claim_address(&mut self, now: Nanos, id: &str) {
        let up = self.by_id.get(id).map(Incarnation::record).filter(|record| record.is_up());
        let Some(addr) = up.map(|record| record.addr) else { return };
        if let Some(previous) = self.addresses.claim(addr, id) {
            self.mark_lost(now, &previous);
        }
    }

    /// Marks an incarnation that is up as lost.
    pub fn mark_lost(&mut self, now: Nanos, id: &str) {
        let known = self.by_id.get_mut(id);
        let Some(incarnation) = known.filter(|incarnation| incarnation.record().is_up()) else { return };
        incarnation.tracked.mark_lost(now);
        self.addresses.release(incarnation.record().addr, id);
        self.assign_version(id);
    }

    /// Removes an incarnation from the table and all indexes.
    pub fn forget(&mut self, id: &str) {
        let Some(incarnation) = self.by_id.remove(id) else { return };
        self.changes.forget(incarnation.version);
        self.id_by_hash.remove(&incarnation_hash(id));
        self.addresses.release(incarnation.record().addr, id);
    }

    /// Makes room for one more incarnation: the one that has been out for longest is forgotten, none that is up.
    /// Returns whether there is room.
    #[must_use]
    pub fn make_room(&mut self) -> bool {
        if self.by_id.len() < self.max_incarnations {
            return true;
        }
        let out = self
            .by_id
            .iter()
            .filter_map(|(id, incarnation)| incarnation.out_since().map(|since| (since, id)));
        let Some(oldest) = out.min().map(|(_, id)| id.clone()) else { return false };
        self.forget(&oldest);
        true
    }
}

fn warm_up_until(now: Nanos, record: &NodeRecord) -> Nanos {
    now + Nanos(record.warm_up_left_ms.saturating_mul(NANOS_PER_MILLISECOND))
}

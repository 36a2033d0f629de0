//! A gateway's directory of nodes, as reported by its sources.

use crate::address_index::AddressIndex;
use crate::node_record::{NodeRecord, NodeState};
use crate::tracked_record::TrackedRecord;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// Time of healthy sources for which they must omit an incarnation before it is removed, in heartbeat intervals of a
/// node.
const REMOVED_AFTER_HEARTBEAT_INTERVALS: f64 = 10.0;
/// Longest gap between two heartbeats of any sources that still counts as time of healthy sources, in heartbeat
/// intervals of a node.
const MAX_SOURCE_GAP_HEARTBEAT_INTERVALS: f64 = 3.0;

/// Limits of a [`NodeDirectory`].
#[derive(Clone, Copy, Debug)]
pub struct NodeDirectoryLimits {
    /// Maximum number of known incarnations, lost and gone ones included.
    pub max_incarnations: usize,
    /// Time for which a lost or gone incarnation is kept, so that an outdated source does not restore it.
    pub tombstone_retention: Nanos,
}

impl Default for NodeDirectoryLimits {
    fn default() -> Self {
        NodeDirectoryLimits { max_incarnations: 50_000, tombstone_retention: Nanos(120_000_000_000) }
    }
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    tracked: TrackedRecord,
    /// Number of the last update that contained the incarnation.
    last_update: u64,
    /// [`SourceUptime::total`] when a complete snapshot first omitted the incarnation; None while it is listed.
    missing_since: Option<Nanos>,
}

impl DirectoryEntry {
    fn record(&self) -> &NodeRecord {
        self.tracked.record()
    }
}

/// Total time of healthy sources: the gaps between their heartbeats, without those that were too long.
#[derive(Clone, Debug, Default)]
struct SourceUptime {
    total: Nanos,
    last_heartbeat_at: Option<Nanos>,
}

impl SourceUptime {
    fn record_heartbeat(&mut self, now: Nanos, max_gap: Nanos) {
        let gap = now - self.last_heartbeat_at.unwrap_or(now);
        if gap <= max_gap {
            self.total = self.total + gap;
        }
        self.last_heartbeat_at = Some(now);
    }
}

/// Nodes by service, as reported by sources. Once an incarnation is known to drain or to be gone, no later record
/// makes it ready again.
///
/// Time is passed as an argument and never goes back.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    heartbeat_interval: Nanos,
    limits: NodeDirectoryLimits,
    entries: HashMap<String, DirectoryEntry>,
    ids_by_service: BTreeMap<String, BTreeSet<String>>,
    addresses: AddressIndex,
    changed_services: BTreeSet<String>,
    /// Number of updates applied so far.
    update_count: u64,
    source_uptime: SourceUptime,
    now: Nanos,
}

impl NodeDirectory {
    /// Creates an empty directory. `heartbeat_interval` is the time between two heartbeats of a node.
    pub fn new(heartbeat_interval: Nanos, limits: NodeDirectoryLimits) -> NodeDirectory {
        NodeDirectory {
            heartbeat_interval: Nanos(heartbeat_interval.0.max(1)),
            limits: NodeDirectoryLimits { max_incarnations: limits.max_incarnations.max(1), ..limits },
            entries: HashMap::new(),
            ids_by_service: BTreeMap::new(),
            addresses: AddressIndex::default(),
            changed_services: BTreeSet::new(),
            update_count: 0,
            source_uptime: SourceUptime::default(),
            now: Nanos(0),
        }
    }

    /// Applies changes received from a source.
    pub fn apply_updates(&mut self, now: Nanos, records: &[NodeRecord]) {
        self.advance_clock(now);
        self.update_count += 1;
        // Lost and gone incarnations first: they release addresses that later records in the same update may use.
        let (up, down): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            records.iter().partition(|record| record.is_up());
        for record in down.into_iter().chain(up) {
            self.apply_record(record);
        }
    }

    /// Returns a mark for the start of a source's complete snapshot: the number of updates applied so far, to be
    /// passed to [`Self::finish_snapshot`].
    #[must_use]
    pub fn begin_snapshot(&self) -> u64 {
        self.update_count
    }

    /// Completes a snapshot in which a source has sent, since the mark `start_mark`, all nodes of `services`, or of
    /// all services if None. Nodes of these services that no source has listed since the mark are kept for now,
    /// because a controller that has just restarted knows few nodes. They are removed only after healthy sources have
    /// omitted them for ten heartbeat intervals.
    pub fn finish_snapshot(&mut self, start_mark: u64, services: Option<&[String]>) {
        for entry in self.entries.values_mut() {
            let record = entry.tracked.record();
            let is_in_scope = services.is_none_or(|services| services.contains(&record.service));
            if is_in_scope && record.is_up() && entry.last_update <= start_mark {
                entry.missing_since.get_or_insert(self.source_uptime.total);
            }
        }
    }

    /// Applies a complete snapshot received as one message; see [`Self::finish_snapshot`].
    pub fn apply_snapshot(&mut self, now: Nanos, services: Option<&[String]>, records: &[NodeRecord]) {
        let start_mark = self.begin_snapshot();
        self.apply_updates(now, records);
        self.finish_snapshot(start_mark, services);
    }

    /// Records a heartbeat of a source that holds a lease: it was in contact with a majority of the controllers.
    pub fn record_source_heartbeat(&mut self, now: Nanos) {
        self.advance_clock(now);
        let max_gap = self.heartbeat_interval.times(MAX_SOURCE_GAP_HEARTBEAT_INTERVALS);
        self.source_uptime.record_heartbeat(self.now, max_gap);
    }

    /// Removes incarnations that healthy sources have omitted for ten heartbeat intervals, and those whose tombstone
    /// retention has passed. Returns the number of the former. Those of them that announced to drain are kept as lost
    /// for the tombstone retention, since an outdated source may still report them as ready.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.advance_clock(now);
        let max_missing_time = self.heartbeat_interval.times(REMOVED_AFTER_HEARTBEAT_INTERVALS);
        let dropped = self.ids_where(|entry| {
            let is_missing = |since: Nanos| self.source_uptime.total - since >= max_missing_time;
            entry.record().is_up() && entry.missing_since.is_some_and(is_missing)
        });
        let retention = self.limits.tombstone_retention;
        let expired = self
            .ids_where(|entry| entry.tracked.down_since().is_some_and(|since| self.now - since > retention));
        dropped.iter().for_each(|id| self.drop_missing(id));
        expired.iter().for_each(|id| self.remove(id));
        dropped.len()
    }

    /// Returns the nodes of a service to which new requests may be sent, sorted by id.
    pub fn ready_nodes<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        self.nodes_of(service).filter(|record| record.is_ready())
    }

    /// Returns all known nodes of a service, draining, lost and gone ones included, sorted by id.
    pub fn nodes_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        let ids = self.ids_by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.get(id))
    }

    /// Returns the record of an incarnation by its id.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.entries.get(id).map(DirectoryEntry::record)
    }

    /// Takes the services whose nodes have changed since the last call.
    #[must_use]
    pub fn take_changed_services(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed_services)
    }

    /// Names of the services with known nodes.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.ids_by_service.keys().map(String::as_str)
    }

    /// All records, those of tombstones included, to be sent to another process: a restarted controller, or a gateway
    /// of this zone.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.entries.values().map(DirectoryEntry::record)
    }

    /// Number of known incarnations, lost and gone ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no incarnation is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn advance_clock(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn apply_record(&mut self, update: &NodeRecord) {
        let id = &update.id;
        if !self.entries.contains_key(id) && !self.ensure_capacity() {
            return;
        }
        let changed = match self.entries.get_mut(id) {
            Some(entry) => {
                let old = entry.record();
                let (old_service, old_addr) = (old.service.clone(), old.addr);
                let changed = entry.tracked.merge(self.now, update);
                self.remove_stale_index_entries(id, &old_service, old_addr);
                changed
            }
            None => {
                let tracked = TrackedRecord::new(self.now, update.clone());
                let entry = DirectoryEntry { tracked, last_update: 0, missing_since: None };
                self.entries.insert(id.clone(), entry);
                true
            }
        };
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.missing_since = None;
        entry.last_update = self.update_count;
        if changed {
            let record = entry.tracked.record();
            let (service, addr, is_up) = (record.service.clone(), record.addr, record.is_up());
            self.ids_by_service.entry(service.clone()).or_default().insert(id.clone());
            self.changed_services.insert(service);
            if is_up {
                self.claim_address(id, addr);
            }
        }
    }

    /// Removes an entry from the indexes for its old service or address if they have changed, or if it is no longer
    /// up.
    fn remove_stale_index_entries(&mut self, id: &str, old_service: &str, old_addr: SocketAddrV4) {
        let Some(record) = self.get(id) else { return };
        let has_moved = record.addr != old_addr;
        let is_up = record.is_up();
        if record.service != old_service {
            self.remove_from_service(old_service, id);
        }
        if has_moved || !is_up {
            self.addresses.release(old_addr, id);
        }
    }

    /// Assigns an address to an incarnation; another incarnation that was listed there earlier is marked as lost.
    fn claim_address(&mut self, id: &str, addr: SocketAddrV4) {
        let Some(previous) = self.addresses.claim(addr, id) else { return };
        if let Some(entry) = self.entries.get_mut(&previous).filter(|entry| entry.record().is_up()) {
            entry.tracked.mark_lost(self.now);
            self.changed_services.insert(entry.record().service.clone());
        }
    }

    fn remove_from_service(&mut self, service: &str, id: &str) {
        if let Some(ids) = self.ids_by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.ids_by_service.remove(service);
            }
        }
        self.changed_services.insert(service.to_string());
    }

    fn remove(&mut self, id: &str) {
        let Some(entry) = self.entries.remove(id) else { return };
        let record = entry.record();
        self.remove_from_service(&record.service, id);
        self.addresses.release(record.addr, id);
    }

    fn drop_missing(&mut self, id: &str) {
        let now = self.now;
        match self.entries.get_mut(id) {
            Some(entry) if entry.record().state == NodeState::Draining => {
                entry.tracked.mark_lost(now);
                let NodeRecord { service, addr, .. } = entry.record().clone();
                self.addresses.release(addr, id);
                self.changed_services.insert(service);
            }
            _ => self.remove(id),
        }
    }

    fn ids_where(&self, is_wanted: impl Fn(&DirectoryEntry) -> bool) -> Vec<String> {
        let wanted = self.entries.iter().filter(|(_, entry)| is_wanted(entry));
        wanted.map(|(id, _)| id.clone()).collect()
    }

    /// Ensures capacity for one more incarnation by removing the one that has been down for the longest time, never
    /// one that is up. Returns whether there is capacity.
    fn ensure_capacity(&mut self) -> bool {
        if self.entries.len() < self.limits.max_incarnations {
            return true;
        }
        let down =
            self.entries.iter().filter_map(|(id, entry)| entry.tracked.down_since().map(|since| (since, id)));
        let Some(oldest) = down.min().map(|(_, id)| id.clone()) else { return false };
        self.remove(&oldest);
        true
    }
}

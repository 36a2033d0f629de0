//! A gateway's list of nodes, as tellers told it.

use crate::fact::{NodeRecord, NodeState};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// A life that a well teller doesn't name for so many beats is dropped.
const HEARTBEATS_UNTIL_DROPPED: f64 = 10.0;
/// A teller whose pulses are further apart than so many beats was not well in between.
const MAX_SOURCE_GAP_HEARTBEATS: f64 = 3.0;

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct NodeDirectoryLimits {
    /// Lives known at once, those that are out included.
    pub max_incarnations: usize,
    /// How long a life that is out is remembered, so that a stale teller doesn't bring it back.
    pub tombstone_retention: Nanos,
}

impl Default for NodeDirectoryLimits {
    fn default() -> Self {
        NodeDirectoryLimits { max_incarnations: 50_000, tombstone_retention: Nanos(120_000_000_000) }
    }
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    record: NodeRecord,
    /// It said that it is leaving; kept apart, so that a loss in between doesn't undo it.
    announced_draining: bool,
    /// The telling that last named it.
    last_update: u64,
    /// Time during which a teller was well, when a whole list first didn't name this life.
    missing_since: Option<Nanos>,
    out_since: Option<Nanos>,
}

/// Nodes by service, as told. Words that a node is leaving or out are never undone within its life.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    heartbeat_interval: Nanos,
    limits: NodeDirectoryLimits,
    entries: HashMap<String, DirectoryEntry>,
    by_service: BTreeMap<String, BTreeSet<String>>,
    by_addr: HashMap<SocketAddrV4, String>,
    changed_services: BTreeSet<String>,
    /// Tellings taken so far.
    update_count: u64,
    /// How long tellers were well, in all.
    source_uptime: Nanos,
    source_heartbeat_at: Option<Nanos>,
    now: Nanos,
}

impl NodeDirectory {
    /// An empty list; `beat` is the time between two beats of a node.
    pub fn new(beat: Nanos, bounds: NodeDirectoryLimits) -> NodeDirectory {
        NodeDirectory {
            heartbeat_interval: Nanos(beat.0.max(1)),
            limits: NodeDirectoryLimits { max_incarnations: bounds.max_incarnations.max(1), ..bounds },
            entries: HashMap::new(),
            by_service: BTreeMap::new(),
            by_addr: HashMap::new(),
            changed_services: BTreeSet::new(),
            update_count: 0,
            source_uptime: Nanos(0),
            source_heartbeat_at: None,
            now: Nanos(0),
        }
    }

    /// Changes came from a teller.
    pub fn apply_updates(&mut self, now: Nanos, facts: &[NodeRecord]) {
        self.now = self.now.max(now);
        self.update_count += 1;
        let (up, out): (Vec<&NodeRecord>, Vec<&NodeRecord>) = facts.iter().partition(|fact| fact.is_up());
        for fact in out.into_iter().chain(up) {
            self.apply_one(fact);
        }
    }

    /// Where this list stands now: to be kept when a teller begins to tell the whole, for [`Self::whole_told`].
    pub fn begin_snapshot(&self) -> u64 {
        self.update_count
    }

    /// A teller that began at a mark has told all of some services, or of all. Lives of these that nobody named since
    /// stay: a controller that has just restarted names few. They are dropped only if well tellers don't name them for
    /// long.
    pub fn finish_snapshot(&mut self, since: u64, services: Option<&[String]>) {
        for held in self.entries.values_mut() {
            let asked = services.is_none_or(|services| services.contains(&held.record.service));
            if asked && held.record.is_up() && held.last_update <= since {
                held.missing_since.get_or_insert(self.source_uptime);
            }
        }
    }

    /// A whole list came at once; see [`Self::whole_told`].
    pub fn apply_snapshot(&mut self, now: Nanos, services: Option<&[String]>, facts: &[NodeRecord]) {
        let since = self.begin_snapshot();
        self.apply_updates(now, facts);
        self.finish_snapshot(since, services);
    }

    /// A pulse of a teller that is well (has a lease, is in touch with the rest).
    pub fn record_source_heartbeat(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        let since = self.now - self.source_heartbeat_at.unwrap_or(self.now);
        if since <= self.heartbeat_interval.times(MAX_SOURCE_GAP_HEARTBEATS) {
            self.source_uptime = self.source_uptime + since;
        }
        self.source_heartbeat_at = Some(self.now);
    }

    /// Drops what no well teller named for long and forgets what is long out. Returns how many were dropped.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.now = self.now.max(now);
        let long = self.heartbeat_interval.times(HEARTBEATS_UNTIL_DROPPED);
        let (well, keep, now) = (self.source_uptime, self.limits.tombstone_retention, self.now);
        let unnamed = |held: &DirectoryEntry| {
            held.record.is_up() && held.missing_since.is_some_and(|at| well - at >= long)
        };
        let old = |held: &DirectoryEntry| held.out_since.is_some_and(|since| now - since > keep);
        let drop: Vec<String> =
            self.entries.iter().filter(|(_, held)| unnamed(held)).map(|(id, _)| id.clone()).collect();
        let forget: Vec<String> =
            self.entries.iter().filter(|(_, held)| old(held)).map(|(id, _)| id.clone()).collect();
        for id in drop.iter().chain(&forget) {
            self.remove(id);
        }
        drop.len()
    }

    /// Nodes of a service that requests may be sent to, in the order of their ids.
    pub fn ready_nodes<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        self.nodes_of(service).filter(|fact| fact.is_ready())
    }

    /// All lives known of a service, those draining or out included.
    pub fn nodes_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.entries.get(id)).map(|held| &held.record)
    }

    /// What is known of a life.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.entries.get(id).map(|held| &held.record)
    }

    /// Services whose list differs since the last call.
    pub fn take_changed_services(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed_services)
    }

    /// Services of which any life is known.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// Everything held, to tell another: a controller that has just restarted, or a gateway of this zone.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.entries.values().map(|held| &held.record)
    }

    /// Lives remembered, those that are out included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True until something is told.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn apply_one(&mut self, told: &NodeRecord) {
        let id = &told.id;
        if !self.entries.contains_key(id) && !self.make_room() {
            return;
        }
        let (before, changed) = match self.entries.get_mut(id) {
            None => {
                let held = DirectoryEntry {
                    record: told.clone(),
                    announced_draining: false,
                    last_update: 0,
                    missing_since: None,
                    out_since: None,
                };
                self.entries.insert(id.clone(), held);
                (None, true)
            }
            Some(held) => {
                let before = (held.record.service.clone(), held.record.addr);
                (Some(before), held.record.merge(told))
            }
        };
        let Some(held) = self.entries.get_mut(id) else { return };
        (held.missing_since, held.last_update) = (None, self.update_count);
        held.announced_draining |= told.state == NodeState::Draining;
        if held.announced_draining && held.record.state == NodeState::Ready {
            held.record.state = NodeState::Draining;
        }
        held.out_since = if held.record.is_up() { None } else { held.out_since.or(Some(self.now)) };
        let (service, addr, up) = (held.record.service.clone(), held.record.addr, held.record.is_up());
        if let Some((old_service, old_addr)) = &before {
            if *old_service != service {
                self.remove_from_service(old_service, id);
            }
            if (*old_addr != addr || !up) && self.by_addr.get(old_addr).is_some_and(|holder| holder == id) {
                self.by_addr.remove(old_addr);
            }
        }
        if changed {
            self.by_service.entry(service.clone()).or_default().insert(id.clone());
            self.changed_services.insert(service);
        }
        if up && changed {
            self.claim_address(id, addr);
        }
    }

    /// Another life that is thought to be up at this address is lost: it was told earlier.
    fn claim_address(&mut self, id: &str, addr: SocketAddrV4) {
        let Some(older) = self.by_addr.insert(addr, id.to_string()).filter(|older| older != id) else {
            return;
        };
        if let Some(held) = self.entries.get_mut(&older).filter(|held| held.record.is_up()) {
            held.record.state = NodeState::Lost;
            held.out_since = Some(self.now);
            self.changed_services.insert(held.record.service.clone());
        }
    }

    fn remove_from_service(&mut self, service: &str, id: &str) {
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(service);
            }
        }
        self.changed_services.insert(service.to_string());
    }

    fn remove(&mut self, id: &str) {
        let Some(held) = self.entries.remove(id) else { return };
        self.remove_from_service(&held.record.service, id);
        if self.by_addr.get(&held.record.addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&held.record.addr);
        }
    }

    fn make_room(&mut self) -> bool {
        if self.entries.len() < self.limits.max_incarnations {
            return true;
        }
        let out = self.entries.iter().filter_map(|(id, held)| held.out_since.map(|since| (since, id)));
        let Some(oldest) = out.min().map(|(_, id)| id.clone()) else { return false };
        self.remove(&oldest);
        true
    }
}

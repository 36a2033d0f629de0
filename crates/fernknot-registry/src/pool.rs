//! A gateway's list of nodes, as tellers told it.

use crate::fact::{NodeRecord, NodeState};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

/// A life that a well teller doesn't name for so many beats is dropped.
const BEATS_TO_DROP: f64 = 10.0;
/// A teller whose pulses are further apart than so many beats was not well in between.
const BEATS_WELL: f64 = 3.0;

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct NodeDirectoryLimits {
    /// Lives known at once, those that are out included.
    pub most_lives: usize,
    /// How long a life that is out is remembered, so that a stale teller doesn't bring it back.
    pub keep_gone: Nanos,
}

impl Default for NodeDirectoryLimits {
    fn default() -> Self {
        NodeDirectoryLimits { most_lives: 50_000, keep_gone: Nanos(120_000_000_000) }
    }
}

#[derive(Clone, Debug)]
struct DirectoryEntry {
    fact: NodeRecord,
    /// It said that it is leaving; kept apart, so that a loss in between doesn't undo it.
    drains: bool,
    /// The telling that last named it.
    named: u64,
    /// Time during which a teller was well, when a whole list first didn't name this life.
    doubted: Option<Nanos>,
    out_since: Option<Nanos>,
}

/// Nodes by service, as told. Words that a node is leaving or out are never undone within its life.
#[derive(Clone, Debug)]
pub struct NodeDirectory {
    beat: Nanos,
    bounds: NodeDirectoryLimits,
    lives: HashMap<String, DirectoryEntry>,
    by_service: BTreeMap<String, BTreeSet<String>>,
    by_addr: HashMap<SocketAddrV4, String>,
    changed: BTreeSet<String>,
    /// Tellings taken so far.
    takes: u64,
    /// How long tellers were well, in all.
    well: Nanos,
    pulsed: Option<Nanos>,
    now: Nanos,
}

impl NodeDirectory {
    /// An empty list; `beat` is the time between two beats of a node.
    pub fn new(beat: Nanos, bounds: NodeDirectoryLimits) -> NodeDirectory {
        NodeDirectory {
            beat: Nanos(beat.0.max(1)),
            bounds: NodeDirectoryLimits { most_lives: bounds.most_lives.max(1), ..bounds },
            lives: HashMap::new(),
            by_service: BTreeMap::new(),
            by_addr: HashMap::new(),
            changed: BTreeSet::new(),
            takes: 0,
            well: Nanos(0),
            pulsed: None,
            now: Nanos(0),
        }
    }

    /// Changes came from a teller.
    pub fn take(&mut self, now: Nanos, facts: &[NodeRecord]) {
        self.now = self.now.max(now);
        self.takes += 1;
        let (up, out): (Vec<&NodeRecord>, Vec<&NodeRecord>) = facts.iter().partition(|fact| fact.is_up());
        for fact in out.into_iter().chain(up) {
            self.take_one(fact);
        }
    }

    /// Where this list stands now: to be kept when a teller begins to tell the whole, for [`Self::whole_told`].
    pub fn mark(&self) -> u64 {
        self.takes
    }

    /// A teller that began at a mark has told all of some services, or of all. Lives of these that nobody named since
    /// stay: a registrar that has just restarted names few. They are dropped only if well tellers don't name them for
    /// long.
    pub fn whole_told(&mut self, since: u64, services: Option<&[String]>) {
        for held in self.lives.values_mut() {
            let asked = services.is_none_or(|services| services.contains(&held.fact.service));
            if asked && held.fact.is_up() && held.named <= since {
                held.doubted.get_or_insert(self.well);
            }
        }
    }

    /// A whole list came at once; see [`Self::whole_told`].
    pub fn take_whole(&mut self, now: Nanos, services: Option<&[String]>, facts: &[NodeRecord]) {
        let since = self.mark();
        self.take(now, facts);
        self.whole_told(since, services);
    }

    /// A pulse of a teller that is well (has a lease, is in touch with the rest).
    pub fn teller_well(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        let since = self.now - self.pulsed.unwrap_or(self.now);
        if since <= self.beat.times(BEATS_WELL) {
            self.well = self.well + since;
        }
        self.pulsed = Some(self.now);
    }

    /// Drops what no well teller named for long and forgets what is long out. Returns how many were dropped.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.now = self.now.max(now);
        let long = self.beat.times(BEATS_TO_DROP);
        let (well, keep, now) = (self.well, self.bounds.keep_gone, self.now);
        let unnamed =
            |held: &DirectoryEntry| held.fact.is_up() && held.doubted.is_some_and(|at| well - at >= long);
        let old = |held: &DirectoryEntry| held.out_since.is_some_and(|since| now - since > keep);
        let drop: Vec<String> =
            self.lives.iter().filter(|(_, held)| unnamed(held)).map(|(id, _)| id.clone()).collect();
        let forget: Vec<String> =
            self.lives.iter().filter(|(_, held)| old(held)).map(|(id, _)| id.clone()).collect();
        for id in drop.iter().chain(&forget) {
            self.remove(id);
        }
        drop.len()
    }

    /// Nodes of a service that requests may be sent to, in the order of their ids.
    pub fn running<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        self.of(service).filter(|fact| fact.runs())
    }

    /// All lives known of a service, those draining or out included.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a NodeRecord> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.lives.get(id)).map(|held| &held.fact)
    }

    /// What is known of a life.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.lives.get(id).map(|held| &held.fact)
    }

    /// Services whose list differs since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// Services of which any life is known.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// Everything held, to tell another: a registrar that has just restarted, or a gateway of this zone.
    pub fn facts(&self) -> impl Iterator<Item = &NodeRecord> {
        self.lives.values().map(|held| &held.fact)
    }

    /// Lives remembered, those that are out included.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// True until something is told.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    fn take_one(&mut self, told: &NodeRecord) {
        let id = &told.id;
        if !self.lives.contains_key(id) && !self.make_room() {
            return;
        }
        let (before, changed) = match self.lives.get_mut(id) {
            None => {
                let held = DirectoryEntry {
                    fact: told.clone(),
                    drains: false,
                    named: 0,
                    doubted: None,
                    out_since: None,
                };
                self.lives.insert(id.clone(), held);
                (None, true)
            }
            Some(held) => {
                let before = (held.fact.service.clone(), held.fact.addr);
                (Some(before), held.fact.join(told))
            }
        };
        let Some(held) = self.lives.get_mut(id) else { return };
        (held.doubted, held.named) = (None, self.takes);
        held.drains |= told.state == NodeState::Draining;
        if held.drains && held.fact.state == NodeState::Ready {
            held.fact.state = NodeState::Draining;
        }
        held.out_since = if held.fact.is_up() { None } else { held.out_since.or(Some(self.now)) };
        let (service, addr, up) = (held.fact.service.clone(), held.fact.addr, held.fact.is_up());
        if let Some((old_service, old_addr)) = &before {
            if *old_service != service {
                self.unlist(old_service, id);
            }
            if (*old_addr != addr || !up) && self.by_addr.get(old_addr).is_some_and(|holder| holder == id) {
                self.by_addr.remove(old_addr);
            }
        }
        if changed {
            self.by_service.entry(service.clone()).or_default().insert(id.clone());
            self.changed.insert(service);
        }
        if up && changed {
            self.take_address(id, addr);
        }
    }

    /// Another life that is thought to be up at this address is lost: it was told earlier.
    fn take_address(&mut self, id: &str, addr: SocketAddrV4) {
        let Some(older) = self.by_addr.insert(addr, id.to_string()).filter(|older| older != id) else {
            return;
        };
        if let Some(held) = self.lives.get_mut(&older).filter(|held| held.fact.is_up()) {
            held.fact.state = NodeState::Lost;
            held.out_since = Some(self.now);
            self.changed.insert(held.fact.service.clone());
        }
    }

    fn unlist(&mut self, service: &str, id: &str) {
        if let Some(ids) = self.by_service.get_mut(service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(service);
            }
        }
        self.changed.insert(service.to_string());
    }

    fn remove(&mut self, id: &str) {
        let Some(held) = self.lives.remove(id) else { return };
        self.unlist(&held.fact.service, id);
        if self.by_addr.get(&held.fact.addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&held.fact.addr);
        }
    }

    fn make_room(&mut self) -> bool {
        if self.lives.len() < self.bounds.most_lives {
            return true;
        }
        let out = self.lives.iter().filter_map(|(id, held)| held.out_since.map(|since| (since, id)));
        let Some(oldest) = out.min().map(|(_, id)| id.clone()) else { return false };
        self.remove(&oldest);
        true
    }
}

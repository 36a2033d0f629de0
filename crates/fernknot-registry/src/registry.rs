//! A controller's list of nodes.

use crate::fact::{IncarnationHash, NodeRecord, NodeState, incarnation_hash};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// A life unheard for so many beats is lost.
const HEARTBEATS_UNTIL_LOST: f64 = 3.5;
/// The holder of an address that was heard within so many beats keeps it against what others tell.
const HEARTBEATS_ADDRESS_KEPT: f64 = 1.5;
/// Longest name of a life, a service or a zone, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// What a controller may hold.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Lives known at once, those that are out included.
    pub max_incarnations: usize,
    /// How long a life that is out is remembered, so that those who hear late are told of its end.
    pub tombstone_retention: Nanos,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        RegistryLimits { max_incarnations: 50_000, tombstone_retention: Nanos(120_000_000_000) }
    }
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The first word of this life.
    New,
    /// Something that gateways act on differs now.
    Changed,
    /// Alive, and as before.
    Unchanged,
    /// Older than what is known, or of a life that is out; changes nothing.
    Stale,
    /// Names too long, or no room: the life is not known after this call.
    Rejected,
}

impl CallOutcome {
    /// True where gateways have to be told.
    pub fn is_update(self) -> bool {
        matches!(self, CallOutcome::New | CallOutcome::Changed)
    }
}

#[derive(Clone, Debug)]
struct Incarnation {
    record: NodeRecord,
    /// It said that it is leaving; kept apart, so that a loss in between doesn't undo it.
    announced_draining: bool,
    /// When a beat of it was last heard here, or said to be heard elsewhere.
    last_heartbeat_at: Nanos,
    /// Its place among the changes.
    version: u64,
    warm_up_until: Nanos,
    /// When it was lost or gone.
    out_since: Option<Nanos>,
    /// Heard here since the others were last told.
    unreported: bool,
}

/// Nodes as their beats tell; soft, and refilled by beats and by other controllers after a restart.
#[derive(Clone, Debug)]
pub struct Registry {
    heartbeat_interval: Nanos,
    limits: RegistryLimits,
    incarnations: HashMap<String, Incarnation>,
    by_hash: HashMap<IncarnationHash, String>,
    by_addr: HashMap<SocketAddrV4, String>,
    by_version: BTreeMap<u64, String>,
    version: u64,
    /// Changes up to here include some of lives that are no longer remembered.
    forgotten_version: u64,
    unreported: Vec<IncarnationHash>,
    now: Nanos,
}

impl Registry {
    /// An empty list; `beat` is the time between two beats of a node.
    pub fn new(beat: Nanos, bounds: RegistryLimits) -> Registry {
        Registry {
            heartbeat_interval: Nanos(beat.0.max(1)),
            limits: RegistryLimits { max_incarnations: bounds.max_incarnations.max(1), ..bounds },
            incarnations: HashMap::new(),
            by_hash: HashMap::new(),
            by_addr: HashMap::new(),
            by_version: BTreeMap::new(),
            version: 0,
            forgotten_version: 0,
            unreported: Vec::new(),
            now: Nanos(0),
        }
    }

    /// A beat came here from the node itself.
    pub fn record_heartbeat(&mut self, now: Nanos, fact: NodeRecord) -> CallOutcome {
        self.advance_clock(now);
        if !has_valid_names(&fact) || fact.service.is_empty() {
            return CallOutcome::Rejected;
        }
        let id = fact.id.clone();
        let hash = incarnation_hash(&id);
        let noted = match self.incarnations.get_mut(&id) {
            None => {
                if !self.make_room() {
                    return CallOutcome::Rejected;
                }
                self.insert(fact);
                CallOutcome::New
            }
            Some(life) => {
                let repeated = fact.sequence == life.record.sequence;
                if life.record.state == NodeState::Gone
                    || fact.sequence < life.record.sequence
                    || (repeated && life.record.state == NodeState::Lost)
                {
                    return CallOutcome::Stale;
                }
                if self.merge(&id, &fact) { CallOutcome::Changed } else { CallOutcome::Unchanged }
            }
        };
        if let Some(life) = self.incarnations.get_mut(&id) {
            life.last_heartbeat_at = self.now;
            if !life.unreported {
                life.unreported = true;
                self.unreported.push(hash);
            }
        }
        // Another life at this address can't be alive: who beats there now has it.
        self.claim_address(&id);
        noted
    }

    /// A node said that it is out (deregister). Remembered also where the life was not known here: another controller
    /// may tell of it later.
    pub fn deregister(&mut self, now: Nanos, id: &str) -> CallOutcome {
        self.advance_clock(now);
        let gone = NodeRecord::gone(id);
        if !has_valid_names(&gone) {
            return CallOutcome::Rejected;
        }
        match self.incarnations.get(id).map(|life| life.record.state) {
            Some(NodeState::Gone) => CallOutcome::Unchanged,
            Some(_) => {
                self.merge(id, &gone);
                CallOutcome::Changed
            }
            None if self.make_room() => {
                self.insert(gone);
                CallOutcome::New
            }
            None => CallOutcome::Rejected,
        }
    }

    /// Another controller, or a gateway, told what it knows. Returns how many lives differ now.
    pub fn merge_reported(&mut self, now: Nanos, facts: &[NodeRecord]) -> usize {
        self.advance_clock(now);
        // Ends first: an address is free for the life that follows in the same telling.
        let (up, out): (Vec<&NodeRecord>, Vec<&NodeRecord>) = facts.iter().partition(|fact| fact.is_up());
        out.into_iter().chain(up).filter(|fact| has_valid_names(fact) && self.merge_one(fact)).count()
    }

    fn merge_one(&mut self, fact: &NodeRecord) -> bool {
        if fact.is_up() && self.is_address_in_use(fact) {
            return false;
        }
        let Some(life) = self.incarnations.get(&fact.id) else {
            if !self.make_room() {
                return false;
            }
            self.insert(fact.clone());
            self.claim_address(&fact.id);
            return true;
        };
        let (known_seq, known_state) = (life.record.sequence, life.record.state);
        let lately =
            self.now - life.last_heartbeat_at < self.heartbeat_interval.times(HEARTBEATS_ADDRESS_KEPT);
        if fact.state == NodeState::Lost && life.record.is_up() && fact.sequence <= known_seq && lately {
            // The teller lost it while it was cut off from where the beats go: tell it once more.
            self.assign_version(&fact.id);
            return false;
        }
        let changed = self.merge(&fact.id, fact);
        if let Some(life) = self.incarnations.get_mut(&fact.id) {
            // Only a beat not known here is a sign of life: else two controllers keep the dead alive between them.
            if fact.sequence > known_seq && fact.is_up() {
                life.last_heartbeat_at = self.now;
            }
            // The teller knows less: tell it once more.
            if !changed && known_state != fact.state && fact.sequence <= known_seq {
                self.assign_version(&fact.id);
            }
        }
        if changed {
            self.claim_address(&fact.id);
        }
        changed
    }

    /// Another controller hears beats of these lives: they don't expire here. Returns those that are not known here, or
    /// thought lost: their facts are to be asked for.
    pub fn record_peer_heartbeats(&mut self, now: Nanos, hashes: &[IncarnationHash]) -> Vec<IncarnationHash> {
        self.advance_clock(now);
        let mut unknown = Vec::new();
        for hash in hashes {
            match self.by_hash.get(hash).and_then(|id| self.incarnations.get_mut(id)) {
                Some(life) if life.record.is_up() => life.last_heartbeat_at = self.now,
                Some(life) if life.record.state == NodeState::Gone => {}
                _ => unknown.push(*hash),
            }
        }
        unknown
    }

    /// Lives whose beats came here since the last call, to be told to the other controllers.
    pub fn take_unreported(&mut self, now: Nanos) -> Vec<IncarnationHash> {
        self.advance_clock(now);
        let fresh = std::mem::take(&mut self.unreported);
        for hash in &fresh {
            if let Some(life) = self.by_hash.get(hash).and_then(|id| self.incarnations.get_mut(id)) {
                life.unreported = false;
            }
        }
        fresh
    }

    /// The facts of these lives, as far as known.
    pub fn records_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        let lives = hashes
            .iter()
            .filter_map(|hash| self.by_hash.get(hash))
            .filter_map(|id| self.incarnations.get(id));
        lives.map(|life| self.current_record(life)).collect()
    }

    /// This process was frozen or cut off: what it has not heard says nothing. All lives get a full span again. To be
    /// called after a jump of the steady clock, and as long as the other controllers are out of reach.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.advance_clock(now);
        for life in self.incarnations.values_mut() {
            life.last_heartbeat_at = self.now;
        }
    }

    /// Loses the lives unheard for too long and forgets those long out. Returns how many were lost.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.advance_clock(now);
        let span = self.heartbeat_interval.times(HEARTBEATS_UNTIL_LOST);
        let late = |life: &Incarnation| life.record.is_up() && self.now - life.last_heartbeat_at > span;
        let lost: Vec<String> =
            self.incarnations.iter().filter(|(_, life)| late(life)).map(|(id, _)| id.clone()).collect();
        for id in &lost {
            self.mark_lost(id);
        }
        let keep = self.limits.tombstone_retention;
        let old = |life: &Incarnation| life.out_since.is_some_and(|since| self.now - since > keep);
        let forget: Vec<String> =
            self.incarnations.iter().filter(|(_, life)| old(life)).map(|(id, _)| id.clone()).collect();
        for id in &forget {
            self.forget(id);
        }
        lost.len()
    }

    /// The number of the newest change; rises by one a change, from 0 after a start of this process.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The lives that differ since a version, oldest change first, and the version they lead to. None where some of
    /// the changes are no longer remembered, or the version is not one of this process: take a [`Self::snapshot`].
    pub fn changes_since(&self, version: u64) -> Option<(u64, Vec<NodeRecord>)> {
        if version < self.forgotten_version || version > self.version {
            return None;
        }
        let changed = self.by_version.range(version + 1..).filter_map(|(_, id)| self.incarnations.get(id));
        Some((self.version, changed.map(|life| self.current_record(life)).collect()))
    }

    /// All lives remembered, and the version this is.
    pub fn snapshot(&self) -> (u64, Vec<NodeRecord>) {
        let all = self.by_version.values().filter_map(|id| self.incarnations.get(id));
        (self.version, all.map(|life| self.current_record(life)).collect())
    }

    /// What is known of a life.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.incarnations.get(id).map(|life| &life.record)
    }

    /// Lives remembered, those that are out included.
    pub fn len(&self) -> usize {
        self.incarnations.len()
    }

    /// True after a start, until something is heard.
    pub fn is_empty(&self) -> bool {
        self.incarnations.is_empty()
    }

    /// Lives that are ready or draining.
    pub fn up_count(&self) -> usize {
        self.incarnations.values().filter(|life| life.record.is_up()).count()
    }

    fn advance_clock(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn current_record(&self, life: &Incarnation) -> NodeRecord {
        NodeRecord { warm_up_left_ms: (life.warm_up_until - self.now).0 / 1_000_000, ..life.record.clone() }
    }

    fn insert(&mut self, fact: NodeRecord) {
        let id = fact.id.clone();
        self.by_hash.insert(incarnation_hash(&id), id.clone());
        let out_since = (!fact.is_up()).then_some(self.now);
        let warm_until = self.now + Nanos(fact.warm_up_left_ms.saturating_mul(1_000_000));
        let drains = fact.state == NodeState::Draining;
        let life = Incarnation {
            record: fact,
            announced_draining: drains,
            last_heartbeat_at: self.now,
            version: 0,
            warm_up_until: warm_until,
            out_since,
            unreported: false,
        };
        self.incarnations.insert(id.clone(), life);
        self.assign_version(&id);
    }

    /// Joins a telling into a known life and numbers the change, if it is one.
    fn merge(&mut self, id: &str, fact: &NodeRecord) -> bool {
        let Some(life) = self.incarnations.get_mut(id) else { return false };
        let (old_addr, old_seq) = (life.record.addr, life.record.sequence);
        let old_state = life.record.state;
        let mut changed = life.record.merge(fact);
        life.announced_draining |= fact.state == NodeState::Draining;
        if life.announced_draining && life.record.state == NodeState::Ready {
            life.record.state = NodeState::Draining;
            changed |= old_state != NodeState::Draining;
        }
        if fact.sequence > old_seq {
            let warm_until = self.now + Nanos(fact.warm_up_left_ms.saturating_mul(1_000_000));
            let apart = (warm_until - life.warm_up_until).max(life.warm_up_until - warm_until);
            // It counts down with the clock: only a node that says otherwise is news.
            changed |= warm_until.max(life.warm_up_until) > self.now && apart > self.heartbeat_interval;
            life.warm_up_until = warm_until;
        }
        life.out_since = if life.record.is_up() { None } else { life.out_since.or(Some(self.now)) };
        let (up, addr) = (life.record.is_up(), life.record.addr);
        if (!up || addr != old_addr) && self.by_addr.get(&old_addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&old_addr);
        }
        if changed {
            self.assign_version(id);
        }
        changed
    }

    fn assign_version(&mut self, id: &str) {
        let Some(life) = self.incarnations.get_mut(id) else { return };
        self.by_version.remove(&life.version);
        self.version += 1;
        life.version = self.version;
        self.by_version.insert(self.version, id.to_string());
    }

    fn is_address_in_use(&self, fact: &NodeRecord) -> bool {
        let holder = self.by_addr.get(&fact.addr).filter(|holder| **holder != fact.id);
        holder.and_then(|id| self.incarnations.get(id)).is_some_and(|life| {
            self.now - life.last_heartbeat_at < self.heartbeat_interval.times(HEARTBEATS_ADDRESS_KEPT)
        })
    }

    /// The life has its address; an older life there is lost.
    fn claim_address(&mut self, id: &str) {
        let Some(addr) =
            self.incarnations.get(id).filter(|life| life.record.is_up()).map(|life| life.record.addr)
        else {
            return;
        };
        if let Some(older) = self.by_addr.insert(addr, id.to_string()).filter(|older| older != id) {
            self.mark_lost(&older);
        }
    }

    fn mark_lost(&mut self, id: &str) {
        let Some(life) = self.incarnations.get_mut(id).filter(|life| life.record.is_up()) else { return };
        life.record.state = NodeState::Lost;
        life.out_since = Some(self.now);
        let addr = life.record.addr;
        if self.by_addr.get(&addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&addr);
        }
        self.assign_version(id);
    }

    fn forget(&mut self, id: &str) {
        let Some(life) = self.incarnations.remove(id) else { return };
        self.forgotten_version = self.forgotten_version.max(life.version);
        self.by_version.remove(&life.version);
        self.by_hash.remove(&incarnation_hash(id));
        if self.by_addr.get(&life.record.addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&life.record.addr);
        }
    }

    /// Room for one more life: the one longest out goes first; those that are up are never put out for a new one.
    fn make_room(&mut self) -> bool {
        if self.incarnations.len() < self.limits.max_incarnations {
            return true;
        }
        let out = self.incarnations.iter().filter_map(|(id, life)| life.out_since.map(|since| (since, id)));
        let Some(oldest) = out.min().map(|(_, id)| id.clone()) else { return false };
        self.forget(&oldest);
        true
    }
}

fn has_valid_names(fact: &NodeRecord) -> bool {
    let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
    !fact.id.is_empty() && fits(&fact.id) && fits(&fact.service) && fits(&fact.zone)
}

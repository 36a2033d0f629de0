//! A registrar's list of nodes.

use crate::fact::{IncarnationHash, NodeRecord, NodeState, life_hash};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// A life unheard for so many beats is lost.
const BEATS_TO_LOSE: f64 = 3.5;
/// The holder of an address that was heard within so many beats keeps it against what others tell.
const BEATS_TO_HOLD: f64 = 1.5;
/// Longest name of a life, a service or a zone, in bytes.
const LONGEST_NAME: usize = 200;

/// What a registrar may hold.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Lives known at once, those that are out included.
    pub most_lives: usize,
    /// How long a life that is out is remembered, so that those who hear late are told of its end.
    pub keep_gone: Nanos,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        RegistryLimits { most_lives: 50_000, keep_gone: Nanos(120_000_000_000) }
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
    Same,
    /// Older than what is known, or of a life that is out; changes nothing.
    Stale,
    /// Names too long, or no room: the life is not known after this call.
    Refused,
}

impl CallOutcome {
    /// True where gateways have to be told.
    pub fn is_news(self) -> bool {
        matches!(self, CallOutcome::New | CallOutcome::Changed)
    }
}

#[derive(Clone, Debug)]
struct Incarnation {
    fact: NodeRecord,
    /// It said that it is leaving; kept apart, so that a loss in between doesn't undo it.
    drains: bool,
    /// When a beat of it was last heard here, or said to be heard elsewhere.
    heard: Nanos,
    /// Its place among the changes.
    version: u64,
    warm_until: Nanos,
    /// When it was lost or gone.
    out_since: Option<Nanos>,
    /// Heard here since the others were last told.
    fresh: bool,
}

/// Nodes as their beats tell; soft, and refilled by beats and by other registrars after a restart.
#[derive(Clone, Debug)]
pub struct Registry {
    beat: Nanos,
    bounds: RegistryLimits,
    lives: HashMap<String, Incarnation>,
    by_hash: HashMap<IncarnationHash, String>,
    by_addr: HashMap<SocketAddrV4, String>,
    by_version: BTreeMap<u64, String>,
    version: u64,
    /// Changes up to here include some of lives that are no longer remembered.
    forgotten: u64,
    fresh: Vec<IncarnationHash>,
    now: Nanos,
}

impl Registry {
    /// An empty list; `beat` is the time between two beats of a node.
    pub fn new(beat: Nanos, bounds: RegistryLimits) -> Registry {
        Registry {
            beat: Nanos(beat.0.max(1)),
            bounds: RegistryLimits { most_lives: bounds.most_lives.max(1), ..bounds },
            lives: HashMap::new(),
            by_hash: HashMap::new(),
            by_addr: HashMap::new(),
            by_version: BTreeMap::new(),
            version: 0,
            forgotten: 0,
            fresh: Vec::new(),
            now: Nanos(0),
        }
    }

    /// A beat came here from the node itself.
    pub fn beat(&mut self, now: Nanos, fact: NodeRecord) -> CallOutcome {
        self.tick(now);
        if !fits(&fact) || fact.service.is_empty() {
            return CallOutcome::Refused;
        }
        let id = fact.id.clone();
        let hash = life_hash(&id);
        let noted = match self.lives.get_mut(&id) {
            None => {
                if !self.make_room() {
                    return CallOutcome::Refused;
                }
                self.insert(fact);
                CallOutcome::New
            }
            Some(life) => {
                let repeated = fact.seq == life.fact.seq;
                if life.fact.state == NodeState::Gone
                    || fact.seq < life.fact.seq
                    || (repeated && life.fact.state == NodeState::Lost)
                {
                    return CallOutcome::Stale;
                }
                if self.join(&id, &fact) { CallOutcome::Changed } else { CallOutcome::Same }
            }
        };
        if let Some(life) = self.lives.get_mut(&id) {
            life.heard = self.now;
            if !life.fresh {
                life.fresh = true;
                self.fresh.push(hash);
            }
        }
        // Another life at this address can't be alive: who beats there now has it.
        self.take_address(&id);
        noted
    }

    /// A node said that it is out (deregister). Remembered also where the life was not known here: another registrar
    /// may tell of it later.
    pub fn leave(&mut self, now: Nanos, id: &str) -> CallOutcome {
        self.tick(now);
        let gone = NodeRecord::gone(id);
        if !fits(&gone) {
            return CallOutcome::Refused;
        }
        match self.lives.get(id).map(|life| life.fact.state) {
            Some(NodeState::Gone) => CallOutcome::Same,
            Some(_) => {
                self.join(id, &gone);
                CallOutcome::Changed
            }
            None if self.make_room() => {
                self.insert(gone);
                CallOutcome::New
            }
            None => CallOutcome::Refused,
        }
    }

    /// Another registrar, or a gateway, told what it knows. Returns how many lives differ now.
    pub fn told(&mut self, now: Nanos, facts: &[NodeRecord]) -> usize {
        self.tick(now);
        // Ends first: an address is free for the life that follows in the same telling.
        let (up, out): (Vec<&NodeRecord>, Vec<&NodeRecord>) = facts.iter().partition(|fact| fact.is_up());
        out.into_iter().chain(up).filter(|fact| fits(fact) && self.told_one(fact)).count()
    }

    fn told_one(&mut self, fact: &NodeRecord) -> bool {
        if fact.is_up() && self.is_held_by_other(fact) {
            return false;
        }
        let Some(life) = self.lives.get(&fact.id) else {
            if !self.make_room() {
                return false;
            }
            self.insert(fact.clone());
            self.take_address(&fact.id);
            return true;
        };
        let (known_seq, known_state) = (life.fact.seq, life.fact.state);
        let lately = self.now - life.heard < self.beat.times(BEATS_TO_HOLD);
        if fact.state == NodeState::Lost && life.fact.is_up() && fact.seq <= known_seq && lately {
            // The teller lost it while it was cut off from where the beats go: tell it once more.
            self.renumber(&fact.id);
            return false;
        }
        let changed = self.join(&fact.id, fact);
        if let Some(life) = self.lives.get_mut(&fact.id) {
            // Only a beat not known here is a sign of life: else two registrars keep the dead alive between them.
            if fact.seq > known_seq && fact.is_up() {
                life.heard = self.now;
            }
            // The teller knows less: tell it once more.
            if !changed && known_state != fact.state && fact.seq <= known_seq {
                self.renumber(&fact.id);
            }
        }
        if changed {
            self.take_address(&fact.id);
        }
        changed
    }

    /// Another registrar hears beats of these lives: they don't expire here. Returns those that are not known here, or
    /// thought lost: their facts are to be asked for.
    pub fn heard_elsewhere(&mut self, now: Nanos, hashes: &[IncarnationHash]) -> Vec<IncarnationHash> {
        self.tick(now);
        let mut unknown = Vec::new();
        for hash in hashes {
            match self.by_hash.get(hash).and_then(|id| self.lives.get_mut(id)) {
                Some(life) if life.fact.is_up() => life.heard = self.now,
                Some(life) if life.fact.state == NodeState::Gone => {}
                _ => unknown.push(*hash),
            }
        }
        unknown
    }

    /// Lives whose beats came here since the last call, to be told to the other registrars.
    pub fn heard_lately(&mut self, now: Nanos) -> Vec<IncarnationHash> {
        self.tick(now);
        let fresh = std::mem::take(&mut self.fresh);
        for hash in &fresh {
            if let Some(life) = self.by_hash.get(hash).and_then(|id| self.lives.get_mut(id)) {
                life.fresh = false;
            }
        }
        fresh
    }

    /// The facts of these lives, as far as known.
    pub fn facts_of(&self, hashes: &[IncarnationHash]) -> Vec<NodeRecord> {
        let lives =
            hashes.iter().filter_map(|hash| self.by_hash.get(hash)).filter_map(|id| self.lives.get(id));
        lives.map(|life| self.fact_now(life)).collect()
    }

    /// This process was frozen or cut off: what it has not heard says nothing. All lives get a full span again. To be
    /// called after a jump of the steady clock, and as long as the other registrars are out of reach.
    pub fn was_away(&mut self, now: Nanos) {
        self.tick(now);
        for life in self.lives.values_mut() {
            life.heard = self.now;
        }
    }

    /// Loses the lives unheard for too long and forgets those long out. Returns how many were lost.
    pub fn expire(&mut self, now: Nanos) -> usize {
        self.tick(now);
        let span = self.beat.times(BEATS_TO_LOSE);
        let late = |life: &Incarnation| life.fact.is_up() && self.now - life.heard > span;
        let lost: Vec<String> =
            self.lives.iter().filter(|(_, life)| late(life)).map(|(id, _)| id.clone()).collect();
        for id in &lost {
            self.lose(id);
        }
        let keep = self.bounds.keep_gone;
        let old = |life: &Incarnation| life.out_since.is_some_and(|since| self.now - since > keep);
        let forget: Vec<String> =
            self.lives.iter().filter(|(_, life)| old(life)).map(|(id, _)| id.clone()).collect();
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
        if version < self.forgotten || version > self.version {
            return None;
        }
        let changed = self.by_version.range(version + 1..).filter_map(|(_, id)| self.lives.get(id));
        Some((self.version, changed.map(|life| self.fact_now(life)).collect()))
    }

    /// All lives remembered, and the version this is.
    pub fn snapshot(&self) -> (u64, Vec<NodeRecord>) {
        let all = self.by_version.values().filter_map(|id| self.lives.get(id));
        (self.version, all.map(|life| self.fact_now(life)).collect())
    }

    /// What is known of a life.
    pub fn get(&self, id: &str) -> Option<&NodeRecord> {
        self.lives.get(id).map(|life| &life.fact)
    }

    /// Lives remembered, those that are out included.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// True after a start, until something is heard.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Lives that are ready or draining.
    pub fn up(&self) -> usize {
        self.lives.values().filter(|life| life.fact.is_up()).count()
    }

    fn tick(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    fn fact_now(&self, life: &Incarnation) -> NodeRecord {
        NodeRecord { warm_left_ms: (life.warm_until - self.now).0 / 1_000_000, ..life.fact.clone() }
    }

    fn insert(&mut self, fact: NodeRecord) {
        let id = fact.id.clone();
        self.by_hash.insert(life_hash(&id), id.clone());
        let out_since = (!fact.is_up()).then_some(self.now);
        let warm_until = self.now + Nanos(fact.warm_left_ms.saturating_mul(1_000_000));
        let drains = fact.state == NodeState::Draining;
        let life =
            Incarnation { fact, drains, heard: self.now, version: 0, warm_until, out_since, fresh: false };
        self.lives.insert(id.clone(), life);
        self.renumber(&id);
    }

    /// Joins a telling into a known life and numbers the change, if it is one.
    fn join(&mut self, id: &str, fact: &NodeRecord) -> bool {
        let Some(life) = self.lives.get_mut(id) else { return false };
        let (old_addr, old_seq) = (life.fact.addr, life.fact.seq);
        let old_state = life.fact.state;
        let mut changed = life.fact.join(fact);
        life.drains |= fact.state == NodeState::Draining;
        if life.drains && life.fact.state == NodeState::Ready {
            life.fact.state = NodeState::Draining;
            changed |= old_state != NodeState::Draining;
        }
        if fact.seq > old_seq {
            let warm_until = self.now + Nanos(fact.warm_left_ms.saturating_mul(1_000_000));
            let apart = (warm_until - life.warm_until).max(life.warm_until - warm_until);
            // It counts down with the clock: only a node that says otherwise is news.
            changed |= warm_until.max(life.warm_until) > self.now && apart > self.beat;
            life.warm_until = warm_until;
        }
        life.out_since = if life.fact.is_up() { None } else { life.out_since.or(Some(self.now)) };
        let (up, addr) = (life.fact.is_up(), life.fact.addr);
        if (!up || addr != old_addr) && self.by_addr.get(&old_addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&old_addr);
        }
        if changed {
            self.renumber(id);
        }
        changed
    }

    fn renumber(&mut self, id: &str) {
        let Some(life) = self.lives.get_mut(id) else { return };
        self.by_version.remove(&life.version);
        self.version += 1;
        life.version = self.version;
        self.by_version.insert(self.version, id.to_string());
    }

    fn is_held_by_other(&self, fact: &NodeRecord) -> bool {
        let holder = self.by_addr.get(&fact.addr).filter(|holder| **holder != fact.id);
        holder
            .and_then(|id| self.lives.get(id))
            .is_some_and(|life| self.now - life.heard < self.beat.times(BEATS_TO_HOLD))
    }

    /// The life has its address; an older life there is lost.
    fn take_address(&mut self, id: &str) {
        let Some(addr) = self.lives.get(id).filter(|life| life.fact.is_up()).map(|life| life.fact.addr)
        else {
            return;
        };
        if let Some(older) = self.by_addr.insert(addr, id.to_string()).filter(|older| older != id) {
            self.lose(&older);
        }
    }

    fn lose(&mut self, id: &str) {
        let Some(life) = self.lives.get_mut(id).filter(|life| life.fact.is_up()) else { return };
        life.fact.state = NodeState::Lost;
        life.out_since = Some(self.now);
        let addr = life.fact.addr;
        if self.by_addr.get(&addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&addr);
        }
        self.renumber(id);
    }

    fn forget(&mut self, id: &str) {
        let Some(life) = self.lives.remove(id) else { return };
        self.forgotten = self.forgotten.max(life.version);
        self.by_version.remove(&life.version);
        self.by_hash.remove(&life_hash(id));
        if self.by_addr.get(&life.fact.addr).is_some_and(|holder| holder == id) {
            self.by_addr.remove(&life.fact.addr);
        }
    }

    /// Room for one more life: the one longest out goes first; those that are up are never put out for a new one.
    fn make_room(&mut self) -> bool {
        if self.lives.len() < self.bounds.most_lives {
            return true;
        }
        let out = self.lives.iter().filter_map(|(id, life)| life.out_since.map(|since| (since, id)));
        let Some(oldest) = out.min().map(|(_, id)| id.clone()) else { return false };
        self.forget(&oldest);
        true
    }
}

fn fits(fact: &NodeRecord) -> bool {
    let fits = |name: &str| name.len() <= LONGEST_NAME;
    !fact.id.is_empty() && fits(&fact.id) && fits(&fact.service) && fits(&fact.zone)
}

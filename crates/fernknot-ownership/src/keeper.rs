//! A registrar's view of which gateways live; the sequencer makes the cuts from it.

use crate::cut::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// A gateway unheard for so many beats doesn't live.
const BEATS_TO_LOSE: f64 = 3.5;
/// After a change, so many beats are waited for more: a herd of starts makes one cut.
const BEATS_TO_GATHER: f64 = 0.25;
/// Least time between two cuts, in beats.
const BEATS_APART: f64 = 0.5;
/// After a start or a gap of its own, a registrar listens for so many beats before it makes a cut.
const BEATS_TO_LISTEN: f64 = 2.0;

/// What a registrar may hold.
#[derive(Clone, Copy, Debug)]
pub struct AssignerSettings {
    /// Gateways known at once.
    pub most_gateways: usize,
    /// How long a gateway that is unheard, or has left, counts for a budget; [`crate::HolderBounds::unconfirmed`] and
    /// [`crate::HolderBounds::window`] together.
    pub doubt: Nanos,
}

/// How long a gateway takes its share without word that its cut is the newest: the span after which all are in touch
/// again, five beats at least.
pub fn unconfirmed(contact: Nanos, beat: Nanos) -> Nanos {
    contact.max(beat.times(5.0))
}

/// How long a gateway that is unheard counts as one that may be alive: until it takes no share any more, and what it
/// spent is out of the window of a budget.
pub fn doubt(contact: Nanos, window: Nanos, beat: Nanos) -> Nanos {
    unconfirmed(contact, beat) + window
}

#[derive(Clone, Debug)]
struct KnownGateway {
    gateway: GatewayRecord,
    heard: Nanos,
    /// Heard here since the other registrars were last told.
    fresh: bool,
}

/// Which gateways live, by their beats here and at other registrars.
#[derive(Clone, Debug)]
pub struct Assigner {
    beat: Nanos,
    bounds: AssignerSettings,
    known: BTreeMap<IncarnationId, KnownGateway>,
    /// Those that stopped as planned, and when: a beat still on its way doesn't bring them back.
    left: BTreeMap<IncarnationId, Nanos>,
    listening_since: Option<Nanos>,
    changed_since: Option<Nanos>,
    cut_at: Option<Nanos>,
    last: Assignment,
    /// Counted by the last cut of another registrar, and until when that is the least.
    floor: (u32, Nanos),
    now: Nanos,
}

impl Assigner {
    /// Knows nobody yet; `beat` is the time between two beats of a gateway.
    pub fn new(beat: Nanos, bounds: AssignerSettings) -> Assigner {
        Assigner {
            beat: Nanos(beat.0.max(1)),
            bounds,
            known: BTreeMap::new(),
            left: BTreeMap::new(),
            listening_since: None,
            changed_since: None,
            cut_at: None,
            last: Assignment::default(),
            floor: (0, Nanos(0)),
            now: Nanos(0),
        }
    }

    /// A beat of a gateway came here. Returns false where there is no room for it or it has left.
    pub fn alive(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        let life = gateway.life;
        let taken = self.told_one(now, gateway);
        if let Some(known) = self.known.get_mut(&life) {
            known.fresh = true;
        }
        taken
    }

    /// Another registrar told of gateways whose beats it hears.
    pub fn told(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        for gateway in gateways {
            self.told_one(now, gateway.clone());
        }
    }

    /// Another registrar hears beats of these lives. Returns those that are not known here: to be asked for.
    pub fn heard_elsewhere(&mut self, now: Nanos, lives: &[IncarnationId]) -> Vec<IncarnationId> {
        self.tick(now);
        let mut unknown = Vec::new();
        for life in lives {
            match self.known.get_mut(life) {
                Some(known) => known.heard = self.now,
                None if self.left.contains_key(life) => {}
                None => unknown.push(*life),
            }
        }
        unknown
    }

    /// Lives whose beats came here since the last call.
    pub fn heard_lately(&mut self, now: Nanos) -> Vec<IncarnationId> {
        self.tick(now);
        let fresh = self.known.iter_mut().filter(|(_, known)| known.fresh);
        fresh
            .map(|(life, known)| {
                known.fresh = false;
                *life
            })
            .collect()
    }

    /// What is known of these lives.
    pub fn gateways_of(&self, lives: &[IncarnationId]) -> Vec<GatewayRecord> {
        lives.iter().filter_map(|life| self.known.get(life)).map(|known| known.gateway.clone()).collect()
    }

    /// A gateway stops as planned; also told on by other registrars.
    pub fn left(&mut self, now: Nanos, life: IncarnationId) {
        self.tick(now);
        self.known.remove(&life);
        if self.left.len() < self.bounds.most_gateways {
            self.left.insert(life, self.now);
        }
    }

    /// This process was frozen or cut off: what it has not heard says nothing.
    pub fn was_away(&mut self, now: Nanos) {
        self.tick(now);
        self.known.values_mut().for_each(|known| known.heard = self.now);
        self.listening_since = Some(self.now);
    }

    /// How many gateways may be alive, or were so lately that what they spent still counts: those heard, those unheard
    /// for less than the doubt, and those that left. For sharing a budget.
    pub fn may_be_alive(&mut self, now: Nanos) -> usize {
        self.tick(now);
        let floor = if now < self.floor.1 { self.floor.0 as usize } else { 0 };
        (self.known.len() + self.left.len()).max(floor)
    }

    /// A cut was made by another registrar, or before a restart: fences go on from it, and who lives by it does so
    /// here until found silent.
    pub fn learn(&mut self, now: Nanos, cut: &Assignment) {
        self.tick(now);
        if cut.fence <= self.last.fence {
            return;
        }
        self.last = cut.clone().sorted();
        self.floor = (cut.may_be_alive, self.now + self.bounds.doubt);
        for gateway in &cut.live {
            if !self.known.contains_key(&gateway.life) {
                self.told_one(now, gateway.clone());
            }
        }
    }

    /// The newest cut that is known here.
    pub fn last(&self) -> &Assignment {
        &self.last
    }

    /// A new cut, if this registrar is the sequencer of the view and who lives differs from the last cut, or the last
    /// one is of an earlier view.
    pub fn recut(&mut self, now: Nanos, view: u32, is_sequencer: bool) -> Option<Assignment> {
        self.tick(now);
        if !is_sequencer || view < self.last.fence.view() {
            return None;
        }
        let listening = *self.listening_since.get_or_insert(self.now);
        let span = self.beat.times(BEATS_TO_LOSE);
        let live = self.known.values().filter(|known| self.now - known.heard <= span);
        let live: Vec<GatewayRecord> = live.map(|known| known.gateway.clone()).collect();
        let may_be_alive = self.may_be_alive(now) as u32;
        let in_view = self.last.fence.view() == view && self.last.fence != FencingToken::default();
        if in_view && live == self.last.live && may_be_alive == self.last.may_be_alive {
            self.changed_since = None;
            return None;
        }
        let changed = *self.changed_since.get_or_insert(self.now);
        let apart = self.cut_at.is_none_or(|at| self.now - at >= self.beat.times(BEATS_APART));
        let gathered = self.now - changed >= self.beat.times(BEATS_TO_GATHER);
        let listened = self.now - listening >= self.beat.times(BEATS_TO_LISTEN);
        if !apart || !gathered || !listened || (live.is_empty() && self.last.live.is_empty()) {
            return None;
        }
        let count = if in_view { self.last.fence.count().checked_add(1)? } else { 1 };
        self.last = Assignment { fence: FencingToken::of(view, count), live, may_be_alive };
        self.cut_at = Some(self.now);
        self.changed_since = None;
        Some(self.last.clone())
    }

    fn told_one(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        self.tick(now);
        if self.left.contains_key(&gateway.life) {
            return false;
        }
        if !self.known.contains_key(&gateway.life) {
            // A new life at this address: the older one can't be alive, and takes no share of a budget.
            self.known.retain(|_, known| known.gateway.addr != gateway.addr);
            if self.known.len() >= self.bounds.most_gateways {
                return false;
            }
        }
        let known = KnownGateway { heard: self.now, fresh: false, gateway };
        let fresh = self.known.get(&known.gateway.life).is_some_and(|known| known.fresh);
        self.known.insert(known.gateway.life, KnownGateway { fresh, ..known });
        true
    }

    fn tick(&mut self, now: Nanos) {
        if now <= self.now {
            return;
        }
        self.now = now;
        let doubt = self.bounds.doubt.max(self.beat.times(BEATS_TO_LOSE));
        self.known.retain(|_, known| now - known.heard <= doubt);
        self.left.retain(|_, at| now - *at <= doubt);
    }
}

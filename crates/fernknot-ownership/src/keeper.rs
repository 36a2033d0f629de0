//! A controller's view of which gateways live; the sequencer makes the cuts from it.

use crate::cut::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// A gateway unheard for so many beats doesn't live.
const HEARTBEATS_UNTIL_LOST: f64 = 3.5;
/// After a change, so many beats are waited for more: a herd of starts makes one cut.
const HEARTBEATS_TO_BATCH_CHANGES: f64 = 0.25;
/// Least time between two cuts, in beats.
const MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS: f64 = 0.5;
/// After a start or a gap of its own, a controller listens for so many beats before it makes a cut.
const HEARTBEATS_BEFORE_FIRST_ASSIGNMENT: f64 = 2.0;

/// What a controller may hold.
#[derive(Clone, Copy, Debug)]
pub struct AssignerSettings {
    /// Gateways known at once.
    pub max_gateways: usize,
    /// How long a gateway that is unheard, or has left, counts for a budget; [`crate::HolderBounds::unconfirmed`] and
    /// [`crate::HolderBounds::window`] together.
    pub presumed_alive_timeout: Nanos,
}

/// How long a gateway takes its share without word that its cut is the newest: the span after which all are in touch
/// again, five beats at least.
pub fn confirmation_timeout(contact: Nanos, beat: Nanos) -> Nanos {
    contact.max(beat.times(5.0))
}

/// How long a gateway that is unheard counts as one that may be alive: until it takes no share any more, and what it
/// spent is out of the window of a budget.
pub fn presumed_alive_timeout(contact: Nanos, window: Nanos, beat: Nanos) -> Nanos {
    confirmation_timeout(contact, beat) + window
}

#[derive(Clone, Debug)]
struct KnownGateway {
    record: GatewayRecord,
    last_heartbeat_at: Nanos,
    /// Heard here since the other controllers were last told.
    unreported: bool,
}

/// Which gateways live, by their beats here and at other controllers.
#[derive(Clone, Debug)]
pub struct Assigner {
    heartbeat_interval: Nanos,
    settings: AssignerSettings,
    gateways: BTreeMap<IncarnationId, KnownGateway>,
    /// Those that stopped as planned, and when: a beat still on its way doesn't bring them back.
    shut_down: BTreeMap<IncarnationId, Nanos>,
    listening_since: Option<Nanos>,
    changed_since: Option<Nanos>,
    assigned_at: Option<Nanos>,
    latest: Assignment,
    /// Counted by the last cut of another controller, and until when that is the least.
    presumed_alive_floor: (u32, Nanos),
    now: Nanos,
}

impl Assigner {
    /// Knows nobody yet; `beat` is the time between two beats of a gateway.
    pub fn new(beat: Nanos, bounds: AssignerSettings) -> Assigner {
        Assigner {
            heartbeat_interval: Nanos(beat.0.max(1)),
            settings: bounds,
            gateways: BTreeMap::new(),
            shut_down: BTreeMap::new(),
            listening_since: None,
            changed_since: None,
            assigned_at: None,
            latest: Assignment::default(),
            presumed_alive_floor: (0, Nanos(0)),
            now: Nanos(0),
        }
    }

    /// A beat of a gateway came here. Returns false where there is no room for it or it has left.
    pub fn record_heartbeat(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        let life = gateway.incarnation;
        let taken = self.merge_one(now, gateway);
        if let Some(known) = self.gateways.get_mut(&life) {
            known.unreported = true;
        }
        taken
    }

    /// Another controller told of gateways whose beats it hears.
    pub fn merge_reported(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        for gateway in gateways {
            self.merge_one(now, gateway.clone());
        }
    }

    /// Another controller hears beats of these lives. Returns those that are not known here: to be asked for.
    pub fn record_peer_heartbeats(&mut self, now: Nanos, lives: &[IncarnationId]) -> Vec<IncarnationId> {
        self.advance_clock(now);
        let mut unknown = Vec::new();
        for life in lives {
            match self.gateways.get_mut(life) {
                Some(known) => known.last_heartbeat_at = self.now,
                None if self.shut_down.contains_key(life) => {}
                None => unknown.push(*life),
            }
        }
        unknown
    }

    /// Lives whose beats came here since the last call.
    pub fn take_unreported(&mut self, now: Nanos) -> Vec<IncarnationId> {
        self.advance_clock(now);
        let fresh = self.gateways.iter_mut().filter(|(_, known)| known.unreported);
        fresh
            .map(|(life, known)| {
                known.unreported = false;
                *life
            })
            .collect()
    }

    /// What is known of these lives.
    pub fn records_of(&self, lives: &[IncarnationId]) -> Vec<GatewayRecord> {
        lives.iter().filter_map(|life| self.gateways.get(life)).map(|known| known.record.clone()).collect()
    }

    /// A gateway stops as planned; also told on by other controllers.
    pub fn record_shutdown(&mut self, now: Nanos, life: IncarnationId) {
        self.advance_clock(now);
        self.gateways.remove(&life);
        if self.shut_down.len() < self.settings.max_gateways {
            self.shut_down.insert(life, self.now);
        }
    }

    /// This process was frozen or cut off: what it has not heard says nothing.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.gateways.values_mut().for_each(|known| known.last_heartbeat_at = self.now);
        self.listening_since = Some(self.now);
    }

    /// How many gateways may be alive, or were so lately that what they spent still counts: those heard, those unheard
    /// for less than the doubt, and those that left. For sharing a budget.
    pub fn presumed_alive(&mut self, now: Nanos) -> usize {
        self.advance_clock(now);
        let floor = if now < self.presumed_alive_floor.1 { self.presumed_alive_floor.0 as usize } else { 0 };
        (self.gateways.len() + self.shut_down.len()).max(floor)
    }

    /// A cut was made by another controller, or before a restart: fences go on from it, and who lives by it does so
    /// here until found silent.
    pub fn learn_assignment(&mut self, now: Nanos, cut: &Assignment) {
        self.advance_clock(now);
        if cut.fencing_token <= self.latest.fencing_token {
            return;
        }
        self.latest = cut.clone().sorted();
        self.presumed_alive_floor = (cut.presumed_alive, self.now + self.settings.presumed_alive_timeout);
        for gateway in &cut.gateways {
            if !self.gateways.contains_key(&gateway.incarnation) {
                self.merge_one(now, gateway.clone());
            }
        }
    }

    /// The newest cut that is known here.
    pub fn latest(&self) -> &Assignment {
        &self.latest
    }

    /// A new cut, if this controller is the sequencer of the view and who lives differs from the last cut, or the last
    /// one is of an earlier view.
    pub fn reassign(&mut self, now: Nanos, view: u32, is_sequencer: bool) -> Option<Assignment> {
        self.advance_clock(now);
        if !is_sequencer || view < self.latest.fencing_token.view() {
            return None;
        }
        let listening = *self.listening_since.get_or_insert(self.now);
        let span = self.heartbeat_interval.times(HEARTBEATS_UNTIL_LOST);
        let live = self.gateways.values().filter(|known| self.now - known.last_heartbeat_at <= span);
        let live: Vec<GatewayRecord> = live.map(|known| known.record.clone()).collect();
        let may_be_alive = self.presumed_alive(now) as u32;
        let in_view =
            self.latest.fencing_token.view() == view && self.latest.fencing_token != FencingToken::default();
        if in_view && live == self.latest.gateways && may_be_alive == self.latest.presumed_alive {
            self.changed_since = None;
            return None;
        }
        let changed = *self.changed_since.get_or_insert(self.now);
        let apart = self.assigned_at.is_none_or(|at| {
            self.now - at >= self.heartbeat_interval.times(MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS)
        });
        let gathered = self.now - changed >= self.heartbeat_interval.times(HEARTBEATS_TO_BATCH_CHANGES);
        let listened =
            self.now - listening >= self.heartbeat_interval.times(HEARTBEATS_BEFORE_FIRST_ASSIGNMENT);
        if !apart || !gathered || !listened || (live.is_empty() && self.latest.gateways.is_empty()) {
            return None;
        }
        let count = if in_view { self.latest.fencing_token.count().checked_add(1)? } else { 1 };
        self.latest = Assignment {
            fencing_token: FencingToken::new(view, count),
            gateways: live,
            presumed_alive: may_be_alive,
        };
        self.assigned_at = Some(self.now);
        self.changed_since = None;
        Some(self.latest.clone())
    }

    fn merge_one(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        self.advance_clock(now);
        if self.shut_down.contains_key(&gateway.incarnation) {
            return false;
        }
        if !self.gateways.contains_key(&gateway.incarnation) {
            // A new life at this address: the older one can't be alive, and takes no share of a budget.
            self.gateways.retain(|_, known| known.record.addr != gateway.addr);
            if self.gateways.len() >= self.settings.max_gateways {
                return false;
            }
        }
        let known = KnownGateway { last_heartbeat_at: self.now, unreported: false, record: gateway };
        let fresh = self.gateways.get(&known.record.incarnation).is_some_and(|known| known.unreported);
        self.gateways.insert(known.record.incarnation, KnownGateway { unreported: fresh, ..known });
        true
    }

    fn advance_clock(&mut self, now: Nanos) {
        if now <= self.now {
            return;
        }
        self.now = now;
        let doubt =
            self.settings.presumed_alive_timeout.max(self.heartbeat_interval.times(HEARTBEATS_UNTIL_LOST));
        self.gateways.retain(|_, known| now - known.last_heartbeat_at <= doubt);
        self.shut_down.retain(|_, at| now - *at <= doubt);
    }
}

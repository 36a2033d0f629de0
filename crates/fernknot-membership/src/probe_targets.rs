//! Which router is probed next, and when.
//!
//! SWIM draws targets at random. Here all routers step along one ring of ids, at one pace given by the clock and each
//! from its own position, so that each router is probed once a period by some other. A clock that is off only makes
//! that uneven.

use crate::identity::RouterId;
use crate::member_table::MemberTable;
use crate::settings::{MembershipSettings, PROBE_TURNS_PER_FAILED_PROBE};
use fernknot::interface::Nanos;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

/// The order of probe targets and the times of probe turns.
pub(crate) struct ProbeTargets {
    /// All others, beginning after the local router's own position in the ring of ids.
    ring: Vec<RouterId>,
    /// The part of a period by which the local router's turns are early.
    phase: Nanos,
    next_turn: Nanos,
    turns: u64,
    /// To be probed before the ring's next.
    urgent: Option<RouterId>,
}

impl ProbeTargets {
    /// No targets yet; the first turn is at this time.
    pub fn new(settings: &MembershipSettings, first_turn: Nanos) -> ProbeTargets {
        let period = settings.probe_period.0;
        ProbeTargets {
            ring: Vec::new(),
            phase: Nanos(period - first_turn.0 % period.max(1)),
            next_turn: first_turn,
            turns: 0,
            urgent: None,
        }
    }

    /// Takes the targets in the order of the ring.
    pub fn set_ring(&mut self, ring: Vec<RouterId>) {
        self.ring = ring;
    }

    /// The targets in the order of the ring.
    pub fn ring(&self) -> &[RouterId] {
        &self.ring
    }

    /// When the next probe is due.
    pub fn next_turn(&self) -> Nanos {
        self.next_turn
    }

    /// Skips to the first turn after `now`.
    pub fn schedule_next_turn(&mut self, settings: &MembershipSettings, now: Nanos) {
        let period = settings.probe_period.0.max(1);
        self.next_turn = Nanos(((now.0 + self.phase.0) / period + 1) * period - self.phase.0);
    }

    /// Probes this router at the next turn.
    pub fn set_urgent(&mut self, target: RouterId) {
        self.urgent = Some(target);
    }

    /// The target of this turn: an urgent one, now and then a failed one, or the ring's next.
    pub fn pick(
        &mut self,
        settings: &MembershipSettings,
        now: Nanos,
        members: &MemberTable,
        rng: &mut ChaCha8Rng,
    ) -> Option<RouterId> {
        self.turns += 1;
        if let Some(target) = self.urgent.take().filter(|id| members.is_present(*id)) {
            return Some(target);
        }
        if members.failed() > 0 && self.turns.is_multiple_of(PROBE_TURNS_PER_FAILED_PROBE) {
            return members.failed_ids().choose(rng).copied();
        }
        self.pick_from_ring(settings, now, members, rng)
    }

    fn pick_from_ring(
        &mut self,
        settings: &MembershipSettings,
        now: Nanos,
        members: &MemberTable,
        rng: &mut ChaCha8Rng,
    ) -> Option<RouterId> {
        let others = self.ring.len() as u64;
        if others == 0 {
            return None;
        }
        let steps = if settings.is_full() {
            (now.0 + self.phase.0) / settings.probe_period.0.max(1)
        } else {
            self.turns
        };
        let position = (steps % others) as usize;
        if !settings.is_full() && position == 0 {
            self.ring.shuffle(rng);
        }
        let target = self.ring[position];
        if members.is_present(target) {
            return Some(target);
        }
        // The turn of one that is gone goes to any other.
        let present: Vec<RouterId> = self.ring.iter().copied().filter(|id| members.is_present(*id)).collect();
        present.choose(rng).copied()
    }
}

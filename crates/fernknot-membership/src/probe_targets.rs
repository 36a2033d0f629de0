//! Selection of probe targets and of the times of probes.
//!
//! SWIM draws targets at random. Here all routers step through one ring of ids, at one pace given by the clock and each
//! from its own position, so that each router is probed once per period by some other. Clock skew only makes the probes
//! less evenly distributed.

use crate::identity::RouterId;
use crate::member_table::MemberTable;
use crate::settings::{MembershipSettings, PROBES_PER_FAILED_MEMBER_PROBE};
use fernknot::interface::Nanos;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

/// Order of probe targets and schedule of probes. A turn is the time of one probe.
pub(crate) struct ProbeTargets {
    /// All other routers, beginning after the local router's own position in the ring of ids.
    ring: Vec<RouterId>,
    /// Time by which the local router's turns precede the multiples of the probe period.
    phase: Nanos,
    next_turn: Nanos,
    turn_count: u64,
    /// Router to probe before the ring's next one.
    urgent_target: Option<RouterId>,
}

impl ProbeTargets {
    /// Creates a schedule without targets whose first turn is at this time.
    pub fn new(settings: &MembershipSettings, first_turn: Nanos) -> ProbeTargets {
        let period = settings.probe_period.0;
        ProbeTargets {
            ring: Vec::new(),
            phase: Nanos(period - first_turn.0 % period.max(1)),
            next_turn: first_turn,
            turn_count: 0,
            urgent_target: None,
        }
    }

    /// Replaces the targets, given in ring order.
    pub fn set_ring(&mut self, ring: Vec<RouterId>) {
        self.ring = ring;
    }

    /// Targets in ring order.
    pub fn ring(&self) -> &[RouterId] {
        &self.ring
    }

    /// Time of the next probe.
    pub fn next_turn(&self) -> Nanos {
        self.next_turn
    }

    /// Schedules the first turn after `now`.
    pub fn schedule_next_turn(&mut self, settings: &MembershipSettings, now: Nanos) {
        let period = settings.probe_period.0.max(1);
        self.next_turn = Nanos(((now.0 + self.phase.0) / period + 1) * period - self.phase.0);
    }

    /// Selects this router as the target of the next turn.
    pub fn set_urgent_target(&mut self, target: RouterId) {
        self.urgent_target = Some(target);
    }

    /// Picks the target of this turn: the urgent one if it is present, a random failed one in every fourth turn if
    /// there are failed ones, otherwise the ring's next.
    pub fn pick(
        &mut self,
        settings: &MembershipSettings,
        now: Nanos,
        members: &MemberTable,
        rng: &mut ChaCha8Rng,
    ) -> Option<RouterId> {
        self.turn_count += 1;
        if let Some(target) = self.urgent_target.take().filter(|id| members.is_present(*id)) {
            return Some(target);
        }
        if members.failed_count() > 0 && self.turn_count.is_multiple_of(PROBES_PER_FAILED_MEMBER_PROBE) {
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
            self.turn_count
        };
        let position = (steps % others) as usize;
        if !settings.is_full() && position == 0 {
            self.ring.shuffle(rng);
        }
        let target = self.ring[position];
        if members.is_present(target) {
            return Some(target);
        }
        // The turn of a router that has failed or left goes to a random present one.
        let present: Vec<RouterId> = self.ring.iter().copied().filter(|id| members.is_present(*id)).collect();
        present.choose(rng).copied()
    }
}

//! Which faults have happened and ended, and at whom the next may aim.

use crate::faults::schedule::{Fault, Trigger};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The schedule of a run and how far it has come. Faults go by their number in the schedule.
pub(crate) struct FaultState {
    pub schedule: Vec<Fault>,
    /// Faults that wait for their trigger.
    pub armed: BTreeSet<usize>,
    /// Faults that happened, or would have if the budget had allowed it.
    pub injected: BTreeSet<usize>,
    /// The machine to which each fault happened.
    pub machines: BTreeMap<usize, usize>,
    pub ended: BTreeSet<usize>,
    /// All faults have been ended, and none begins any more.
    pub is_healing: bool,
    /// Faults by which responses are lost.
    pub response_losses: usize,
    /// Faults that split the core.
    pub core_splits: usize,
    /// When the core was last split.
    pub split_until: Nanos,
    /// Service may rest until then, as more was lost than the budget allows.
    pub rests_until: Nanos,
    /// The leader of the newest view that any controller was in.
    pub leader: Option<usize>,
    pub newest_view: u64,
    pub last_acknowledger: Option<usize>,
    /// The machine that came back last, after a start, a freeze or a partition.
    pub last_returned: Option<usize>,
}

impl FaultState {
    pub fn new(schedule: Vec<Fault>) -> FaultState {
        FaultState {
            schedule,
            armed: BTreeSet::new(),
            injected: BTreeSet::new(),
            machines: BTreeMap::new(),
            ended: BTreeSet::new(),
            is_healing: false,
            response_losses: 0,
            core_splits: 0,
            split_until: Nanos(0),
            rests_until: Nanos(0),
            leader: None,
            newest_view: 0,
            last_acknowledger: None,
            last_returned: None,
        }
    }

    /// The first armed fault that waits for this.
    pub fn waiting_for(&self, trigger: Trigger) -> Option<usize> {
        self.armed.iter().copied().find(|fault| self.schedule[*fault].trigger == trigger)
    }

    /// Faults that have happened and not ended, with their machines.
    pub fn active(&self) -> Vec<(usize, usize)> {
        let active = self.injected.difference(&self.ended);
        active.filter_map(|fault| Some((*fault, *self.machines.get(fault)?))).collect()
    }
}

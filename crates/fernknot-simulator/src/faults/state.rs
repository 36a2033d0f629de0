//! Progress of the fault schedule, and the targets of the next faults.

use crate::faults::schedule::{Fault, Trigger};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Fault schedule of a run and its progress. Faults are identified by their index in the schedule.
pub(crate) struct FaultState {
    pub schedule: Vec<Fault>,
    /// Due faults that wait for their trigger.
    pub armed: BTreeSet<usize>,
    /// Faults that were injected, or skipped because they would exceed the budget or no machine was running.
    pub injected: BTreeSet<usize>,
    /// Machine on which each fault was injected.
    pub machines: BTreeMap<usize, usize>,
    pub ended: BTreeSet<usize>,
    /// Whether all faults have been ended and no further ones are injected.
    pub injection_ended: bool,
    /// Number of active faults that lose responses.
    pub response_losses: usize,
    /// Number of active faults that split the core.
    pub core_splits: usize,
    /// Time at which the last split of the core ended.
    pub split_until: Nanos,
    /// Time until which service may be unavailable, because the core was split or more machines were lost than the
    /// fault budget allows.
    pub outage_allowed_until: Nanos,
    /// Leader of the newest view that any controller has entered.
    pub leader: Option<usize>,
    pub newest_view: u64,
    pub last_acknowledger: Option<usize>,
    /// Machine that returned last, after a start, a freeze or a partition.
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
            injection_ended: false,
            response_losses: 0,
            core_splits: 0,
            split_until: Nanos(0),
            outage_allowed_until: Nanos(0),
            leader: None,
            newest_view: 0,
            last_acknowledger: None,
            last_returned: None,
        }
    }

    /// Returns the first armed fault with this trigger.
    pub fn waiting_for(&self, trigger: Trigger) -> Option<usize> {
        self.armed.iter().copied().find(|fault| self.schedule[*fault].trigger == trigger)
    }

    /// Returns the faults that were injected and have not ended, with their machines.
    pub fn active(&self) -> Vec<(usize, usize)> {
        let active = self.injected.difference(&self.ended);
        active.filter_map(|fault| Some((*fault, *self.machines.get(fault)?))).collect()
    }
}

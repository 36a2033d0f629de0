//! Triggers and targets of faults, and the fault budget: the number of machines that may be lost at one time.

use crate::event::Event;
use crate::faults::schedule::{Fault, FaultKind, Target, Trigger};
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Time after which a due fault is injected without its trigger.
const TRIGGER_TIMEOUT: Nanos = millis(5000);

impl Simulation {
    pub(crate) fn fault_due(&mut self, fault: usize) {
        if self.control_clients.in_final_phase || self.faults.injection_ended {
            return;
        }
        if self.faults.schedule[fault].trigger == Trigger::Immediate {
            self.inject_fault(fault);
        } else {
            self.faults.armed.insert(fault);
            self.schedule(TRIGGER_TIMEOUT, Event::InjectFault(fault));
        }
    }

    /// Schedules the injection of the first due fault that waits for this trigger, if there is one.
    pub(crate) fn fire_trigger(&mut self, trigger: Trigger) {
        if let Some(fault) = self.faults.waiting_for(trigger) {
            self.faults.armed.remove(&fault);
            let delay = self.rng.between(Nanos(0), millis(15));
            self.schedule(delay, Event::InjectFault(fault));
        }
    }

    /// Injects a fault, unless it was injected before, no machine is running, or more machines would be lost than the
    /// budget allows.
    pub(crate) fn inject_fault(&mut self, fault: usize) {
        let Fault { target, kind, duration, .. } = self.faults.schedule[fault];
        self.faults.armed.remove(&fault);
        if self.faults.injection_ended || !self.faults.injected.insert(fault) {
            return;
        }
        let Some(machine) = self.resolve_target(target) else { return };
        let machine = match kind {
            FaultKind::ReadFlood => self.faults.last_returned.unwrap_or(machine),
            _ => machine,
        };
        if kind.loses_disk() {
            self.forget_repaired_disks();
        }
        if kind.counts_as_loss() && self.exceeds_budget(kind, machine) {
            return self.trace(|| format!("({kind:?} on {machine} would lose too many)"));
        }
        self.trace(|| format!("FAULT {fault}: {kind:?} on {machine} for {:.0} ms", duration.as_millis()));
        if kind.counts_as_loss() {
            self.machines[machine].active_faults += 1;
            self.machines[machine].disturbed_at = self.now;
        }
        self.faults.machines.insert(fault, machine);
        self.schedule(duration, Event::EndFault { fault, machine });
        self.begin_fault(kind, machine, duration);
        let is_partition = matches!(
            kind,
            FaultKind::Isolate { .. } | FaultKind::PartitionPair { .. } | FaultKind::SplitCore { .. }
        );
        if is_partition {
            self.fire_trigger(Trigger::Partitioned);
        }
    }

    fn resolve_target(&self, target: Target) -> Option<usize> {
        let running = self.running_machines();
        let wanted = match target {
            Target::Leader => self.faults.leader,
            Target::LastAcknowledger => self.faults.last_acknowledger,
            Target::Running(index) => running.get(index % running.len().max(1)).copied(),
        };
        wanted.filter(|machine| running.contains(machine)).or(running.first().copied())
    }

    fn exceeds_budget(&self, kind: FaultKind, machine: usize) -> bool {
        let lost = self.lost_machines();
        let others = lost.iter().filter(|other| **other != machine).count();
        let affects_all = matches!(kind, FaultKind::AllMachines { .. });
        // Without a lost disk all data survives, so that any number of processes may be lost at one time.
        if self.settings.changes_in_series && !kind.loses_disk() {
            return false;
        }
        let is_over_budget = others >= self.settings.tolerated_losses
            || (affects_all && !lost.is_empty())
            || (kind.loses_disk()
                && self.unrepaired_disks_besides(machine) >= self.settings.tolerated_losses);
        is_over_budget && !self.settings.exceeds_fault_budget
    }

    /// Number of other machines with a lost disk whose data may not have been replicated to them again. Without core
    /// splits this is 0, because the data is then replicated before the machine stops counting as lost.
    fn unrepaired_disks_besides(&self, machine: usize) -> usize {
        let is_unrepaired = |other: &usize| *other != machine && self.machines[*other].lost_disk;
        let present = self.present_machines();
        if self.settings.splits_core {
            present.iter().filter(|other| is_unrepaired(other)).count()
        } else {
            0
        }
    }

    /// Stops counting lost disks once no machine counts as lost and the core has not been split for the catch-up time.
    pub(super) fn forget_repaired_disks(&mut self) {
        let is_intact = self.faults.core_splits == 0 && self.lost_machines().is_empty();
        if is_intact && self.now >= self.faults.split_until + self.settings.bounds.catch_up_time {
            self.machines.iter_mut().for_each(|machine| machine.lost_disk = false);
        }
    }

    /// Allows unavailability until the recovery time after the last moment at which the core was split or more machines
    /// were lost than the budget allows, which may follow from a split.
    pub(crate) fn extend_allowed_outage(&mut self) {
        self.forget_repaired_disks();
        if !self.settings.splits_core {
            return;
        }
        let lost = self.lost_machines();
        let is_lost = |index: &usize| self.machines[*index].lost_disk || lost.contains(index);
        let lost_count = self.present_machines().iter().filter(|index| is_lost(index)).count();
        if self.faults.core_splits > 0 || lost_count > self.settings.tolerated_losses {
            self.faults.outage_allowed_until = self.now + self.settings.bounds.recovery_time;
        }
    }

    /// Returns the machines that count as lost, by an active fault or while they catch up after one.
    fn lost_machines(&self) -> Vec<usize> {
        let is_lost = |index: &usize| {
            let machine = &self.machines[*index];
            machine.active_faults > 0 || machine.unavailable_until > self.now
        };
        self.present_machines().into_iter().filter(is_lost).collect()
    }
}

//! Beginning and end of each kind of fault.

use crate::controllers::machine::WriteBehavior;
use crate::event::Event;
use crate::faults::schedule::{Direction, FaultKind, Trigger};
use crate::settings::FOUNDING_MEMBERS;
use crate::simulation::Simulation;
use crate::time::millis;
use crate::topology::{FIRST_SUBSCRIBER, MAX_MACHINES};
use fernknot::interface::Nanos;

/// Delay after the end of a graceful restart at which the machine is started again. Longer than the shutdown grace,
/// so that the old process has ended or was killed.
const RESTART_DELAY: Nanos = millis(1600);
/// Delay after the end of all faults at which every machine without a process is started.
const FINAL_START_DELAY: Nanos = millis(1700);

impl Simulation {
    pub(super) fn begin_fault(&mut self, kind: FaultKind, machine: usize, duration: Nanos) {
        match kind {
            FaultKind::Kill => self.end_controller(machine, false),
            FaultKind::PowerLoss => self.end_controller(machine, true),
            FaultKind::AllMachines { power, wiped } => self.end_all_controllers(machine, power, wiped),
            FaultKind::WipeDisk => {
                self.end_controller(machine, false);
                self.wipe_disk(machine);
                self.machines[machine].lost_disk = true;
            }
            FaultKind::Isolate { direction, subscribers } => {
                self.isolate(machine, direction, subscribers, true);
            }
            FaultKind::PartitionPair { direction } => self.partition_pair(machine, direction, true),
            FaultKind::SplitCore { half } => self.split_core(half, true),
            FaultKind::ResetConnections => self.reset_connections(machine),
            FaultKind::Freeze => self.set_frozen(machine, true),
            FaultKind::DiskFull => self.set_write_behavior(machine, WriteBehavior::Full),
            FaultKind::DiskHang => self.set_write_behavior(machine, WriteBehavior::Hanging),
            FaultKind::DiskSlow => {
                self.network.slow_faults += 1;
                self.set_write_behavior(machine, WriteBehavior::Slow);
            }
            FaultKind::LinkSlow => {
                self.network.slow_faults += 1;
                self.machines[machine].has_slow_link = true;
            }
            FaultKind::LoseResponses => {
                self.faults.response_losses += 1;
                self.set_response_loss();
            }
            FaultKind::ReplaceMachine => self.replace_machine(machine),
            FaultKind::GracefulRestart => self.stop_controller(machine),
            FaultKind::ConcurrentChanges => self.submit_concurrent_changes(),
            FaultKind::ChangeStorm => self.set_change_storm(true),
            FaultKind::ReadFlood => self.flood_machine(machine, duration),
        }
    }

    /// Ends a fault, unless it has already ended.
    pub(crate) fn end_fault(&mut self, fault: usize, machine: usize) {
        let kind = self.faults.schedule[fault].kind;
        if !self.faults.ended.insert(fault) {
            return;
        }
        self.trace(|| format!("fault {fault} is over: {kind:?} on {machine}"));
        let returning = match kind {
            FaultKind::AllMachines { .. } => self.present_machines(),
            // The replacement, which was added last.
            FaultKind::ReplaceMachine => vec![self.machines.len() - 1],
            _ => vec![machine],
        };
        self.undo_fault(kind, machine);
        if kind.counts_as_loss() {
            self.begin_catch_up(returning);
        }
    }

    fn undo_fault(&mut self, kind: FaultKind, machine: usize) {
        match kind {
            FaultKind::Kill | FaultKind::PowerLoss | FaultKind::WipeDisk => {
                self.start_controller(machine, false);
            }
            FaultKind::AllMachines { .. } => self.start_all_controllers(),
            FaultKind::Isolate { direction, subscribers } => {
                self.isolate(machine, direction, subscribers, false);
            }
            FaultKind::PartitionPair { direction } => self.partition_pair(machine, direction, false),
            FaultKind::SplitCore { half } => self.split_core(half, false),
            FaultKind::ResetConnections
            | FaultKind::ConcurrentChanges
            | FaultKind::ReadFlood
            | FaultKind::ReplaceMachine => {}
            FaultKind::Freeze => self.set_frozen(machine, false),
            FaultKind::DiskFull | FaultKind::DiskHang => {
                self.set_write_behavior(machine, WriteBehavior::Normal);
            }
            FaultKind::DiskSlow => {
                self.end_slow_fault();
                self.set_write_behavior(machine, WriteBehavior::Normal);
            }
            FaultKind::LinkSlow => {
                self.end_slow_fault();
                self.machines[machine].has_slow_link = false;
            }
            FaultKind::LoseResponses => {
                self.faults.response_losses -= 1;
                self.set_response_loss();
            }
            FaultKind::GracefulRestart => {
                self.schedule(RESTART_DELAY, Event::StartMachine(machine));
                self.machines[machine].unavailable_until =
                    self.now + RESTART_DELAY + self.settings.bounds.catch_up_time;
            }
            FaultKind::ChangeStorm => self.set_change_storm(false),
        }
    }

    /// Removes one active fault from these machines and counts them as lost until their catch-up time is over.
    fn begin_catch_up(&mut self, machines: Vec<usize>) {
        let until = self.now + self.settings.bounds.catch_up_time;
        for index in machines {
            let machine = &mut self.machines[index];
            machine.active_faults = machine.active_faults.saturating_sub(1);
            machine.unavailable_until = machine.unavailable_until.max(until);
            machine.disturbed_at = self.now;
        }
    }

    /// Ends all processes. Counts the fault as active on every machine; the target is counted by the caller.
    fn end_all_controllers(&mut self, target: usize, loses_power: bool, is_wiped: bool) {
        for index in 0..self.machines.len() {
            if index != target && !self.machines[index].is_removed {
                self.machines[index].active_faults += 1;
            }
            self.end_controller(index, loses_power);
        }
        if is_wiped {
            self.wipe_disk(target);
            self.machines[target].lost_disk = true;
        }
    }

    fn start_all_controllers(&mut self) {
        for machine in self.present_machines() {
            let delay = self.rng.between(millis(0), millis(300));
            self.schedule(delay, Event::StartMachine(machine));
        }
    }

    fn end_slow_fault(&mut self) {
        self.network.slow_faults -= 1;
        self.network.core_disturbed_at = self.now;
    }

    /// Makes all machines lose responses while any fault requires it.
    fn set_response_loss(&mut self) {
        let loses_responses = self.faults.response_losses > 0;
        for machine in &mut self.machines {
            machine.loses_responses = loses_responses;
        }
    }

    fn isolate(&mut self, machine: usize, direction: Direction, subscribers: bool, begins: bool) {
        if !begins {
            self.faults.last_returned = Some(machine);
            self.fire_trigger(Trigger::MachineReturned);
        }
        let gateways = if self.settings.changes_in_series { self.settings.gateways } else { 0 };
        let subscribers = if subscribers { self.subscribers.count() + gateways } else { 0 };
        // Includes the indices of machines that may be added during the fault.
        let machines = (0..MAX_MACHINES).filter(|other| *other != machine);
        for other in machines.chain(FIRST_SUBSCRIBER..FIRST_SUBSCRIBER + subscribers) {
            self.partition_link(machine, other, direction, begins);
        }
    }

    /// Begins or ends a partition between the machines whose bit is set in `half` and the others. It includes machines
    /// that may be added during the fault.
    fn split_core(&mut self, half: u64, begins: bool) {
        if begins {
            self.forget_repaired_disks();
            self.faults.core_splits += 1;
        } else {
            self.faults.core_splits -= 1;
            self.faults.split_until = self.now;
        }
        let is_in_half = |machine: usize| half >> (machine % u64::BITS as usize) & 1 == 1;
        for machine in 0..MAX_MACHINES {
            for other in (0..machine).filter(|other| is_in_half(*other) != is_in_half(machine)) {
                self.set_partition(machine, other, begins);
                self.set_partition(other, machine, begins);
            }
        }
    }

    fn partition_pair(&mut self, machine: usize, direction: Direction, begins: bool) {
        let other = (machine + 1) % self.settings.members;
        if other != machine {
            self.partition_link(machine, other, direction, begins);
        }
    }

    fn partition_link(&mut self, machine: usize, other: usize, direction: Direction, begins: bool) {
        if direction != Direction::Outbound {
            self.set_partition(other, machine, begins);
        }
        if direction != Direction::Inbound {
            self.set_partition(machine, other, begins);
        }
    }

    /// Replaces a machine by a new one with another address, which is added to the clients' lists with a delay.
    fn replace_machine(&mut self, old: usize) {
        if self.machines.len() >= MAX_MACHINES {
            return;
        }
        self.end_controller(old, true);
        self.machines[old].is_removed = true;
        let new = self.add_machine();
        self.machines[new].active_faults += 1;
        self.machines[new].lost_disk = true;
        self.replace_seed(old, new);
        self.trace(|| format!("{new} comes in the place of {old}"));
        self.start_controller(new, false);
        self.schedule(self.settings.bounds.seed_lag, Event::UpdateAdvertised);
    }

    /// Replaces the old machine by the new one, at a random index of the seeds, and fills the seeds up with others.
    fn replace_seed(&mut self, old: usize, new: usize) {
        let known: Vec<usize> =
            self.present_machines().into_iter().filter(|machine| *machine != new).collect();
        let seeds = &mut self.discovery.seeds;
        seeds.retain(|seed| *seed != old);
        let insert_index = self.rng.below(seeds.len() + 1);
        seeds.insert(insert_index, new);
        for machine in known {
            if seeds.len() < FOUNDING_MEMBERS && !seeds.contains(&machine) {
                seeds.push(machine);
            }
        }
    }

    /// Ends all faults and disables further ones.
    pub(crate) fn end_all_faults(&mut self) {
        self.trace(|| "all faults end".into());
        self.faults.injection_ended = true;
        self.faults.armed.clear();
        for (fault, machine) in self.faults.active() {
            self.end_fault(fault, machine);
        }
        for machine in 0..self.machines.len() {
            self.schedule(FINAL_START_DELAY, Event::StartMachine(machine));
        }
    }
}

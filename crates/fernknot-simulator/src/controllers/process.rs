//! Life cycle of a controller process: start, end, freeze and graceful shutdown.

use crate::controllers::machine::{INITIAL_CLOCK_READING, Input};
use crate::event::Event;
use crate::faults::schedule::Trigger;
use crate::rng::splitmix64;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::{NEVER, ProcessClock, millis};
use crate::topology::{controller_addr, zone_name};
use fernknot::interface::Nanos;
use fernknot_controller::{Controller, ControllerSettings};
use fernknot_schema::DigestKey;

/// Time that a controller has for a graceful shutdown before it is killed: a quarter of the setting `grace_s` of 6 s,
/// as in production.
const SHUTDOWN_GRACE: Nanos = millis(1500);
/// Interval at which a process that is shutting down is polled for completion.
const SHUTDOWN_POLL_INTERVAL: Nanos = millis(20);
/// Window of the gateways' retry budget in the controllers' settings.
const BUDGET_WINDOW: Nanos = millis(10_000);

impl Simulation {
    /// Starts a controller process with the current contents of its disk, unless one runs or the machine was removed.
    pub(crate) fn start_controller(&mut self, index: usize, bootstrap: bool) {
        if self.machines[index].is_up() || self.machines[index].is_removed {
            return;
        }
        let incarnation = self.next_sequence();
        let controller = self.build_controller(index, incarnation, bootstrap);
        let machine = &mut self.machines[index];
        machine.incarnation = incarnation;
        machine.clock =
            ProcessClock::new(self.now, INITIAL_CLOCK_READING, self.settings.clock_rate(incarnation));
        machine.is_frozen = false;
        machine.is_powered = true;
        machine.inbox.clear();
        machine.disk.pending_writes.clear();
        machine.disk.is_open = true;
        machine.controller = Some(controller);
        machine.disturbed_at = self.now;
        self.network.core_disturbed_at = self.now;
        self.faults.last_returned = Some(index);
        self.trace(|| format!("{index} starts"));
        let delay = self.rng.between(millis(3), millis(40));
        self.schedule_input(delay, index, incarnation, Input::DiskLoaded);
        self.fire_trigger(Trigger::MachineReturned);
        self.run_actions(index);
    }

    fn build_controller(&self, index: usize, incarnation: u64, bootstrap: bool) -> Controller {
        let bounds = self.settings.bounds;
        let settings = ControllerSettings {
            addr: controller_addr(index),
            zone: zone_name(index),
            seeds: self.discovery.seeds.iter().map(|seed| controller_addr(*seed)).collect(),
            bootstrap,
            tolerated_losses: self.settings.tolerated_losses,
            heartbeat_interval: bounds.heartbeat_interval,
            apply_deadline: bounds.apply_deadline,
            contact_timeout: bounds.contact_timeout,
            budget_window: BUDGET_WINDOW,
            seed: splitmix64(self.settings.seed ^ incarnation.rotate_left(32)) | 1,
            digest_key: DigestKey::new([index as u8; DigestKey::BYTES]),
            usage_reporting: None,
        };
        let bug = match self.settings.seeded_bug {
            Some(SeededBug::Controller(bug)) => Some(bug),
            _ => None,
        };
        Controller::with_seeded_bug(settings, millis(1), bug)
    }

    /// Ends the controller process; with `loses_power` the machine becomes unreachable too.
    pub(crate) fn end_controller(&mut self, index: usize, loses_power: bool) {
        let keeps_writes = self.rng.one_in(2);
        let machine = &mut self.machines[index];
        if !machine.is_up() {
            machine.is_powered &= !loses_power;
            return;
        }
        let incarnation = machine.incarnation;
        machine.controller = None;
        machine.is_frozen = false;
        machine.wake_at = NEVER;
        machine.inbox.clear();
        machine.is_powered = !loses_power;
        machine.disturbed_at = self.now;
        self.end_pending_writes(index, keeps_writes);
        self.network.core_disturbed_at = self.now;
        self.trace(|| format!("{index} ends{}", if loses_power { ", without power" } else { "" }));
        self.end_peer_connections(index, loses_power);
        self.drop_control_calls(index, incarnation, loses_power);
        self.drop_subscribers(index, incarnation, loses_power);
        self.drop_gateway_connections(index, incarnation, loses_power);
    }

    /// Freezes a process, or resumes it and delivers the inputs that were queued meanwhile.
    pub(crate) fn set_frozen(&mut self, index: usize, is_frozen: bool) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if machine.is_frozen == is_frozen || !machine.is_up() {
            return;
        }
        machine.is_frozen = is_frozen;
        machine.disturbed_at = now;
        self.network.core_disturbed_at = now;
        self.trace(|| format!("{index} {}", if is_frozen { "freezes" } else { "thaws" }));
        if !is_frozen {
            self.resume_controller(index);
        }
    }

    fn resume_controller(&mut self, index: usize) {
        self.faults.last_returned = Some(index);
        self.fire_trigger(Trigger::MachineReturned);
        // Overdue timers may run before the queued inputs, or after them.
        if self.rng.one_in(2) {
            self.run_actions(index);
        }
        for input in std::mem::take(&mut self.machines[index].inbox) {
            self.deliver(index, input);
        }
        self.run_actions(index);
    }

    /// Begins a graceful shutdown, as SIGTERM does.
    pub(crate) fn stop_controller(&mut self, index: usize) {
        let now = self.now;
        self.network.core_disturbed_at = now;
        let machine = &mut self.machines[index];
        let local_time = machine.local_time(now);
        let incarnation = machine.incarnation;
        let Some(controller) = &mut machine.controller else { return };
        controller.begin_shutdown(local_time);
        machine.stop_deadline = now + SHUTDOWN_GRACE;
        self.trace(|| format!("{index} is asked to stop"));
        self.run_actions(index);
        self.schedule(SHUTDOWN_POLL_INTERVAL, Event::CheckStopped { machine: index, incarnation });
    }

    pub(crate) fn check_stopped(&mut self, index: usize, incarnation: u64) {
        let machine = &self.machines[index];
        if machine.incarnation != incarnation {
            return;
        }
        let Some(controller) = &machine.controller else { return };
        if controller.can_exit() || self.now >= machine.stop_deadline {
            self.end_controller(index, false);
        } else {
            self.schedule(SHUTDOWN_POLL_INTERVAL, Event::CheckStopped { machine: index, incarnation });
        }
    }

    /// Sets the clients' lists of controllers to all machines that were not replaced.
    pub(crate) fn update_advertised(&mut self) {
        self.discovery.advertised = self.present_machines();
    }

    /// Machines that were not replaced, running or not.
    pub(crate) fn present_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| !self.machines[*index].is_removed).collect()
    }

    /// Machines with a running process that is not frozen.
    pub(crate) fn running_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].is_running()).collect()
    }
}

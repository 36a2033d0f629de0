//! Delivery of inputs to controllers, and the controllers' timers.

use crate::controllers::machine::Input;
use crate::event::Event;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::micros;
use crate::topology::machine_index;
use fernknot::interface::Nanos;
use fernknot_controller::PendingCall;

/// Number of connections over which all calls reach one process; a call uses the connection with its number modulo
/// this.
const CALLER_CONNECTIONS: u64 = 8;

fn pending_call(call: u64) -> PendingCall {
    PendingCall { connection: call % CALLER_CONNECTIONS, call }
}

impl Simulation {
    pub(crate) fn schedule_input(&mut self, delay: Nanos, machine: usize, incarnation: u64, input: Input) {
        self.schedule(delay, Event::Input { machine, incarnation, input });
    }

    /// Delivers an input and executes the resulting actions; queues the input while the process is frozen.
    pub(crate) fn deliver(&mut self, index: usize, input: Input) {
        let machine = &mut self.machines[index];
        if machine.is_frozen {
            machine.inbox.push_back(input);
            return;
        }
        if !machine.is_up() {
            return;
        }
        match input {
            Input::DiskLoaded => self.load_disk(index),
            other => self.handle_input(index, other),
        }
        self.run_actions(index);
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        let machine = &mut self.machines[index];
        let now = machine.local_time(self.now);
        let Some(controller) = &mut machine.controller else { return };
        match input {
            Input::PeerMessage { from, message } => controller.handle_peer_message(now, from, message),
            Input::PeerConnected { peer, connection } => {
                if self.network.outgoing(index, machine_index(peer)) == Some(connection) {
                    controller.peer_connected(now, peer);
                }
            }
            Input::PeerDisconnected { peer } => {
                if self.network.outgoing(index, machine_index(peer)).is_none() {
                    controller.peer_disconnected(now, peer);
                }
            }
            Input::Stored { write, succeeded } => {
                controller.write_completed(now, write, succeeded);
                if machine.disk.is_idle() {
                    controller.set_disk_health(now, true);
                }
            }
            Input::WriteTimeout(write) => {
                if machine.disk.is_pending(write) {
                    controller.set_disk_health(now, false);
                }
            }
            Input::Call(call) => {
                if let Some(request) = self.control_clients.request_of(call) {
                    controller.handle_call(now, pending_call(call), request);
                }
            }
            Input::CallCancelled(call) => controller.cancel_call(pending_call(call)),
            Input::GatewayMessage { from, message } => controller.handle_gateway_message(now, from, message),
            Input::SubscriberGone(subscriber) => controller.unsubscribe(subscriber),
            Input::DiskLoaded => {}
        }
    }

    fn load_disk(&mut self, index: usize) {
        let is_stale = self.settings.has_bug(SeededBug::StaleDisk);
        let machine = &mut self.machines[index];
        let now = machine.local_time(self.now);
        let Some(controller) = &mut machine.controller else { return };
        let older = machine.disk.older_states.front().filter(|_| is_stale);
        let state = older.or(machine.disk.state.as_ref()).cloned();
        let is_empty = state.is_none();
        controller.disk_loaded(now, state, &machine.disk.known_peers, is_empty);
        controller.set_disk_health(now, true);
        self.trace(|| format!("{index} has read its disk, {}", if is_empty { "empty" } else { "not empty" }));
    }

    /// Executes the controller's actions until none is left, then stores the time of its next timer.
    pub(crate) fn run_actions(&mut self, index: usize) {
        loop {
            let machine = &mut self.machines[index];
            let local_time = machine.local_time(self.now);
            if machine.is_frozen {
                return;
            }
            let Some(controller) = &mut machine.controller else { return };
            let Some(action) = controller.poll_action(local_time) else {
                let timeout = machine.clock.simulated_time(controller.next_timeout());
                machine.wake_at = timeout.max(self.now + micros(1));
                return;
            };
            self.execute(index, action);
        }
    }
}

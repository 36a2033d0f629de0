//! Execution of a controller's actions. A controller does no input or output itself; it requests messages, writes and
//! replies as actions from the program that drives it, which here is the simulation.

use crate::simulation::Simulation;
use crate::topology::machine_index;
use fernknot_controller::{Action, PendingCall, SubscriberId};
use fernknot_http_api::Reply;
use fernknot_rpc::ControllerToGateway;

/// Identifies the simulator's own calls that read a controller's counters for the log.
pub(super) const COUNTERS_CALL: PendingCall = PendingCall { connection: u64::MAX, call: u64::MAX };

impl Simulation {
    pub(super) fn execute(&mut self, index: usize, action: Action) {
        match action {
            Action::Reply { call, reply } => self.route_reply(index, call, &reply),
            Action::Send { to, message } => self.send_peer_message(index, machine_index(to), message),
            Action::Notify { to, message } => self.notify(index, to, &message),
            Action::Connect { to } => self.connect_peer(index, machine_index(to)),
            Action::AbortConnect { to } => self.abort_peer_connection(index, machine_index(to)),
            Action::Store { write_id, state } => self.begin_write(index, write_id, state),
            Action::StoreKnownPeers { addrs } => self.machines[index].disk.known_peers = addrs,
            // The simulated system has no platform.
            Action::StartPlatformCall { .. } | Action::AbortPlatformCall { .. } => {}
            Action::Log { text, .. } => self.observe_log(index, &text),
        }
    }

    fn route_reply(&mut self, index: usize, call: PendingCall, reply: &Reply) {
        if call == COUNTERS_CALL {
            self.record_counters(index, reply);
        } else {
            self.respond(index, call.call, reply);
        }
    }

    fn notify(&mut self, index: usize, to: Vec<SubscriberId>, message: &ControllerToGateway) {
        let incarnation = self.machines[index].incarnation;
        for subscriber in to {
            if self.gateways.connections.contains_key(&subscriber.0) {
                self.notify_gateway(subscriber, message);
            } else {
                self.notify_subscriber(index, incarnation, subscriber, message);
            }
        }
    }
}

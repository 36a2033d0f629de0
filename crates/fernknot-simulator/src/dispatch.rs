//! Dispatch of events to the components.

use crate::event::Event;
use crate::simulation::Simulation;

impl Simulation {
    pub(crate) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Input { machine, incarnation, input } => {
                if self.machines[machine].runs_incarnation(incarnation) {
                    self.deliver(machine, input);
                }
            }
            Event::PeerMessage { connection, message } => self.peer_message_arrives(connection, message),
            Event::PeerSyn { connection } => self.peer_syn_arrives(connection),
            Event::FlushStalled { connection } => self.flush_stalled(connection),
            Event::PeerTimeout { connection, stall } => self.time_out_peer_connection(connection, stall),
            Event::WriteDone { machine, incarnation, write, state } => {
                self.complete_write(machine, incarnation, write, state);
            }
            Event::DiskReopen { machine, incarnation } => self.reopen_disk(machine, incarnation),
            Event::FirstStart(machine) => self.start_controller(machine, true),
            Event::StartMachine(machine) => self.start_controller(machine, false),
            Event::CheckStopped { machine, incarnation } => self.check_stopped(machine, incarnation),
            Event::UpdateAdvertised => self.update_advertised(),
            Event::FaultDue(fault) => self.fault_due(fault),
            Event::InjectFault(fault) => self.inject_fault(fault),
            Event::EndFault { fault, machine } => self.end_fault(fault, machine),
            Event::ControlClient(event) => self.on_control_client_event(event),
            Event::Subscriber(event) => self.on_subscriber_event(event),
            Event::Gateway(event) => self.on_gateway_event(event),
            Event::Traffic(event) => self.on_traffic_event(event),
        }
    }
}

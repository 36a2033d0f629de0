//! Events of operators and nodes, and the periodic check of acknowledgement deadlines.

use crate::checks::rule::Rule;
use crate::control_clients::state::{ControlClientEvent, Purpose};
use crate::event::Event;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;

/// Interval between checks of requests without a response.
const CHECK_INTERVAL: Nanos = millis(100);

impl Simulation {
    pub(crate) fn start_control_clients(&mut self) {
        for operator in 0..self.control_clients.operators.len() {
            self.schedule_client(millis(700), ControlClientEvent::OperatorTurn(operator));
        }
        for node in 0..self.control_clients.nodes.len() {
            self.schedule_client(millis(400 + 100 * node as u64), ControlClientEvent::NodeTurn(node));
        }
        self.schedule_client(CHECK_INTERVAL, ControlClientEvent::CheckDeadlines);
    }

    pub(super) fn schedule_client(&mut self, delay: Nanos, event: ControlClientEvent) {
        self.schedule(delay, Event::ControlClient(event));
    }

    pub(crate) fn on_control_client_event(&mut self, event: ControlClientEvent) {
        match event {
            ControlClientEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            ControlClientEvent::AttemptEnded { attempt, response } => self.attempt_ended(attempt, response),
            ControlClientEvent::AttemptTimeout(attempt) => self.attempt_timed_out(attempt),
            ControlClientEvent::Retry { request } => self.send_attempt(request),
            ControlClientEvent::OperatorTurn(operator) => self.operator_turn(operator),
            ControlClientEvent::NodeTurn(node) => self.node_turn(node),
            ControlClientEvent::Flood { machine, remaining } => self.flood_machine(machine, remaining),
            ControlClientEvent::CheckDeadlines => {
                self.check_acknowledgements();
                self.check_subscribers();
                self.schedule_client(CHECK_INTERVAL, ControlClientEvent::CheckDeadlines);
            }
        }
    }

    /// Reports a change or drain without a definitive response within the acknowledgement deadline. Time counts only
    /// while the core is stable, no link is partitioned and no fault drops responses.
    fn check_acknowledgements(&mut self) {
        let is_undisturbed =
            self.is_core_stable() && !self.network.has_partitions() && self.faults.response_losses == 0;
        let undisturbed_since = self.control_clients.undisturbed_since.filter(|_| is_undisturbed);
        self.control_clients.undisturbed_since = undisturbed_since.or(is_undisturbed.then_some(self.now));
        let Some(since) = self.control_clients.undisturbed_since else { return };
        let deadline = self.settings.bounds.ack_deadline;
        let must_be_acknowledged =
            |purpose: Purpose| matches!(purpose, Purpose::Replace(_) | Purpose::Drain(_));
        let late = self
            .control_clients
            .requests
            .values()
            .filter(|request| must_be_acknowledged(request.purpose))
            .map(|request| (request.purpose, request.started_at.max(since)))
            .find(|(_, waiting_since)| self.now - *waiting_since > deadline);
        if let Some((purpose, waiting_since)) = late {
            let since_ms = waiting_since.as_millis();
            self.report(
                Rule::Acks,
                format!("{purpose:?} has no clear response, calm since {since_ms:.0} ms"),
            );
        }
    }
}

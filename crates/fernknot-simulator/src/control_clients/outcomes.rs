//! Handling of definitive responses: updates of the client's state, and observations for the checkers.

use crate::checks::observations::DrainRecord;
use crate::checks::rule::Rule;
use crate::control_clients::configs::version_of;
use crate::control_clients::requests::excerpt;
use crate::control_clients::state::{Attempt, ControlRequest, ControlResponse, NodePhase, Purpose, node_id};
use crate::linearizability::{Call, Completion, Operation, OperationResult};
use crate::simulation::Simulation;
use crate::time::millis;

impl ControlResponse {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

impl Simulation {
    pub(super) fn request_completed(&mut self, id: u64, attempt: &Attempt, response: &ControlResponse) {
        let Some(request) = self.control_clients.requests.remove(&id) else { return };
        let completed_at = self.next_sequence();
        match request.purpose {
            Purpose::Replace(change) => self.change_completed(change, response, completed_at),
            Purpose::Resend(change) => self.check_resend(change, attempt, response),
            Purpose::Read { operator } => {
                self.read_completed(&request, operator, attempt, response, completed_at);
            }
            Purpose::Heartbeat(_) => {}
            Purpose::Drain(node) => self.drain_completed(node, attempt, response),
            Purpose::Deregister(node) => {
                self.control_clients.nodes[node].phase = NodePhase::Stopped;
                self.stop_node(node);
            }
        }
    }

    fn change_completed(&mut self, index: usize, response: &ControlResponse, completed_at: u64) {
        let is_committed = response.is_success();
        let result = if is_committed { OperationResult::Committed } else { OperationResult::Rejected };
        let change = &mut self.observations.changes[index];
        change.completion = Some(Completion { at: completed_at, result });
        let (base, version, operator) = (change.base, change.version, change.operator);
        self.trace(|| format!("change {index} ({base} to {version:?}): {}", response.status));
        if is_committed {
            self.observations.acknowledged.push((version, self.now));
        }
        let Some(operator) = self.control_clients.operators.get_mut(operator) else { return };
        if is_committed {
            operator.newest_epoch = operator.newest_epoch.max(version.epoch);
        } else {
            operator.reads_next = true;
        }
    }

    fn check_resend(&mut self, change: usize, attempt: &Attempt, response: &ControlResponse) {
        if response.is_success() {
            return;
        }
        let version = self.observations.changes[change].version;
        let (machine, status, body) = (attempt.machine, response.status, excerpt(&response.body));
        let text = format!(
            "change {change} ({version:?}) was acknowledged, sent again and answered {status} by {machine} ({body})"
        );
        self.report(Rule::Config, text);
    }

    fn read_completed(
        &mut self,
        request: &ControlRequest,
        operator: Option<usize>,
        attempt: &Attempt,
        response: &ControlResponse,
        completed_at: u64,
    ) {
        let found = match response.status {
            _ if response.is_success() => version_of(&response.body),
            404 => None,
            _ => return,
        };
        let machine = attempt.machine;
        if response.is_success() && found.is_none() {
            self.report(Rule::Config, format!("{machine} returned a configuration that no client sent"));
        }
        self.observations.reads.push(Call {
            operation: Operation::Read,
            invoked_at: attempt.invoked_at,
            completion: Some(Completion { at: completed_at, result: OperationResult::Value(found) }),
        });
        if let Some(version) = found {
            self.observations.record_observed_version(version, completed_at);
        }
        if request.only_machine.is_some() && self.control_clients.in_final_phase {
            self.observations.final_reads.insert(machine, found);
        }
        if let Some(operator) = operator.and_then(|index| self.control_clients.operators.get_mut(index)) {
            operator.newest_epoch = found.map_or(0, |found| found.epoch);
        }
    }

    fn drain_completed(&mut self, index: usize, attempt: &Attempt, response: &ControlResponse) {
        let incarnation = self.control_clients.nodes[index].incarnation;
        // An acknowledgement counts even if the machine that sends it is not in contact.
        if response.is_success() {
            self.observations.drain_count += 1;
            self.observations.drains.push(DrainRecord {
                node: node_id(incarnation),
                acknowledged_at: self.now,
                machine: attempt.machine,
            });
        }
        let delay = self.settings.bounds.drain_cutoff + self.rng.between(millis(0), millis(2000));
        let node = &mut self.control_clients.nodes[index];
        node.phase = NodePhase::Leaving;
        node.phase_ends_at = self.now + delay;
    }
}

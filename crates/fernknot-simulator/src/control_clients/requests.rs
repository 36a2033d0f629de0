//! Requests to the control plane: their attempts, retries and time-outs.

use crate::control_clients::state::{Attempt, ControlClientEvent, ControlRequest, ControlResponse, Purpose};
use crate::controllers::machine::Input;
use crate::faults::schedule::Trigger;
use crate::http_request::parse_request;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;
use fernknot_http_api::Reply;

/// Time after which an attempt without a response fails.
const ATTEMPT_TIMEOUT: Nanos = millis(1000);
const INITIAL_BACKOFF: Nanos = millis(50);
const MAX_BACKOFF: Nanos = millis(1000);
const BACKOFF_FACTOR: f64 = 1.6;
/// Number of rejected attempts after which a request ends even without a definitive status.
const MAX_REJECTIONS: usize = 3;
/// Maximum length of a response's body in the log, in characters.
const MAX_EXCERPT_CHARS: usize = 90;
/// Zone of the control plane's clients, from which their network delays are sampled.
const CLIENT_ZONE: usize = 0;

impl Simulation {
    /// Begins a request. All attempts go to `only_machine`, if one is given.
    pub(super) fn begin_request(
        &mut self,
        purpose: Purpose,
        head: &str,
        body: &str,
        only_machine: Option<usize>,
    ) {
        let Some(request) = parse_request(head, body) else { return };
        let id = self.next_sequence();
        let request = ControlRequest {
            purpose,
            request,
            only_machine,
            started_at: self.now,
            backoff: INITIAL_BACKOFF,
            rejections: 0,
            last_machine: None,
            give_up_at: None,
        };
        self.control_clients.requests.insert(id, request);
        self.send_attempt(id);
    }

    /// Sends a request to an advertised controller other than the one of the last attempt, if there is another.
    pub(super) fn send_attempt(&mut self, request_id: u64) {
        let Some(request) = self.control_clients.requests.get(&request_id) else { return };
        let (purpose, last) = (request.purpose, request.last_machine);
        let Some(machine) = request.only_machine.or_else(|| self.choose_controller(last)) else { return };
        let id = self.next_sequence();
        if let Some(request) = self.control_clients.requests.get_mut(&request_id) {
            request.last_machine = Some(machine);
        }
        let attempt = Attempt { request_id, machine, incarnation: 0, invoked_at: id, is_answered: false };
        self.control_clients.attempts.insert(id, attempt);
        self.trace(|| format!("call {id}: {purpose:?} to {machine}"));
        // Opening the connection takes a round trip.
        let round_trip = self.sample_delay(CLIENT_ZONE, machine) + self.sample_delay(machine, CLIENT_ZONE);
        let delay = round_trip + self.sample_delay(CLIENT_ZONE, machine);
        self.schedule_client(delay, ControlClientEvent::AttemptArrives(id));
        self.schedule_client(ATTEMPT_TIMEOUT, ControlClientEvent::AttemptTimeout(id));
        if matches!(purpose, Purpose::Replace(_)) {
            self.fire_trigger(Trigger::ChangeSent);
        }
    }

    fn choose_controller(&self, last: Option<usize>) -> Option<usize> {
        let advertised = &self.discovery.advertised;
        let others: Vec<usize> =
            advertised.iter().copied().filter(|machine| Some(*machine) != last).collect();
        self.rng.choose(&others).or(advertised.first().copied())
    }

    pub(super) fn attempt_arrives(&mut self, id: u64) {
        let Some(attempt) = self.control_clients.attempts.get_mut(&id) else { return };
        let index = attempt.machine;
        let machine = &self.machines[index];
        if !machine.is_reachable() {
            return;
        }
        if !machine.is_up() {
            return self.end_attempt(millis(1), id, None);
        }
        attempt.incarnation = machine.incarnation;
        self.deliver(index, Input::Call(id));
    }

    fn end_attempt(&mut self, delay: Nanos, attempt: u64, response: Option<ControlResponse>) {
        self.schedule_client(delay, ControlClientEvent::AttemptEnded { attempt, response });
    }

    /// Sends a controller's response to the client of an attempt.
    pub(crate) fn respond(&mut self, machine: usize, attempt_id: u64, reply: &Reply) {
        let attempt_id = self.attempt_to_answer(machine, attempt_id);
        let attempts = &mut self.control_clients.attempts;
        let Some(attempt) = attempts.get_mut(&attempt_id).filter(|attempt| !attempt.is_answered) else {
            return;
        };
        attempt.is_answered = true;
        let Some(request) = self.control_clients.requests.get(&attempt.request_id) else { return };
        let purpose = request.purpose;
        let response = ControlResponse { status: reply.status, body: reply.body.bytes().to_vec() };
        let response = self.apply_seeded_bug(machine, purpose, response);
        let status = response.status;
        self.trace(|| format!("call {attempt_id}: {machine} answers {status} {}", excerpt(&response.body)));
        if matches!(purpose, Purpose::Replace(_) | Purpose::Resend(_)) && status == 200 {
            self.faults.last_acknowledger = Some(machine);
            self.fire_trigger(Trigger::ChangeAcknowledged);
        }
        let delay = self.sample_delay(machine, CLIENT_ZONE);
        if self.machines[machine].loses_responses && !self.rng.one_in(3) {
            // The connection ends without a response, or the client receives nothing at all.
            if self.rng.one_in(2) {
                self.end_attempt(delay, attempt_id, None);
            }
            return;
        }
        self.end_attempt(delay, attempt_id, Some(response));
    }

    /// Returns the attempt that receives a response: `id`, or with the seeded bug `SwapsResponses` another pending
    /// attempt at this machine, if there is one.
    fn attempt_to_answer(&self, machine: usize, id: u64) -> u64 {
        if !self.settings.has_bug(SeededBug::SwapsResponses) {
            return id;
        }
        let is_pending_here = |attempt: &Attempt| {
            attempt.machine == machine && attempt.incarnation != 0 && !attempt.is_answered
        };
        let mut attempts = self.control_clients.attempts.iter();
        let other = attempts.find(|(other, attempt)| **other != id && is_pending_here(attempt));
        other.map_or(id, |(other, _)| *other)
    }

    /// Modifies a response if the seeded bug requires it.
    fn apply_seeded_bug(
        &mut self,
        machine: usize,
        purpose: Purpose,
        mut response: ControlResponse,
    ) -> ControlResponse {
        let changes_config = matches!(purpose, Purpose::Replace(_) | Purpose::Resend(_));
        let succeeded = response.status == 200;
        match (self.settings.seeded_bug, purpose) {
            (Some(SeededBug::AcknowledgesUnclear), _) if changes_config && response.status == 503 => {
                response.status = 200;
            }
            (Some(SeededBug::RejectsRepeats), Purpose::Resend(_)) if succeeded => response.status = 412,
            (Some(SeededBug::StaleReads), Purpose::Read { .. }) if succeeded => {
                response.body = self.stale_body(machine, response.body);
            }
            _ => {}
        }
        response
    }

    /// Returns the body of an earlier read at this machine, and at times replaces it with the current one.
    fn stale_body(&mut self, machine: usize, body: Vec<u8>) -> Vec<u8> {
        let stale = self.observations.stale_responses.entry(machine).or_insert_with(|| body.clone()).clone();
        if self.rng.one_in(4) {
            self.observations.stale_responses.insert(machine, body);
        }
        stale
    }

    /// Ends the pending attempts at a process that has ended or whose connections were reset. Clients are notified
    /// unless the machine has lost power.
    pub(crate) fn drop_control_calls(&mut self, machine: usize, incarnation: u64, loses_power: bool) {
        let mut dropped = Vec::new();
        for (id, attempt) in &mut self.control_clients.attempts {
            if attempt.is_pending_at(machine, incarnation) {
                attempt.is_answered = true;
                dropped.push(*id);
            }
        }
        for attempt in dropped {
            if !loses_power {
                self.end_attempt(millis(1), attempt, None);
            }
            if self.machines[machine].is_up() {
                self.deliver(machine, Input::CallCancelled(attempt));
            }
        }
    }

    pub(super) fn attempt_timed_out(&mut self, id: u64) {
        let Some(attempt) = self.control_clients.attempts.get(&id) else { return };
        let (machine, incarnation) = (attempt.machine, attempt.incarnation);
        self.attempt_ended(id, None);
        // The process is notified that the client has closed its connection.
        if incarnation != 0 && self.machines[machine].incarnation == incarnation {
            let delay = self.sample_delay(CLIENT_ZONE, machine);
            self.schedule_input(delay, machine, incarnation, Input::CallCancelled(id));
        }
    }

    pub(super) fn attempt_ended(&mut self, id: u64, response: Option<ControlResponse>) {
        let Some(attempt) = self.control_clients.attempts.remove(&id) else { return };
        let request_id = attempt.request_id;
        let Some(request) = self.control_clients.requests.get_mut(&request_id) else { return };
        if let Some(response) = response {
            request.rejections += usize::from(is_rejection(response.status));
            if is_definitive(response.status) || request.rejections >= MAX_REJECTIONS {
                return self.request_completed(request_id, &attempt, &response);
            }
        }
        let backoff = request.backoff;
        request.backoff = backoff.times(BACKOFF_FACTOR).min(MAX_BACKOFF);
        if request.give_up_at.is_some_and(|give_up_at| give_up_at < self.now) {
            let purpose = request.purpose;
            self.control_clients.requests.remove(&request_id);
            return self.trace(|| format!("{purpose:?} is given up"));
        }
        self.schedule_client(backoff, ControlClientEvent::Retry { request: request_id });
    }
}

/// Returns whether a status rejects the request, definitively or not.
fn is_rejection(status: u16) -> bool {
    matches!(status, 400..500) && !matches!(status, 408 | 429)
}

/// Returns whether a status is a definitive response, which ends the request.
fn is_definitive(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 404 | 409 | 412 | 413 | 422)
}

pub(super) fn excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(body).chars().take(MAX_EXCERPT_CHARS).collect()
}

//! Checks a run by the messages on the simulated connections alone: those that clients sent and received, and those
//! that nodes received and executed. It shares no code with the gateway.

use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_simulator::wire::Message;
use std::collections::{BTreeMap, BTreeSet};

/// Kind of a request, which determines its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Non-idempotent.
    Mutating,
    Idempotent,
    /// Mutating, idempotent or without a route, depending on the configuration in force.
    Reclassified,
    /// Non-idempotent, on a route that several services share.
    Weighted,
    Fanout,
}

/// One request of a client.
pub struct ClientRequest {
    pub attempt: String,
    pub kind: RequestKind,
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    /// Indexes of the oldest and the newest configuration under which the gateway may have read the request, if
    /// known.
    pub config_range: (Option<usize>, Option<usize>),
    /// Whether none of the configurations in `config_range` allows to repeat the request.
    pub is_non_idempotent: bool,
}

/// Response of a node to an execution.
pub struct NodeResponse {
    attempt: String,
    service: String,
    status: u16,
    body: Vec<u8>,
}

/// Number of occurrences of each event in a run, which shows that the run exercised the gateway.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    pub counts: BTreeMap<&'static str, u64>,
}

impl Coverage {
    pub fn add(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }
}

/// Share of shards that the fan-out route requires, from 0 to 1.
pub const QUORUM: f64 = 0.5;
/// Maximum number of records in the merged response of the fan-out route.
pub const TOP_K: usize = 3;

#[derive(Default)]
pub struct Checker {
    pub requests: Vec<ClientRequest>,
    by_attempt: BTreeMap<String, usize>,
    node_responses: BTreeMap<String, NodeResponse>,
    executions: BTreeMap<usize, Vec<String>>,
    rejection_statuses: BTreeMap<usize, u16>,
    /// Attempts of each request that left the gateway over an open connection, with the connection, and whether the
    /// node's response that it did not execute the attempt has reached the gateway.
    sent_attempts: BTreeMap<usize, Vec<(ConnectionId, bool)>>,
    /// Requests that were retried although an earlier attempt may have been executed.
    unsafe_retries: BTreeSet<usize>,
    /// Sets of shards that configurations have named.
    pub shard_sets: Vec<BTreeSet<String>>,
    /// Services that configurations have named for each kind of request.
    pub allowed_services: BTreeMap<RequestKind, BTreeSet<String>>,
    pub coverage: Coverage,
    pub violations: Vec<String>,
}

impl Checker {
    pub fn violation(&mut self, text: String) {
        if self.violations.len() < 20 {
            self.violations.push(text);
        }
    }

    /// Records a request that a client sends. Returns its index.
    pub fn add_request(&mut self, request: ClientRequest) -> usize {
        let index = self.requests.len();
        self.by_attempt.insert(request.attempt.clone(), index);
        self.requests.push(request);
        index
    }

    fn find(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// Records a complete request that has left the gateway over an open connection to a node.
    pub fn record_sent_attempt(&mut self, now: Nanos, id: ConnectionId, message: &Message) {
        let Some(index) = self.find(message) else {
            return self.violation(format!("UNASKED: {} at {}", message.start_line, now.as_millis()));
        };
        let earlier_attempts = self.sent_attempts.entry(index).or_default();
        let may_be_executed = earlier_attempts.iter().any(|(_, rejected)| !rejected);
        if !earlier_attempts.is_empty() {
            self.coverage.add("retries");
        }
        earlier_attempts.push((id, false));
        // Checked at the end, when the configurations under which the request may have been read are known.
        if may_be_executed {
            self.coverage.add("retries while an attempt may be executed");
            self.unsafe_retries.insert(index);
        }
    }

    /// Records that a node's response that it did not execute an attempt has reached the gateway.
    pub fn record_rejection(&mut self, attempt: &str, id: ConnectionId) {
        let Some(index) = self.by_attempt.get(attempt) else { return };
        let sent_attempts = self.sent_attempts.entry(*index).or_default();
        if let Some(sent_attempt) =
            sent_attempts.iter_mut().rev().find(|(at, rejected)| *at == id && !rejected)
        {
            sent_attempt.1 = true;
        }
    }

    /// Records that a node starts to execute a request.
    pub fn record_execution(&mut self, service: &str, message: &Message) {
        self.coverage.add("executions");
        let Some(index) = self.find(message) else {
            return self.violation(format!("UNASKED: an execution of {}", message.start_line));
        };
        let request = &self.requests[index];
        let same = (message.start_line_part(0), message.start_line_part(1), &message.body)
            == (request.method, &request.target, &request.body);
        if !same {
            let text = format!("UNASKED: {} was executed as {}", request.attempt, message.start_line);
            return self.violation(text);
        }
        let kind = request.kind;
        if !self
            .allowed_services
            .get(&kind)
            .is_some_and(|allowed_services| allowed_services.contains(service))
        {
            self.violation(format!("ROUTE: {kind:?} was executed at {service}"));
        }
        self.executions.entry(index).or_default().push(service.to_string());
    }

    /// Records the response of a node to an execution, which has a unique seal.
    pub fn record_node_response(
        &mut self,
        seal: &str,
        attempt: &str,
        service: &str,
        status: u16,
        body: &[u8],
    ) {
        let node_response =
            NodeResponse { attempt: attempt.into(), service: service.into(), status, body: body.to_vec() };
        self.node_responses.insert(seal.into(), node_response);
    }

    /// Checks a complete response that a client has received for a request.
    pub fn record_client_response(&mut self, index: usize, message: &Message) {
        let request = &self.requests[index];
        let (attempt, kind) = (request.attempt.clone(), request.kind);
        let status: u16 = message.start_line_part(1).parse().unwrap_or(0);
        if message.header("Attempt-Id").is_some_and(|id| id != attempt) {
            self.violation(format!("MIXED: {attempt} received {:?}", message.header("Attempt-Id")));
        }
        match status {
            200..300 => {
                self.coverage.add("successes");
                let violation = match kind {
                    RequestKind::Fanout => self.fanout_violation(&attempt, message),
                    _ => self.forwarding_violation(&attempt, status, message),
                };
                violation.into_iter().for_each(|violation| self.violation(violation));
            }
            408 | 421 | 429 | 503 => {
                self.coverage.add("rejections");
                self.coverage.add(if status == 408 { "408 responses" } else { "421, 429 and 503 responses" });
                self.rejection_statuses.insert(index, status);
            }
            400 if !attempt.is_ascii() => self.coverage.add("attempt identifiers that are not ASCII"),
            404 if kind == RequestKind::Reclassified => self.coverage.add("404 responses"),
            500 if message.header("Answer-Seal").is_some() => {
                self.coverage.add("forwarded error responses");
                let violation = self.forwarding_violation(&attempt, status, message);
                violation.into_iter().for_each(|violation| self.violation(violation));
            }
            502 | 504 => self.coverage.add("502 and 504 responses"),
            _ => self.violation(format!("DENIED: {attempt} received {status}")),
        }
    }

    fn forwarding_violation(&self, attempt: &str, status: u16, message: &Message) -> Option<String> {
        let node_response = message.header("Answer-Seal").and_then(|seal| self.node_responses.get(seal));
        let Some(node_response) = node_response else {
            return Some(format!("MIXED: {attempt} received {status} without a known seal"));
        };
        let same = (node_response.attempt.as_str(), node_response.status, &node_response.body)
            == (attempt, status, &message.body);
        (!same).then(|| format!("MIXED: {attempt} received the response to {}", node_response.attempt))
    }

    fn fanout_violation(&self, attempt: &str, message: &Message) -> Option<String> {
        let seals = message.header("Part-Seals").unwrap_or_default();
        let mut services = BTreeSet::new();
        let mut records: Vec<&[u8]> = Vec::new();
        for seal in seals.split(',').map(str::trim) {
            let Some(node_response) =
                self.node_responses.get(seal).filter(|node_response| node_response.attempt == attempt)
            else {
                return Some(format!("MIXED: {attempt} received a part with the seal {seal:?}"));
            };
            if !services.insert(node_response.service.clone()) || node_response.status != 200 {
                return Some(format!(
                    "MIXED: {attempt} received a duplicate or failed part of {}",
                    node_response.service
                ));
            }
            records.extend(node_response.body.chunks_exact(16));
        }
        let missing: usize = message.header("Parts-Missing").map_or(0, |text| text.parse().unwrap_or(99));
        let shard_count = services.len() + missing;
        let fits = |set: &&BTreeSet<String>| set.len() == shard_count && services.is_subset(set);
        if !self.shard_sets.iter().any(|set| fits(&set)) {
            return Some(format!("MIXED: {attempt} received parts of {services:?}, with {missing} missing"));
        }
        if (services.len() as f64) < QUORUM * shard_count as f64 {
            return Some(format!(
                "MIXED: {attempt} received a success with {missing} of {shard_count} parts missing"
            ));
        }
        records.sort();
        records.reverse();
        records.truncate(TOP_K);
        (records.concat() != message.body).then(|| format!("MIXED: {attempt} received other records"))
    }

    /// Runs the checks that need the complete run.
    pub fn check_complete_run(&mut self) {
        for index in std::mem::take(&mut self.unsafe_retries) {
            if self.requests[index].is_non_idempotent {
                let ClientRequest { attempt, kind, .. } = &self.requests[index];
                let text =
                    format!("TWICE: {attempt} {kind:?} was retried although it may have been executed");
                self.violation(text);
            }
        }
        for (index, services) in std::mem::take(&mut self.executions) {
            let request = &self.requests[index];
            let (attempt, is_non_idempotent) = (request.attempt.clone(), request.is_non_idempotent);
            if is_non_idempotent && services.len() > 1 {
                self.violation(format!("TWICE: {attempt} {:?}: {services:?}", self.requests[index].kind));
            }
            match self.rejection_statuses.get(&index) {
                // The status guarantees that the request was not executed for non-idempotent requests only; others are
                // counted.
                Some(status) if is_non_idempotent => self.violation(format!(
                    "REFUSED: {attempt} received {status}, but was executed by {services:?}"
                )),
                Some(_) => self.coverage.add("rejections of executed idempotent requests"),
                None => {}
            }
        }
    }
}

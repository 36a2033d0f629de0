//! Checks of the rules for requests, based on the messages on the simulated wire: requests of clients, arrivals and
//! executions at nodes, and responses to clients.

use crate::checks::retry_budget::{Retry, check_retry_budget};
use crate::checks::route_versions::RouteObservation;
use crate::checks::rule::{BrokenRule, Rule};
use crate::checks::sent_request::{RequestKind, SentRequest};
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Counted event in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEvent {
    /// The request arrived at a node.
    Arrival,
    /// A node executed the request and reset the connection before sending the complete response.
    BrokenOff,
    /// A node sent the response a second time.
    DuplicateResponse,
    /// A node began to execute the request.
    Execution,
    /// A node executed the request and responded with 503.
    FailedAfterExecution,
    /// The request arrived at another incarnation of its target node.
    Misdirected,
    /// The gateway had no route for the request.
    NoRoute,
    /// The client received a status which guarantees that the request was not executed.
    Rejection,
    /// A node rejected the request with 503 and `Not-Executed`.
    RejectedByNode,
    /// The request revealed whether a gateway has a route that comes and goes.
    ChangingRouteSeen,
    /// A client sent the request, as one attempt with an `Attempt-Id` of its own.
    Request,
    /// The request arrived at a node again.
    Retry,
    /// The client received a successful response.
    Success,
    /// The client received a failure that does not tell whether the request was executed.
    UnclearFailure,
    /// The request was executed on a route that identifies the configuration version in force.
    VersionSeen,
}

impl RequestEvent {
    /// Returns the name in printed summaries.
    pub fn name(self) -> &'static str {
        match self {
            RequestEvent::Arrival => "arrivals",
            RequestEvent::BrokenOff => "broken off by nodes",
            RequestEvent::DuplicateResponse => "duplicate responses",
            RequestEvent::Execution => "executions",
            RequestEvent::FailedAfterExecution => "failed after execution",
            RequestEvent::Misdirected => "meant for another incarnation",
            RequestEvent::NoRoute => "no route",
            RequestEvent::Rejection => "rejections",
            RequestEvent::RejectedByNode => "rejections by nodes",
            RequestEvent::ChangingRouteSeen => "changing routes seen",
            RequestEvent::Request => "requests",
            RequestEvent::Retry => "retries",
            RequestEvent::Success => "successes",
            RequestEvent::UnclearFailure => "unclear failures",
            RequestEvent::VersionSeen => "versions seen",
        }
    }
}

/// A request with its arrivals, executions and rejection.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub sent: SentRequest,
    arrivals: u64,
    executions: u64,
    /// Status by which a gateway guaranteed that the request was not executed.
    rejected_with: Option<u16>,
}

/// Response of a node to a request.
#[derive(Debug)]
struct NodeResponse {
    attempt_id: String,
    body: Vec<u8>,
}

/// Observation of a version in force by a request.
#[derive(Clone, Copy, Debug)]
struct VersionObservation {
    epoch: u64,
    seen_at: Nanos,
}

/// Observations of all requests of the run, and the state of the checks of their rules.
#[derive(Debug, Default)]
pub(crate) struct RequestChecker {
    pub requests: Vec<RequestRecord>,
    by_attempt: BTreeMap<String, usize>,
    /// Responses of nodes by the header `Answer-Seal`, by which the node identifies each response.
    responses: BTreeMap<String, NodeResponse>,
    retries: Vec<Retry>,
    /// Versions observed through each gateway incarnation, in ascending order.
    versions_seen: BTreeMap<(usize, u64), Vec<VersionObservation>>,
    pub counts: BTreeMap<RequestEvent, u64>,
    pub route_observations: Vec<RouteObservation>,
}

impl RequestChecker {
    pub fn count(&mut self, event: RequestEvent) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// Records a request that a client sends, and returns its index.
    pub fn record_request(&mut self, sent: SentRequest) -> usize {
        self.count(RequestEvent::Request);
        let index = self.requests.len();
        self.by_attempt.insert(sent.attempt_id.clone(), index);
        self.requests.push(RequestRecord { sent, arrivals: 0, executions: 0, rejected_with: None });
        index
    }

    pub fn find_request(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// Records the arrival of a request at a node.
    pub fn record_arrival(&mut self, now: Nanos, message: &Message) -> Option<BrokenRule> {
        self.count(RequestEvent::Arrival);
        let Some(index) = self.find_request(message) else {
            return Some(BrokenRule::new(Rule::Unasked, format!("a node got {}", message.start_line)));
        };
        let record = &mut self.requests[index];
        record.arrivals += 1;
        if record.arrivals > 1 {
            self.retries.push(Retry { arrived_at: now, gateway: record.sent.gateway });
            self.count(RequestEvent::Retry);
        }
        None
    }

    /// Records that a node begins to execute a request.
    pub fn record_execution(&mut self, message: &Message) -> Option<BrokenRule> {
        self.count(RequestEvent::Execution);
        let index = self.find_request(message)?;
        let record = &mut self.requests[index];
        record.executions += 1;
        let (sent, executions) = (&record.sent, record.executions);
        let received = (message.start_line_part(0), message.start_line_part(1), &message.body);
        if received != (sent.kind.method(), sent.target.as_str(), &sent.body) {
            let text = format!("{} ran as {}", sent.attempt_id, message.start_line);
            return Some(BrokenRule::new(Rule::Unasked, text));
        }
        let runs_twice = sent.kind == RequestKind::Mutating && executions > 1;
        let text = format!("{} ran {executions} times", sent.attempt_id);
        runs_twice.then(|| BrokenRule::new(Rule::Twice, text))
    }

    /// Records the response of a node to a request that it executed.
    pub fn record_response(&mut self, seal: String, attempt_id: &str, body: Vec<u8>) {
        self.responses.insert(seal, NodeResponse { attempt_id: attempt_id.to_string(), body });
    }

    /// Records the version by which a request was routed, and reports a revert: a request that was sent more than
    /// `slack` after a newer version was observed through the same gateway incarnation must not be routed by an older
    /// one.
    pub fn record_version(
        &mut self,
        now: Nanos,
        index: usize,
        epoch: u64,
        slack: Nanos,
    ) -> Option<BrokenRule> {
        let sent = &self.requests[index].sent;
        let (gateway, sent_at) = (sent.gateway, sent.sent_at);
        let seen = self.versions_seen.entry((gateway, sent.incarnation)).or_default();
        let is_reverted = |observation: &&VersionObservation| {
            observation.epoch > epoch && sent_at > observation.seen_at + slack
        };
        let newer = seen.iter().find(is_reverted).map(|observation| observation.epoch);
        if seen.last().is_none_or(|observation| epoch > observation.epoch) {
            seen.push(VersionObservation { epoch, seen_at: now });
        }
        let newer = newer?;
        let text = format!("gateway {gateway} goes back from version {newer} to {epoch}");
        Some(BrokenRule::new(Rule::Config, text))
    }

    /// Checks a complete response that a client receives for this request.
    pub fn check_response(&mut self, index: usize, message: &Message) -> Option<BrokenRule> {
        let attempt_id = self.requests[index].sent.attempt_id.clone();
        let other_id = message.header("Attempt-Id").filter(|id| *id != attempt_id);
        if other_id.is_some() {
            return Some(BrokenRule::new(Rule::Mixed, format!("{attempt_id} got {other_id:?}")));
        }
        let kind = self.requests[index].sent.kind;
        let is_probe = matches!(kind, RequestKind::Probe(_) | RequestKind::ChangingRoute(_));
        match message.status() {
            200..300 => {
                self.count(RequestEvent::Success);
                let text =
                    || format!("{attempt_id} received another request's response, or an incomplete one");
                let is_complete = self.is_response_to(message, &attempt_id);
                (!is_complete).then(|| BrokenRule::new(Rule::Mixed, text()))
            }
            status @ (408 | 421 | 429 | 503) => {
                self.count(RequestEvent::Rejection);
                self.requests[index].rejected_with = Some(status);
                None
            }
            404 if is_probe => {
                self.count(RequestEvent::NoRoute);
                None
            }
            500 | 502 | 504 => {
                self.count(RequestEvent::UnclearFailure);
                None
            }
            status => {
                let text = format!("{attempt_id} got {status} on a route of every version");
                Some(BrokenRule::new(Rule::Denied, text))
            }
        }
    }

    /// Returns whether this is the complete response of a node to this attempt.
    fn is_response_to(&self, message: &Message, attempt_id: &str) -> bool {
        let response = message.header("Answer-Seal").and_then(|seal| self.responses.get(seal));
        response.is_some_and(|response| response.attempt_id == attempt_id && response.body == message.body)
    }

    /// Checks the rules that can be judged only at the end of the run.
    pub fn check_complete_run(&self) -> Vec<BrokenRule> {
        let mut broken: Vec<BrokenRule> = self.requests.iter().filter_map(check_rejection).collect();
        let sent: Vec<&SentRequest> = self.requests.iter().map(|record| &record.sent).collect();
        broken.extend(check_retry_budget(&sent, &self.retries));
        broken
    }
}

/// Checks that a mutating request was not executed if a rejection guaranteed that to its client.
fn check_rejection(record: &RequestRecord) -> Option<BrokenRule> {
    let status = record.rejected_with?;
    if record.sent.kind != RequestKind::Mutating || record.executions == 0 {
        return None;
    }
    Some(BrokenRule::new(Rule::Refused, format!("{} got {status} and ran", record.sent.attempt_id)))
}

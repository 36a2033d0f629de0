//! The rules of requests, by what was observed on the simulated wire: who sent what, what nodes got and ran, and what
//! clients got back.

use crate::checks::retry_budget::{Retry, check_retry_budget};
use crate::checks::rule::{BrokenRule, Rule};
use crate::checks::sent_request::{RequestKind, SentRequest};
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// What may happen to a request, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEvent {
    /// It has arrived at a node.
    Arrival,
    /// A node ran it, and broke the connection before the whole response was sent.
    BrokenOff,
    /// A node sent a second response.
    DuplicateResponse,
    /// A node has begun to run it.
    Execution,
    /// A node ran it, and answered 503.
    FailedAfterExecution,
    /// It was meant for another incarnation of the node.
    Misdirected,
    /// Its gateway had no route for it.
    NoRoute,
    /// The client got a status that promises that it has not run.
    Rejection,
    /// A node rejected it.
    RejectedByNode,
    /// A client sent it.
    Request,
    /// It has arrived at a node once more.
    Retry,
    /// The client got a successful response.
    Success,
    /// The client got a status that promises nothing.
    UnclearFailure,
    /// It showed which version is in force.
    VersionSeen,
}

impl RequestEvent {
    /// The name in what is printed.
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
            RequestEvent::Request => "requests",
            RequestEvent::Retry => "retries",
            RequestEvent::Success => "successes",
            RequestEvent::UnclearFailure => "unclear failures",
            RequestEvent::VersionSeen => "versions seen",
        }
    }
}

/// A request, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub sent: SentRequest,
    arrivals: u64,
    executions: u64,
    /// The status by which a gateway promised that it has not run.
    rejected_with: Option<u16>,
}

/// A node's response to a request.
#[derive(Debug)]
struct NodeResponse {
    attempt_id: String,
    body: Vec<u8>,
}

/// A version that a request saw in force.
#[derive(Clone, Copy, Debug)]
struct VersionSighting {
    epoch: u64,
    seen_at: Nanos,
}

/// All that was observed of requests.
#[derive(Debug, Default)]
pub(crate) struct RequestChecker {
    pub requests: Vec<RequestRecord>,
    by_attempt: BTreeMap<String, usize>,
    /// Responses of nodes, by their seals.
    responses: BTreeMap<String, NodeResponse>,
    retries: Vec<Retry>,
    /// Versions seen through one incarnation of a gateway, each newer than those before.
    versions_seen: BTreeMap<(usize, u64), Vec<VersionSighting>>,
    pub counts: BTreeMap<RequestEvent, u64>,
}

impl RequestChecker {
    pub fn count(&mut self, event: RequestEvent) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// A client sends a request; its number comes back.
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

    /// A node has read a request.
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

    /// A node begins to run a request.
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

    /// A node responds to a request that it ran.
    pub fn record_response(&mut self, seal: String, attempt_id: &str, body: Vec<u8>) {
        self.responses.insert(seal, NodeResponse { attempt_id: attempt_id.to_string(), body });
    }

    /// A request saw a version in force through a gateway's incarnation: none that was sent `slack` after a newer one
    /// was seen there may show an older one.
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
        let is_too_late =
            |sighting: &&VersionSighting| sighting.epoch > epoch && sent_at > sighting.seen_at + slack;
        let newer = seen.iter().find(is_too_late).map(|sighting| sighting.epoch);
        if seen.last().is_none_or(|sighting| epoch > sighting.epoch) {
            seen.push(VersionSighting { epoch, seen_at: now });
        }
        let newer = newer?;
        let text = format!("gateway {gateway} goes back from version {newer} to {epoch}");
        Some(BrokenRule::new(Rule::Config, text))
    }

    /// A client gets a whole response in the place of the one to this request.
    pub fn check_response(&mut self, index: usize, message: &Message) -> Option<BrokenRule> {
        let attempt_id = self.requests[index].sent.attempt_id.clone();
        let other_id = message.header("Attempt-Id").filter(|id| *id != attempt_id);
        if other_id.is_some() {
            return Some(BrokenRule::new(Rule::Mixed, format!("{attempt_id} got {other_id:?}")));
        }
        let is_probe = matches!(self.requests[index].sent.kind, RequestKind::Probe(_));
        match message.status() {
            200..300 => {
                self.count(RequestEvent::Success);
                let text = || format!("{attempt_id} got what was answered to another, or less");
                let is_whole = self.is_response_to(message, &attempt_id);
                (!is_whole).then(|| BrokenRule::new(Rule::Mixed, text()))
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

    /// Whether this is the whole response of a node to this attempt.
    fn is_response_to(&self, message: &Message, attempt_id: &str) -> bool {
        let response = message.header("Answer-Seal").and_then(|seal| self.responses.get(seal));
        response.is_some_and(|response| response.attempt_id == attempt_id && response.body == message.body)
    }

    /// The rules that can be judged only once all has been observed.
    pub fn check_totals(&self) -> Vec<BrokenRule> {
        let mut broken: Vec<BrokenRule> = self.requests.iter().filter_map(check_rejection).collect();
        let sent: Vec<&SentRequest> = self.requests.iter().map(|record| &record.sent).collect();
        broken.extend(check_retry_budget(&sent, &self.retries));
        broken
    }
}

/// A mutating request that was rejected with a promise must not have run.
fn check_rejection(record: &RequestRecord) -> Option<BrokenRule> {
    let status = record.rejected_with?;
    if record.sent.kind != RequestKind::Mutating || record.executions == 0 {
        return None;
    }
    Some(BrokenRule::new(Rule::Refused, format!("{} got {status} and ran", record.sent.attempt_id)))
}

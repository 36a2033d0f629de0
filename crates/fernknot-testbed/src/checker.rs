//! Judges what clients saw by what nodes ran. It merges records by code of its own.

use crate::execution_log::{Execution, ExecutionLog};
use crate::requests::{Attempt, AttemptOutcome, ClientResponse, Request, RequestKind};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use thiserror::Error;

/// The size of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A request that ran has a response.
    Lost,
    /// A response is the right one, and whole.
    Mixed,
    /// A mutating request that was rejected with a promise has not run.
    Refused,
    /// A request runs at a service of its route.
    Route,
    /// A mutating request runs once.
    Twice,
    /// Nodes run what clients sent, as they sent it.
    Unasked,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::Lost => "LOST",
            Rule::Mixed => "MIXED",
            Rule::Refused => "REFUSED",
            Rule::Route => "ROUTE",
            Rule::Twice => "TWICE",
            Rule::Unasked => "UNASKED",
        })
    }
}

/// Why a successful response is not the right one.
#[derive(Debug, Error)]
enum ResponseError {
    #[error("{0} seals no response to it")]
    UnknownSeal(String),
    #[error("two parts are of {0}")]
    TwoPartsOf(String),
    #[error("a success without a seal")]
    NoSeal,
    #[error("the body is not the node's")]
    OtherBody,
    #[error("{services:?} and {missing} missing are no set of one version")]
    NoShardSet { services: BTreeSet<String>, missing: usize },
    #[error("{parts} of {shards} parts are under the quorum")]
    UnderQuorum { parts: usize, shards: usize },
    #[error("the records are not the greatest of its parts")]
    NotGreatest,
}

/// What the configurations allow.
#[derive(Clone, Debug)]
pub struct Expectations {
    /// The shards of the gathered route in any version sent so far.
    pub shard_sets: Vec<Vec<String>>,
    /// Records of a gathered response.
    pub top_k: usize,
    /// Share of the shards without which a gathered response fails.
    pub quorum: f64,
    /// The service of all other routes.
    pub single_service: String,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What broke it.
    pub detail: String,
}

impl Violation {
    fn new(rule: Rule, detail: impl Into<String>) -> Violation {
        Violation { rule, detail: detail.into() }
    }
}

/// Every violation that clients and nodes saw between them.
pub fn check(requests: &[Request], log: &ExecutionLog, expectations: &Expectations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut by_attempt: HashMap<&str, &Request> = HashMap::new();
    for request in requests {
        for attempt in &request.attempts {
            by_attempt.insert(&attempt.id, request);
            let executions = log.executions.get(&attempt.id).map(Vec::as_slice).unwrap_or_default();
            if let Some(Violation { rule, detail }) =
                check_attempt(request, attempt, executions, expectations)
            {
                let detail = format!("{:?} {}: {detail}", request.kind, attempt.id);
                violations.push(Violation { rule, detail });
            }
        }
    }
    for (attempt_id, executions) in &log.executions {
        match by_attempt.get(attempt_id.as_str()) {
            Some(request) => {
                violations.extend(check_executions(attempt_id, request, executions, expectations));
            }
            None => {
                let detail = format!("{attempt_id} ran, and no client sent it");
                violations.push(Violation::new(Rule::Unasked, detail));
            }
        }
    }
    violations
}

/// What nodes ran of one attempt.
fn check_executions(
    attempt_id: &str,
    request: &Request,
    executions: &[Execution],
    expectations: &Expectations,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for execution in executions {
        let service = &execution.service;
        let is_in_route = match request.kind {
            RequestKind::Gather => expectations.shard_sets.iter().flatten().any(|shard| shard == service),
            _ => *service == expectations.single_service,
        };
        if !is_in_route {
            violations.push(Violation::new(Rule::Route, format!("{attempt_id} ran at {service}")));
        }
        if execution.target != request.target {
            let detail = format!("{attempt_id} ran as {}", execution.target);
            violations.push(Violation::new(Rule::Unasked, detail));
        }
    }
    if !request.kind.is_idempotent() && executions.len() > 1 {
        let detail = format!("{attempt_id} ran {} times", executions.len());
        violations.push(Violation::new(Rule::Twice, detail));
    }
    violations
}

/// What a client saw of one attempt.
fn check_attempt(
    request: &Request,
    attempt: &Attempt,
    executions: &[Execution],
    expectations: &Expectations,
) -> Option<Violation> {
    let has_run = !executions.is_empty();
    let response = match &attempt.outcome {
        AttemptOutcome::Response(response) => response,
        AttemptOutcome::Disconnected(reason) => {
            let detail = format!("it ran, and the client got: {reason}");
            return has_run.then(|| Violation::new(Rule::Lost, detail));
        }
        AttemptOutcome::Malformed(reason) => return Some(Violation::new(Rule::Mixed, reason.as_str())),
    };
    let status = response.status;
    if matches!(status, 408 | 421 | 429 | 503) && !request.kind.is_idempotent() && has_run {
        return Some(Violation::new(Rule::Refused, format!("{status}, and it ran")));
    }
    if !response.is_success() {
        return None;
    }
    let checked = sealed_executions(response, executions).and_then(|sealed| match request.kind {
        RequestKind::Gather => check_gathered(response, &sealed, expectations),
        _ => check_body(response, &sealed),
    });
    checked.err().map(|error| Violation::new(Rule::Mixed, error.to_string()))
}

/// The executions that the seals of a successful response name, one a service.
fn sealed_executions<'log>(
    response: &ClientResponse,
    executions: &'log [Execution],
) -> Result<Vec<&'log Execution>, ResponseError> {
    let mut services = BTreeSet::new();
    let mut sealed = Vec::new();
    for seal in &response.seals {
        let execution = executions.iter().find(|execution| execution.seal.as_deref() == Some(seal));
        let execution = execution.ok_or_else(|| ResponseError::UnknownSeal(seal.clone()))?;
        if !services.insert(&execution.service) {
            return Err(ResponseError::TwoPartsOf(execution.service.clone()));
        }
        sealed.push(execution);
    }
    if sealed.is_empty() { Err(ResponseError::NoSeal) } else { Ok(sealed) }
}

fn check_body(response: &ClientResponse, sealed: &[&Execution]) -> Result<(), ResponseError> {
    match sealed.iter().all(|execution| execution.body == response.body) {
        true => Ok(()),
        false => Err(ResponseError::OtherBody),
    }
}

/// A gathered response holds the greatest records of enough shards of one version.
fn check_gathered(
    response: &ClientResponse,
    sealed: &[&Execution],
    expectations: &Expectations,
) -> Result<(), ResponseError> {
    let services: BTreeSet<String> = sealed.iter().map(|execution| execution.service.clone()).collect();
    let missing = response.missing;
    let is_set = |set: &&Vec<String>| {
        set.len() == services.len() + missing
            && services.iter().all(|service| set.iter().any(|shard| shard == service))
    };
    let Some(set) = expectations.shard_sets.iter().find(is_set) else {
        return Err(ResponseError::NoShardSet { services, missing });
    };
    let (parts, shards) = (services.len(), set.len());
    if (parts as f64) < expectations.quorum * shards as f64 - 1e-9 {
        return Err(ResponseError::UnderQuorum { parts, shards });
    }
    match greatest_records(sealed, expectations.top_k) == response.body {
        true => Ok(()),
        false => Err(ResponseError::NotGreatest),
    }
}

fn greatest_records(sealed: &[&Execution], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        sealed.iter().flat_map(|execution| execution.body.chunks_exact(RECORD_BYTES)).collect();
    records.sort();
    records.into_iter().rev().take(count).flatten().copied().collect()
}

//! Checker that compares the responses that clients received with the executions that nodes recorded. It merges records
//! with code of its own, so that a fault in the gateways' merge is detected.

use crate::execution_log::{Execution, ExecutionLog};
use crate::requests::{Attempt, AttemptOutcome, ClientResponse, Request, RequestKind};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use thiserror::Error;

/// Size of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// Correctness rule for requests and executions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The client receives at least a part of a response to each attempt that was executed.
    LostResponse,
    /// A response is well-formed, and a successful one has the body that the executions named by its seals allow.
    WrongResponse,
    /// A mutating request whose status says that it was not executed (408, 421, 429, 503) was not executed.
    RejectedButExecuted,
    /// A request is executed only by services of its route.
    WrongService,
    /// A mutating request is executed at most once per attempt.
    DuplicateExecution,
    /// Nodes execute only attempts that clients sent, with unchanged targets.
    UnrequestedExecution,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::LostResponse => "LOST",
            Rule::WrongResponse => "MIXED",
            Rule::RejectedButExecuted => "REFUSED",
            Rule::WrongService => "ROUTE",
            Rule::DuplicateExecution => "TWICE",
            Rule::UnrequestedExecution => "UNASKED",
        })
    }
}

/// Difference between a successful response and the executions that it claims by its seals.
#[derive(Debug, Error)]
enum ResponseError {
    #[error("no execution of the attempt has the seal {0}")]
    UnknownSeal(String),
    #[error("two parts come from service {0}")]
    DuplicatePart(String),
    #[error("a successful response has no seal")]
    MissingSeal,
    #[error("the body differs from the body that the node sent")]
    BodyMismatch,
    #[error("{services:?} and {missing} missing parts match no configured shard set")]
    UnknownShardSet { services: BTreeSet<String>, missing: usize },
    #[error("{parts} of {shards} parts are below the quorum")]
    BelowQuorum { parts: usize, shards: usize },
    #[error("the records are not the greatest records of the parts")]
    WrongRecords,
}

/// Responses and executions that the configurations sent so far allow.
#[derive(Clone, Debug)]
pub struct Expectations {
    /// Services that are the shards of the gathered route, one list for each configuration version sent so far.
    pub shard_sets: Vec<Vec<String>>,
    /// Number of records in a gathered response, unless its parts have fewer.
    pub top_k: usize,
    /// Minimum share of shards in a successful gathered response, from 0 to 1.
    pub quorum: f64,
    /// Service of all routes other than the gathered one.
    pub single_service: String,
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Description of the violation, with the attempt's id.
    pub detail: String,
}

impl Violation {
    fn new(rule: Rule, detail: impl Into<String>) -> Violation {
        Violation { rule, detail: detail.into() }
    }
}

/// Returns all rule violations in the requests and executions.
pub fn check(requests: &[Request], log: &ExecutionLog, expectations: &Expectations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut requests_by_attempt: HashMap<&str, &Request> = HashMap::new();
    for request in requests {
        for attempt in &request.attempts {
            requests_by_attempt.insert(&attempt.id, request);
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
        match requests_by_attempt.get(attempt_id.as_str()) {
            Some(request) => {
                violations.extend(check_executions(attempt_id, request, executions, expectations));
            }
            None => {
                let detail = format!("{attempt_id} was executed, but no client sent it");
                violations.push(Violation::new(Rule::UnrequestedExecution, detail));
            }
        }
    }
    violations
}

/// Checks the executions of one attempt, whatever its response.
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
            violations
                .push(Violation::new(Rule::WrongService, format!("{attempt_id} was executed by {service}")));
        }
        if execution.target != request.target {
            let detail = format!("{attempt_id} was executed with the target {}", execution.target);
            violations.push(Violation::new(Rule::UnrequestedExecution, detail));
        }
    }
    if !request.kind.is_idempotent() && executions.len() > 1 {
        let detail = format!("{attempt_id} was executed {} times", executions.len());
        violations.push(Violation::new(Rule::DuplicateExecution, detail));
    }
    violations
}

/// Checks the outcome of one attempt at the client against its executions.
fn check_attempt(
    request: &Request,
    attempt: &Attempt,
    executions: &[Execution],
    expectations: &Expectations,
) -> Option<Violation> {
    let was_executed = !executions.is_empty();
    let response = match &attempt.outcome {
        AttemptOutcome::Response(response) => response,
        _ if attempt.may_be_cut_off && !matches!(attempt.outcome, AttemptOutcome::Response(_)) => {
            return None;
        }
        AttemptOutcome::Disconnected(reason) => {
            let detail = format!("it was executed, but the client received no response: {reason}");
            return was_executed.then(|| Violation::new(Rule::LostResponse, detail));
        }
        AttemptOutcome::Malformed(reason) => {
            return Some(Violation::new(Rule::WrongResponse, reason.as_str()));
        }
    };
    let status = response.status;
    if matches!(status, 408 | 421 | 429 | 503) && !request.kind.is_idempotent() && was_executed {
        return Some(Violation::new(
            Rule::RejectedButExecuted,
            format!("status {status}, but it was executed"),
        ));
    }
    if !response.is_success() {
        return None;
    }
    let result = sealed_executions(response, executions).and_then(|sealed| match request.kind {
        RequestKind::Gather => check_gathered(response, &sealed, expectations),
        _ => check_body(response, &sealed),
    });
    result.err().map(|error| Violation::new(Rule::WrongResponse, error.to_string()))
}

/// Returns the executions that the seals of a successful response refer to. Fails if there is no seal, a seal is
/// unknown, or two executions are of one service.
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
            return Err(ResponseError::DuplicatePart(execution.service.clone()));
        }
        sealed.push(execution);
    }
    if sealed.is_empty() { Err(ResponseError::MissingSeal) } else { Ok(sealed) }
}

fn check_body(response: &ClientResponse, sealed: &[&Execution]) -> Result<(), ResponseError> {
    match sealed.iter().all(|execution| execution.body == response.body) {
        true => Ok(()),
        false => Err(ResponseError::BodyMismatch),
    }
}

/// Checks that a gathered response consists of the greatest records of its parts, and that the parts and the reported
/// missing ones add up to the shards of one configuration version, with a quorum of parts.
fn check_gathered(
    response: &ClientResponse,
    sealed: &[&Execution],
    expectations: &Expectations,
) -> Result<(), ResponseError> {
    let services: BTreeSet<String> = sealed.iter().map(|execution| execution.service.clone()).collect();
    let missing = response.missing_parts;
    let is_set = |set: &&Vec<String>| {
        set.len() == services.len() + missing
            && services.iter().all(|service| set.iter().any(|shard| shard == service))
    };
    let Some(set) = expectations.shard_sets.iter().find(is_set) else {
        return Err(ResponseError::UnknownShardSet { services, missing });
    };
    let (parts, shards) = (services.len(), set.len());
    if (parts as f64) < expectations.quorum * shards as f64 - 1e-9 {
        return Err(ResponseError::BelowQuorum { parts, shards });
    }
    match greatest_records(sealed, expectations.top_k) == response.body {
        true => Ok(()),
        false => Err(ResponseError::WrongRecords),
    }
}

fn greatest_records(sealed: &[&Execution], count: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        sealed.iter().flat_map(|execution| execution.body.chunks_exact(RECORD_BYTES)).collect();
    records.sort();
    records.into_iter().rev().take(count).flatten().copied().collect()
}

//! Judges what clients saw by what nodes ran. It merges records by code of its own.

use crate::nodes::ExecutionLog;
use std::collections::{BTreeSet, HashMap};

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Gather,
    One,
    Order,
}

impl Kind {
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Gather => "/gather/",
            Kind::One => "/one/",
            Kind::Order => "/order/",
        }
    }

    /// Whether it may run more than once.
    pub fn repeats(self) -> bool {
        self != Kind::Order
    }
}

/// How one try ended for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer: its status, and what it says of its parts or its seal.
    Response { status: u16, seals: Vec<String>, missing: usize, body: Vec<u8> },
    /// No connection, or one that ended before any of the answer came.
    Disconnected(String),
    /// An answer that began and did not end, or bytes that are none.
    Malformed(String),
}

/// One try.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    /// The whole request was written.
    pub was_sent: bool,
    pub outcome: AttemptOutcome,
}

/// One request of a client with all its tries.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: Kind,
    pub target: String,
    pub attempts: Vec<Attempt>,
    pub duration_ms: f64,
}

impl Request {
    pub fn is_served(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|last| matches!(last.outcome, AttemptOutcome::Response { status: 200..=299, .. }))
    }
}

/// What the configurations allow.
#[derive(Clone, Debug)]
pub struct Expectations {
    /// The shards of the gathered route in any version sent so far.
    pub shard_sets: Vec<Vec<String>>,
    pub top_k: usize,
    pub quorum: f64,
    pub single_service: String,
}

/// A rule that was broken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub detail: String,
}

/// Every break that clients and nodes saw between them.
pub fn check(requests: &[Request], ledger: &ExecutionLog, allowed: &Expectations) -> Vec<Violation> {
    let mut breaks = Vec::new();
    let mut tries: HashMap<&str, &Request> = HashMap::new();
    for request in requests {
        for tried in &request.attempts {
            tries.insert(&tried.id, request);
            let found = check_attempt(request, tried, ledger, allowed);
            breaks.extend(found.into_iter().map(|(rule, why)| Violation {
                rule,
                detail: format!("{:?} {}: {why}", request.kind, tried.id),
            }));
        }
    }
    for (attempt, runs) in &ledger.executions {
        let Some(request) = tries.get(attempt.as_str()) else {
            breaks
                .push(Violation { rule: "UNASKED", detail: format!("{attempt} ran, and no client sent it") });
            continue;
        };
        for run in runs {
            let at_home = match request.kind {
                Kind::Gather => allowed.shard_sets.iter().flatten().any(|service| *service == run.service),
                _ => run.service == allowed.single_service,
            };
            if !at_home {
                breaks.push(Violation { rule: "ROUTE", detail: format!("{attempt} ran at {}", run.service) });
            }
            if run.target != request.target {
                breaks
                    .push(Violation { rule: "UNASKED", detail: format!("{attempt} ran as {}", run.target) });
            }
        }
        if !request.kind.repeats() && runs.len() > 1 {
            breaks.push(Violation { rule: "TWICE", detail: format!("{attempt} ran {} times", runs.len()) });
        }
    }
    breaks
}

fn check_attempt(
    request: &Request,
    tried: &Attempt,
    ledger: &ExecutionLog,
    allowed: &Expectations,
) -> Option<(&'static str, String)> {
    let runs = ledger.executions.get(&tried.id).map(Vec::as_slice).unwrap_or_default();
    let (status, seals, missing, body) = match &tried.outcome {
        AttemptOutcome::Response { status, seals, missing, body } => (*status, seals, *missing, body),
        AttemptOutcome::Disconnected(why) => {
            return (!runs.is_empty()).then(|| ("LOST", format!("it ran, and the client got: {why}")));
        }
        AttemptOutcome::Malformed(why) => return Some(("MIXED", why.clone())),
    };
    if matches!(status, 408 | 421 | 429 | 503) && !request.kind.repeats() && !runs.is_empty() {
        return Some(("REFUSED", format!("{status}, and it ran")));
    }
    if !(200..300).contains(&status) {
        return None;
    }
    let mut services = BTreeSet::new();
    let mut records: Vec<&[u8]> = Vec::new();
    for seal in seals {
        let Some(run) = runs.iter().find(|run| run.seal.as_deref() == Some(seal)) else {
            return Some(("MIXED", format!("{seal} seals no answer to it")));
        };
        if !services.insert(run.service.as_str()) {
            return Some(("MIXED", format!("two parts are of {}", run.service)));
        }
        records.extend(run.body.chunks_exact(16));
        if request.kind != Kind::Gather && run.body != *body {
            return Some(("MIXED", "the body is not the node's".into()));
        }
    }
    if services.is_empty() {
        return Some(("MIXED", "a success without a seal".into()));
    }
    if request.kind != Kind::Gather {
        return None;
    }
    let fits = |set: &&Vec<String>| {
        set.len() == services.len() + missing
            && services.iter().all(|service| set.iter().any(|name| name == service))
    };
    let Some(set) = allowed.shard_sets.iter().find(fits) else {
        return Some(("MIXED", format!("{services:?} and {missing} missing are no set of one version")));
    };
    if (services.len() as f64) < allowed.quorum * set.len() as f64 - 1e-9 {
        return Some(("MIXED", format!("{} of {} parts are under the quorum", services.len(), set.len())));
    }
    records.sort();
    let greatest: Vec<u8> =
        records.iter().rev().take(allowed.top_k).flat_map(|record| record.to_vec()).collect();
    (greatest != *body).then(|| ("MIXED", "the records are not the greatest of its parts".into()))
}

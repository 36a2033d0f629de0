//! Judges a history by the rules of the service and the promises of membership.

use crate::clients::{CLIENT_TIMEOUT, LATE_ANSWER_GRACE, Request, RequestOutcome};
use crate::history::{FaultEvent, History, StatusChange};
use std::collections::BTreeMap;
use std::time::Duration;

/// One final answer within the client's time-out, from each router that no fault hit.
pub const ONE_ANSWER: &str = "one-answer";
/// No non-idempotent part runs twice.
pub const NO_EFFECT_TWICE: &str = "no-effect-twice";
/// No answer claims more than what ran.
pub const HONEST_ANSWERS: &str = "honest-answers";
/// No router that runs and can be heard counts as failed.
pub const NO_FALSE_FAILURE: &str = "no-false-lost";
/// A router's status does not come and go more often than faults hit it or the network.
pub const NO_FLAPPING: &str = "no-flapping";
/// Each condition of the schedule comes true.
pub const CONDITION_MET: &str = "awaited";

/// Probe periods for which a router must have been within hearing for its failure to be false.
const HEARD_PERIODS: f64 = 5.0;

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The name of the promise.
    pub promise: &'static str,
    /// What shows it, a line each.
    pub evidence: Vec<String>,
}

/// The promises that were not kept; none if all were.
pub fn check(history: &History) -> Vec<Violation> {
    let checks = [
        (ONE_ANSWER, missing_answers(history)),
        (NO_EFFECT_TWICE, history.double_effects()),
        (HONEST_ANSWERS, history.wrong_answers()),
        (NO_FALSE_FAILURE, false_failures(history)),
    ];
    let flapping = flapping(history).into_iter().map(|evidence| (NO_FLAPPING, evidence));
    let all = checks.into_iter().chain(flapping).filter(|(_, evidence)| !evidence.is_empty());
    all.map(|(promise, evidence)| Violation { promise, evidence }).collect()
}

fn missing_answers(history: &History) -> Vec<String> {
    let is_missing = |request: &&Request| {
        let is_late = request.ended > request.sent + CLIENT_TIMEOUT + LATE_ANSWER_GRACE;
        let has_none =
            matches!(request.outcome, RequestOutcome::NoAnswer | RequestOutcome::ConnectionRefused);
        (is_late || has_none) && !history.was_disturbed(request.router, request.sent, request.ended)
    };
    history.requests.iter().filter(is_missing).map(|request| format!("{request:?}")).collect()
}

/// Failures of routers that could be heard at each moment of the periods before.
fn false_failures(history: &History) -> Vec<String> {
    let window = history.probe_period.mul_f64(HEARD_PERIODS);
    let is_false = |change: &&StatusChange| {
        let since = change.at.saturating_sub(window);
        let event_times = history.fault_events.iter().map(|(at, _)| *at);
        let within = event_times.filter(|at| (since..change.at).contains(at));
        let mut moments: Vec<Duration> = within.collect();
        moments.extend([since, change.at]);
        moments.iter().all(|at| history.could_hear(change.observer, change.member, *at))
    };
    let failures = history.status_changes.iter().filter(|change| change.is_failure());
    failures.filter(is_false).map(|change| change.log_line.clone()).collect()
}

/// For each pair of routers whose status changed too often, the changes.
fn flapping(history: &History) -> Vec<Vec<String>> {
    let mut by_pair: BTreeMap<(usize, usize), Vec<&StatusChange>> = BTreeMap::new();
    for change in history.status_changes.iter().filter(|change| change.concerns_failure()) {
        by_pair.entry((change.observer, change.member)).or_default().push(change);
    }
    let is_fault_of = |event: &FaultEvent, member: usize| match event {
        FaultEvent::Down { router } => *router == member,
        FaultEvent::Partitioned { .. } => true,
        FaultEvent::Up { .. } | FaultEvent::Healed { .. } => false,
    };
    let exceeds_faults = |((_, member), changes): &((usize, usize), Vec<&StatusChange>)| {
        let faults = history.fault_events.iter().filter(|(_, event)| is_fault_of(event, *member)).count();
        changes.len() > 2 * faults.max(1)
    };
    let lines = |changes: Vec<&StatusChange>| changes.iter().map(|change| change.log_line.clone()).collect();
    by_pair.into_iter().filter(exceeds_faults).map(|(_, changes)| lines(changes)).collect()
}

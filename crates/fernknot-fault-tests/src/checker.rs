//! Checks a history against the invariants of the query service and of membership.

use crate::clients::{CLIENT_TIMEOUT, LATE_ANSWER_GRACE, Request, RequestOutcome};
use crate::history::{FaultEvent, History, StatusChange};
use std::collections::BTreeMap;
use std::time::Duration;

/// Invariant: each request gets an answer within the client's time-out and its grace period, unless its router was
/// down, or went down or up, meanwhile.
pub const ONE_ANSWER: &str = "one-answer";
/// Invariant: no part of a non-idempotent request runs twice, at one store or at two.
pub const NO_DUPLICATE_EFFECT: &str = "no-effect-twice";
/// Invariant: no request gets two answers, and no answer claims to be complete although a part did not run.
pub const NO_FALSE_ANSWER: &str = "honest-answers";
/// Invariant: no router is declared failed that could reach the observer during the last five probe periods.
pub const NO_FALSE_FAILURE: &str = "no-false-lost";
/// Invariant: at each observer, a router's status changes to or from failed at most twice for each fault of that router
/// or of the network, and at most twice without faults.
pub const NO_FLAPPING: &str = "no-flapping";
/// Invariant: each step of the schedule succeeds, and each awaited condition becomes true in time.
pub const CONDITION_MET: &str = "awaited";

/// Number of probe periods before a declared failure during which the failed router must have been able to reach the
/// observer for the failure to be false.
const REACHABILITY_WINDOW_PERIODS: f64 = 5.0;

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Lines of evidence: requests, parts or log lines of routers that show the violation.
    pub evidence: Vec<String>,
}

/// Returns the violations in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let checks = [
        (ONE_ANSWER, missing_answers(history)),
        (NO_DUPLICATE_EFFECT, history.duplicate_effects()),
        (NO_FALSE_ANSWER, history.wrong_answers()),
        (NO_FALSE_FAILURE, false_failures(history)),
    ];
    let flapping = flapping(history).into_iter().map(|evidence| (NO_FLAPPING, evidence));
    let all = checks.into_iter().chain(flapping).filter(|(_, evidence)| !evidence.is_empty());
    all.map(|(invariant, evidence)| Violation { invariant, evidence }).collect()
}

fn missing_answers(history: &History) -> Vec<String> {
    let is_missing = |request: &&Request| {
        let is_late = request.ended > request.sent + CLIENT_TIMEOUT + LATE_ANSWER_GRACE;
        let has_no_answer =
            matches!(request.outcome, RequestOutcome::NoAnswer | RequestOutcome::ConnectionRefused);
        (is_late || has_no_answer) && !history.was_disrupted(request.router, request.sent, request.ended)
    };
    history.requests.iter().filter(is_missing).map(|request| format!("{request:?}")).collect()
}

/// Finds failures of routers that could reach the observer during the entire window before the failure.
///
/// Reachability changes only at fault events, so that it suffices to check these and both ends of the window.
fn false_failures(history: &History) -> Vec<String> {
    let window = history.probe_period.mul_f64(REACHABILITY_WINDOW_PERIODS);
    let is_false = |change: &&StatusChange| {
        let since = change.at.saturating_sub(window);
        let event_times = history.fault_events.iter().map(|(at, _)| *at);
        let within = event_times.filter(|at| (since..change.at).contains(at));
        let mut moments: Vec<Duration> = within.collect();
        moments.extend([since, change.at]);
        moments.iter().all(|at| history.is_reachable(change.observer, change.member, *at))
    };
    let failures = history.status_changes.iter().filter(|change| change.is_failure());
    failures.filter(is_false).map(|change| change.log_line.clone()).collect()
}

/// Returns the log lines of each pair of an observer and a member with more changes to or from failed than the
/// recorded faults explain.
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

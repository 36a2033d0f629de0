//! The checker on constructed histories, each with at most one violated invariant.

use fernknot_fault_tests::checker::check;
use fernknot_fault_tests::clients::{Request, RequestOutcome};
use fernknot_fault_tests::history::{FaultEvent, History, StatusChange};
use std::time::Duration;
use test_case::test_case;

const COMPLETE: RequestOutcome = RequestOutcome::Answered { status: 200, complete: true };

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(id: &str, use_case: &'static str, outcome: RequestOutcome) -> Request {
    Request { id: id.to_string(), use_case, router: 1, sent: at(100), ended: at(150), outcome, answers: 1 }
}

/// A history of three routers without violations: one request, whose parts ran once and which was answered.
fn history_without_violations() -> History {
    History {
        router_count: 3,
        probe_period: at(100),
        requests: vec![request("a", "buy", COMPLETE)],
        store_calls: vec![vec!["a.0".to_string()], vec!["a.1".to_string()]],
        status_changes: Vec::new(),
        fault_events: Vec::new(),
    }
}

/// A status change of router 1 in the log of router 0.
fn status_change(ms: u64, from: &str, to: &str) -> StatusChange {
    StatusChange {
        at: at(ms),
        observer: 0,
        member: 1,
        from: from.into(),
        to: to.into(),
        log_line: format!("at {ms}: {to}"),
    }
}

fn failure(ms: u64) -> StatusChange {
    status_change(ms, "doubted", "lost")
}

fn request_without_answer(history: &mut History) {
    history.requests[0].outcome = RequestOutcome::NoAnswer;
}

fn repeated_idempotent_part(history: &mut History) {
    history.requests[0].use_case = "page";
    history.store_calls[0].push("a.0".to_string());
}

fn failure_of_a_dead_router(history: &mut History) {
    history.fault_events.push((at(50), FaultEvent::Down { router: 1 }));
    history.status_changes.push(failure(5000));
    request_without_answer(history);
}

/// Adds the fault that all datagrams from router 1 to these receivers are dropped from 2 s on.
fn block_datagrams_from_router_1(history: &mut History, receivers: &[usize]) {
    let partition = FaultEvent::Partitioned { from: vec![1], to: receivers.to_vec() };
    history.fault_events.push((at(2000), partition));
}

fn failure_with_blocked_receivers(history: &mut History, blocked_receivers: &[usize]) {
    block_datagrams_from_router_1(history, blocked_receivers);
    history.status_changes.push(failure(5000));
}

fn flapping(history: &mut History) {
    block_datagrams_from_router_1(history, &[0, 2]);
    let recovery = |ms| status_change(ms, "lost", "alive");
    history.status_changes = vec![failure(3000), recovery(3500), failure(4000), recovery(4500)];
}

#[test_case(|_| {}, None; "no violation")]
#[test_case(request_without_answer, Some("one-answer"); "never answered")]
#[test_case(|history| history.requests[0].ended = at(9000), Some("one-answer"); "answered too late")]
#[test_case(|history| history.requests[0].answers = 2, Some("honest-answers"); "answered twice")]
#[test_case(|history| history.store_calls[1].clear(), Some("honest-answers"); "complete without a part")]
#[test_case(|history| history.store_calls[0].push("a.0".to_string()), Some("no-effect-twice"); "a non-idempotent part that ran twice")]
#[test_case(repeated_idempotent_part, None; "an idempotent part that ran twice")]
#[test_case(|history| history.status_changes.push(failure(5000)), Some("no-false-lost"); "failure of a running router")]
#[test_case(failure_of_a_dead_router, None; "failure of a dead router with a request in flight")]
#[test_case(|history| failure_with_blocked_receivers(history, &[0]), Some("no-false-lost"); "failure of a router that a third one can reach")]
#[test_case(|history| failure_with_blocked_receivers(history, &[0, 2]), None; "failure of a router that reaches no other")]
#[test_case(flapping, Some("no-flapping"); "repeated failure and recovery after one fault")]
fn checker_reports_exactly_the_violated_invariant(change: fn(&mut History), invariant: Option<&str>) {
    let mut history = history_without_violations();
    change(&mut history);
    let violated: Vec<&str> = check(&history).iter().map(|violation| violation.invariant).collect();
    assert_eq!(violated, invariant.into_iter().collect::<Vec<_>>());
}

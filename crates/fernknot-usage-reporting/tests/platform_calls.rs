//! Calls to a platform that is slow, silent, overloaded or resets connections: one at a time, repeated unchanged.

mod common;

use common::{acting_reporter, acting_time, leading, ms, record, start, write};
use fernknot::interface::Nanos;
use fernknot_usage_reporting::{Action, CallOutcome, UsageReporter};
use test_case::test_case;

/// Polls the role at each millisecond until it starts a call. Returns the time.
fn time_of_next_start(reporter: &mut UsageReporter, from: Nanos) -> Nanos {
    let times = (0..20_000).map(|wait| from + ms(wait));
    let mut times =
        times.filter(|now| matches!(reporter.poll_action(*now, leading(1)), Some(Action::StartCall(_))));
    times.next().expect("a call within 20 s")
}

#[test]
fn given_closed_windows_when_all_are_acknowledged_then_each_is_reported_once_and_in_order() {
    let mut reporter = acting_reporter("a");
    let mut now = acting_time();
    for window in 1000..1003 {
        let (id, call) = write(&mut reporter, now, leading(1));
        let body = format!(r#"{{"window":{window},"counts":{{"milo40":1}}}}"#);
        assert_eq!(String::from_utf8(call.body).unwrap(), body);
        reporter.call_finished(now, id, CallOutcome::Answered(200));
        now = now + ms(20);
    }
    assert_eq!(reporter.poll_action(now, leading(1)), None);
    assert_eq!(reporter.next_call_timeout(now, leading(1)), None);
    let status = reporter.status(now, leading(1));
    assert_eq!((status.unreported, status.last_acknowledged.map(|window| window.0)), (0, Some(1002)));
    assert_eq!((status.calls.written, status.calls.acknowledged), (3, 3));
}

#[test]
fn given_an_outstanding_call_when_polled_then_no_other_one_starts() {
    let mut reporter = acting_reporter("a");
    write(&mut reporter, acting_time(), leading(1));
    for wait in 0..1000 {
        assert_eq!(reporter.poll_action(acting_time() + ms(wait), leading(1)), None, "after {wait} ms");
    }
}

#[test]
fn given_many_windows_when_the_platform_answers_at_once_then_the_rate_stays_within_the_limit() {
    let mut reporter = acting_reporter("a");
    reporter.record_committed(Some(&record(1000..1100)));
    let (mut now, mut calls) = (acting_time(), 0);
    while now < acting_time() + ms(1000) {
        if let Some(Action::StartCall(id)) = reporter.poll_action(now, leading(1)) {
            reporter.take_call(now, leading(1), id).unwrap();
            reporter.call_finished(now, id, CallOutcome::Answered(200));
            calls += 1;
        }
        now = now + ms(1);
    }
    assert_eq!(calls, 50);
}

#[test_case(CallOutcome::Answered(429); "too many calls")]
#[test_case(CallOutcome::Answered(500); "an internal error")]
#[test_case(CallOutcome::Answered(503); "unavailable")]
#[test_case(CallOutcome::Unclear; "reset")]
fn given_no_acknowledgement_when_repeated_then_the_bytes_are_the_same_after_growing_pauses(
    outcome: CallOutcome,
) {
    let mut reporter = acting_reporter("a");
    let mut now = acting_time();
    let mut pauses = Vec::new();
    let (mut id, first) = write(&mut reporter, now, leading(1));
    for _ in 0..10 {
        assert_eq!(reporter.call_finished(now, id, outcome), None);
        let restarted_at = reporter.next_call_timeout(now, leading(1)).unwrap();
        assert_eq!(reporter.poll_action(restarted_at - Nanos(1), leading(1)), None);
        let (next_id, call) = write(&mut reporter, restarted_at, leading(1));
        assert_eq!(call, first);
        pauses.push(restarted_at - now);
        (id, now) = (next_id, restarted_at);
    }
    assert!(pauses[0] <= ms(200), "{pauses:?}");
    assert!(pauses[9] >= ms(500) && pauses.iter().all(|pause| *pause <= ms(1000)), "{pauses:?}");
}

#[test]
fn given_a_silent_platform_when_no_answer_arrives_then_the_call_is_given_up_and_waits_longer_each_time() {
    let mut reporter = acting_reporter("a");
    let mut now = acting_time();
    let mut limits = Vec::new();
    let mut bodies = Vec::new();
    for _ in 0..5 {
        let (id, call) = write(&mut reporter, now, leading(1));
        bodies.push(call.body);
        let deadline = reporter.next_call_timeout(now, leading(1)).unwrap();
        assert_eq!(reporter.poll_action(deadline - Nanos(1), leading(1)), None);
        assert_eq!(reporter.poll_action(deadline, leading(1)), Some(Action::AbortCall(id)));
        assert_eq!(reporter.call_finished(deadline, id, CallOutcome::Answered(200)), None, "it is over");
        limits.push((deadline - now).as_millis());
        now = reporter.next_call_timeout(deadline, leading(1)).unwrap();
    }
    assert_eq!(limits, [1000.0, 1500.0, 2250.0, 3375.0, 5062.5]);
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(reporter.status(now, leading(1)).calls.timed_out, 5);
}

#[test]
fn given_a_slow_platform_when_it_has_answered_once_then_the_next_call_waits_for_twice_that_time() {
    let mut reporter = acting_reporter("a");
    let mut now = acting_time();
    for (answer_ms, next_limit_ms) in [(900, 1800), (1700, 3400), (10, 1000)] {
        let (id, _) = write(&mut reporter, now, leading(1));
        now = now + ms(answer_ms);
        assert_eq!(reporter.poll_action(now, leading(1)), None, "the call is still outstanding");
        reporter.call_finished(now, id, CallOutcome::Answered(429));
        now = reporter.next_call_timeout(now, leading(1)).unwrap();
        let mut next = reporter.clone();
        write(&mut next, now, leading(1));
        assert_eq!(next.next_call_timeout(now, leading(1)), Some(now + ms(next_limit_ms)));
    }
}

#[test]
fn given_a_platform_that_is_cut_off_when_no_connection_opens_then_each_attempt_takes_a_second_at_most() {
    let mut reporter = acting_reporter("a");
    let mut now = acting_time();
    for _ in 0..5 {
        let id = start(&mut reporter, now, leading(1));
        let deadline = reporter.next_call_timeout(now, leading(1)).unwrap();
        assert_eq!(deadline - now, ms(1000));
        assert_eq!(reporter.poll_action(deadline, leading(1)), Some(Action::AbortCall(id)));
        now = time_of_next_start(&mut reporter, deadline);
        let started = reporter.poll_action(now, leading(1));
        assert_eq!(started, None, "one at a time");
        let deadline = reporter.next_call_timeout(now, leading(1)).unwrap();
        assert!(matches!(reporter.poll_action(deadline, leading(1)), Some(Action::AbortCall(_))));
        now = reporter.next_call_timeout(deadline, leading(1)).unwrap();
    }
}

#[test]
fn given_an_answer_before_the_request_when_it_arrives_then_nothing_is_acknowledged() {
    let mut reporter = acting_reporter("a");
    let id = start(&mut reporter, acting_time(), leading(1));
    reporter.call_finished(acting_time(), id, CallOutcome::Answered(200));
    assert_eq!(reporter.status(acting_time(), leading(1)).unreported, 3);
}

#[test]
fn given_names_with_quotes_when_reported_then_the_body_is_valid_json() {
    let mut record = record(1000..1000);
    record.fix_next(vec![("a\"\\\n".into(), 1), ("ä".into(), 2)]);
    let mut reporter = acting_reporter("a");
    reporter.record_committed(Some(&record));
    let (_, call) = write(&mut reporter, acting_time(), leading(1));
    let parsed: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
    assert_eq!(parsed, serde_json::json!({"window": 1000, "counts": {"a\"\\\n": 1, "ä": 2}}));
}

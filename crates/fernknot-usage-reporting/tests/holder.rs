//! Only the leader of an active view that holds the lease acts, and the role doesn't return within a lease.

mod common;

use common::{acting_reporter, acting_time, leading, ms, record, settings, start, write};
use fernknot::interface::Nanos;
use fernknot_usage_reporting::{Action, CallOutcome, LeaseState, ReporterToken, UsageReporter};
use test_case::test_case;

#[test]
fn given_a_new_leader_when_another_may_have_led_then_it_waits_for_longer_than_the_lease() {
    let mut reporter = acting_reporter("a");
    assert_eq!(reporter.poll_action(ms(3299), leading(1)), None);
    assert_eq!(reporter.next_call_timeout(ms(3299), leading(1)), Some(acting_time()));
    let (_, call) = write(&mut reporter, acting_time(), leading(1));
    assert_eq!((call.holder.as_str(), call.token), ("a", ReporterToken(1)));
}

#[test_case(LeaseState { has_lease: false, ..leading(1) }; "without the lease")]
#[test_case(LeaseState { is_leader: false, ..leading(1) }; "not leading")]
#[test_case(LeaseState { is_stopping: true, ..leading(1) }; "shutting down")]
#[test_case(LeaseState { view: None, ..leading(1) }; "left out of the view")]
#[test_case(LeaseState { view: Some(2), ..leading(1) }; "a view whose activation was not seen")]
fn given_a_controller_that_may_not_act_when_polled_then_it_starts_no_call(lease: LeaseState) {
    let mut reporter = acting_reporter("a");
    assert_eq!(reporter.poll_action(acting_time(), lease), None);
    assert_eq!(reporter.status(acting_time(), lease).token, None);
}

#[test]
fn given_the_leader_of_the_view_just_before_when_the_view_changes_then_it_goes_on_with_the_higher_token() {
    let mut reporter = acting_reporter("a");
    let (id, first) = write(&mut reporter, acting_time(), leading(1));
    reporter.call_finished(acting_time(), id, CallOutcome::Unclear);
    reporter.view_activated(ms(4000), 2, true);
    let (_, second) = write(&mut reporter, ms(4200), leading(2));
    assert_eq!((second.token, second.body), (ReporterToken(2), first.body));
}

#[test_case(&[(2, false), (3, true)]; "another one led")]
#[test_case(&[(3, true)]; "it was left out of a view")]
#[test_case(&[(1 << 20, true)]; "a view was forced")]
fn given_a_view_of_another_leader_in_between_when_it_leads_again_then_it_waits(views: &[(u64, bool)]) {
    let mut reporter = acting_reporter("a");
    write(&mut reporter, acting_time(), leading(1));
    views.iter().for_each(|(view, leads)| reporter.view_activated(ms(4000), *view, *leads));
    let last = leading(views[views.len() - 1].0);
    reporter.poll_action(ms(6000), last);
    assert_eq!(reporter.poll_action(ms(7299), last), None);
    let (_, call) = write(&mut reporter, ms(7300), last);
    assert_eq!(Some(call.token.0), last.view);
}

#[test]
fn given_a_frozen_leader_when_it_wakes_with_an_open_connection_then_it_writes_nothing() {
    let mut reporter = acting_reporter("a");
    let id = start(&mut reporter, acting_time(), leading(1));
    let woken = LeaseState { has_lease: false, ..leading(1) };
    assert_eq!(reporter.take_call(ms(60_000), woken, id), None);
    assert_eq!(reporter.poll_action(ms(60_000), woken), None);
    assert_eq!(reporter.status(ms(60_000), woken).calls.written, 0);
}

#[test]
fn given_a_leader_that_loses_its_lease_while_it_connects_then_the_attempt_is_aborted() {
    let mut reporter = acting_reporter("a");
    let id = start(&mut reporter, acting_time(), leading(1));
    let partitioned = LeaseState { has_lease: false, ..leading(1) };
    assert_eq!(reporter.poll_action(acting_time(), partitioned), Some(Action::AbortCall(id)));
    assert_eq!(reporter.take_call(acting_time(), leading(1), id), None, "an aborted attempt is over");
}

#[test]
fn given_a_conflict_when_it_is_answered_then_the_holder_never_acts_with_this_token_again() {
    let mut reporter = acting_reporter("a");
    let (id, call) = write(&mut reporter, acting_time(), leading(1));
    assert_eq!(reporter.call_finished(acting_time(), id, CallOutcome::Answered(409)), Some(call.token));
    for second in 4..600 {
        assert_eq!(reporter.poll_action(ms(second * 1000), leading(1)), None);
    }
    assert_eq!(reporter.next_call_timeout(ms(600_000), leading(1)), None, "no busy waiting");
    reporter.view_activated(ms(600_000), 2, true);
    write(&mut reporter, ms(603_300), leading(2));
}

#[test]
fn given_a_shutdown_when_a_call_is_unclear_then_the_next_holder_makes_it_with_the_same_content() {
    let mut first = acting_reporter("a");
    let (_, unclear) = write(&mut first, acting_time(), leading(1));
    let stopping = LeaseState { is_stopping: true, ..leading(1) };
    assert_eq!(first.poll_action(acting_time(), stopping), None);
    let mut second = UsageReporter::new(settings("b"), 8);
    second.record_committed(Some(&record(1000..1003)));
    second.view_activated(ms(4000), 2, true);
    let (_, call) = write(&mut second, ms(7300), leading(2));
    assert_eq!((call.window, call.body), (unclear.window, unclear.body));
    assert_eq!((call.holder.as_str(), call.token), ("b", ReporterToken(2)));
}

#[test]
fn given_a_restarted_leader_of_the_same_view_when_it_acts_then_its_token_is_the_same_holders() {
    let mut restarted = acting_reporter("a");
    assert_eq!(restarted.poll_action(Nanos(0), leading(1)), None);
    let (_, call) = write(&mut restarted, acting_time(), leading(1));
    assert_eq!((call.holder.as_str(), call.token), ("a", ReporterToken(1)));
}

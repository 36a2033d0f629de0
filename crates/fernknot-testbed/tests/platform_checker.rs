//! The checker of calls to the platform finds each violation, and none in correct calls.

use fernknot_testbed::platform::{CallDecision, ReceivedCall};
use fernknot_testbed::platform_checker::{CallViolation, check_calls};
use std::time::Duration;
use test_case::test_case;

const LEASE: Duration = Duration::from_secs(3);

fn call(at_s: u64, holder: &str, token: u64, window: u64) -> ReceivedCall {
    ReceivedCall {
        at: Duration::from_secs(at_s),
        holder: holder.to_string(),
        token,
        window,
        counts: [("milo40".to_string(), 7)].into(),
        decision: CallDecision::Accepted,
    }
}

fn fenced(at_s: u64, holder: &str, token: u64, window: u64) -> ReceivedCall {
    ReceivedCall { decision: CallDecision::Fenced, ..call(at_s, holder, token, window) }
}

fn with_count(mut call: ReceivedCall, count: u64) -> ReceivedCall {
    call.counts.insert("milo40".to_string(), count);
    call
}

#[test_case(vec![]; "no calls")]
#[test_case(vec![call(0, "a", 1, 5), call(1, "a", 1, 5), call(5, "a", 1, 6)]; "an exact repeat")]
#[test_case(vec![call(0, "a", 1, 5), call(2, "b", 2, 6), call(4, "a", 3, 7)]; "a return after the lease")]
#[test_case(vec![call(0, "b", 2, 5), fenced(1, "a", 1, 5), fenced(2, "a", 1, 5)]; "refused calls soon after")]
fn given_correct_calls_when_checked_then_there_is_no_violation(calls: Vec<ReceivedCall>) {
    assert_eq!(check_calls(&calls, LEASE), []);
}

#[test_case(vec![call(0, "a", 1, 5), with_count(call(1, "a", 1, 5), 8)], CallViolation::TwoContents(5); "two contents")]
#[test_case(vec![call(0, "a", 1, 5), fenced(1, "b", 1, 6)], CallViolation::TwoHolders(1); "two holders")]
#[test_case(vec![call(0, "a", 1, 5), call(1, "b", 2, 6), call(2, "a", 3, 7)], CallViolation::Return("a".into()); "a return within the lease")]
#[test_case(vec![call(0, "a", 1, 5), call(1, "a", 1, 7)], CallViolation::Missing(6); "a missing window")]
#[test_case(
    vec![call(0, "b", 2, 5), fenced(0, "a", 1, 5), fenced(4, "a", 1, 5), fenced(5, "a", 1, 5),
         fenced(6, "a", 1, 5), fenced(7, "a", 1, 5)],
    CallViolation::CallsAfterRefusal("a".into(), 1);
    "calls long after a refusal"
)]
fn given_a_violation_when_checked_then_it_is_found(calls: Vec<ReceivedCall>, violation: CallViolation) {
    assert_eq!(check_calls(&calls, LEASE), [violation]);
}

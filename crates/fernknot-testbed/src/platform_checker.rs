//! Checks the calls that the platform has received against the rules for a role that one process at a time has.

use crate::platform::{CallDecision, ReceivedCall};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of calls with a fenced token, later than a lease after the refusal, that are tolerated.
const MAX_CALLS_AFTER_REFUSAL: usize = 3;

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallViolation {
    /// The platform accepted two reports on this window whose counts differ.
    TwoContents(u64),
    /// This token was sent by two holders.
    TwoHolders(u64),
    /// This holder acted again within the lease although another one had acted in between.
    Return(String),
    /// This holder went on to call with this token after it was refused.
    CallsAfterRefusal(String, u64),
    /// No report on this window was accepted, although it lies between others.
    Missing(u64),
}

/// Returns all violations, in no particular order.
pub fn check_calls(calls: &[ReceivedCall], lease: Duration) -> Vec<CallViolation> {
    let mut violations = contents(calls);
    violations.extend(holders(calls));
    violations.extend(returns(calls, lease));
    violations.extend(calls_after_refusal(calls, lease));
    violations.extend(missing_windows(calls));
    violations
}

fn accepted(calls: &[ReceivedCall]) -> impl Iterator<Item = &ReceivedCall> {
    calls.iter().filter(|call| call.decision == CallDecision::Accepted)
}

fn contents(calls: &[ReceivedCall]) -> Vec<CallViolation> {
    let mut first = BTreeMap::new();
    let differs =
        accepted(calls).filter(|call| *first.entry(call.window).or_insert(&call.counts) != &call.counts);
    let windows: BTreeSet<u64> = differs.map(|call| call.window).collect();
    windows.into_iter().map(CallViolation::TwoContents).collect()
}

fn holders(calls: &[ReceivedCall]) -> Vec<CallViolation> {
    let mut first = BTreeMap::new();
    let differs =
        calls.iter().filter(|call| *first.entry(call.token).or_insert(&call.holder) != &call.holder);
    let tokens: BTreeSet<u64> = differs.map(|call| call.token).collect();
    tokens.into_iter().map(CallViolation::TwoHolders).collect()
}

fn returns(calls: &[ReceivedCall], lease: Duration) -> Vec<CallViolation> {
    let accepted: Vec<&ReceivedCall> = accepted(calls).collect();
    let mut violations = Vec::new();
    for (index, call) in accepted.iter().enumerate() {
        let recent = accepted[..index].iter().rev().take_while(|earlier| call.at - earlier.at < lease);
        let mut before_others = recent.skip_while(|earlier| earlier.holder == call.holder);
        if before_others.any(|earlier| earlier.holder == call.holder) {
            violations.push(CallViolation::Return(call.holder.clone()));
        }
    }
    violations
}

fn calls_after_refusal(calls: &[ReceivedCall], lease: Duration) -> Vec<CallViolation> {
    let mut refused_at: BTreeMap<(&str, u64), Duration> = BTreeMap::new();
    let mut later: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for call in calls {
        let key = (call.holder.as_str(), call.token);
        if refused_at.get(&key).is_some_and(|refused_at| call.at > *refused_at + lease) {
            *later.entry(key).or_default() += 1;
        }
        if call.decision == CallDecision::Fenced {
            refused_at.entry(key).or_insert(call.at);
        }
    }
    let excessive = later.into_iter().filter(|(_, count)| *count > MAX_CALLS_AFTER_REFUSAL);
    excessive
        .map(|((holder, token), _)| CallViolation::CallsAfterRefusal(holder.to_string(), token))
        .collect()
}

fn missing_windows(calls: &[ReceivedCall]) -> Vec<CallViolation> {
    let windows: BTreeSet<u64> = accepted(calls).map(|call| call.window).collect();
    let (Some(first), Some(last)) = (windows.first(), windows.last()) else { return Vec::new() };
    (*first..*last).filter(|window| !windows.contains(window)).map(CallViolation::Missing).collect()
}

//! Whether retries stayed within the budget, all gateways together.

use crate::checks::rule::{BrokenRule, Rule};
use crate::checks::sent_request::SentRequest;
use crate::settings::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};
use fernknot::interface::Nanos;
use std::collections::BTreeSet;

/// A request that has arrived at a node once more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    pub arrived_at: Nanos,
    pub gateway: usize,
}

/// Whether a moment is in the window that begins at another.
fn is_in_window(moment: Nanos, begin: Nanos) -> bool {
    begin <= moment && moment <= begin + RETRY_WINDOW
}

fn retries_in<'a>(retries: impl Iterator<Item = &'a Retry>, begin: Nanos) -> usize {
    retries.filter(|retry| is_in_window(retry.arrived_at, begin)).count()
}

/// Requests in the window that begins here, in that half a window before, and in the one before.
fn requests_around<'a>(requests: impl Iterator<Item = &'a SentRequest> + Clone, begin: Nanos) -> [usize; 3] {
    [0.0, 0.5, 1.0].map(|windows_back| {
        let begin = begin - RETRY_WINDOW.times(windows_back);
        requests.clone().filter(|request| is_in_window(request.sent_at, begin)).count()
    })
}

/// In every window that begins or ends with a retry: the requests are those of it, of the one before, or of that half a
/// window before, whichever are most.
pub(super) fn check_retry_budget(requests: &[&SentRequest], retries: &[Retry]) -> Option<BrokenRule> {
    let arrivals = retries.iter().map(|retry| retry.arrived_at);
    let begins: BTreeSet<Nanos> = arrivals.flat_map(|at| [at, at - RETRY_WINDOW]).collect();
    begins.into_iter().find_map(|begin| check_window(requests, retries, begin))
}

fn check_window(requests: &[&SentRequest], retries: &[Retry], begin: Nanos) -> Option<BrokenRule> {
    let retry_count = retries_in(retries.iter(), begin);
    let request_counts = requests_around(requests.iter().copied(), begin);
    let allowed = RETRY_RATIO * request_counts.into_iter().max()? as f64 + RETRY_SLACK;
    if retry_count as f64 <= allowed {
        return None;
    }
    let gateways: BTreeSet<usize> = requests.iter().map(|request| request.gateway).collect();
    let by_gateway = gateways.into_iter().map(|gateway| {
        let retries = retries_in(retries.iter().filter(|retry| retry.gateway == gateway), begin);
        let its_requests = requests.iter().copied().filter(|request| request.gateway == gateway);
        format!("{retries} by gateway {gateway} for {:?}", requests_around(its_requests, begin))
    });
    let (begin_ms, by_gateway) = (begin.as_millis(), by_gateway.collect::<Vec<_>>().join(", "));
    let text =
        format!("{retry_count} retries from {begin_ms:.0} ms on, {allowed:.1} are allowed: {by_gateway}");
    Some(BrokenRule::new(Rule::Budget, text))
}

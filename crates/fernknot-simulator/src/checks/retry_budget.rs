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

/// Moments in order, to be counted by windows.
struct Moments(Vec<Nanos>);

impl Moments {
    fn new(moments: impl Iterator<Item = Nanos>) -> Moments {
        let mut moments: Vec<Nanos> = moments.collect();
        moments.sort_unstable();
        Moments(moments)
    }

    /// How many are in the window that begins here, both of its ends among it.
    fn count_in_window(&self, begin: Nanos) -> usize {
        let end = begin + RETRY_WINDOW;
        self.0.partition_point(|at| *at <= end) - self.0.partition_point(|at| *at < begin)
    }

    /// How many are in the window that begins here, in that half a window before, and in the one before.
    fn count_around_window(&self, begin: Nanos) -> [usize; 3] {
        [0.0, 0.5, 1.0].map(|windows_back| {
            let back = RETRY_WINDOW.times(windows_back);
            // What would begin before the start of the clock ends as much earlier.
            if back <= begin { self.count_in_window(begin - back) } else { self.count_until(begin, back) }
        })
    }

    /// How many are in a window that begins so long before `begin` that this is before the start of the clock.
    fn count_until(&self, begin: Nanos, back: Nanos) -> usize {
        let end = begin + RETRY_WINDOW - back;
        self.0.partition_point(|at| *at <= end)
    }
}

/// In every window: the requests are those of it, of the one before, or of that half a window before, whichever are
/// most. What a window holds changes only where it begins or ends at a retry or a request, or half a window from one.
pub(super) fn check_retry_budget(requests: &[&SentRequest], retries: &[Retry]) -> Option<BrokenRule> {
    let sent = Moments::new(requests.iter().map(|request| request.sent_at));
    let arrived = Moments::new(retries.iter().map(|retry| retry.arrived_at));
    let moments = sent.0.iter().chain(&arrived.0);
    let begins: BTreeSet<Nanos> = moments.flat_map(|at| begins_of_windows_at(*at)).collect();
    let begin = begins.into_iter().find(|begin| exceeds_budget(&sent, &arrived, *begin))?;
    Some(describe_window(requests, retries, begin))
}

/// The beginnings of windows at which something of this moment is counted for the first or the last time, and those
/// right after them.
fn begins_of_windows_at(moment: Nanos) -> [Nanos; 10] {
    let half = RETRY_WINDOW.times(0.5);
    let edges = [moment - RETRY_WINDOW, moment - half, moment, moment + half, moment + RETRY_WINDOW];
    let after = edges.map(|edge| edge + Nanos(1));
    std::array::from_fn(|index| if index < edges.len() { edges[index] } else { after[index - edges.len()] })
}

fn allowed_retries(requests: [usize; 3]) -> f64 {
    let most = requests.into_iter().max().unwrap_or_default();
    RETRY_RATIO * most as f64 + RETRY_SLACK
}

fn exceeds_budget(sent: &Moments, arrived: &Moments, begin: Nanos) -> bool {
    arrived.count_in_window(begin) as f64 > allowed_retries(sent.count_around_window(begin))
}

fn describe_window(requests: &[&SentRequest], retries: &[Retry], begin: Nanos) -> BrokenRule {
    let of_gateway = |gateway: usize| {
        let its_retries = retries.iter().filter(|retry| retry.gateway == gateway);
        let its_requests = requests.iter().filter(|request| request.gateway == gateway);
        let arrived = Moments::new(its_retries.map(|retry| retry.arrived_at));
        let sent = Moments::new(its_requests.map(|request| request.sent_at));
        (arrived.count_in_window(begin), sent.count_around_window(begin))
    };
    let gateways: BTreeSet<usize> = requests.iter().map(|request| request.gateway).collect();
    let by_gateway: Vec<String> = gateways
        .into_iter()
        .map(|gateway| (gateway, of_gateway(gateway)))
        .map(|(gateway, (retries, requests))| format!("{retries} by gateway {gateway} for {requests:?}"))
        .collect();
    let retry_count = Moments::new(retries.iter().map(|retry| retry.arrived_at)).count_in_window(begin);
    let sent = Moments::new(requests.iter().map(|request| request.sent_at));
    let allowed = allowed_retries(sent.count_around_window(begin));
    let (begin_ms, by_gateway) = (begin.as_millis(), by_gateway.join(", "));
    let text =
        format!("{retry_count} retries from {begin_ms:.0} ms on, {allowed:.1} are allowed: {by_gateway}");
    BrokenRule::new(Rule::Budget, text)
}

//! Check of the retry budget: in each window, the retries that arrive at nodes through all gateways together are at
//! most `RETRY_RATIO` times the clients' requests plus `RETRY_SLACK`.

use crate::checks::rule::{BrokenRule, Rule};
use crate::checks::sent_request::SentRequest;
use crate::settings::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};
use fernknot::interface::Nanos;
use std::collections::BTreeSet;

/// Repeated arrival of a request at a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    pub arrived_at: Nanos,
    pub gateway: usize,
}

/// Sorted timestamps, which can be counted by window.
struct Timestamps(Vec<Nanos>);

impl Timestamps {
    fn new(timestamps: impl Iterator<Item = Nanos>) -> Timestamps {
        let mut timestamps: Vec<Nanos> = timestamps.collect();
        timestamps.sort_unstable();
        Timestamps(timestamps)
    }

    /// Number of timestamps in the window that starts at `start`, including both ends.
    fn count_in_window(&self, start: Nanos) -> usize {
        let end = start + RETRY_WINDOW;
        self.0.partition_point(|at| *at <= end) - self.0.partition_point(|at| *at < start)
    }

    /// Number of timestamps in the windows that start at `start`, half a window earlier and one window earlier.
    fn count_around_window(&self, start: Nanos) -> [usize; 3] {
        [0.0, 0.5, 1.0].map(|windows_back| {
            let back = RETRY_WINDOW.times(windows_back);
            // A window that would start before time 0 is truncated.
            if back <= start { self.count_in_window(start - back) } else { self.count_until(start, back) }
        })
    }

    /// Number of timestamps from time 0 to the end of the window that would start `back` before `start`.
    fn count_until(&self, start: Nanos, back: Nanos) -> usize {
        let end = start + RETRY_WINDOW - back;
        self.0.partition_point(|at| *at <= end)
    }
}

/// Checks the retry budget of every window, and describes the first window that exceeds it. The number of requests that
/// counts for a window is the maximum over the window itself, the one that starts half a window earlier and the
/// previous one. Counts change only where a window starts or ends at a retry or a request, or half a window from one,
/// so that only windows with such a start are checked.
pub(super) fn check_retry_budget(requests: &[&SentRequest], retries: &[Retry]) -> Option<BrokenRule> {
    let sent = Timestamps::new(requests.iter().map(|request| request.sent_at));
    let arrived = Timestamps::new(retries.iter().map(|retry| retry.arrived_at));
    let timestamps = sent.0.iter().chain(&arrived.0);
    let starts: BTreeSet<Nanos> = timestamps.flat_map(|at| window_starts_around(*at)).collect();
    let start = starts.into_iter().find(|start| exceeds_budget(&sent, &arrived, *start))?;
    Some(describe_window(requests, retries, start))
}

/// Returns the window starts at which the count of an event at this time changes, and those one nanosecond later.
fn window_starts_around(time: Nanos) -> [Nanos; 10] {
    let half = RETRY_WINDOW.times(0.5);
    let boundaries = [time - RETRY_WINDOW, time - half, time, time + half, time + RETRY_WINDOW];
    let after_boundaries = boundaries.map(|boundary| boundary + Nanos(1));
    std::array::from_fn(|index| {
        if index < boundaries.len() { boundaries[index] } else { after_boundaries[index - boundaries.len()] }
    })
}

fn allowed_retries(requests: [usize; 3]) -> f64 {
    let max_requests = requests.into_iter().max().unwrap_or_default();
    RETRY_RATIO * max_requests as f64 + RETRY_SLACK
}

fn exceeds_budget(sent: &Timestamps, arrived: &Timestamps, start: Nanos) -> bool {
    arrived.count_in_window(start) as f64 > allowed_retries(sent.count_around_window(start))
}

fn describe_window(requests: &[&SentRequest], retries: &[Retry], start: Nanos) -> BrokenRule {
    let counts_of_gateway = |gateway: usize| {
        let gateway_retries = retries.iter().filter(|retry| retry.gateway == gateway);
        let gateway_requests = requests.iter().filter(|request| request.gateway == gateway);
        let arrived = Timestamps::new(gateway_retries.map(|retry| retry.arrived_at));
        let sent = Timestamps::new(gateway_requests.map(|request| request.sent_at));
        (arrived.count_in_window(start), sent.count_around_window(start))
    };
    let gateways: BTreeSet<usize> = requests.iter().map(|request| request.gateway).collect();
    let by_gateway: Vec<String> = gateways
        .into_iter()
        .map(|gateway| (gateway, counts_of_gateway(gateway)))
        .map(|(gateway, (retries, requests))| format!("{retries} by gateway {gateway} for {requests:?}"))
        .collect();
    let retry_count = Timestamps::new(retries.iter().map(|retry| retry.arrived_at)).count_in_window(start);
    let sent = Timestamps::new(requests.iter().map(|request| request.sent_at));
    let allowed = allowed_retries(sent.count_around_window(start));
    let (start_ms, by_gateway) = (start.as_millis(), by_gateway.join(", "));
    let text =
        format!("{retry_count} retries from {start_ms:.0} ms on, {allowed:.1} are allowed: {by_gateway}");
    BrokenRule::new(Rule::Budget, text)
}

//! Figures of runs. The keys of the output are the names of the fields, or the names in `rename` where given.

use crate::report::rounded;
use fernknot::interface::Nanos;
use serde::Serialize;

/// Figures of one run of a variant in a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment, `fleet`.
    pub experiment: &'static str,
    /// Name of the variant, as in `Variant::NAMES`.
    pub variant: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Name of the scenario, as in `Scenario::NAMES`.
    pub scenario: &'static str,
    /// Number of routers.
    pub routers: u32,
    /// Number of times that a router, the observer, declared another one failed although the other one ran and a path
    /// from it to the observer was intact.
    #[serde(rename = "false_lost")]
    pub false_failures: u64,
    /// Median time from the end of a process until a live router declares it failed; -1 if none did.
    pub detect_p50_ms: f64,
    /// 99th percentile of the time from the end of a process until a live router declares it failed; -1 if none did.
    pub detect_p99_ms: f64,
    /// Number of pairs of a live router and a dead one that the live one shows as neither failed nor left at the end.
    pub undetected: u64,
    /// 99th percentile of the time from the end of the scenario's fault until an observer no longer shows a router as
    /// failed; -1 if no status changed from failed after that end.
    pub rejoin_p99_ms: f64,
    /// Number of ordered pairs of running routers of which one shows the other as failed or left at the end.
    #[serde(rename = "unjoined")]
    pub not_rejoined: u64,
    /// Maximum number of changes of one router's status to or from failed at one observer.
    #[serde(rename = "verdict_changes")]
    pub failure_changes: u32,
    /// Mean number of datagrams sent per router and second.
    pub datagrams_per_s: f64,
    /// Maximum number of datagrams that any router sent in one second.
    #[serde(rename = "datagrams_most_per_s")]
    pub max_datagrams_per_s: u64,
    /// Mean number of bytes sent per router and second.
    pub bytes_per_s: f64,
    /// Maximum, from the first fault on, of the excess of all routers' claims on a cold node's load budget over the
    /// budget, as a share of the budget; 0 if the claims never exceed it.
    pub cold_overload_share: f64,
}

/// Durations for which quantiles are reported.
#[derive(Default)]
pub(super) struct Durations(Vec<u64>);

impl Durations {
    /// Adds a duration.
    pub fn add(&mut self, duration: Nanos) {
        self.0.push(duration.0);
    }

    /// Returns the quantile at `share`, from 0 to 1, in milliseconds; -1 if there are no durations.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, sorted.len().max(1)) - 1;
        sorted.get(index).map_or(-1.0, |nanos| rounded(*nanos as f64 / 1e6, 1))
    }
}

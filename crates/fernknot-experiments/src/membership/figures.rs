//! The figures of runs. The names of fields are the keys of the output.

use crate::report::rounded;
use fernknot::interface::Nanos;
use serde::Serialize;

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// `fleet`.
    pub experiment: &'static str,
    /// The name of the variant.
    pub variant: &'static str,
    /// The seed of the run.
    pub seed: u64,
    /// The name of the scenario.
    pub scenario: &'static str,
    /// How many routers there are.
    pub routers: u32,
    /// Failures of a router that ran and could be heard by one that could be heard.
    #[serde(rename = "false_lost")]
    pub false_failures: u64,
    /// From the end of a process until each live router takes it for failed, in the median; -1 where there was none.
    pub detect_p50_ms: f64,
    /// The same at the 99th percentile.
    pub detect_p99_ms: f64,
    /// Pairs of a live router and a dead one that it did not take for failed in the end.
    pub undetected: u64,
    /// From the fault's end until each router that counted as failed, and runs, counts as alive again.
    pub rejoin_p99_ms: f64,
    /// Pairs of running routers of which one took the other for failed or gone in the end.
    #[serde(rename = "unjoined")]
    pub not_rejoined: u64,
    /// The most often that one router counted as failed or came back at another.
    #[serde(rename = "verdict_changes")]
    pub failure_changes: u32,
    /// Datagrams that one router sent in a second, in the mean.
    pub datagrams_per_s: f64,
    /// Datagrams of the worst second of any router.
    #[serde(rename = "datagrams_most_per_s")]
    pub max_datagrams_per_s: u64,
    /// Bytes that one router sent in a second, in the mean.
    pub bytes_per_s: f64,
    /// By how much the parts of a cold node's budget that all routers take together exceeded the whole.
    pub cold_overload_share: f64,
}

/// Times of which quantiles are shown.
#[derive(Default)]
pub(super) struct Durations(Vec<u64>);

impl Durations {
    /// Adds one.
    pub fn add(&mut self, duration: Nanos) {
        self.0.push(duration.0);
    }

    /// The time that this share does not exceed, in milliseconds; -1 where there is none.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.0.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, sorted.len().max(1)) - 1;
        sorted.get(index).map_or(-1.0, |nanos| rounded(*nanos as f64 / 1e6, 1))
    }
}

//! State of a use case.

use super::histogram::Histogram;
use super::statistics::RunningMean;
use crate::interface::*;

/// Settings and statistics of a use case.
#[derive(Clone, Debug, Default)]
pub struct UseCase {
    /// Whether it has not been removed.
    pub is_live: bool,
    /// Time from the first try until a query should be answered.
    pub latency_target: Nanos,
    /// Time until the client gives up, over all its tries.
    pub hard_limit: Nanos,
    /// Longest time that a client has been seen to wait for one try.
    pub longest_wait: Nanos,
    /// Value of an answer after the target, as a share of `value`.
    pub late_value_share: f64,
    /// Whether the value of a partial answer is the square of its share of the weight.
    pub squares_partial_value: bool,
    /// Value of an answer within the target, relative to other use cases.
    pub value: f64,
    /// Effect of repeating its parts.
    pub effect: Effect,
    /// Multiple of a multiget's own expected work by which its latency target grows.
    pub target_work_factor: f64,
    /// Share of the weight that makes an answer complete, from 0 to 1.
    pub complete_share: f64,
    /// Smallest share of the weight that may be answered at all, from 0 to 1.
    pub quorum: f64,
    /// Whether its queries run in two phases.
    pub two_phase: bool,
    /// Limit of attempts per part; `None` for the limit of the site.
    pub max_attempts: Option<u32>,
    /// Latencies in nanoseconds at all replicas, which show the size of its parts relative to other use cases.
    pub latencies: Histogram,
    /// Mean size of a part.
    pub part_size: RunningMean,
    /// Mean size of all parts of a query.
    pub total_size: RunningMean,
}

impl UseCase {
    /// Creates a use case without measurements.
    pub fn new(settings: &UseCaseSettings, bins: &Histogram) -> UseCase {
        UseCase {
            is_live: true,
            latency_target: settings.latency_target,
            hard_limit: settings.hard_limit,
            late_value_share: settings.late_value_share,
            squares_partial_value: settings.squares_partial_value,
            value: settings.value,
            effect: settings.effect,
            target_work_factor: settings.target_work_factor,
            complete_share: settings.complete_share,
            quorum: settings.quorum,
            two_phase: settings.two_phase,
            max_attempts: settings.max_attempts,
            latencies: bins.clone(),
            ..UseCase::default()
        }
    }
}

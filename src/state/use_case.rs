//! State of a use case.

use super::histogram::Histogram;
use super::statistics::RunningMean;
use crate::interface::*;

/// Settings and statistics of a use case.
#[derive(Clone, Debug, Default)]
pub struct UseCase {
    /// Whether it is in use; false once it has been removed.
    pub is_live: bool,
    /// Latency target: time from the client's first try until a query should be answered.
    pub latency_target: Nanos,
    /// Time from the client's first try of a query until it gives up, repeated tries included.
    pub hard_limit: Nanos,
    /// Longest time between an arrival and its client's deadline seen so far; a query with less time may be a retry.
    pub longest_wait: Nanos,
    /// Value of an answer after the target, as a share of `value`.
    pub late_value_share: f64,
    /// Whether a partial answer has the square of its share of the complete answer as its share of the value.
    pub squares_partial_value: bool,
    /// Value of an answer within the target, relative to other use cases; per unit of work with
    /// [`SiteSettings::value_by_work`].
    pub value: f64,
    /// Effect of executing a part of its queries more than once.
    pub effect: Effect,
    /// Multiple of a multiget's expected work ([`Arrival::effort`]) by which its latency target grows.
    pub target_work_factor: f64,
    /// Sum of the weights of the answered parts, from 0 to 1, from which on an answer counts as complete.
    pub complete_share: f64,
    /// Smallest sum of the weights of the answered parts, from 0 to 1, with which a partial answer may be given.
    pub quorum: f64,
    /// Whether all queries of the use case run in two phases: answers to the first phase's parts determine the parts
    /// of the second.
    pub two_phase: bool,
    /// Limit of attempts per part; `None` for the limit in [`SiteSettings`].
    pub max_attempts: Option<u32>,
    /// Latencies of this router's answered attempts in nanoseconds, which show the size of its parts relative to other
    /// use cases.
    pub latencies: Histogram,
    /// Mean size of its parts: their expected work, relative to the mean part of all use cases.
    pub part_size: RunningMean,
    /// Mean total size of the parts of one phase of its queries.
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

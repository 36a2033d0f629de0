//! What is known of a use case.

use super::histogram::Histogram;
use super::statistics::RunningMean;
use crate::interface::*;

/// What is known of a use case.
#[derive(Clone, Debug, Default)]
pub struct UseCase {
    /// It has not been taken away.
    pub live: bool,
    /// The latency target.
    pub latency_target: Nanos,
    /// How long a client waits in all, over all its retries.
    pub hard_limit: Nanos,
    /// The longest that a client has been seen to stay for one try.
    pub stay: Nanos,
    /// The value of a late answer, as a share.
    pub late_share: f64,
    /// The value of a partial answer is the square of its share.
    pub squared: bool,
    /// The value of an answer in time.
    pub value: f64,
    /// Whether its parts are idempotent.
    pub effect: Effect,
    /// The target grows by this multiple of the query's own work.
    pub stretch: f64,
    /// The share of the weight that makes an answer complete.
    pub required: f64,
    /// The smallest share of the weight that may be answered.
    pub quorum: f64,
    /// Its queries run in two phases.
    pub two_phase: bool,
    /// How many nodes one part may be sent to; `None`: the site's number.
    pub max_attempts: Option<u32>,
    /// Latencies at all replicas, to tell how heavy its parts are beside others.
    pub latencies: Histogram,
    /// Mean size of a part, and of all parts of a multiget.
    pub size: RunningMean,
    /// Mean size of all parts of a query.
    pub work: RunningMean,
}

impl UseCase {
    /// As the settings have it, with nothing measured.
    pub fn new(settings: &UseCaseSettings, bins: &Histogram) -> UseCase {
        UseCase {
            live: true,
            latency_target: settings.latency_target,
            hard_limit: settings.hard_limit,
            late_share: settings.late_share,
            squared: settings.squared,
            value: settings.value,
            effect: settings.effect,
            stretch: settings.stretch,
            required: settings.required,
            quorum: settings.quorum,
            two_phase: settings.two_phase,
            max_attempts: settings.max_attempts,
            latencies: bins.clone(),
            ..UseCase::default()
        }
    }
}

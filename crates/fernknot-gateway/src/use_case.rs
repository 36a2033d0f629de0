//! Use cases: the engine applies one set of settings and keeps one set of measurements for each use case, and each
//! route is a use case.

use fernknot::decide::{DEFAULT_LATE_VALUE_SHARE, value_of_rank};
use fernknot::interface::*;
use fernknot_schema::{Route, RouteTarget, TrafficClass};

/// Identity of a use case over revisions of the configuration. Requests in flight under an earlier revision still use
/// the settings of their use case, so a route whose quorum or traffic class changes needs a new use case.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UseCaseKey {
    host: String,
    path_prefix: String,
    traffic_class: TrafficClass,
    /// Bits of the quorum's share, since `f64` has no `Eq`.
    quorum_bits: u64,
}

impl UseCaseKey {
    pub(crate) fn new(route: &Route) -> UseCaseKey {
        UseCaseKey {
            host: route.authority.clone(),
            path_prefix: route.path_prefix.clone(),
            traffic_class: route.traffic_class,
            quorum_bits: quorum(route).to_bits(),
        }
    }
}

/// Share of a route's shards that must answer for a success, from 0 to 1.
fn quorum(route: &Route) -> f64 {
    match &route.target {
        RouteTarget::Fanout { quorum, .. } => *quorum,
        _ => 1.0,
    }
}

/// Returns the engine's settings for a route.
pub(crate) fn use_case_settings(route: &Route) -> UseCaseSettings {
    let effect = match route.traffic_class {
        TrafficClass::Mutating => Effect::NonIdempotent,
        _ => Effect::Idempotent,
    };
    UseCaseSettings {
        latency_target: Nanos::from_millis(route.target_ms as f64),
        hard_limit: Nanos::from_millis(route.deadline_ms as f64),
        value: value_of_rank(route.rank),
        late_value_share: DEFAULT_LATE_VALUE_SHARE,
        squares_partial_value: matches!(route.target, RouteTarget::Fanout { .. }),
        effect,
        target_work_factor: 0.0,
        complete_share: 1.0,
        quorum: quorum(route),
        two_phase: false,
        max_attempts: Some(route.max_attempts.max(1)),
    }
}

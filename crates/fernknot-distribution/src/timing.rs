//! Intervals and time-outs, as shares of the deadline: the time within which an update has to be in force.

use fernknot::interface::Nanos;

/// Time between two heartbeats of a source, as a share of the deadline.
const HEARTBEAT_INTERVAL_SHARE: f64 = 1.0 / 15.0;
/// Age of the last heartbeat with a lease above which a source is stale, as a share of the deadline.
const STALE_AFTER_SHARE: f64 = 1.0 / 6.0;
/// Time that a relay which sends heartbeats without a lease has to find another controller, before its subscribers use
/// a controller instead, as a share of the deadline. Including the subscriptions that follow, a failed relay delays its
/// zone by less than a third of the deadline.
const SOURCE_TIMEOUT_SHARE: f64 = 1.0 / 4.0;
/// Time for which an earlier relay continues after a new assignment, as a share of the deadline; for gateways that
/// receive the assignment later.
const HANDOVER_TIMEOUT_SHARE: f64 = 1.0 / 3.0;
/// Mean time between attempts to find a controller with a lease, as a share of the deadline.
const ATTEMPT_INTERVAL_SHARE: f64 = 1.0 / 5.0;

/// Intervals and time-outs of one gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time between two heartbeats of a source.
    pub heartbeat_interval: Nanos,
    /// Age of the last heartbeat with a lease above which a source is stale.
    pub stale_after: Nanos,
    /// Time-out after the last heartbeat with a lease for a relay that still sends heartbeats without one, and after
    /// the last message for a controller.
    pub source_timeout: Nanos,
    /// Mean time between attempts to find a controller with a lease.
    pub attempt_interval: Nanos,
    /// Time for which a source remains in use after an assignment names another one.
    pub handover_timeout: Nanos,
}

impl Timing {
    /// Derives the timing from `apply_deadline`, the time within which an update has to be in force.
    pub fn new(apply_deadline: Nanos) -> Timing {
        Timing {
            heartbeat_interval: apply_deadline.times(HEARTBEAT_INTERVAL_SHARE),
            stale_after: apply_deadline.times(STALE_AFTER_SHARE),
            source_timeout: apply_deadline.times(SOURCE_TIMEOUT_SHARE),
            attempt_interval: apply_deadline.times(ATTEMPT_INTERVAL_SHARE),
            handover_timeout: apply_deadline.times(HANDOVER_TIMEOUT_SHARE),
        }
    }
}

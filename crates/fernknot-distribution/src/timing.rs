//! Intervals and time-outs, all of them shares of the time in which an update has to be in force.

use fernknot::interface::Nanos;

/// Time between two heartbeats of a source.
const HEARTBEAT_INTERVAL_SHARE: f64 = 1.0 / 15.0;
/// A source whose last heartbeat with a lease is older is stale.
const STALE_AFTER_SHARE: f64 = 1.0 / 6.0;
/// How long a relay that sends heartbeats without a lease may take to find another controller. With the subscriptions
/// that follow, a failed relay costs its zone less than a third.
const SOURCE_TIMEOUT_SHARE: f64 = 1.0 / 4.0;
/// How long an earlier relay serves on after a new assignment, for those who receive that later.
const HANDOVER_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// The intervals and time-outs of one gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time between two heartbeats of a source.
    pub heartbeat_interval: Nanos,
    /// A source is stale this long after its last heartbeat with a lease.
    pub stale_after: Nanos,
    /// A relay is given up this long after its last heartbeat with a lease, although it sends others; a controller
    /// this long after its last message.
    pub source_timeout: Nanos,
    /// How long a source serves on after an assignment names another.
    pub handover_timeout: Nanos,
}

impl Timing {
    /// `apply_deadline` is the time in which an update has to be in force.
    pub fn new(apply_deadline: Nanos) -> Timing {
        Timing {
            heartbeat_interval: apply_deadline.times(HEARTBEAT_INTERVAL_SHARE),
            stale_after: apply_deadline.times(STALE_AFTER_SHARE),
            source_timeout: apply_deadline.times(SOURCE_TIMEOUT_SHARE),
            handover_timeout: apply_deadline.times(HANDOVER_TIMEOUT_SHARE),
        }
    }
}

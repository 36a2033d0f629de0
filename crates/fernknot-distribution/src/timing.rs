//! Intervals and time-outs, as shares of the deadline: the time within which an update has to be in force.

use crate::subscribers::FRESH_INTERVALS;
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
/// Minimum time from the first heartbeat of a series to one that is known to be recent, in heartbeat intervals.
const MIN_SPACING_INTERVALS: f64 = 0.5;
/// Time that periodic work may be late, in heartbeat intervals: it is done in a turn that something else causes, if there is
/// one by then.
const SLACK_INTERVALS: f64 = 0.5;
/// Mean time between attempts to find a controller with a lease, as a share of the deadline.
const ATTEMPT_INTERVAL_SHARE: f64 = 1.0 / 5.0;

/// Intervals and time-outs of one gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time between two heartbeats of a source.
    pub heartbeat_interval: Nanos,
    /// Time that periodic work may be late, so that it needs no turn of its own while heartbeats arrive.
    pub slack: Nanos,
    /// Age of the last heartbeat with a lease above which a source is stale.
    pub stale_after: Nanos,
    /// Time-out after the last heartbeat with a lease for a relay that still sends heartbeats without one, and after
    /// the last message for a controller.
    pub source_timeout: Nanos,
    /// Minimum time from the first heartbeat with a lease of a series to one that is known to be recent.
    pub min_lease_spacing: Nanos,
    /// Time for which a heartbeat with a lease that has just arrived from a controller confirms the configuration.
    lease_validity: Nanos,
    /// Mean time between attempts to find a controller with a lease.
    pub attempt_interval: Nanos,
    /// Time for which a source remains in use after an assignment names another one.
    pub handover_timeout: Nanos,
}

impl Timing {
    /// Derives the timing from `apply_deadline`, the time within which an update has to be in force, and
    /// `lease_duration`, the time for which controllers hold a lease.
    pub fn new(apply_deadline: Nanos, lease_duration: Nanos) -> Timing {
        let heartbeat_interval = apply_deadline.times(HEARTBEAT_INTERVAL_SHARE);
        let stale_after = apply_deadline.times(STALE_AFTER_SHARE);
        Timing {
            heartbeat_interval,
            slack: heartbeat_interval.times(SLACK_INTERVALS),
            stale_after,
            min_lease_spacing: heartbeat_interval.times(MIN_SPACING_INTERVALS),
            // A process on the way may pause for as long without being noticed.
            lease_validity: apply_deadline - lease_duration - stale_after,
            source_timeout: apply_deadline.times(SOURCE_TIMEOUT_SHARE),
            attempt_interval: apply_deadline.times(ATTEMPT_INTERVAL_SHARE),
            handover_timeout: apply_deadline.times(HANDOVER_TIMEOUT_SHARE),
        }
    }

    /// Time for which a heartbeat with a lease that has just arrived over this many forwarding gateways confirms the
    /// configuration: so long that everything acknowledged earlier than the deadline is surely included. At least
    /// [`Timing::stale_after`], so that a source which sends heartbeats in time confirms it without a break; where that
    /// is longer than the deadline allows, the controllers have been without contact for less than the lease lasts.
    pub fn confirmation_validity(&self, hops: u8) -> Nanos {
        let forwarding = self.heartbeat_interval.times(FRESH_INTERVALS * f64::from(hops));
        (self.lease_validity - forwarding).max(self.stale_after)
    }
}

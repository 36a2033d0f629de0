//! Phases of a graceful shutdown, from the stop request to the exit of the process. The platform is the system that
//! starts the process, probes its readiness and stops it; the grace period (`grace_s`) is the time from its stop
//! request until it kills the process.

use fernknot::interface::Nanos;

/// Share of the grace period after which the process exits even if requests are in flight.
const EXPIRY_GRACE_SHARE: f64 = 0.92;
/// Time for the platform to notice that a gateway is not ready: two readiness probes and a margin.
const UNREADY_TIME: Nanos = Nanos(2_600_000_000);
/// Maximum share of the grace period that is spent waiting for the platform to notice that the gateway is not ready.
const MAX_UNREADY_GRACE_SHARE: f64 = 0.6;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// No stop has been requested.
    Running,
    /// The gateway reports that it is not ready, and still serves new requests and connections.
    Unready,
    /// New connections are not accepted, idle ones are closed, and requests in flight are completed.
    Draining,
    /// The grace period is nearly over, and the process exits.
    Expired,
}

/// State of the shutdown of one gateway.
pub(crate) struct Shutdown {
    requested_at: Option<Nanos>,
    grace: Nanos,
}

impl Shutdown {
    /// Returns the state before a stop request; a shutdown may take `grace` in all.
    pub(crate) fn new(grace: Nanos) -> Shutdown {
        Shutdown { requested_at: None, grace }
    }

    /// Requests a stop; returns whether it is the first request.
    pub(crate) fn request(&mut self, now: Nanos) -> bool {
        let is_first = self.requested_at.is_none();
        self.requested_at.get_or_insert(now);
        is_first
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    pub(crate) fn phase(&self, now: Nanos) -> ShutdownPhase {
        let Some(requested_at) = self.requested_at else { return ShutdownPhase::Running };
        let elapsed = now - requested_at;
        if elapsed >= self.grace.times(EXPIRY_GRACE_SHARE) {
            ShutdownPhase::Expired
        } else if elapsed < UNREADY_TIME.min(self.grace.times(MAX_UNREADY_GRACE_SHARE)) {
            ShutdownPhase::Unready
        } else {
            ShutdownPhase::Draining
        }
    }
}

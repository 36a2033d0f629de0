//! A graceful shutdown, from the request to stop to the end of the process.

use fernknot::interface::Nanos;

/// The share of the grace after which the process ends whatever is in flight.
const GRACE_SHARE: f64 = 0.92;
/// How long the platform may need to notice that a gateway is not ready: two calls, with a little more.
const MIN_UNREADY_TIME: Nanos = Nanos(2_600_000_000);
/// The share of the grace that waiting for the platform takes at most.
const MAX_UNREADY_SHARE: f64 = 0.6;

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// No stop was requested.
    Running,
    /// The gateway says that it is not ready, and serves what it still gets.
    Unready,
    /// No new connections are accepted, idle ones are closed, and requests in flight are completed.
    Draining,
    /// The grace is nearly over: the process ends.
    Expired,
}

/// The state of a shutdown.
pub(crate) struct Shutdown {
    requested_at: Option<Nanos>,
    grace: Nanos,
}

impl Shutdown {
    /// No shutdown yet; once one is requested, it may take `grace`.
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
        if elapsed >= self.grace.times(GRACE_SHARE) {
            ShutdownPhase::Expired
        } else if elapsed < MIN_UNREADY_TIME.min(self.grace.times(MAX_UNREADY_SHARE)) {
            ShutdownPhase::Unready
        } else {
            ShutdownPhase::Draining
        }
    }
}

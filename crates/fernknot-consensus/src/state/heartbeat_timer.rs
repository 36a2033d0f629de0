//! Timer that determines when this replica sends its next heartbeats.

use fernknot::interface::Nanos;

/// Minimum time between two heartbeats, as a share of the interval, however often one is requested.
const MIN_INTERVAL_SHARE: f64 = 0.25;

/// Timer that is due after each interval, and earlier on request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HeartbeatTimer {
    interval: Nanos,
    due_at: Nanos,
    last_sent: Nanos,
    requested: bool,
}

impl HeartbeatTimer {
    pub fn new(interval: Nanos, now: Nanos) -> HeartbeatTimer {
        HeartbeatTimer { interval, due_at: now, last_sent: now, requested: false }
    }

    /// Requests a heartbeat before the interval is over, after a change that the others should know of.
    pub fn request(&mut self) {
        self.requested = true;
    }

    pub fn request_if(&mut self, changed: bool) {
        self.requested |= changed;
    }

    /// Whether the interval has passed.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.due_at
    }

    /// Whether a heartbeat is requested and the minimum time since the last one has passed.
    pub fn is_requested(&self, now: Nanos) -> bool {
        self.requested && now - self.last_sent >= self.interval.times(MIN_INTERVAL_SHARE)
    }

    pub fn restart(&mut self, now: Nanos) {
        self.requested = false;
        self.last_sent = now;
        self.due_at = now + self.interval;
    }

    pub fn due_at(&self) -> Nanos {
        self.due_at
    }

    /// Returns the time at which a requested heartbeat may be sent; `None` if none is requested.
    pub fn requested_at(&self) -> Option<Nanos> {
        self.requested.then(|| self.last_sent + self.interval.times(MIN_INTERVAL_SHARE))
    }
}

//! When heartbeats are due.

use fernknot::interface::Nanos;

/// The part of the interval that lies between two heartbeats at least, however often something changes.
const MIN_GAP: f64 = 0.25;

/// When heartbeats are due.
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

    /// Something has changed that the others should hear of soon.
    pub fn request(&mut self) {
        self.requested = true;
    }

    pub fn request_if(&mut self, changed: bool) {
        self.requested |= changed;
    }

    /// Whether the interval is over.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.due_at
    }

    /// Whether an earlier heartbeat is requested and the last is not too recent.
    pub fn is_requested(&self, now: Nanos) -> bool {
        self.requested && now - self.last_sent >= self.interval.times(MIN_GAP)
    }

    pub fn restart(&mut self, now: Nanos) {
        self.requested = false;
        self.last_sent = now;
        self.due_at = now + self.interval;
    }

    pub fn due_at(&self) -> Nanos {
        self.due_at
    }

    /// When a requested heartbeat may leave.
    pub fn requested_at(&self) -> Option<Nanos> {
        self.requested.then(|| self.last_sent + self.interval.times(MIN_GAP))
    }
}

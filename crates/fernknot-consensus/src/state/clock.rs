//! Clock driven by the host, and the time for which this process has run without interruption.

use fernknot::interface::Nanos;

/// Monotonic clock of the replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Clock {
    /// The latest time that the host has passed.
    pub now: Nanos,
    /// Start of the process, or the end of its last suspension.
    running_since: Nanos,
    /// Time without a heartbeat after which a replica is suspected.
    pub suspicion_timeout: Nanos,
}

impl Clock {
    pub fn new(now: Nanos, suspicion_timeout: Nanos) -> Clock {
        Clock { now, running_since: now, suspicion_timeout }
    }

    /// Advances to `now`, unless the clock is later already.
    pub fn advance(&mut self, now: Nanos) {
        let now = now.max(self.now);
        // A process that was suspended has received no heartbeats meanwhile: it must not suspect its peers at once.
        if now - self.now > self.suspicion_timeout.times(0.5) {
            self.running_since = now;
        }
        self.now = now;
    }

    /// Whether the process has run for longer than the suspicion time-out without a start or suspension in between.
    /// Only then does the lack of heartbeats show that a peer is unreachable.
    pub fn can_detect_failures(&self, now: Nanos) -> bool {
        now - self.running_since > self.suspicion_timeout
    }

    /// Whether more than `timeouts` suspicion time-outs have passed since `since`.
    pub fn timeouts_passed(&self, timeouts: f64, since: Nanos) -> bool {
        self.now - since > self.suspicion_timeout.times(timeouts)
    }
}

//! The time as the host gives it, and since when this process has listened without interruption.

use fernknot::interface::Nanos;

/// The replica's clock. It never goes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Clock {
    /// The newest time that the host gave.
    pub now: Nanos,
    /// The start of the process, or the end of the last time that it was suspended.
    listening_since: Nanos,
    /// A replica that is silent for longer is suspected.
    pub suspicion_timeout: Nanos,
}

impl Clock {
    pub fn new(now: Nanos, suspicion_timeout: Nanos) -> Clock {
        Clock { now, listening_since: now, suspicion_timeout }
    }

    /// Takes over a later time.
    pub fn advance(&mut self, now: Nanos) {
        let now = now.max(self.now);
        // A process that was suspended knows nothing of the others: it listens before it suspects anybody.
        if now - self.now > self.suspicion_timeout.times(0.5) {
            self.listening_since = now;
        }
        self.now = now;
    }

    /// Whether silence means something at this time: neither a start nor a suspension was just before.
    pub fn has_listened(&self, now: Nanos) -> bool {
        now - self.listening_since > self.suspicion_timeout
    }

    /// Whether so many suspicion time-outs have passed since then.
    pub fn has_passed(&self, timeouts: f64, since: Nanos) -> bool {
        self.now - since > self.suspicion_timeout.times(timeouts)
    }
}

//! Pacing of the attempts to find a controller with a lease.

use crate::backoff::Backoff;
use fernknot::interface::Nanos;

/// Number of attempts that may follow each other at once after a time without any.
const BURST: f64 = 4.0;
/// Smallest and largest random factor on the interval, so that gateways that lose their controller at the same time do
/// not make their attempts together.
const JITTER_FACTORS: (f64, f64) = (0.8, 1.2);

/// Limit on the rate of attempts of one gateway, over all controllers: it bounds the load on the controllers, and unlike
/// a delay for each address it excludes none of them.
#[derive(Clone, Debug)]
pub(crate) struct AttemptPacing {
    interval: Nanos,
    /// Time up to which the intervals of the attempts made so far extend.
    spent_until: Nanos,
    attempts: u64,
}

impl AttemptPacing {
    /// Creates the limit; `interval` is the mean time between attempts while they go on.
    pub fn new(interval: Nanos) -> AttemptPacing {
        AttemptPacing { interval, spent_until: Nanos(0), attempts: 0 }
    }

    /// Time from which the next attempt may be made.
    pub fn next_at(&self) -> Nanos {
        self.spent_until - self.interval.times(BURST - 1.0)
    }

    /// Records an attempt. `random` is the source of the jitter.
    pub fn record(&mut self, now: Nanos, random: &Backoff) {
        self.attempts += 1;
        let (min, max) = JITTER_FACTORS;
        let factor = min + (max - min) * random.random_fraction(!self.attempts);
        self.spent_until = self.spent_until.max(now) + self.interval.times(factor);
    }
}

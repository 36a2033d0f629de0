//! Notices when the event loop itself has not run for long.

use fernknot::interface::Nanos;

/// A gap between two steps beyond this share of `apply_ms` is a stall of the process.
const STALL_SHARE_OF_APPLY: f64 = 1.0 / 6.0;

/// Guards against taking a stall of this process for the silence of others.
pub(crate) struct StallDetector {
    threshold: Nanos,
    last_step_at: Nanos,
}

impl StallDetector {
    /// `apply` is how long a configuration may take to be in force everywhere.
    pub(crate) fn new(apply: Nanos) -> StallDetector {
        StallDetector { threshold: apply.times(STALL_SHARE_OF_APPLY), last_step_at: Nanos(0) }
    }

    /// Notes a step; returns how long the loop has stalled before it, if it has.
    pub(crate) fn step(&mut self, now: Nanos) -> Option<Nanos> {
        let gap = now - std::mem::replace(&mut self.last_step_at, now);
        (gap > self.threshold).then_some(gap)
    }
}

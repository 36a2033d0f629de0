//! Detection of stalls of the event loop.

use fernknot::interface::Nanos;

/// Maximum gap between two steps that is not a stall, as a share of `apply_ms`.
const STALL_APPLY_TIMEOUT_SHARE: f64 = 1.0 / 6.0;

/// Detects stalls of this process, which must not count as time-outs of other processes.
pub(crate) struct StallDetector {
    threshold: Nanos,
    last_step_at: Nanos,
}

impl StallDetector {
    /// Creates a detector; `apply_timeout` is `apply_ms` of the settings.
    pub(crate) fn new(apply_timeout: Nanos) -> StallDetector {
        StallDetector { threshold: apply_timeout.times(STALL_APPLY_TIMEOUT_SHARE), last_step_at: Nanos(0) }
    }

    /// Records a step. Returns the time since the previous step if the loop has stalled in between.
    pub(crate) fn step(&mut self, now: Nanos) -> Option<Nanos> {
        let gap = now - std::mem::replace(&mut self.last_step_at, now);
        (gap > self.threshold).then_some(gap)
    }
}

//! When things happen in a run.

use fernknot::interface::Nanos;

const MILLISECOND: u64 = 1_000_000;

const fn millis(ms: u64) -> Nanos {
    Nanos(ms * MILLISECOND)
}

/// Routers start at random within this time.
pub(super) const START_SPREAD: Nanos = millis(500);
/// When the scenario's fault begins.
pub(super) const FAULT_START: Nanos = millis(15_000);
/// When a fault that lasts is over.
pub(super) const FAULT_END: Nanos = millis(25_000);
/// When the run is over.
pub(super) const END: Nanos = millis(40_000);
/// How long a paused process is suspended.
pub(super) const PAUSE: Nanos = millis(2000);
/// The time between two crashes.
pub(super) const CRASH_INTERVAL: Nanos = millis(1500);
/// Routers that failed together start again at random within this time.
pub(super) const RESTART_SPREAD: Nanos = millis(2000);
/// The time between two steps of a rolling restart, and in a step until the process ends and starts again.
pub(super) const ROLL_INTERVAL: Nanos = millis(1000);
pub(super) const ROLL_END: Nanos = millis(400);
pub(super) const ROLL_START: Nanos = millis(1400);
/// How long a burst of losses lasts.
pub(super) const BURST: Nanos = millis(1000);

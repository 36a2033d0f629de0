//! Times of a run, from its start, and durations and intervals of its faults.

use fernknot::interface::Nanos;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

const fn millis(ms: u64) -> Nanos {
    Nanos(ms * NANOS_PER_MILLISECOND)
}

/// Period at the beginning of a run in which the routers start, at random times.
pub(super) const START_SPREAD: Nanos = millis(500);
/// Time of the scenario's first fault.
pub(super) const FAULT_START: Nanos = millis(15_000);
/// End of the network fault, and earliest restart after a mass failure.
pub(super) const FAULT_END: Nanos = millis(25_000);
/// End of the run, at which the figures are taken.
pub(super) const RUN_END: Nanos = millis(40_000);
/// Time for which a paused process is suspended.
pub(super) const PAUSE_DURATION: Nanos = millis(2000);
/// Time between two crashes.
pub(super) const CRASH_INTERVAL: Nanos = millis(1500);
/// Period in which routers that failed together restart, at random times.
pub(super) const RESTART_SPREAD: Nanos = millis(2000);
/// Time between two steps of a rolling restart.
pub(super) const ROLL_STEP_INTERVAL: Nanos = millis(1000);
/// Time from the announced shutdown of a process until its end, in a rolling restart.
pub(super) const ROLL_KILL_DELAY: Nanos = millis(400);
/// Time from the announced shutdown of a process until its restart, in a rolling restart.
pub(super) const ROLL_RESTART_DELAY: Nanos = millis(1400);
/// Duration of a loss burst.
pub(super) const BURST_DURATION: Nanos = millis(1000);

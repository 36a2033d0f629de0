//! Turns of the event loop: how many there were, and how late those began that were due at a set time.

use fernknot::interface::Nanos;

/// Counters of the turns since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TurnCounters {
    /// Turns, with and without events.
    pub(crate) turns: u64,
    /// Sum of the delays of the turns that were due at a set time.
    pub(crate) total_delay: Nanos,
    /// Greatest of these delays.
    pub(crate) max_delay: Nanos,
}

impl TurnCounters {
    /// Counts a turn that begins now, and for which `due_at` was set.
    pub(crate) fn record(&mut self, now: Nanos, due_at: Nanos) {
        let delay = now - due_at;
        self.turns += 1;
        self.total_delay = self.total_delay + delay;
        self.max_delay = self.max_delay.max(delay);
    }
}

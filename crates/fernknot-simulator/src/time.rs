//! Durations of simulated time, and the clocks of processes.

use fernknot::interface::Nanos;

/// Largest time: a duration that never ends, or a time that is never reached.
pub const NEVER: Nanos = Nanos(u64::MAX);

/// Returns a duration in milliseconds.
pub const fn millis(count: u64) -> Nanos {
    Nanos(count * 1_000_000)
}

/// Clock of a process, which may run at another rate than simulated time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    started_at: Nanos,
    /// Reading of the clock at `started_at`.
    offset: Nanos,
    /// Rate relative to simulated time.
    rate: f64,
}

impl ProcessClock {
    /// Creates a clock that reads `offset` at the simulated time `now`.
    pub fn new(now: Nanos, offset: Nanos, rate: f64) -> ProcessClock {
        ProcessClock { started_at: now, offset, rate }
    }

    /// Returns the reading of the clock at a simulated time.
    pub fn read(self, now: Nanos) -> Nanos {
        (now - self.started_at).times(self.rate) + self.offset
    }

    /// Returns the simulated time at which the clock reads `local_time`.
    pub fn simulated_time(self, local_time: Nanos) -> Nanos {
        self.started_at + self.simulated_span(local_time - self.offset)
    }

    /// Converts a duration measured by this clock to simulated time.
    pub fn simulated_span(self, local_span: Nanos) -> Nanos {
        local_span.times(1.0 / self.rate)
    }
}

/// Returns a duration in microseconds.
pub const fn micros(count: u64) -> Nanos {
    Nanos(count * 1_000)
}

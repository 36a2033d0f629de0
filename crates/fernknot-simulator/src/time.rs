//! Spans of simulated time.

use fernknot::interface::Nanos;

/// A span that never ends, and a moment that never comes.
pub const NEVER: Nanos = Nanos(u64::MAX);

/// So many milliseconds.
pub const fn millis(count: u64) -> Nanos {
    Nanos(count * 1_000_000)
}

/// The clock of a process beside the simulated one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessClock {
    started_at: Nanos,
    /// What it shows at its start.
    offset: Nanos,
    /// How fast it runs; 1 is as fast as the simulated clock.
    rate: f64,
}

impl ProcessClock {
    /// A clock that shows `offset` now.
    pub fn new(now: Nanos, offset: Nanos, rate: f64) -> ProcessClock {
        ProcessClock { started_at: now, offset, rate }
    }

    /// What it shows at this simulated time.
    pub fn read(self, now: Nanos) -> Nanos {
        (now - self.started_at).times(self.rate) + self.offset
    }

    /// The simulated time at which it shows this.
    pub fn time_of(self, local_time: Nanos) -> Nanos {
        self.started_at + self.span_of(local_time - self.offset)
    }

    /// How long a span by this clock takes.
    pub fn span_of(self, local_span: Nanos) -> Nanos {
        local_span.times(1.0 / self.rate)
    }
}

/// So many microseconds.
pub const fn micros(count: u64) -> Nanos {
    Nanos(count * 1_000)
}

//! Spans of simulated time.

use fernknot::interface::Nanos;

/// A span that never ends, and a moment that never comes.
pub const NEVER: Nanos = Nanos(u64::MAX);

/// So many milliseconds.
pub const fn millis(count: u64) -> Nanos {
    Nanos(count * 1_000_000)
}

/// So many microseconds.
pub const fn micros(count: u64) -> Nanos {
    Nanos(count * 1_000)
}

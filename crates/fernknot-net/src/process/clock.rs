//! Clock of a process.

use fernknot::interface::Nanos;
use std::time::Instant;

/// A monotonic clock that counts from 0 at its creation, which is at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Nanos {
        Nanos(self.started_at.elapsed().as_nanos() as u64)
    }
}

//! The time of a process.

use fernknot::interface::Nanos;
use std::time::Instant;

/// A monotonic clock that begins at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that shows 0 now.
    pub fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Nanos {
        Nanos(self.started_at.elapsed().as_nanos() as u64)
    }
}

//! Clock of the process: monotonic, in Unix time. It can express the start times of nodes, which lie before the start
//! of this process, and a step of the wall clock does not move deadlines.

use fernknot::interface::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in Unix time.
pub struct Clock {
    start: Instant,
    /// Unix time at the start of the process.
    start_unix_time: Nanos,
}

impl Clock {
    /// Starts the clock at the current Unix time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_time: Nanos(since_epoch.as_nanos() as u64) }
    }

    /// Returns the time since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.start_unix_time + Nanos(self.start.elapsed().as_nanos() as u64)
    }
}

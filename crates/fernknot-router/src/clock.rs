//! The clock of the process: monotonic from its start, counted from the Unix epoch, so that a node's start before this
//! process can be expressed and a step of the wall clock moves no deadline.

use fernknot::interface::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that never goes back.
pub struct Clock {
    started: Instant,
    /// Unix time when the process started.
    started_at: Nanos,
}

impl Clock {
    /// Starts the clock at the present Unix time.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_at: Nanos(since_epoch.as_nanos() as u64) }
    }

    /// Nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.started_at + Nanos(self.started.elapsed().as_nanos() as u64)
    }
}

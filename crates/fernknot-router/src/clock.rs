//! The host's clock: monotonic from the start of the process, counted from the Unix epoch, so that a
//! node's start before this process can be told and a step of the wall clock moves no deadline.

use fernknot::interface::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Clock {
    start: Instant,
    zero: Nanos,
}

impl Clock {
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), zero: Nanos(since_epoch.as_nanos() as u64) }
    }

    pub fn now(&self) -> Nanos {
        self.zero + Nanos(self.start.elapsed().as_nanos() as u64)
    }
}

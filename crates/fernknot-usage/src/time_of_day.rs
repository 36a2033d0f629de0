//! Estimate of the time of day from messages that state it.

use std::collections::VecDeque;

/// Number of the newest messages that the estimate is made from.
const MAX_SAMPLES: usize = 8;

/// Difference between the time of day and the steady clock of a process, from messages that each took an unknown time
/// to arrive. The one that took the shortest time gives the largest difference, which is the best estimate.
#[derive(Clone, Debug, Default)]
pub struct TimeOfDayEstimate {
    /// Differences by the newest messages, oldest first, in milliseconds.
    offsets_ms: VecDeque<i128>,
}

impl TimeOfDayEstimate {
    /// Records a message that stated the time of day `unix_ms` and arrived at `steady_ms` by the steady clock.
    pub fn record(&mut self, steady_ms: u64, unix_ms: u64) {
        if self.offsets_ms.len() == MAX_SAMPLES {
            self.offsets_ms.pop_front();
        }
        self.offsets_ms.push_back(i128::from(unix_ms) - i128::from(steady_ms));
    }

    /// Returns the time of day in milliseconds since the beginning of 1970 at a time of the steady clock; `None` before
    /// the first message.
    pub fn unix_ms(&self, steady_ms: u64) -> Option<u64> {
        let offset_ms = self.offsets_ms.iter().max()?;
        let unix_ms = offset_ms + i128::from(steady_ms);
        Some(u64::try_from(unix_ms.max(0)).unwrap_or(u64::MAX))
    }
}

//! Usage that the controllers have agreed on: windows whose counts are fixed, and how far they were reported.

use crate::report::WindowNumber;
use bitcode::{Decode, Encode};

/// Maximum number of windows that are fixed and not reported yet: ten minutes of windows of five seconds.
pub const MAX_UNREPORTED_WINDOWS: usize = 120;
/// Maximum number of counts in all windows that are fixed and not reported yet. The newest window is kept however many
/// it has.
pub const MAX_UNREPORTED_COUNTS: usize = 100_000;

/// Window with its final counts, which never change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct FixedWindow {
    /// Number of the window.
    pub window: WindowNumber,
    /// Requests of each tenant in the window, sorted by tenant.
    pub counts: Vec<(String, u64)>,
}

/// Record of the usage in the control state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UsageRecord {
    /// First window that is not fixed yet.
    next: WindowNumber,
    /// Windows that are fixed and not known to be reported, oldest first.
    unreported: Vec<FixedWindow>,
    /// Number of windows that were given up unreported, because too many were waiting.
    abandoned: u64,
}

impl UsageRecord {
    /// Creates a record without fixed windows; `first` is the first window to be fixed.
    pub fn starting_at(first: WindowNumber) -> UsageRecord {
        UsageRecord { next: first, unreported: Vec::new(), abandoned: 0 }
    }

    /// First window that is not fixed yet.
    pub fn next_window(&self) -> WindowNumber {
        self.next
    }

    /// Windows that are fixed and not known to be reported, oldest first.
    pub fn unreported(&self) -> &[FixedWindow] {
        &self.unreported
    }

    /// Number of windows that were given up unreported, because too many were waiting.
    pub fn abandoned(&self) -> u64 {
        self.abandoned
    }

    /// Fixes the counts of the next window, sorted by tenant.
    pub fn fix_next(&mut self, counts: Vec<(String, u64)>) {
        self.unreported.push(FixedWindow { window: self.next, counts });
        self.next = self.next.next();
        self.drop_excess();
    }

    /// Removes the windows up to this one, which the platform has acknowledged.
    pub fn remove_reported(&mut self, last_reported: WindowNumber) {
        self.unreported.retain(|fixed| fixed.window > last_reported);
    }

    /// Gives up the windows from the next one to the one before `first`, whose counts are no longer known.
    pub fn skip_to(&mut self, first: WindowNumber) {
        self.abandoned += first.0.saturating_sub(self.next.0);
        self.next = self.next.max(first);
    }

    fn drop_excess(&mut self) {
        let counts = |windows: &[FixedWindow]| windows.iter().map(|fixed| fixed.counts.len()).sum::<usize>();
        while self.unreported.len() > MAX_UNREPORTED_WINDOWS
            || self.unreported.len() > 1 && counts(&self.unreported) > MAX_UNREPORTED_COUNTS
        {
            self.unreported.remove(0);
            self.abandoned += 1;
        }
    }
}

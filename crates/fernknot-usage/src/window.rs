//! Windows of the time of day.

use crate::report::WindowNumber;

/// Length of the windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLength {
    millis: u64,
}

impl WindowLength {
    /// Creates a length from seconds; it is at least one millisecond.
    pub fn from_secs(seconds: f64) -> WindowLength {
        WindowLength { millis: ((seconds * 1e3) as u64).max(1) }
    }

    /// Returns the window that contains a time of day, in milliseconds since the beginning of 1970.
    pub fn window_at(self, unix_ms: u64) -> WindowNumber {
        WindowNumber(unix_ms / self.millis)
    }

    /// Number of windows that end within a time, rounded up.
    pub fn windows_in(self, seconds: f64) -> usize {
        (seconds * 1e3 / self.millis as f64).ceil() as usize
    }
}

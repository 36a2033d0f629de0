//! Reports of usage, from gateways to controllers and between controllers.

use bitcode::{Decode, Encode};
use fernknot_ownership::IncarnationId;

/// Number of a window of the time of day. With windows of `report_window_s` seconds, window k starts k times
/// `report_window_s` seconds after the beginning of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Window after this one.
    pub fn next(self) -> WindowNumber {
        WindowNumber(self.0.saturating_add(1))
    }
}

/// Totals of one gateway incarnation for the windows that have changed since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct UsageReport {
    /// Incarnation of the gateway that counted.
    pub incarnation: IncarnationId,
    /// Windows with a changed total.
    pub windows: Vec<WindowUsage>,
}

/// Totals of one gateway incarnation in one window.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WindowUsage {
    /// Window in which nodes began to execute the requests.
    pub window: WindowNumber,
    /// Name of each tenant with a changed total, and the total.
    pub requests: Vec<(String, u64)>,
}

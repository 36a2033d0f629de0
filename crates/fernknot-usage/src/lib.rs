//! Usage of tenants, without I/O or clock: how many of their requests nodes began to execute in each window of the time
//! of day.
//!
//! Gateways count, controllers add up. What a gateway reports are totals of its incarnation (one run of its process),
//! never increments, so that a report that arrives twice, late or over two ways changes nothing.

#![deny(missing_docs)]

mod report;
mod time_of_day;
mod totals;
mod window;

pub use report::{UsageReport, WindowNumber, WindowUsage};
pub use time_of_day::TimeOfDayEstimate;
pub use totals::{UsageLimits, UsageTotals};
pub use window::WindowLength;

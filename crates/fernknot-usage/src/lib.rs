//! Usage of tenants, without I/O or clock: how many of their requests nodes began to execute in each window of the time
//! of day.
//!
//! Gateways count, controllers add up. What a gateway reports are totals of its incarnation (one run of its process),
//! never increments, so that a report that arrives twice, late or over two ways changes nothing. A [`UsageTable`] adds them up. The final
//! counts of each window stand in a [`UsageRecord`], on which the controllers agree before anything is reported.

#![deny(missing_docs)]

mod record;
mod report;
mod table;
mod time_of_day;
mod totals;
mod window;

pub use record::{FixedWindow, MAX_UNREPORTED_COUNTS, MAX_UNREPORTED_WINDOWS, UsageRecord};
pub use report::{UsageReport, WindowNumber, WindowUsage};
pub use table::{RejectedTotals, TableLimits, UsageTable};
pub use time_of_day::TimeOfDayEstimate;
pub use totals::{UsageLimits, UsageTotals};
pub use window::WindowLength;

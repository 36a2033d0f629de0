//! Usage reporting: calls to the platform that one process at a time has to make, without I/O or clock.
//!
//! The holder of the role is the leader of the controllers' view, and the number of the view is the fencing token: it
//! rises with each view, and a view has one leader. A [`UsageReporter`] is one controller's part in it. It decides
//! whether this controller may act ([`LeaseState`]), which windows are closed and to be fixed in the replicated state,
//! and which call is made when. A controller drives it: each input carries the time of the monotonic clock, and actions
//! are polled until there are none. A [`MedianClock`] is the time of day on which the controllers agree.
//!
//! `docs/duties.md` compares the alternatives.

#![deny(missing_docs)]

mod clock;
mod holder;
mod platform_call;
mod reporter;
mod settings;
mod window_closing;

pub use clock::{MedianClock, UnixMillis};
pub use holder::{LeaseState, ReporterToken};
pub use platform_call::{CallFailure, CallId, CallOutcome, CallStatistics, UsageCall};
pub use reporter::{Action, ReporterStatus, UsageReporter};
pub use settings::ReportingSettings;

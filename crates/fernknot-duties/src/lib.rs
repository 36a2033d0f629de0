//! Duties: calls to the platform that one process at a time has to make, without I/O or clock.
//!
//! The holder of the duty is the leader of the controllers' view, and the number of the view is the fencing token: it
//! rises with each view, and a view has one leader. A [`UsageDuty`] is one controller's part in it. It decides whether
//! this controller may act ([`Standing`] and the lease), which windows are closed and to be fixed in the replicated
//! state, and which call is made when. A controller drives it: each input carries the time of the monotonic clock, and
//! actions are polled until there are none. A [`MedianClock`] is the time of day on which the controllers agree.
//!
//! `docs/duties.md` compares the alternatives.

#![deny(missing_docs)]

mod clock;
mod holder;
mod platform_call;
mod settings;
mod usage_duty;
mod window_closing;

pub use clock::{MedianClock, UnixMillis};
pub use holder::{DutyToken, Standing};
pub use platform_call::{CallId, CallOutcome, CallStatistics, UsageCall};
pub use settings::DutySettings;
pub use usage_duty::{Action, DutyStatus, UsageDuty};

//! Telemetry of a process: its log and its counters.
//!
//! This crate owns the set-up of the log and the format of its lines, the names of the components that log ([`part`]),
//! and the container of counters. The programs call [`init`] once; controller and gateway name a component with each
//! line, `log::info!(target: part::CONSENSUS, ...)`, and serve their [`Counters`] as JSON.
//!
//! Logging costs processor time, of which machines have little: only changes are logged, never a single request or
//! heartbeat.

#![deny(missing_docs)]

mod counters;
mod logging;
pub mod part;

pub use counters::Counters;
pub use log::LevelFilter;
pub use logging::init;

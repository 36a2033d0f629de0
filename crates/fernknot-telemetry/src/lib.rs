//! Telemetry of a process: its log and its counters.
//!
//! This crate defines the set-up of the log and the format of its lines, the names of the components that log
//! ([`component`]), and the container of counters. A program calls [`init`] once. Controller and gateway name the
//! component in each log statement, `log::info!(target: component::CONSENSUS, ...)`. A controller serves its
//! [`Counters`] as JSON; gateways and routers have counters of their own.
//!
//! Log state changes only, never single requests or heartbeats, whose log lines would use too much processor time.

#![deny(missing_docs)]

pub mod component;
mod counters;
mod logging;

pub use counters::Counters;
pub use log::LevelFilter;
pub use logging::init;

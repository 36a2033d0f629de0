//! Fault tests: many processes of the real router, and faults injected between them and into them.
//!
//! This crate owns the processes of a test run (routers, stand-in stores, discovery and relays on loopback
//! addresses), the [`Schedule`](schedule::Schedule) that says which faults come in which order
//! and what is awaited, and the [`checker`] that judges what clients, stores and routers left behind. Its program and
//! its tests call it, and nothing else. Apart from the stand-ins and their example configuration it links no crate of the
//! router, so that the checker shares no code with what it judges.

#![deny(missing_docs)]

mod addresses;
pub mod checker;
pub mod clients;
mod cluster;
mod connection_relay;
mod datagram_relay;
mod error;
pub mod history;
mod router_config;
mod router_log;
mod router_process;
mod router_view;
pub mod runner;
pub mod scenarios;
pub mod schedule;
pub mod status_names;

pub use error::{FaultTestError, ScheduleError};

//! Fault tests: many router processes, with faults injected into them and into the network between them.
//!
//! A *router* sends the parts of each client request to *stores* and merges their answers. By a membership protocol, it
//! keeps a status of each other router: as an *observer*, of the *members*. It probes one member in each *probe
//! period*. *Discovery* is the service from which a router learns its stores.
//!
//! This crate manages the processes of a test run (routers, stand-in stores, discovery and relays on loopback
//! addresses), the [`Schedule`](schedule::Schedule) of faults and awaited conditions, and the [`checker`], which checks
//! the records of clients, stores and routers against invariants. Only its program and its tests use it. Apart from the
//! stand-ins and their example configuration, it links no crate of the router, so that the checker shares no code with
//! the software under test.

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

//! Parsing and validation of what operators, nodes and settings files say, without I/O or clock.
//!
//! This crate owns the formats of the outside: the operator's routing configuration ([`RoutingConfig`]), the settings
//! file of a process ([`ProcessSettings`]) and the heartbeat of a node ([`NodeHeartbeat`]). Their JSON keys end here;
//! everything behind this crate uses validated values under the names of the code. Controllers parse what comes over
//! HTTP, both processes parse their settings, and gateways look routes up in a [`RouteTable`]. All errors of a body are
//! returned at once, each a [`ValidationError`] with the path of the key.

#![deny(missing_docs)]

mod json_digest;
mod node_heartbeat;
mod object_reader;
mod process_settings;
mod process_settings_parser;
mod raw_config;
mod route_table;
mod routing_config;
mod routing_config_parser;
mod validation_error;

pub use json_digest::json_digest;
pub use node_heartbeat::{NodeHeartbeat, ReportedNodeState};
pub use process_settings::{
    BindAddrs, FaultBudget, InvariantBounds, PortRange, ProcessSettings, ResourceLimits,
};
pub use route_table::RouteTable;
pub use routing_config::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass};
pub use validation_error::ValidationError;

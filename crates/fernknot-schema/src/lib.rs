//! Parsing and validation of configurations, process settings and heartbeats, without I/O or clock. Gateways are
//! processes that send clients' requests on to the nodes of services; controllers are processes that receive
//! heartbeats of nodes and keep the replicated configuration.
//!
//! This crate defines the external JSON formats: the operator's configuration ([`SystemConfig`]), the
//! settings file of a process ([`ProcessSettings`]) and the heartbeat of a node ([`NodeHeartbeat`]). Their JSON keys
//! are used only here; other crates use the validated values. Controllers parse configurations and heartbeats that
//! arrive over HTTP, controllers and gateways parse their settings, and gateways look up routes in a [`RouteTable`].
//! All errors of a body (the JSON text of a request or file) are returned at once, each as a [`ValidationError`] with
//! the path of the key.

#![deny(missing_docs)]

mod json_digest;
mod json_kind;
mod node_heartbeat;
mod object_reader;
mod process_settings;
mod process_settings_parser;
mod raw_api_keys;
mod raw_config;
mod route_table;
mod routing_config;
mod routing_config_parser;
mod system_config;
mod tenant;
mod validation_error;

pub use json_digest::json_digest;
pub use node_heartbeat::{NodeHeartbeat, ReportedNodeState};
pub use process_settings::{
    BindAddrs, FaultBudget, InvariantBounds, PlatformApi, PortRange, ProcessSettings, ResourceLimits,
};
pub use route_table::RouteTable;
pub use routing_config::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass};
pub use system_config::SystemConfig;
pub use tenant::{AccessControl, ApiKeyDigest, DigestKey, Tenant};
pub use validation_error::ValidationError;

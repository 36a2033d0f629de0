//! README: reading and checking of what processes and operators say. Bytes come in, values or
//! faults go out; nothing here does I/O, knows the time or decides anything.
//!
//! | Part | Reads |
//! |---|---|
//! | [`process`] | what a process is told in its settings file |
//! | [`plan`] | the operator's configuration |
//! | [`beat`] | a node's heartbeat |
//! | [`routes`] | host and path of a request, by the routes of a plan |

pub mod beat;
mod paper;
pub mod plan;
pub mod process;
pub mod routes;
mod walk;

pub use beat::{NodeHeartbeat, ReportedNodeState};
pub use plan::{ClientLimits, Route, RouteTarget, RoutingConfig, Service, TrafficClass, json_digest};
pub use process::{BindAddrs, FaultBudget, InvariantBounds, ProcessSettings, ResourceLimits};
pub use routes::RouteTable;
pub use walk::ValidationError;

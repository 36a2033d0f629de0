//! Names of the components that log. Each log line starts with its level and the name of its component.

/// Start and end of the process.
pub const PROCESS: &str = "process";
/// Settings file.
pub const SETTINGS: &str = "settings";
/// Connections to clients, nodes and other processes of the system: opened, closed or failed.
pub const CONNECTIONS: &str = "connections";
/// Consensus of the controllers: their views (terms of a leader), and changes of the control state that they replicate.
pub const CONSENSUS: &str = "consensus";
/// Routing configurations accepted or rejected.
pub const ROUTING_CONFIG: &str = "routing_config";
/// Start, draining and end of nodes.
pub const NODES: &str = "nodes";
/// Liveness of the gateways, and the assignments by which they own keys (roles that one gateway has at a time).
pub const OWNERSHIP: &str = "ownership";
/// Calls to the platform that one process at a time makes.
pub const USAGE: &str = "usage";
/// Disk storage.
pub const STORAGE: &str = "storage";

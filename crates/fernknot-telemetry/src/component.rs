//! Names of the components that log. Each log line starts with its level and the name of its component.

/// Start and end of the process.
pub const PROCESS: &str = "process";
/// Settings file.
pub const SETTINGS: &str = "settings";
/// Connections and their remote processes.
pub const CONNECTIONS: &str = "connections";
/// Consensus of the controllers: their views, and changes of the control state.
pub const CONSENSUS: &str = "consensus";
/// Routing configurations accepted or rejected.
pub const ROUTING_CONFIG: &str = "routing_config";
/// Start, draining and end of nodes.
pub const NODES: &str = "nodes";
/// Liveness of the gateways and their ownership of keys.
pub const OWNERSHIP: &str = "ownership";
/// Disk storage.
pub const STORAGE: &str = "storage";

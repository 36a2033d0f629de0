//! The components that log. A component's name stands at the begin of each of its lines.

/// The program as a whole: its start and its end.
pub const PROCESS: &str = "process";
/// The settings file.
pub const SETTINGS: &str = "settings";
/// Connections and the processes at their other ends.
pub const CONNECTIONS: &str = "connections";
/// Which view of the controllers is in force, and how control state changes.
pub const CONSENSUS: &str = "consensus";
/// Routing configurations accepted or rejected.
pub const ROUTING_CONFIG: &str = "routing_config";
/// Nodes that start, drain and end.
pub const NODES: &str = "nodes";
/// Which gateways are live and own keys.
pub const OWNERSHIP: &str = "ownership";
/// The disk.
pub const STORAGE: &str = "storage";

//! Names of a controller's counters and gauges, as reported by `GET /-/counters` and `fernknot show counters`.

/// Heartbeats received from nodes.
pub const NODE_HEARTBEATS: &str = "node_heartbeats";
/// Deregistrations received from nodes.
pub const NODE_DEREGISTRATIONS: &str = "node_deregistrations";
/// Drains and deregistrations rejected because no majority confirmed them.
pub const NODE_DRAINS_REJECTED: &str = "node_drains_rejected";
/// Node records from other controllers that changed the registry.
pub const NODE_RECORDS_MERGED: &str = "node_records_merged";
/// Nodes marked as lost because their heartbeats stopped.
pub const NODES_LOST: &str = "nodes_lost";
/// Configuration changes received from operators.
pub const CHANGES: &str = "changes";
/// Changes acknowledged as committed, by this call or an earlier one.
pub const CHANGES_COMMITTED: &str = "changes_committed";
/// Changes rejected because they conflict with the active version.
pub const CHANGES_REJECTED: &str = "changes_rejected";
/// Changes whose outcome was unknown at their deadline.
pub const CHANGES_UNKNOWN: &str = "changes_unknown";
/// Read index requests.
pub const READ_INDEXES: &str = "read_indexes";
/// Read index requests that no majority confirmed.
pub const READ_INDEXES_UNCONFIRMED: &str = "read_indexes_unconfirmed";
/// Failed writes to disk.
pub const DISK_FAILURES: &str = "disk_failures";
/// Stalls of the event loop for longer than two heartbeat intervals.
pub const LOOP_GAPS: &str = "loop_gaps";

/// Gauge: number of the view.
pub const VIEW: &str = "view";
/// Gauge: epoch of the active configuration.
pub const EPOCH: &str = "epoch";
/// Gauge: revision of the active configuration.
pub const REVISION: &str = "revision";
/// Gauge: 1 while a majority is reachable, otherwise 0.
pub const LEASE: &str = "lease";
/// Gauge: number of further disks that may be lost.
pub const REMAINING_FAULT_TOLERANCE: &str = "remaining_fault_tolerance";
/// Gauge: number of nodes that are up.
pub const NODES_UP: &str = "nodes_up";
/// Gauge: number of gateways subscribed to this controller.
pub const SUBSCRIBERS: &str = "subscribers";
/// Gauge: number of controllers to which a connection is open.
pub const PEERS_UP: &str = "peers_up";
/// Gauge: fencing token of the newest assignment.
pub const FENCING_TOKEN: &str = "fencing_token";
/// Gauge: 1 while the disk is healthy, otherwise 0.
pub const DISK_HEALTHY: &str = "disk_healthy";

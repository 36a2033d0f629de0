//! Names of the counters and gauges of a controller, as `GET /-/counters` and `fernknot show counters` report them.

/// Heartbeats of nodes that came here.
pub const NODE_HEARTBEATS: &str = "node_heartbeats";
/// Nodes that said here that they end.
pub const NODE_DEREGISTRATIONS: &str = "node_deregistrations";
/// Drains and deregistrations rejected because no majority could confirm them.
pub const NODE_DRAINS_REJECTED: &str = "node_drains_rejected";
/// Records of nodes that other controllers sent and that changed something here.
pub const NODE_RECORDS_MERGED: &str = "node_records_merged";
/// Nodes taken for lost because their heartbeats stopped.
pub const NODES_LOST: &str = "nodes_lost";
/// Changes of the configuration that operators sent here.
pub const CHANGES: &str = "changes";
/// Changes committed, now or before.
pub const CHANGES_COMMITTED: &str = "changes_committed";
/// Changes rejected by the state in force.
pub const CHANGES_REJECTED: &str = "changes_rejected";
/// Changes whose outcome was not known in time.
pub const CHANGES_UNKNOWN: &str = "changes_unknown";
/// Requests for a read index.
pub const READ_INDEXES: &str = "read_indexes";
/// Requests for a read index that no majority confirmed.
pub const READ_INDEXES_UNCONFIRMED: &str = "read_indexes_unconfirmed";
/// Writes to disk that failed.
pub const DISK_FAILURES: &str = "disk_failures";
/// Times that the event loop stood still for longer than two heartbeat intervals.
pub const LOOP_GAPS: &str = "loop_gaps";

/// Gauge: the number of the view.
pub const VIEW: &str = "view";
/// Gauge: the epoch of the configuration in force.
pub const EPOCH: &str = "epoch";
/// Gauge: the revision of the configuration in force.
pub const REVISION: &str = "revision";
/// Gauge: 1 while a majority is heard.
pub const LEASE: &str = "lease";
/// Gauge: how many more disks may be lost now.
pub const REMAINING_FAULT_TOLERANCE: &str = "remaining_fault_tolerance";
/// Gauge: nodes that are up.
pub const NODES_UP: &str = "nodes_up";
/// Gauge: gateways subscribed here.
pub const SUBSCRIBERS: &str = "subscribers";
/// Gauge: controllers to which a connection is up.
pub const PEERS_UP: &str = "peers_up";
/// Gauge: the fencing token of the newest assignment.
pub const FENCING_TOKEN: &str = "fencing_token";
/// Gauge: 1 while the disk is healthy.
pub const DISK_HEALTHY: &str = "disk_healthy";

//! Names of a controller's counters and gauges, as reported by `GET /-/counters` and `fernknot show counters`.
//! Counters start from 0 with the process; gauges are updated for each report.

/// Heartbeats received from nodes.
pub const NODE_HEARTBEATS: &str = "node_heartbeats";
/// Deregistrations received from nodes.
pub const NODE_DEREGISTRATIONS: &str = "node_deregistrations";
/// Drains and deregistrations rejected because no majority confirmed them.
pub const NODE_DRAINS_REJECTED: &str = "node_drains_rejected";
/// Node records from other controllers that changed the registry.
pub const NODE_RECORDS_MERGED: &str = "node_records_merged";
/// Nodes marked as lost because no controller reported a heartbeat of them for 3.5 heartbeat intervals.
pub const NODES_LOST: &str = "nodes_lost";
/// Configuration changes received from operators.
pub const CHANGES: &str = "changes";
/// Changes that ended here as committed, those forwarded to or by this controller included. A retry that the history
/// answers at its arrival is not counted.
pub const CHANGES_COMMITTED: &str = "changes_committed";
/// Changes rejected because they conflict with the active version, those forwarded to or by this controller included.
pub const CHANGES_REJECTED: &str = "changes_rejected";
/// Changes that ended here without a known outcome: at their deadline, or because no majority was reachable.
pub const CHANGES_UNKNOWN: &str = "changes_unknown";
/// Read index requests: a majority is asked to confirm the view before a reply.
pub const READ_INDEXES: &str = "read_indexes";
/// Read index requests that ended unconfirmed, at their deadline or because no majority was reachable.
pub const READ_INDEXES_UNCONFIRMED: &str = "read_indexes_unconfirmed";
/// Failed writes to disk.
pub const DISK_FAILURES: &str = "disk_failures";
/// Stalls of the event loop for longer than two heartbeat intervals of a node.
pub const LOOP_GAPS: &str = "loop_gaps";

/// Gauge: number of the active view that this controller is a member of; 0 if there is none.
pub const VIEW: &str = "view";
/// Gauge: epoch of the active configuration; 0 before the first.
pub const EPOCH: &str = "epoch";
/// Gauge: revision of the control state in which the active configuration was committed; 0 before the first.
pub const REVISION: &str = "revision";
/// Gauge: 1 while this controller holds a lease, because a majority has answered its heartbeats recently, otherwise
/// 0.
pub const LEASE: &str = "lease";
/// Gauge: number of further disks of controllers that may be lost at once without losing an acknowledged change or
/// needing an operator to continue.
pub const REMAINING_FAULT_TOLERANCE: &str = "remaining_fault_tolerance";
/// Gauge: number of nodes that are up, ready or draining.
pub const NODES_UP: &str = "nodes_up";
/// Gauge: number of gateways subscribed to this controller.
pub const SUBSCRIBERS: &str = "subscribers";
/// Gauge: number of controllers to which a connection is open.
pub const PEERS_UP: &str = "peers_up";
/// Gauge: fencing token of the newest known assignment of singleton roles, a number that grows with each assignment;
/// 0 before the first.
pub const FENCING_TOKEN: &str = "fencing_token";
/// Gauge: 1 while the disk is healthy, otherwise 0.
pub const DISK_HEALTHY: &str = "disk_healthy";

// Role of usage reporter; reported only if the platform wants usage.

/// Calls to the platform that were written to its socket.
pub const USAGE_CALLS_WRITTEN: &str = "usage_calls_written";
/// Calls that the platform acknowledged.
pub const USAGE_CALLS_ACKNOWLEDGED: &str = "usage_calls_acknowledged";
/// Calls that the platform rejected because it had seen a higher fencing token.
pub const USAGE_CALLS_FENCED: &str = "usage_calls_fenced";
/// Calls that the platform answered with any other status.
pub const USAGE_CALLS_REJECTED: &str = "usage_calls_rejected";
/// Calls that ended without an answer, other than by their time limit.
pub const USAGE_CALLS_UNCLEAR: &str = "usage_calls_unclear";
/// Calls that were given up at their time limit.
pub const USAGE_CALLS_TIMED_OUT: &str = "usage_calls_timed_out";
/// Totals that arrived after their window was fixed, which are missing in the report.
pub const USAGE_TOTALS_LATE: &str = "usage_totals_late";
/// Totals of windows too far ahead of the time of day.
pub const USAGE_TOTALS_EARLY: &str = "usage_totals_early";
/// Totals beyond the limits of the table.
pub const USAGE_TOTALS_OVER_LIMIT: &str = "usage_totals_over_limit";
/// Gauge: fencing token under which this controller may call the platform; 0 if it may not.
pub const USAGE_FENCING_TOKEN: &str = "usage_fencing_token";
/// Gauge: last window whose counts are fixed; 0 before the first.
pub const USAGE_LAST_FIXED: &str = "usage_last_fixed";
/// Gauge: last window that the platform has acknowledged, as far as known here; 0 before the first.
pub const USAGE_LAST_ACKNOWLEDGED: &str = "usage_last_acknowledged";
/// Gauge: number of windows that are fixed and not known to be acknowledged.
pub const USAGE_UNREPORTED: &str = "usage_unreported";
/// Gauge: number of windows that the system has given up unreported.
pub const USAGE_ABANDONED: &str = "usage_abandoned";

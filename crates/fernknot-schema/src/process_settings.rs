//! Settings of a controller or gateway process.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// Value in `serves` for a process that clients call.
pub(crate) const SERVES_EDGE: &str = "edge";
/// Value in `serves` for a process that nodes and the operator call.
pub(crate) const SERVES_CONTROL_PLANE: &str = "control_plane";

/// Validated settings file of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the machine.
    pub node_name: String,
    /// Role of the machine, in the platform's terms.
    pub role: String,
    /// Class of the machine, in the platform's terms.
    pub machine_class: String,
    /// Groups of external callers that this process serves: `edge`, `control_plane`, both or none.
    pub serves: Vec<String>,
    /// Address of the machine for other machines.
    pub ip: Ipv4Addr,
    /// Zone (failure domain) of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Region of each zone, by the zone's name.
    pub zones: BTreeMap<String, String>,
    /// Addresses at which the process listens for external callers.
    pub bind_addrs: BindAddrs,
    /// Ports available for messages between the processes of the system.
    pub port_range: PortRange,
    /// Control addresses of some of the controllers that ran when the file was written.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Whether a loss of the machine counts towards the fault budget.
    pub counts_in_fault_budget: bool,
    /// Resources that the machine grants the process.
    pub limits: ResourceLimits,
    /// Directory for the data of the process; `None` if there is no disk.
    pub data_dir: Option<PathBuf>,
    /// Method of node discovery, in the platform's terms.
    pub discovery: String,
    /// Method by which clients reach the gateways, in the platform's terms.
    pub client_entry: String,
    /// Approximate interval between two heartbeats of a node, in milliseconds.
    pub heartbeat_interval_ms: f64,
    /// Names of the invariants that are in force.
    pub invariants: Vec<String>,
    /// Simultaneous losses under which every invariant holds.
    pub fault_budget: FaultBudget,
    /// Parameters of the invariants.
    pub bounds: InvariantBounds,
}

impl ProcessSettings {
    /// Returns whether the process serves clients.
    pub fn serves_edge(&self) -> bool {
        self.serves.iter().any(|serves| serves == SERVES_EDGE)
    }

    /// Returns whether the process serves nodes and the operator.
    pub fn serves_control(&self) -> bool {
        self.serves.iter().any(|serves| serves == SERVES_CONTROL_PLANE)
    }
}

/// Range of ports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// Lowest port; never 0.
    pub first: u16,
    /// Highest port; at least `first`.
    pub last: u16,
}

/// Addresses at which the process listens for external callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddrs {
    /// Address for queries of clients.
    pub front_addr: Option<SocketAddrV4>,
    /// Address for the platform's readiness checks.
    pub ready_addr: Option<SocketAddrV4>,
    /// Address for nodes and the operator.
    pub control_addr: Option<SocketAddrV4>,
}

/// Resources that the machine grants the process. Missing limits have their default.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Speed of that core as a multiple of the platform's standard core.
    pub core_speed: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Number of file descriptors that may be open.
    pub fd_limit: u64,
    /// Bandwidth of the network link in megabits per second.
    pub link_mbps: f64,
    /// Disk space in megabytes; 0 if there is no disk.
    pub disk_mb: f64,
}

impl Default for ResourceLimits {
    fn default() -> ResourceLimits {
        ResourceLimits {
            cpu_share: 0.2,
            core_speed: 1.0,
            memory_mb: 256.0,
            fd_limit: 1024,
            link_mbps: 1000.0,
            disk_mb: 0.0,
        }
    }
}

/// Simultaneous losses under which every invariant holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultBudget {
    /// Number of machines.
    pub machine_losses: u64,
    /// Number of zones.
    pub zones: u64,
    /// Number of regions.
    pub region_losses: u64,
}

/// Parameters of the invariants, under the names in the users' rules. Missing bounds have their default.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantBounds {
    /// Longest time by which the list of controllers that callers choose from is out of date, in seconds.
    pub seed_lag_s: f64,
    /// Time for which the address of a stopped node is not reused, in seconds.
    pub reuse_after_s: f64,
    /// Time for which a machine has to run and be connected before it counts as in contact, in milliseconds.
    pub contact_ms: f64,
    /// Time within which a configuration has to be acknowledged, in milliseconds.
    pub ack_deadline_ms: f64,
    /// Time within which a restarted process has to catch up, in seconds.
    pub catch_up_s: f64,
    /// Time for which requests may still go to a node after its draining was acknowledged, in milliseconds.
    pub drain_cutoff_ms: f64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time after the last byte of a request within which a loss of the request does not count, in milliseconds.
    pub loss_slack_ms: f64,
    /// Time within which an acknowledged configuration has to be in force everywhere, in milliseconds.
    pub apply_ms: f64,
    /// Time for which requests under an older configuration may follow requests under a newer one, in milliseconds.
    pub revert_slack_ms: f64,
    /// Length of the window over which losses of the control plane are evaluated, in milliseconds.
    pub stretch_ms: f64,
    /// Number of extra attempts allowed per request.
    pub retry_ratio: f64,
    /// Length of the window over which extra attempts are counted, in seconds.
    pub retry_window_s: f64,
    /// Number of extra attempts allowed in each window beyond the ratio.
    pub retry_slack: f64,
    /// Time within which service has to recover once lost machines are back, in seconds.
    pub recover_s: f64,
}

impl Default for InvariantBounds {
    fn default() -> InvariantBounds {
        InvariantBounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 4000.0,
            ack_deadline_ms: 5000.0,
            catch_up_s: 4.0,
            drain_cutoff_ms: 3000.0,
            grace_s: 6.0,
            loss_slack_ms: 200.0,
            apply_ms: 3000.0,
            revert_slack_ms: 250.0,
            stretch_ms: 12000.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            recover_s: 12.0,
        }
    }
}

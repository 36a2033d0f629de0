//! The settings of a process.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The value of `serves` of a process that clients call.
pub(crate) const SERVES_EDGE: &str = "edge";
/// The value of `serves` of a process that nodes and the operator call.
pub(crate) const SERVES_CONTROL_PLANE: &str = "control_plane";

/// The validated settings file of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The name of the machine.
    pub node_name: String,
    /// The role of the machine, as the platform names it.
    pub role: String,
    /// The class of the machine, as the platform names it.
    pub machine_class: String,
    /// Who may call this process from outside: `edge`, `control_plane`, both or none.
    pub serves: Vec<String>,
    /// The address that other machines reach this one at.
    pub ip: Ipv4Addr,
    /// The zone (failure domain) of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Where the process listens for callers from outside.
    pub bind_addrs: BindAddrs,
    /// The ports that are free for messages between the processes of the system.
    pub port_range: PortRange,
    /// Control addresses of some controllers when the file was written.
    pub seeds: Vec<SocketAddrV4>,
    /// The whole system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// The machine counts towards the fault budget.
    pub counts_in_fault_budget: bool,
    /// What the machine gives the process.
    pub limits: ResourceLimits,
    /// Where the process may keep data; none where there is no disk.
    pub data_dir: Option<PathBuf>,
    /// How nodes are discovered, as the platform names it.
    pub discovery: String,
    /// How clients reach the gateways, as the platform names it.
    pub client_entry: String,
    /// About how often a node sends its heartbeat, in milliseconds.
    pub heartbeat_interval_ms: f64,
    /// The names of the invariants that are in force.
    pub invariants: Vec<String>,
    /// What may be lost at one time while every invariant holds.
    pub fault_budget: FaultBudget,
    /// The figures of the invariants.
    pub bounds: InvariantBounds,
}

impl ProcessSettings {
    /// Whether clients call this process.
    pub fn serves_edge(&self) -> bool {
        self.serves.iter().any(|serves| serves == SERVES_EDGE)
    }

    /// Whether nodes and the operator call this process.
    pub fn serves_control(&self) -> bool {
        self.serves.iter().any(|serves| serves == SERVES_CONTROL_PLANE)
    }
}

/// A range of ports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port; never 0.
    pub first: u16,
    /// The highest port; not below the first.
    pub last: u16,
}

/// Where the process listens for callers from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BindAddrs {
    /// For queries of clients.
    pub front_addr: Option<SocketAddrV4>,
    /// For the platform's readiness checks.
    pub ready_addr: Option<SocketAddrV4>,
    /// For nodes and the operator.
    pub control_addr: Option<SocketAddrV4>,
}

/// What the machine gives the process. A limit that was not given has the default.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Share of a core.
    pub cpu_share: f64,
    /// The speed of that core as a multiple of the platform's standard core.
    pub core_speed: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub fd_limit: u64,
    /// Bandwidth of the network link in megabits per second.
    pub link_mbps: f64,
    /// Disk space in megabytes; 0 where there is no disk.
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

/// What may be lost at one time while every invariant holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultBudget {
    /// Machines.
    pub machine_losses: u64,
    /// Zones.
    pub zones: u64,
    /// Regions.
    pub region_losses: u64,
}

/// The figures of the invariants, under the names of the users' rules. A bound that was not given has the default.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantBounds {
    /// How far the list of controllers that callers choose from lags behind, in seconds.
    pub seed_lag_s: f64,
    /// How long the address of an ended node stays unused, in seconds.
    pub reuse_after_s: f64,
    /// How long a machine has run and been connected before it counts as in contact, in milliseconds.
    pub contact_ms: f64,
    /// In what time a configuration has to be acknowledged, in milliseconds.
    pub ack_deadline_ms: f64,
    /// In what time a restarted process has to catch up, in seconds.
    pub catch_up_s: f64,
    /// How long requests may still go to a node after its draining was acknowledged, in milliseconds.
    pub drain_cutoff_ms: f64,
    /// How long a process has from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// How late after its last byte a request may still be lost without counting, in milliseconds.
    pub loss_slack_ms: f64,
    /// In what time an acknowledged configuration has to be in force everywhere, in milliseconds.
    pub apply_ms: f64,
    /// How long requests under an older configuration may follow ones under a newer, in milliseconds.
    pub revert_slack_ms: f64,
    /// The span over which losses of the control plane are judged, in milliseconds.
    pub stretch_ms: f64,
    /// Extra attempts per request.
    pub retry_ratio: f64,
    /// The window over which extra attempts are counted, in seconds.
    pub retry_window_s: f64,
    /// Extra attempts that are free in each window.
    pub retry_slack: f64,
    /// In what time service has to recover once machines are back, in seconds.
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

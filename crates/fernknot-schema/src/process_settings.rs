//! Settings of a controller or gateway process, from the file that the platform gives it. The platform is the
//! environment that runs the machines and starts the processes. The invariants are the rules by which the users judge
//! whether the system works; their parameters are in the file, too.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// Value in [`ProcessSettings::serves`] for a process that clients call.
pub(crate) const SERVES_EDGE: &str = "edge";
/// Value in [`ProcessSettings::serves`] for a process that nodes and the operator call.
pub(crate) const SERVES_CONTROL_PLANE: &str = "control_plane";
/// Name of the duty to report the usage of tenants.
const METERING: &str = "metering";

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
    /// Ports of this machine on which the process may listen for other processes of the system.
    pub port_range: PortRange,
    /// Addresses for nodes and the operator of some of the controllers that ran when the file was written. Other
    /// processes take only the IP address from an entry, and the port from `port_range`.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the system starts for the first time, with empty disks, so that there is no earlier configuration to be
    /// found.
    pub bootstrap: bool,
    /// Whether a loss of the machine counts towards `fault_budget`.
    pub counts_in_fault_budget: bool,
    /// Resources that the machine grants the process.
    pub limits: ResourceLimits,
    /// Directory for the data of the process; `None` if there is no disk.
    pub data_dir: Option<PathBuf>,
    /// Method of node discovery, in the platform's terms.
    pub discovery: String,
    /// Method by which clients reach the gateways, in the platform's terms.
    pub client_entry: String,
    /// Approximate interval between two heartbeats of a node to the controllers, in milliseconds.
    pub heartbeat_interval_ms: f64,
    /// Names of the invariants that are in force.
    pub invariants: Vec<String>,
    /// Simultaneous losses under which every invariant has to hold.
    pub fault_budget: FaultBudget,
    /// Parameters of the invariants.
    pub bounds: InvariantBounds,
    /// Interface of the platform that some singleton roles call; `None` if there is none.
    pub platform_api: Option<PlatformApi>,
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

/// Interface of the platform for calls that one process at a time has to make.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformApi {
    /// Address for calls.
    pub address: SocketAddrV4,
    /// Names of the duties that are due to the platform.
    pub roles: Vec<String>,
    /// Largest number of such calls a second, of all processes together; the platform rejects those beyond it.
    pub calls_per_s: f64,
}

impl PlatformApi {
    /// Returns whether the usage of tenants has to be reported to the platform.
    pub fn wants_usage(&self) -> bool {
        self.roles.iter().any(|role| role == METERING)
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
    /// Address for queries of clients; present if the process serves clients.
    pub front_addr: Option<SocketAddrV4>,
    /// Address for the platform's readiness checks; present if the process serves clients.
    pub ready_addr: Option<SocketAddrV4>,
    /// Address for nodes and the operator; present if the process serves them.
    pub control_addr: Option<SocketAddrV4>,
}

/// Resources that the machine grants the process. Missing limits have their default.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Share of a core that the process may use; 1 is a whole core.
    pub cpu_share: f64,
    /// Speed of a core as a multiple of the platform's standard core.
    pub core_speed: f64,
    /// Memory of the process, in mebibytes.
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

/// Simultaneous losses under which every invariant has to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultBudget {
    /// Number of machines that may be lost.
    pub machine_losses: u64,
    /// Number of zones (failure domains) that may be lost.
    pub zones: u64,
    /// Number of regions that may be lost.
    pub region_losses: u64,
}

/// Parameters of the invariants, under the names in the users' rules. Missing bounds have their default. A
/// configuration is one version of the operator's routing configuration; it is acknowledged when a controller answers
/// the operator that it is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantBounds {
    /// Longest time by which the list of controllers that external callers choose from is out of date, in seconds.
    pub seed_lag_s: f64,
    /// Time for which the address of a stopped node is not reused, in seconds.
    pub reuse_after_s: f64,
    /// Time in milliseconds for which a machine has to run and be connected before it counts as in contact. Processes
    /// also take it as the time after which an unreachable machine is considered failed.
    pub contact_ms: f64,
    /// Time from the operator's request within which a configuration has to be acknowledged, in milliseconds.
    pub ack_deadline_ms: f64,
    /// Time from its restart within which a process has to catch up with the others, in seconds.
    pub catch_up_s: f64,
    /// Time for which requests may still go to a node after the system has acknowledged that the node drains (is about
    /// to stop), in milliseconds.
    pub drain_cutoff_ms: f64,
    /// Time from the signal SIGTERM, which asks a process to stop, to SIGKILL, which ends it, in seconds.
    pub grace_s: f64,
    /// Time after the last byte of a request within which the loss of that request does not count against an
    /// invariant, in milliseconds.
    pub loss_slack_ms: f64,
    /// Time from its acknowledgement within which a configuration has to be in force everywhere, in milliseconds.
    pub apply_ms: f64,
    /// Time for which requests may still be routed by an older configuration after others were routed by a newer one,
    /// in milliseconds.
    pub revert_slack_ms: f64,
    /// Length of the window over which losses of the control plane are evaluated, in milliseconds.
    pub stretch_ms: f64,
    /// Number of extra attempts, those beyond a request's first one, allowed per request in a window of
    /// `retry_window_s`.
    pub retry_ratio: f64,
    /// Length of the window over which extra attempts are counted, in seconds.
    pub retry_window_s: f64,
    /// Number of extra attempts allowed in each window in addition to those by `retry_ratio`.
    pub retry_slack: f64,
    /// Time within which the service to clients has to recover once lost machines are back, in seconds.
    pub recover_s: f64,
    /// Whether a gateway without contact to a majority of the controllers for longer than `revoke_ms` has to reject
    /// the requests that need a key.
    pub revocation_global: bool,
    /// Time from its acknowledgement within which the removal of a tenant's key has to be in force, in milliseconds.
    pub revoke_ms: f64,
    /// Whether the platform rejects calls whose fencing token is lower than one that it has seen.
    pub fenced: bool,
    /// Time within which a singleton role may not go from one holder to another and back, in milliseconds.
    pub lease_ms: f64,
    /// Time that a process has after a freeze to find out what it may no longer do, in milliseconds.
    pub thaw_ms: f64,
    /// Length of the windows over which the usage of tenants is reported, in seconds.
    pub report_window_s: f64,
    /// Largest relative error of the usage reported for a tenant.
    pub usage_error: f64,
    /// Time from the end of a window within which its usage has to be reported, in seconds.
    pub usage_delay_s: f64,
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
            revocation_global: false,
            revoke_ms: 5000.0,
            fenced: true,
            lease_ms: 3000.0,
            thaw_ms: 300.0,
            report_window_s: 5.0,
            usage_error: 0.05,
            usage_delay_s: 10.0,
        }
    }
}

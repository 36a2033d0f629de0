//! Size, timing and initial data of a cluster.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones over which processes and nodes are spread in turn.
    pub zones: usize,
    /// Number of controllers whose simultaneous loss the cluster must tolerate.
    pub max_losses: usize,
    /// Time between heartbeats of a node, which the settings of controllers and gateways contain too.
    pub heartbeat_interval: Duration,
    /// Log level of the processes, the value of `FERNKNOT_LOG`.
    pub log_filter: &'static str,
    /// Seed of the ids of nodes and requests.
    pub seed: u64,
    /// Directory with the initial data directories of controllers, each named by the controller's number, from 1 on.
    pub initial_disks: Option<PathBuf>,
    /// Address of the platform's interface for usage reports; none if usage isn't reported.
    pub platform: Option<SocketAddrV4>,
}

impl Default for ClusterSettings {
    fn default() -> ClusterSettings {
        ClusterSettings {
            controllers: 3,
            gateways: 2,
            zones: 3,
            max_losses: 1,
            heartbeat_interval: Duration::from_millis(1000),
            log_filter: "info",
            seed: 1,
            initial_disks: None,
            platform: None,
        }
    }
}

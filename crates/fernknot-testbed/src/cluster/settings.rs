//! What a cluster consists of.

use std::path::PathBuf;
use std::time::Duration;

/// What to start.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// How many controllers.
    pub controllers: usize,
    /// How many gateways.
    pub gateways: usize,
    /// Zones over which processes and nodes are spread in turn.
    pub zones: usize,
    /// Controllers that may be lost at one time.
    pub losses: usize,
    /// How often nodes send heartbeats.
    pub heartbeat_interval: Duration,
    /// The level of the processes' logs, as `FERNKNOT_LOG` takes it.
    pub log_filter: &'static str,
    /// For the ids of nodes and requests.
    pub seed: u64,
    /// A folder with disks to begin with, each a folder named by the number of its controller, from 1 on.
    pub disks: Option<PathBuf>,
}

impl Default for ClusterSettings {
    fn default() -> ClusterSettings {
        ClusterSettings {
            controllers: 3,
            gateways: 2,
            zones: 3,
            losses: 1,
            heartbeat_interval: Duration::from_millis(1000),
            log_filter: "info",
            seed: 1,
            disks: None,
        }
    }
}

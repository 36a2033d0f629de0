//! Size and duration of a soak.

use std::time::Duration;

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults, their times and targets.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of gateways, at least 2.
    pub gateways: usize,
    /// Number of stand-in nodes of each service.
    pub nodes_per_service: usize,
    /// Time from the first fault to the last.
    pub duration: Duration,
    /// Requests per second of all clients together.
    pub requests_per_s: f64,
    /// Longest pause between two faults.
    pub max_pause: Duration,
}

impl Default for SoakSettings {
    fn default() -> SoakSettings {
        SoakSettings {
            seed: 1,
            controllers: 3,
            gateways: 4,
            nodes_per_service: 3,
            duration: Duration::from_secs(30),
            requests_per_s: 60.0,
            max_pause: Duration::from_secs(3),
        }
    }
}

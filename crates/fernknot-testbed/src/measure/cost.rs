//! What a workload cost.

use crate::requests::Request;
use crate::subscription::SubscriptionTraffic;
use crate::usage::Usage;
use std::time::Duration;

/// What one workload cost. Processor time as shares of a core, memory in bytes; means over the processes of a role.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Processor time of a controller.
    pub controller_cpu: f64,
    /// That of the controller that costs most, which is the leader.
    pub controller_cpu_max: f64,
    /// Resident memory of a controller.
    pub controller_resident_bytes: f64,
    /// Processor time of a gateway.
    pub gateway_cpu: f64,
    /// That of the gateway that costs most.
    pub gateway_cpu_max: f64,
    /// Resident memory of a gateway.
    pub gateway_resident_bytes: f64,
    /// What one subscriber of a controller receives at first.
    pub snapshot_bytes: f64,
    /// What it receives in a second after that.
    pub update_bytes_per_s: f64,
    /// From an acknowledgement until all gateways had the version: the mean.
    pub apply_mean_ms: f64,
    /// The same: the longest.
    pub apply_max_ms: f64,
    /// From the sending of a change to its acknowledgement.
    pub ack_mean_ms: f64,
    /// Changes of the configuration.
    pub changes: usize,
    /// Queries that ended.
    pub queries: usize,
    /// Those of them that were served.
    pub served: usize,
    /// The median duration of a query.
    pub query_p50_ms: f64,
    /// The 99th percentile of the duration of a query.
    pub query_p99_ms: f64,
    /// Heartbeats of nodes.
    pub heartbeats: usize,
}

/// What was read of the processes of one role, at the beginning and at the end.
pub(super) struct RoleUsage {
    pub before: Vec<Option<Usage>>,
    pub after: Vec<Option<Usage>>,
}

impl RoleUsage {
    fn cpu_shares(&self) -> Vec<f64> {
        let pairs = self.before.iter().flatten().zip(self.after.iter().flatten());
        pairs.map(|(before, after)| after.cpu_share_since(before)).collect()
    }

    fn resident_bytes(&self) -> Vec<f64> {
        self.after.iter().flatten().map(|usage| usage.resident_bytes as f64).collect()
    }
}

/// How long changes took.
#[derive(Default)]
pub(super) struct ChangeTimes {
    pub acknowledged: Vec<Duration>,
    /// From then until all gateways had the version.
    pub applied: Vec<Duration>,
}

/// All that was read while a workload ran.
pub(super) struct Readings {
    pub controllers: RoleUsage,
    pub gateways: RoleUsage,
    pub changes: ChangeTimes,
    pub traffic: SubscriptionTraffic,
    pub requests: Vec<Request>,
    pub heartbeats: usize,
}

impl Readings {
    pub fn cost(&self) -> Cost {
        let (controllers, gateways) = (self.controllers.cpu_shares(), self.gateways.cpu_shares());
        let (applied, acknowledged) = (millis(&self.changes.applied), millis(&self.changes.acknowledged));
        let mut durations: Vec<f64> = self.requests.iter().map(|request| request.duration_ms).collect();
        durations.sort_by(f64::total_cmp);
        Cost {
            controller_cpu: mean(&controllers),
            controller_cpu_max: max(&controllers),
            controller_resident_bytes: mean(&self.controllers.resident_bytes()),
            gateway_cpu: mean(&gateways),
            gateway_cpu_max: max(&gateways),
            gateway_resident_bytes: mean(&self.gateways.resident_bytes()),
            snapshot_bytes: self.traffic.snapshot_bytes as f64,
            update_bytes_per_s: self.traffic.update_bytes as f64 / self.traffic.seconds.max(0.001),
            apply_mean_ms: mean(&applied),
            apply_max_ms: max(&applied),
            ack_mean_ms: mean(&acknowledged),
            changes: applied.len(),
            queries: self.requests.len(),
            served: self.requests.iter().filter(|request| request.is_served()).count(),
            query_p50_ms: quantile(&durations, 0.5).unwrap_or(0.0),
            query_p99_ms: quantile(&durations, 0.99).unwrap_or(0.0),
            heartbeats: self.heartbeats,
        }
    }
}

fn millis(spans: &[Duration]) -> Vec<f64> {
    spans.iter().map(|span| span.as_secs_f64() * 1e3).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// The value below which this share of the sorted values lies; none where there are none.
pub fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    sorted.get((sorted.len() as f64 * share) as usize).copied()
}

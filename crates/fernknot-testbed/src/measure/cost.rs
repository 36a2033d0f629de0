//! Resource usage and latencies measured under a workload.

use crate::requests::Request;
use crate::subscription::SubscriptionTraffic;
use crate::usage::Usage;
use std::time::Duration;

/// Resource usage and latencies under one workload. Processor time is a share of a core; usage without `max` is the mean
/// over the processes of a role.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    /// Processor time of a controller, as a share of a core.
    pub controller_cpu: f64,
    /// Processor time of the controller with the highest usage, usually the leader.
    pub controller_cpu_max: f64,
    /// Resident memory of a controller, in bytes.
    pub controller_resident_bytes: f64,
    /// Processor time of a gateway, as a share of a core.
    pub gateway_cpu: f64,
    /// Processor time of the gateway with the highest usage.
    pub gateway_cpu_max: f64,
    /// Resident memory of a gateway, in bytes.
    pub gateway_resident_bytes: f64,
    /// Size of the snapshot (the configuration and all nodes) that a controller first sends to a subscriber, in bytes.
    pub snapshot_bytes: f64,
    /// Bytes per second that a controller sends to a subscriber after the snapshot.
    pub update_bytes_per_s: f64,
    /// Mean time from the acknowledgement of a change until all gateways have applied its version, in milliseconds.
    pub apply_mean_ms: f64,
    /// Maximum time from the acknowledgement of a change until all gateways have applied its version, in milliseconds.
    pub apply_max_ms: f64,
    /// Mean time from the sending of a change to its acknowledgement, in milliseconds.
    pub ack_mean_ms: f64,
    /// Number of changes of the configuration.
    pub changes: usize,
    /// Number of completed queries, successful or not.
    pub queries: usize,
    /// Number of queries whose last attempt succeeded.
    pub served: usize,
    /// Median duration of a query, retries included, in milliseconds.
    pub query_p50_ms: f64,
    /// 99th percentile of the duration of a query, retries included, in milliseconds.
    pub query_p99_ms: f64,
    /// Number of acknowledged heartbeats of nodes.
    pub heartbeats: usize,
    /// Processor time of a gateway by query, in milliseconds; what it uses without queries is part of it.
    pub query_cpu_ms: f64,
    /// Turns of the event loops of all gateways by query.
    pub query_turns: f64,
    /// System calls of all gateways by query.
    pub query_system_calls: f64,
    /// Connections to nodes that were opened, by query.
    pub query_connections: f64,
}

/// Counters of all gateways together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GatewayCounters {
    pub turns: u64,
    pub system_calls: u64,
    pub connections_opened: u64,
}

/// Usage of the processes of one role at the beginning and at the end of a measurement; none for a process whose usage
/// could not be read.
pub(super) struct RoleUsage {
    pub before: Vec<Option<Usage>>,
    pub after: Vec<Option<Usage>>,
}

impl RoleUsage {
    fn cpu_shares(&self) -> Vec<f64> {
        let pairs = self.before.iter().flatten().zip(self.after.iter().flatten());
        pairs.map(|(before, after)| after.cpu_share_since(before)).collect()
    }

    /// Processor time of all processes together, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let pairs = self.before.iter().flatten().zip(self.after.iter().flatten());
        pairs.map(|(before, after)| after.cpu_time.saturating_sub(before.cpu_time).as_secs_f64()).sum()
    }

    fn resident_bytes(&self) -> Vec<f64> {
        self.after.iter().flatten().map(|usage| usage.resident_bytes as f64).collect()
    }
}

/// Durations of configuration changes.
#[derive(Default)]
pub(super) struct ChangeTimes {
    /// Times from the sending of a change to its acknowledgement.
    pub acknowledged: Vec<Duration>,
    /// Times from the acknowledgement of a change until all gateways had applied its version.
    pub applied: Vec<Duration>,
}

/// Measurements taken while a workload ran.
pub(super) struct Measurements {
    pub controllers: RoleUsage,
    pub gateways: RoleUsage,
    pub changes: ChangeTimes,
    pub traffic: SubscriptionTraffic,
    pub requests: Vec<Request>,
    pub heartbeats: usize,
    /// Counters of the gateways at the beginning and at the end.
    pub counters: [GatewayCounters; 2],
}

impl Measurements {
    pub fn cost(&self) -> Cost {
        let (controllers, gateways) = (self.controllers.cpu_shares(), self.gateways.cpu_shares());
        let (applied, acknowledged) = (millis(&self.changes.applied), millis(&self.changes.acknowledged));
        let mut durations: Vec<f64> = self.requests.iter().map(|request| request.duration_ms).collect();
        durations.sort_by(f64::total_cmp);
        let [before, after] = self.counters;
        let by_query = |count: u64| count as f64 / self.requests.len().max(1) as f64;
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
            query_cpu_ms: self.gateways.cpu_seconds() * 1e3 / self.requests.len().max(1) as f64,
            query_turns: by_query(after.turns.saturating_sub(before.turns)),
            query_system_calls: by_query(after.system_calls.saturating_sub(before.system_calls)),
            query_connections: by_query(after.connections_opened.saturating_sub(before.connections_opened)),
        }
    }
}

fn millis(durations: &[Duration]) -> Vec<f64> {
    durations.iter().map(|duration| duration.as_secs_f64() * 1e3).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Returns the value below which this share of the ascending values lies; `share` is from 0 to below 1. None if there
/// are no values.
pub fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    sorted.get((sorted.len() as f64 * share) as usize).copied()
}

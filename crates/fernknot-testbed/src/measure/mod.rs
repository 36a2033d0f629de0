//! Measures processor time, memory, traffic and latencies of real processes on loopback, by the number of gateways, nodes,
//! routes, changes and queries. Processor time and memory are those that the kernel reports.

mod cost;
mod workload;

pub use cost::{Cost, quantile};
pub use workload::{Dimension, Workload};

use crate::cluster::{Cluster, ClusterError, ClusterSettings, Role, wait_until};
use crate::config_draft::ConfigDraft;
use crate::http::is_ready;
use crate::load::Load;
use crate::load_balancer::LoadBalancer;
use crate::nodes::Nodes;
use crate::operator::{CallOutcome, Operator};
use crate::subscription::{SubscriptionTraffic, count_subscription_traffic};
use crate::usage::Usage;
use cost::{ChangeTimes, GatewayCounters, Measurements, RoleUsage};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time-out of all awaited conditions.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Incarnation of the subscriber that counts traffic; no gateway uses it.
const COUNTING_SUBSCRIBER_INCARNATION: u64 = 0x0bad_cafe;

/// Measures one workload for the given duration.
///
/// # Errors
/// The cluster is not ready in time, or does not accept a configuration.
pub fn measure(workload: &Workload, duration: Duration) -> Result<Cost, ClusterError> {
    let mut bench = Bench::start(workload)?;
    let load_balancer = bench.start_load_balancer()?;
    let load = workload.load_settings().map(|settings| Load::start(&load_balancer, &settings));
    thread::sleep(workload.warm_up);
    let completed = load.as_ref().map_or(0, Load::completed_count);
    let counters = bench.gateway_counters();
    let subscriber = bench.start_subscriber(duration);
    let (controllers, gateways) = (bench.usage(Role::Controller), bench.usage(Role::Gateway));
    let (heartbeats, started_at) = (bench.nodes.heartbeat_counts().acknowledged, Instant::now());
    let changes = bench.change_config(workload, started_at, duration)?;
    thread::sleep((started_at + duration).saturating_duration_since(Instant::now()));
    let controllers = RoleUsage { before: controllers, after: bench.usage(Role::Controller) };
    let gateways = RoleUsage { before: gateways, after: bench.usage(Role::Gateway) };
    let heartbeats = bench.nodes.heartbeat_counts().acknowledged - heartbeats;
    let counters = [counters, bench.gateway_counters()];
    let traffic = subscriber.join().ok().flatten().unwrap_or_default();
    let requests = load.map(|load| load.finish().split_off(completed)).unwrap_or_default();
    Ok(Measurements { controllers, gateways, changes, traffic, requests, heartbeats, counters }.cost())
}

/// Cluster with the nodes and the operator of a workload.
struct Bench {
    cluster: Cluster,
    nodes: Nodes,
    operator: Operator,
    draft: ConfigDraft,
}

impl Bench {
    /// Starts the cluster and its nodes, and waits until all gateways have applied the first configuration version.
    fn start(workload: &Workload) -> Result<Bench, ClusterError> {
        let cluster = Cluster::start(ClusterSettings {
            gateways: workload.gateways,
            zones: workload.zones,
            log_filter: "warn",
            ..ClusterSettings::default()
        })?;
        cluster.await_controllers(WAIT_TIMEOUT)?;
        let settings = cluster.settings();
        let nodes = Nodes::new(
            cluster.node_ip(),
            cluster.control_addrs(),
            settings.heartbeat_interval,
            settings.seed,
        );
        for number in 0..workload.nodes {
            let settings = workload.node_settings(number, |number| cluster.zone(number));
            nodes.start(settings).map_err(ClusterError::from_io("start a node of", "the cluster"))?;
        }
        let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
        let bench = Bench { cluster, nodes, operator, draft: workload.draft() };
        bench.replace(0)?;
        bench.cluster.await_gateways(WAIT_TIMEOUT)?;
        let all_registered = || bench.nodes.heartbeat_counts().acknowledged >= workload.nodes;
        wait_until("all nodes registered", WAIT_TIMEOUT, all_registered)?;
        wait_until("all gateways have the first version", WAIT_TIMEOUT, || bench.is_applied())?;
        Ok(bench)
    }

    fn start_load_balancer(&self) -> Result<LoadBalancer, ClusterError> {
        let (gateways, seed) = (self.cluster.gateway_addrs(), self.cluster.settings().seed + 1);
        let load_balancer = LoadBalancer::new(&gateways, READINESS_CHECK_INTERVAL, seed);
        let all_ready = || gateways.iter().all(|gateway| is_ready(gateway.ready));
        wait_until("all gateways ready for clients", WAIT_TIMEOUT, all_ready)?;
        Ok(load_balancer)
    }

    /// Starts a thread that subscribes to the first controller and counts the received traffic. It returns none if the
    /// subscription fails.
    fn start_subscriber(&self, duration: Duration) -> JoinHandle<Option<SubscriptionTraffic>> {
        let (addr, zone) = (self.cluster.peer_addr(Role::Controller, 0), self.cluster.zone(0));
        thread::spawn(move || {
            count_subscription_traffic(addr, &zone, COUNTING_SUBSCRIBER_INCARNATION, duration).ok()
        })
    }

    /// Returns the usage of all processes of a role.
    fn usage(&self, role: Role) -> Vec<Option<Usage>> {
        let settings = self.cluster.settings();
        let count = if role == Role::Controller { settings.controllers } else { settings.gateways };
        (0..count).map(|number| self.cluster.usage(role, number)).collect()
    }

    /// Returns the counters of all gateways together.
    fn gateway_counters(&self) -> GatewayCounters {
        let gateways = 0..self.cluster.settings().gateways;
        let sum = |name: &str| -> u64 {
            gateways.clone().filter_map(|gateway| self.cluster.gateway_counter(gateway, name)).sum()
        };
        GatewayCounters {
            turns: sum("loop_turns"),
            system_calls: sum("system_calls"),
            connections_opened: sum("node_connections_opened"),
        }
    }

    /// Changes the configuration at the workload's rate until the duration has passed.
    fn change_config(
        &mut self,
        workload: &Workload,
        started_at: Instant,
        duration: Duration,
    ) -> Result<ChangeTimes, ClusterError> {
        let mut times = ChangeTimes::default();
        let Some(interval) = workload.change_interval() else { return Ok(times) };
        while started_at.elapsed() + interval <= duration {
            let next_at = started_at + interval.mul_f64((times.applied.len() + 1) as f64);
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            let base = self.draft.epoch;
            self.draft.epoch += 1;
            let sent_at = Instant::now();
            self.replace(base)?;
            times.acknowledged.push(sent_at.elapsed());
            // The polling itself adds a small load to the gateways: one short request per check.
            times
                .applied
                .push(wait_until("all gateways have the new version", WAIT_TIMEOUT, || self.is_applied())?);
        }
        Ok(times)
    }

    /// Whether all gateways have applied the newest configuration version.
    fn is_applied(&self) -> bool {
        let gateways = self.cluster.settings().gateways;
        (0..gateways).all(|gateway| self.cluster.gateway_version(gateway) >= self.draft.epoch)
    }

    fn replace(&self, base: u64) -> Result<(), ClusterError> {
        match self.operator.replace(&self.draft.to_bytes(), base) {
            CallOutcome::Completed { status: 200, .. } => Ok(()),
            other => {
                let outcome = format!("{other:?}");
                Err(ClusterError::ConfigNotAccepted { epoch: self.draft.epoch, outcome })
            }
        }
    }
}

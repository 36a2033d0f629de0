//! What each role costs, and how that grows with gateways, nodes, routes, changes and queries: real processes on loopback,
//! read from the kernel's counts.

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
use cost::{ChangeTimes, Readings, RoleUsage};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Nothing that is awaited takes longer, on a machine however busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// What a start costs is not what is measured: it is over after this.
const WARM_UP: Duration = Duration::from_secs(2);
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The incarnation of the subscriber that counts, which no gateway has.
const COUNTING_SUBSCRIBER: u64 = 0x0bad_cafe;

/// Measures one workload for so long.
///
/// # Errors
/// The cluster is not up in time, or accepts no configuration.
pub fn measure(workload: &Workload, span: Duration) -> Result<Cost, ClusterError> {
    let mut bench = Bench::start(workload)?;
    let load_balancer = bench.start_load_balancer()?;
    let load = workload.load_settings().map(|settings| Load::start(&load_balancer, &settings));
    thread::sleep(WARM_UP);
    let subscriber = bench.start_subscriber(span);
    let (controllers, gateways) = (bench.usage(Role::Controller), bench.usage(Role::Gateway));
    let (heartbeats, started_at) = (bench.nodes.heartbeat_counts().acknowledged, Instant::now());
    let changes = bench.change_config(workload, started_at, span)?;
    thread::sleep((started_at + span).saturating_duration_since(Instant::now()));
    let controllers = RoleUsage { before: controllers, after: bench.usage(Role::Controller) };
    let gateways = RoleUsage { before: gateways, after: bench.usage(Role::Gateway) };
    let heartbeats = bench.nodes.heartbeat_counts().acknowledged - heartbeats;
    let traffic = subscriber.join().ok().flatten().unwrap_or_default();
    let requests = load.map(Load::finish).unwrap_or_default();
    Ok(Readings { controllers, gateways, changes, traffic, requests, heartbeats }.cost())
}

/// A cluster under a workload.
struct Bench {
    cluster: Cluster,
    nodes: Nodes,
    operator: Operator,
    draft: ConfigDraft,
}

impl Bench {
    /// Starts all, and waits until the first version is in force everywhere.
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
            nodes.start(settings).map_err(ClusterError::at("start a node of", "the cluster"))?;
        }
        let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
        let bench = Bench { cluster, nodes, operator, draft: workload.draft() };
        bench.replace(0)?;
        bench.cluster.await_gateways(WAIT_TIMEOUT)?;
        let all_known = || bench.nodes.heartbeat_counts().acknowledged >= workload.nodes;
        wait_until("all nodes known", WAIT_TIMEOUT, all_known)?;
        wait_until("the first version everywhere", WAIT_TIMEOUT, || bench.is_applied())?;
        Ok(bench)
    }

    fn start_load_balancer(&self) -> Result<LoadBalancer, ClusterError> {
        let (gateways, seed) = (self.cluster.gateway_addrs(), self.cluster.settings().seed + 1);
        let load_balancer = LoadBalancer::new(&gateways, READINESS_CHECK_INTERVAL, seed);
        let all_ready = || gateways.iter().all(|gateway| is_ready(gateway.ready));
        wait_until("all gateways ready for clients", WAIT_TIMEOUT, all_ready)?;
        Ok(load_balancer)
    }

    /// Counts what a subscriber of a controller receives; none where that fails.
    fn start_subscriber(&self, span: Duration) -> JoinHandle<Option<SubscriptionTraffic>> {
        let (addr, zone) = (self.cluster.peer_addr(Role::Controller, 0), self.cluster.zone(0));
        thread::spawn(move || count_subscription_traffic(addr, &zone, COUNTING_SUBSCRIBER, span).ok())
    }

    /// The usage of all processes of a role.
    fn usage(&self, role: Role) -> Vec<Option<Usage>> {
        let settings = self.cluster.settings();
        let count = if role == Role::Controller { settings.controllers } else { settings.gateways };
        (0..count).map(|number| self.cluster.usage(role, number)).collect()
    }

    /// Changes the configuration at the workload's rate until the time is over.
    fn change_config(
        &mut self,
        workload: &Workload,
        started_at: Instant,
        span: Duration,
    ) -> Result<ChangeTimes, ClusterError> {
        let mut times = ChangeTimes::default();
        let Some(interval) = workload.change_interval() else { return Ok(times) };
        while started_at.elapsed() + interval <= span {
            let next_at = started_at + interval.mul_f64((times.applied.len() + 1) as f64);
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            let base = self.draft.epoch;
            self.draft.epoch += 1;
            let sent_at = Instant::now();
            self.replace(base)?;
            times.acknowledged.push(sent_at.elapsed());
            // The looks cost the gateways something themselves: one small call each.
            times.applied.push(wait_until("the version everywhere", WAIT_TIMEOUT, || self.is_applied())?);
        }
        Ok(times)
    }

    /// Whether all gateways have the newest version.
    fn is_applied(&self) -> bool {
        let gateways = self.cluster.settings().gateways;
        (0..gateways).all(|gateway| self.cluster.gateway_version(gateway) >= self.draft.epoch)
    }

    fn replace(&self, base: u64) -> Result<(), ClusterError> {
        match self.operator.replace(&self.draft.to_bytes(), base) {
            CallOutcome::Completed { status: 200, .. } => Ok(()),
            other => {
                let outcome = format!("{other:?}");
                Err(ClusterError::NotAccepted { epoch: self.draft.epoch, outcome })
            }
        }
    }
}

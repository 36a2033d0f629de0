//! What each role costs, and how that grows: real processes on loopback, read from the kernel's counts.

use crate::checker::Kind;
use crate::inner;
use crate::load::{Load, LoadBalancer, LoadSettings};
use crate::nodes::{NodeSettings, Nodes};
use crate::operator::{CallOutcome, Operator};
use crate::paper::{ConfigDraft, shard_name};
use crate::rig::{Cluster, ClusterError, ClusterSettings, Role, wait_until};
use crate::usage::Usage;
use std::thread;
use std::time::{Duration, Instant};

/// Nothing that is awaited takes longer, on a machine however busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    Gateways,
    Nodes,
    Routes,
    /// Changes of the configuration in a minute.
    Changes,
    /// Queries a second at one gateway.
    Queries,
    /// Shards of each query, at 40 queries a second at one gateway.
    Shards,
}

/// One setting of an experiment.
#[derive(Clone, Debug)]
pub struct Workload {
    pub gateways: usize,
    pub zones: usize,
    pub nodes: usize,
    pub routes: usize,
    pub changes_per_min: usize,
    pub queries_per_s: usize,
    pub shards: usize,
}

impl Workload {
    /// What stays as it is while one figure is varied.
    pub fn varying(what: Dimension, count: usize) -> Workload {
        let mut size = Workload {
            gateways: 4,
            zones: 3,
            nodes: 50,
            routes: 12,
            changes_per_min: 0,
            queries_per_s: 0,
            shards: 4,
        };
        match what {
            Dimension::Gateways => size.gateways = count,
            Dimension::Nodes => size.nodes = count,
            Dimension::Routes => (size.routes, size.changes_per_min) = (count, 30),
            Dimension::Changes => (size.routes, size.changes_per_min) = (100, count),
            Dimension::Queries => (size.gateways, size.queries_per_s) = (1, count),
            // Two nodes a shard: a shard without any would be waited for.
            Dimension::Shards => {
                (size.gateways, size.queries_per_s, size.shards) = (1, 40, count);
                size.nodes = 2 * (count + 1);
            }
        }
        size
    }
}

/// What one setting cost. Processor as shares of a core, memory in bytes; means over the processes of a role.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub controller_cpu: f64,
    /// The registrar that costs most: the one that makes the order.
    pub controller_cpu_max: f64,
    pub controller_resident_bytes: f64,
    pub gateway_cpu: f64,
    pub gateway_cpu_max: f64,
    pub gateway_resident_bytes: f64,
    /// What one listener at a registrar is told: at first, and then in a second.
    pub snapshot_bytes: f64,
    pub update_bytes_per_s: f64,
    /// From an acknowledgement until all gateways had the version, in milliseconds: the mean and the longest.
    pub apply_mean_ms: f64,
    pub apply_max_ms: f64,
    pub ack_mean_ms: f64,
    pub changes: usize,
    pub queries: usize,
    pub served: usize,
    pub query_p50_ms: f64,
    pub query_p99_ms: f64,
    pub heartbeats: usize,
}

/// Plays one setting for so long.
///
/// # Errors
/// Where the system is not up in time or takes no configuration.
pub fn measure(size: &Workload, span: Duration) -> Result<Cost, ClusterError> {
    let rig = Cluster::start(ClusterSettings {
        gateways: size.gateways,
        zones: size.zones,
        log_filter: "warn",
        ..ClusterSettings::default()
    })?;
    rig.await_controllers(WAIT_TIMEOUT)?;
    let nodes = Nodes::new(
        rig.node_ip(),
        rig.control_addrs(),
        rig.settings().heartbeat_interval,
        rig.settings().seed,
    );
    let fail = |step, why| ClusterError::Step { step, who: "the rig".into(), why };
    for number in 0..size.nodes {
        let service = match number % (size.shards + 1) {
            0 => "single".to_string(),
            number => shard_name(number - 1),
        };
        let facts = NodeSettings {
            service,
            zone: rig.zone(number / (size.shards + 1)),
            capacity: 64,
            queue_capacity: 64,
            service_time: Duration::from_millis(5),
            records_per_part: 200,
            accepts_requests: size.queries_per_s > 0,
        };
        nodes.start(facts).map_err(|why| fail("start a node of", why))?;
    }
    let operator = Operator { addrs: rig.control_addrs(), timeout: WAIT_TIMEOUT };
    let mut draft = ConfigDraft {
        shards: size.shards,
        filler_routes: size.routes.saturating_sub(3),
        top_k: 200,
        ..ConfigDraft::default()
    };
    replace(&operator, &draft, 0)?;
    rig.await_gateways(WAIT_TIMEOUT)?;
    wait_until("all nodes beat", WAIT_TIMEOUT, || nodes.heartbeat_counts().0 >= size.nodes)?;
    let everywhere = |epoch: u64| (0..size.gateways).all(|at| rig.gateway_version(at) >= epoch);
    wait_until("the first version everywhere", WAIT_TIMEOUT, || everywhere(1))?;

    let platform =
        LoadBalancer::new(&rig.gateway_addrs(), Duration::from_millis(500), rig.settings().seed + 1);
    wait_until("the platform sees the gateways", WAIT_TIMEOUT, || {
        rig.gateway_addrs().iter().all(|(_, ready)| crate::load::is_ready(*ready))
    })?;
    let load = (size.queries_per_s > 0).then(|| {
        let facts = LoadSettings {
            clients: (size.queries_per_s / 5).clamp(4, 64),
            requests_per_s: size.queries_per_s as f64,
            mix: vec![Kind::Gather],
            deadline: Duration::from_secs(2),
            keeps_responses: false,
        };
        Load::start(&platform, &facts)
    });
    // What a start costs is not what is measured.
    thread::sleep(Duration::from_secs(2));

    let listens = rig.inner_addr(Role::Controller, 0);
    let zone = rig.zone(0);
    let listener =
        thread::spawn(move || inner::count_subscription_traffic(listens, &zone, 0x0bad_cafe, span));
    let all = |role, count: usize| (0..count).map(|at| rig.usage(role, at)).collect::<Vec<_>>();
    let registrars = rig.settings().controllers;
    let (cores, edges) = (all(Role::Controller, registrars), all(Role::Gateway, size.gateways));
    let (beats, begun) = (nodes.heartbeat_counts().0, Instant::now());
    let (mut applied, mut acked) = (Vec::new(), Vec::new());
    if size.changes_per_min > 0 {
        let every = Duration::from_secs_f64(60.0 / size.changes_per_min as f64);
        while begun.elapsed() + every <= span {
            let next = begun + every.mul_f64((applied.len() + 1) as f64);
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let base = draft.epoch;
            draft.epoch += 1;
            let asked = Instant::now();
            replace(&operator, &draft, base)?;
            acked.push(asked.elapsed());
            // The looks cost the gateways something themselves: one small call each.
            applied.push(wait_until("the version everywhere", WAIT_TIMEOUT, || everywhere(draft.epoch))?);
        }
    }
    thread::sleep((begun + span).saturating_duration_since(Instant::now()));
    let (cores_after, edges_after) = (all(Role::Controller, registrars), all(Role::Gateway, size.gateways));
    let beats = nodes.heartbeat_counts().0 - beats;

    let told = listener.join().ok().and_then(Result::ok).unwrap_or_default();
    let mut times: Vec<f64> = Vec::new();
    let (mut queries, mut served) = (0, 0);
    if let Some(load) = load {
        let requests = load.finish();
        queries = requests.len();
        served = requests.iter().filter(|request| request.is_served()).count();
        times = requests.iter().map(|request| request.duration_ms).collect();
        times.sort_by(f64::total_cmp);
    }
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(0.0);
    let shares = |before: &[Option<Usage>], after: &[Option<Usage>]| {
        let pairs = before.iter().flatten().zip(after.iter().flatten());
        pairs.map(|(before, after)| after.cpu_share_since(before)).collect::<Vec<f64>>()
    };
    let (core, edge) = (shares(&cores, &cores_after), shares(&edges, &edges_after));
    let resident = |after: &[Option<Usage>]| {
        mean(&after.iter().flatten().map(|usage| usage.resident_bytes as f64).collect::<Vec<_>>())
    };
    let millis = |spans: &[Duration]| spans.iter().map(|span| span.as_secs_f64() * 1e3).collect::<Vec<f64>>();
    Ok(Cost {
        controller_cpu: mean(&core),
        controller_cpu_max: core.iter().copied().fold(0.0, f64::max),
        controller_resident_bytes: resident(&cores_after),
        gateway_cpu: mean(&edge),
        gateway_cpu_max: edge.iter().copied().fold(0.0, f64::max),
        gateway_resident_bytes: resident(&edges_after),
        snapshot_bytes: told.snapshot_bytes as f64,
        update_bytes_per_s: told.update_bytes as f64 / told.seconds.max(0.001),
        apply_mean_ms: mean(&millis(&applied)),
        apply_max_ms: millis(&applied).into_iter().fold(0.0, f64::max),
        ack_mean_ms: mean(&millis(&acked)),
        changes: applied.len(),
        queries,
        served,
        query_p50_ms: at(0.5),
        query_p99_ms: at(0.99),
        heartbeats: beats,
    })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn replace(operator: &Operator, draft: &ConfigDraft, base: u64) -> Result<(), ClusterError> {
    match operator.replace(&draft.to_bytes(), base) {
        CallOutcome::Completed { status: 200, .. } => Ok(()),
        end => Err(ClusterError::TimedOut {
            what: format!("version {} taken: {end:?}", draft.epoch),
            seconds: 0.0,
        }),
    }
}

//! One soak, from the start of its cluster to the verdict.

use crate::cluster::{Cluster, ClusterError, ClusterSettings, Role, wait_until};
use crate::config_draft::ConfigDraft;
use crate::load::{Load, LoadSettings};
use crate::load_balancer::LoadBalancer;
use crate::nodes::{NodeSettings, Nodes};
use crate::operator::{CallOutcome, Operator};
use crate::requests::RequestKind;
use crate::soak::changes::{ChangeLog, ChangeSeries};
use crate::soak::history::History;
use crate::soak::lag::LagMeter;
use crate::soak::observers::Observers;
use crate::soak::schedule::{Fault, FaultKind, draw_schedule};
use crate::soak::settings::SoakSettings;
use crate::soak::verdict::{Evidence, SoakReport};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of the cluster's start, and of its return to normal after the last fault.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time-out of a change or read of the operator: longer than any outage of the schedule.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Time that a process has to exit after SIGTERM; `grace_s` of its settings.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a drained node serves after it has begun to report its drain: `drain_cutoff_ms` and three heartbeats.
const DRAIN_TIME: Duration = Duration::from_secs(6);
/// Interval at which due faults and exits are looked for.
const TICK: Duration = Duration::from_millis(5);
/// Time after the last fault for which load and changes go on.
const CALM_TIME: Duration = Duration::from_secs(6);
const CLIENT_COUNT: usize = 6;
const DEADLINE: Duration = Duration::from_secs(4);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const READINESS_INTERVAL: Duration = Duration::from_millis(400);

/// What is due for a process or node after its fault has begun.
#[derive(Clone, Copy, Debug)]
enum Pending {
    /// Start it again.
    Start,
    /// Start it again once it has exited, which it must do before this time.
    StartAfterExit(Instant),
    Resume,
}

/// A running soak.
struct Soak {
    cluster: Cluster,
    nodes: Nodes,
    operator: Operator,
    history: History,
    started_at: Instant,
    pending: BTreeMap<(Role, usize), (Instant, Pending)>,
    /// Nodes that drain, with the time at which they are deregistered.
    draining: Vec<(usize, Instant)>,
    drainable: Vec<(usize, NodeSettings)>,
    errors: Vec<String>,
}

/// Runs a soak and judges it.
///
/// # Errors
/// The cluster does not start, or a signal cannot be sent.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport, ClusterError> {
    let draft = ConfigDraft { shards: 3, change: Some(0), ..ConfigDraft::default() };
    let mut soak = Soak::start(settings, &draft)?;
    let load_balancer = LoadBalancer::new(&soak.cluster.gateway_addrs(), READINESS_INTERVAL, settings.seed);
    let load = Load::start(&load_balancer, &load_settings(settings));
    let changes = ChangeSeries::start(soak.operator.clone(), draft.clone(), settings.seed);
    let observers = Observers::start(&soak.cluster, &changes.log, settings.seed);
    let lag = LagMeter::start(tempfile::tempfile().ok());
    soak.started_at = Instant::now();
    let faults = draw_schedule(settings);
    soak.inject_all(&faults)?;
    thread::sleep(CALM_TIME);
    let changes = changes.finish();
    soak.check_final_versions(&changes);
    let observed = observers.finish();
    let mut requests = load.finish();
    let served = requests.iter().filter(|request| request.is_served()).count();
    requests.extend(observed.requests);
    soak.check_running();
    let evidence = Evidence {
        requests,
        sightings: observed.sightings,
        changes,
        history: soak.history,
        gateways: soak.cluster.gateway_addrs(),
        draft,
        errors: soak.errors,
        faults: faults.len(),
        served,
    };
    let mut report = evidence.judge(&soak.nodes.execution_log());
    report.lag = lag.finish();
    if !report.violations.is_empty() {
        report.logs = soak.cluster.all_log_lines();
    }
    Ok(report)
}

fn load_settings(settings: &SoakSettings) -> LoadSettings {
    LoadSettings {
        clients: CLIENT_COUNT,
        requests_per_s: settings.requests_per_s,
        request_mix: vec![RequestKind::Gather, RequestKind::Single, RequestKind::Mutating],
        deadline: DEADLINE,
        keeps_responses: true,
    }
}

impl Soak {
    fn start(settings: &SoakSettings, draft: &ConfigDraft) -> Result<Soak, ClusterError> {
        let cluster = Cluster::start(ClusterSettings {
            controllers: settings.controllers,
            gateways: settings.gateways,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            seed: settings.seed,
            ..ClusterSettings::default()
        })?;
        cluster.await_controllers(START_TIMEOUT)?;
        let addrs = cluster.control_addrs();
        let nodes = Nodes::new(cluster.node_ip(), addrs.clone(), HEARTBEAT_INTERVAL, settings.seed);
        let mut drainable = Vec::new();
        for (index, service) in draft.services().iter().enumerate() {
            for copy in 0..settings.nodes_per_service {
                let node = node_settings(service, cluster.zone(index + copy));
                drainable.push((start_node(&nodes, &node)?, node));
            }
        }
        let expected = drainable.len();
        wait_until("all nodes registered", START_TIMEOUT, || {
            nodes.heartbeat_counts().acknowledged >= expected
        })?;
        let operator = Operator { addrs, timeout: CALL_TIMEOUT };
        let outcome = operator.replace(&draft.to_bytes(), 0);
        if !matches!(outcome, CallOutcome::Completed { status: 200, .. }) {
            let (epoch, outcome) = (draft.epoch, format!("{outcome:?}"));
            return Err(ClusterError::ConfigNotAccepted { epoch, outcome });
        }
        cluster.await_gateways(START_TIMEOUT)?;
        Ok(Soak {
            cluster,
            nodes,
            operator,
            history: History::new(settings.controllers),
            started_at: Instant::now(),
            pending: BTreeMap::new(),
            draining: Vec::new(),
            drainable,
            errors: Vec::new(),
        })
    }

    /// Injects all faults at their times, and ends them.
    fn inject_all(&mut self, faults: &[Fault]) -> Result<(), ClusterError> {
        let mut remaining = faults.iter().peekable();
        while remaining.peek().is_some() || !self.pending.is_empty() || !self.draining.is_empty() {
            let elapsed = self.started_at.elapsed();
            while let Some(fault) = remaining.next_if(|fault| fault.begins_at <= elapsed) {
                self.begin(fault)?;
            }
            self.end_due_faults()?;
            self.end_drains();
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn begin(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        let (role, number) = (fault.role, fault.number);
        let ends_at = self.started_at + fault.ends_at;
        let pending = match fault.kind {
            FaultKind::Kill => {
                self.history.begin(role, number, true);
                self.cluster.kill(role, number)?;
                Pending::Start
            }
            FaultKind::Terminate => {
                self.history.begin(role, number, false);
                self.cluster.terminate(role, number)?;
                Pending::StartAfterExit(Instant::now() + EXIT_TIMEOUT)
            }
            FaultKind::Suspend => {
                self.history.begin(role, number, true);
                self.cluster.suspend(role, number)?;
                Pending::Resume
            }
            FaultKind::Reload => return self.cluster.reload(role, number),
            FaultKind::DrainNode => return self.replace_node(number),
        };
        self.pending.insert((role, number), (ends_at, pending));
        Ok(())
    }

    fn end_due_faults(&mut self) -> Result<(), ClusterError> {
        let now = Instant::now();
        let due = self.pending.iter().filter(|(_, (ends_at, _))| *ends_at <= now);
        let due: Vec<_> = due.map(|(process, (_, pending))| (*process, *pending)).collect();
        for ((role, number), pending) in due {
            if self.end(role, number, pending)? {
                self.pending.remove(&(role, number));
            }
        }
        Ok(())
    }

    /// Ends a fault. Returns false if the process has not exited yet.
    fn end(&mut self, role: Role, number: usize, pending: Pending) -> Result<bool, ClusterError> {
        match pending {
            Pending::Resume => {
                self.cluster.resume(role, number)?;
                self.history.end(role, number, false);
                return Ok(true);
            }
            Pending::StartAfterExit(until) => match self.cluster.exit_status(role, number) {
                Some(status) if !status.success() => {
                    self.errors.push(format!("EXIT: {role:?} {number} after SIGTERM: {status}"));
                }
                Some(_) => {}
                None if Instant::now() < until => return Ok(false),
                None => {
                    self.errors.push(format!("EXIT: {role:?} {number} runs after SIGTERM and grace_s"));
                    self.cluster.kill(role, number)?;
                }
            },
            Pending::Start => {}
        }
        self.cluster.restart(role, number)?;
        self.history.end(role, number, true);
        Ok(true)
    }

    /// Starts another node of the service of one that begins to drain.
    fn replace_node(&mut self, choice: usize) -> Result<(), ClusterError> {
        let (number, settings) = self.drainable.remove(choice % self.drainable.len().max(1));
        self.drainable.push((start_node(&self.nodes, &settings)?, settings));
        self.nodes.drain(number);
        self.draining.push((number, Instant::now() + DRAIN_TIME));
        Ok(())
    }

    fn end_drains(&mut self) {
        let now = Instant::now();
        let (due, remaining): (Vec<_>, Vec<_>) =
            self.draining.drain(..).partition(|(_, deregisters_at)| *deregisters_at <= now);
        self.draining = remaining;
        for (number, _) in due {
            self.nodes.deregister(number);
        }
    }

    /// Reports controllers and gateways that do not have the newest acknowledged version in the end.
    fn check_final_versions(&mut self, changes: &ChangeLog) {
        let newest = changes.changes.iter().map(|change| change.epoch).max().unwrap_or(0);
        let acknowledged = changes.newest().map_or(0, |change| change.epoch);
        for addr in self.cluster.control_addrs() {
            let operator = Operator { addrs: vec![addr], timeout: CALL_TIMEOUT };
            let epoch = match operator.read() {
                CallOutcome::Completed { status: 200, body, .. } => epoch_of(&body),
                _ => None,
            };
            if !epoch.is_some_and(|epoch| (acknowledged..=newest).contains(&epoch)) {
                self.errors
                    .push(format!("CONFIG: {addr} returns {epoch:?}, acknowledged was {acknowledged}"));
            }
        }
        for gateway in 0..self.cluster.settings().gateways {
            let reached = wait_until("the newest version", START_TIMEOUT, || {
                self.cluster.gateway_version(gateway) >= acknowledged
            });
            if reached.is_err() {
                self.errors.push(format!("CONFIG: gateway {gateway} never reaches version {acknowledged}"));
            }
        }
    }

    /// Reports processes that have ended by themselves.
    fn check_running(&mut self) {
        let settings = self.cluster.settings();
        let controllers = (0..settings.controllers).map(|number| (Role::Controller, number));
        let gateways = (0..settings.gateways).map(|number| (Role::Gateway, number));
        for (role, number) in controllers.chain(gateways).collect::<Vec<_>>() {
            if let Some(status) = self.cluster.exit_status(role, number) {
                self.errors.push(format!("FAULT: {role:?} {number} ended by itself: {status}"));
            }
        }
    }
}

fn node_settings(service: &str, zone: String) -> NodeSettings {
    NodeSettings {
        service: service.to_string(),
        zone,
        capacity: 4,
        queue_capacity: 8,
        service_time: Duration::from_millis(5),
        records: 30,
        accepts_requests: true,
    }
}

fn start_node(nodes: &Nodes, settings: &NodeSettings) -> Result<usize, ClusterError> {
    nodes.start(settings.clone()).map_err(ClusterError::from_io("start", "a node"))
}

fn epoch_of(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<serde_json::Value>(body).ok()?.get("epoch")?.as_u64()
}

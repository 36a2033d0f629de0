//! `fernknot demo`: runs a complete system on loopback, sends it queries until it is stopped or its time is over, and
//! checks the responses.

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::output::{comma_separated, print_line};
use fernknot_testbed::checker::{Expectations, Rule, Violation, check};
use fernknot_testbed::cluster::{Cluster, ClusterSettings, Role, wait_until};
use fernknot_testbed::config_draft::{ConfigDraft, HOST, SINGLE_SERVICE};
use fernknot_testbed::load::{Load, LoadSettings};
use fernknot_testbed::load_balancer::LoadBalancer;
use fernknot_testbed::measure::quantile;
use fernknot_testbed::nodes::{NodeSettings, Nodes};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::requests::{Request, RequestKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests per second of all clients together.
const QUERIES_PER_S: f64 = 20.0;
const NODES_PER_SERVICE: usize = 3;
const RECORD_BYTES: usize = 16;
/// Time between progress reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of printed violations.
const MAX_PRINTED_VIOLATIONS: usize = 10;

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [] = arguments.expect_positional("demo [--gateways N] [--seconds N]")?;
    let gateways: usize = arguments.number("gateways")?.unwrap_or(2).max(1);
    let seconds: Option<f64> = arguments.number("seconds")?;
    if seconds.is_some_and(|seconds| !(0.0..=1e9).contains(&seconds)) {
        return Err(CliError::Usage("--seconds: is not from 0 to 1e9".into()));
    }
    let stop_requested = register_stop_signals()?;
    let started_at = Instant::now();
    let seed = u64::from(std::process::id());
    let cluster = start_cluster(gateways, seed)?;
    let draft = ConfigDraft::default();
    let nodes = start_nodes(&cluster, &draft, seed)?;
    send_config(&cluster, &draft, started_at)?;
    let load_balancer = LoadBalancer::new(&cluster.gateway_addrs(), READINESS_CHECK_INTERVAL, seed);
    let load = start_load(&load_balancer, &stop_requested)?;
    print_hints(&cluster, seconds);
    serve(&load, seconds, &stop_requested);
    let requests = load.finish();
    print_times(&requests);
    print_last_gathered(&requests);
    check_requests(&requests, &nodes, &draft)
}

/// Returns a flag that SIGINT and SIGTERM set.
fn register_stop_signals() -> Result<Arc<AtomicBool>, CliError> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop_requested.clone()).map_err(CliError::RegisterSignals)?;
    }
    Ok(stop_requested)
}

fn start_cluster(gateways: usize, seed: u64) -> Result<Cluster, CliError> {
    let cluster = Cluster::start(ClusterSettings { gateways, seed, ..ClusterSettings::default() })?;
    let fronts = cluster.gateway_addrs().into_iter().map(|addrs| addrs.front);
    print_line(format!("controllers {}", comma_separated(cluster.control_addrs())));
    print_line(format!("gateways    {}", comma_separated(fronts)));
    let duration = cluster.await_controllers(WAIT_TIMEOUT)?;
    print_line(format!("the controllers agreed on a view after {:.2} s", duration.as_secs_f64()));
    Ok(cluster)
}

fn start_nodes(cluster: &Cluster, draft: &ConfigDraft, seed: u64) -> Result<Nodes, CliError> {
    let interval = cluster.settings().heartbeat_interval;
    let nodes = Nodes::new(cluster.node_ip(), cluster.control_addrs(), interval, seed);
    let services = draft.services();
    let count = services.len() * NODES_PER_SERVICE;
    for number in 0..count {
        let settings = NodeSettings {
            service: services[number / NODES_PER_SERVICE].clone(),
            zone: cluster.zone(number),
            capacity: 3,
            queue_capacity: 3,
            service_time: Duration::from_millis(15),
            records: 50,
            accepts_requests: true,
        };
        nodes.start(settings).map_err(CliError::StartNode)?;
    }
    wait_until("all nodes registered", WAIT_TIMEOUT, || nodes.heartbeat_counts().acknowledged >= count)?;
    print_line(format!("{count} nodes of {} services send heartbeats", services.len()));
    Ok(nodes)
}

fn send_config(cluster: &Cluster, draft: &ConfigDraft, started_at: Instant) -> Result<(), CliError> {
    let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
    match operator.replace(&draft.to_bytes(), 0) {
        CallOutcome::Completed { status: 200, controller, .. } => {
            print_line(format!("version {} of the configuration was accepted by {controller}", draft.epoch));
        }
        other => {
            return Err(CliError::Failed(format!("the configuration was not accepted: {other:?}")));
        }
    }
    let duration = cluster.await_gateways(WAIT_TIMEOUT)?;
    print_line(format!(
        "all gateways were ready {:.2} s later, {:.2} s after the start",
        duration.as_secs_f64(),
        started_at.elapsed().as_secs_f64()
    ));
    Ok(())
}

fn start_load(load_balancer: &LoadBalancer, stop_requested: &AtomicBool) -> Result<Load, CliError> {
    let settings = LoadSettings {
        clients: 4,
        requests_per_s: QUERIES_PER_S,
        request_mix: vec![
            RequestKind::Gather,
            RequestKind::Gather,
            RequestKind::Single,
            RequestKind::Mutating,
        ],
        deadline: Duration::from_secs(2),
        keeps_responses: true,
    };
    let load = Load::start(load_balancer, &settings);
    wait_until("the first queries", WAIT_TIMEOUT, || {
        load.completed_count() >= settings.clients || stop_requested.load(Ordering::Relaxed)
    })?;
    Ok(load)
}

fn print_hints(cluster: &Cluster, seconds: Option<f64>) {
    print_line("\ntry, in another terminal:");
    if let Some(gateway) = cluster.gateway_addrs().first() {
        let headers = format!("-H 'Host: {HOST}' -H 'Attempt-Id: by-hand-1' -H 'Deadline-Ms: 2000'");
        print_line(format!("  curl -i http://{}/gather/hello {headers}", gateway.front));
    }
    let controller = cluster.peer_addr(Role::Controller, 0);
    print_line(format!("  fernknot config read {}", comma_separated(cluster.control_addrs())));
    print_line(format!("  fernknot show nodes {controller}"));
    print_line(format!("  fernknot show views {controller}"));
    print_line(match seconds {
        Some(seconds) => format!("\nserving for {seconds} s"),
        None => "\nserving until Ctrl-C".to_string(),
    });
}

/// Waits until `seconds` have passed or a stop is requested, and prints progress reports meanwhile.
fn serve(load: &Load, seconds: Option<f64>, stop_requested: &AtomicBool) {
    let started_at = Instant::now();
    let mut reported_at = started_at;
    let has_expired = || seconds.is_some_and(|seconds| started_at.elapsed().as_secs_f64() >= seconds);
    while !stop_requested.load(Ordering::Relaxed) && !has_expired() {
        thread::sleep(POLL_INTERVAL);
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            print_line(format!("{} requests, {} served", load.completed_count(), load.served_count()));
        }
    }
}

fn print_times(requests: &[Request]) {
    for kind in [RequestKind::Gather, RequestKind::Single, RequestKind::Mutating] {
        let served = requests.iter().filter(|request| request.kind == kind && request.is_served());
        let mut durations: Vec<f64> = served.map(|request| request.duration_ms).collect();
        durations.sort_by(f64::total_cmp);
        print_line(format!(
            "{:<8} {:>5} served, half within {:.1} ms, 99 of 100 within {:.1} ms",
            kind.prefix(),
            durations.len(),
            quantile(&durations, 0.5).unwrap_or(f64::NAN),
            quantile(&durations, 0.99).unwrap_or(f64::NAN)
        ));
    }
}

fn print_last_gathered(requests: &[Request]) {
    let gathered = requests.iter().rev().filter(|request| request.kind == RequestKind::Gather);
    if let Some(response) = gathered.filter_map(Request::success).next() {
        print_line(format!(
            "the last gathered response: {} parts, {} missing, the greatest {} records",
            response.seals.len(),
            response.missing_parts,
            response.body.len() / RECORD_BYTES
        ));
    }
}

/// Checks the requests against the nodes' executions, and prints the violations and a summary.
fn check_requests(requests: &[Request], nodes: &Nodes, draft: &ConfigDraft) -> Result<(), CliError> {
    let expectations = Expectations {
        shard_sets: vec![draft.fanout_services()],
        top_k: draft.top_k,
        quorum: draft.quorum,
        single_service: SINGLE_SERVICE.into(),
    };
    let mut violations = check(requests, &nodes.execution_log(), &expectations);
    // Requests that the user sends by hand, as the printed hints suggest, are in the nodes' log but not in `requests`.
    violations.retain(|violation| violation.rule != Rule::UnrequestedExecution);
    for Violation { rule, detail } in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        print_line(format!("broken: {rule} {detail}"));
    }
    let served = requests.iter().filter(|request| request.is_served()).count();
    let (sent, broken) = (requests.len(), violations.len());
    print_line(format!("{served} of {sent} requests were served; {broken} rules broken"));
    if violations.is_empty() && served > 0 {
        Ok(())
    } else {
        Err(CliError::Failed("the demo broke a rule or served no request".into()))
    }
}

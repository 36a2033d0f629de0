//! `fernknot demo`: a whole system on loopback, served until told to stop.

use crate::{Arguments, CliError, failed, print_line};
use fernknot_testbed::checker::{AttemptOutcome, Expectations, Kind, check};
use fernknot_testbed::load::{Load, LoadBalancer, LoadSettings};
use fernknot_testbed::nodes::{NodeSettings, Nodes};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::paper::{ConfigDraft, HOST, shard_name};
use fernknot_testbed::rig::{Cluster, ClusterSettings, Role, wait_until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Queries a second that go on while it serves.
const QUERIES_PER_S: f64 = 20.0;
const REPLICAS: usize = 3;

pub fn run(words: &Arguments) -> Result<(), CliError> {
    let [] = words.expect_positional("demo [--gateways N] [--seconds N]")?;
    let gateways: usize = words.number("gateways")?.unwrap_or(2).max(1);
    let seconds: Option<f64> = words.number("seconds")?;
    if seconds.is_some_and(|seconds| !(0.0..=1e9).contains(&seconds)) {
        return Err(CliError::Usage("--seconds: is no time".into()));
    }
    let over = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, over.clone()).map_err(failed)?;
    }
    let begun = Instant::now();
    let seed = u64::from(std::process::id());
    let rig =
        Cluster::start(ClusterSettings { gateways, seed, ..ClusterSettings::default() }).map_err(failed)?;
    let listed = |addrs: &[std::net::SocketAddrV4]| {
        addrs.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
    };
    let doors = rig.gateway_addrs();
    let fronts: Vec<_> = doors.iter().map(|(front, _)| *front).collect();
    print_line(format!("registrars  {}", listed(&rig.control_addrs())));
    print_line(format!("gateways    {}", listed(&fronts)));
    let took = rig.await_controllers(WAIT_TIMEOUT).map_err(failed)?;
    print_line(format!("the registrars agreed on a view after {:.2} s", took.as_secs_f64()));

    let nodes = Nodes::new(rig.node_ip(), rig.control_addrs(), rig.settings().heartbeat_interval, seed);
    let draft = ConfigDraft::default();
    let services = draft.fanout_services().into_iter().chain(["single".to_string()]).collect::<Vec<_>>();
    for (number, service) in services.iter().flat_map(|service| vec![service; REPLICAS]).enumerate() {
        let facts = NodeSettings {
            service: service.clone(),
            zone: rig.zone(number),
            capacity: 3,
            queue_capacity: 3,
            service_time: Duration::from_millis(15),
            records_per_part: 50,
            accepts_requests: true,
        };
        nodes.start(facts).map_err(failed)?;
    }
    let count = services.len() * REPLICAS;
    wait_until("all nodes heard", WAIT_TIMEOUT, || nodes.heartbeat_counts().0 >= count).map_err(failed)?;
    print_line(format!("{count} nodes of {} services beat", services.len()));

    let operator = Operator { addrs: rig.control_addrs(), timeout: WAIT_TIMEOUT };
    match operator.replace(&draft.to_bytes(), 0) {
        CallOutcome::Completed { status: 200, controller: by, .. } => {
            print_line(format!("version {} of the configuration was taken by {by}", draft.epoch));
        }
        end => return Err(failed(format!("the configuration was not taken: {end:?}"))),
    }
    let took = rig.await_gateways(WAIT_TIMEOUT).map_err(failed)?;
    print_line(format!(
        "all gateways were ready {:.2} s later, {:.2} s after the start",
        took.as_secs_f64(),
        begun.elapsed().as_secs_f64()
    ));

    let platform = LoadBalancer::new(&doors, Duration::from_millis(500), seed);
    let load = Load::start(
        &platform,
        &LoadSettings {
            clients: 4,
            requests_per_s: QUERIES_PER_S,
            mix: vec![Kind::Gather, Kind::Gather, Kind::One, Kind::Order],
            deadline: Duration::from_secs(2),
            keeps_responses: true,
        },
    );
    wait_until("the first queries", WAIT_TIMEOUT, || {
        load.completed_count() >= 4 || over.load(Ordering::Relaxed)
    })
    .map_err(failed)?;
    print_line("\ntry, in another terminal:");
    print_line(format!(
        "  curl -i http://{}/gather/hello -H 'Host: {HOST}' -H 'Attempt-Id: by-hand-1' -H 'Deadline-Ms: 2000'",
        fronts[0]
    ));
    print_line(format!("  fernknot config read {}", listed(&rig.control_addrs())));
    print_line(format!("  fernknot show nodes {}", rig.inner_addr(Role::Controller, 0)));
    print_line(format!("  fernknot show views {}", rig.inner_addr(Role::Controller, 0)));
    print_line(match seconds {
        Some(seconds) => format!("\nserving for {seconds} s"),
        None => "\nserving until Ctrl-C".to_string(),
    });
    let from = Instant::now();
    let mut told = Instant::now();
    while !over.load(Ordering::Relaxed)
        && seconds.is_none_or(|seconds| from.elapsed().as_secs_f64() < seconds)
    {
        thread::sleep(Duration::from_millis(20));
        if told.elapsed() >= Duration::from_secs(5) {
            told = Instant::now();
            print_line(format!("{} requests, {} served", load.completed_count(), load.served_count()));
        }
    }
    let requests = load.finish();
    let served = requests.iter().filter(|request| request.is_served()).count();
    for kind in [Kind::Gather, Kind::One, Kind::Order] {
        let mut times: Vec<f64> = requests
            .iter()
            .filter(|request| request.kind == kind && request.is_served())
            .map(|request| request.duration_ms)
            .collect();
        times.sort_by(f64::total_cmp);
        let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(f64::NAN);
        print_line(format!(
            "{:<8} {:>5} served, half within {:.1} ms, 99 of 100 within {:.1} ms",
            kind.prefix(),
            times.len(),
            at(0.5),
            at(0.99)
        ));
    }
    let last = requests.iter().rev().find(|request| request.kind == Kind::Gather && request.is_served());
    if let Some(AttemptOutcome::Response { seals, missing, body, .. }) =
        last.map(|request| &request.attempts[request.attempts.len() - 1].outcome)
    {
        print_line(format!(
            "the last gathered answer: {} parts, {missing} missing, the greatest {} records",
            seals.len(),
            body.len() / 16
        ));
    }
    let allowed = Expectations {
        shard_sets: vec![draft.fanout_services()],
        top_k: draft.top_k,
        quorum: draft.quorum,
        single_service: "single".into(),
    };
    // What was sent by hand is known to nodes alone.
    let breaks: Vec<_> = check(&requests, &nodes.execution_log(), &allowed)
        .into_iter()
        .filter(|found| found.rule != "UNASKED")
        .collect();
    breaks.iter().take(10).for_each(|found| print_line(format!("broken: {} {}", found.rule, found.detail)));
    print_line(format!("{served} of {} requests were served; {} rules broken", requests.len(), breaks.len()));
    debug_assert!(services.contains(&shard_name(0)));
    match breaks.is_empty() && served > 0 {
        true => Ok(()),
        false => Err(failed("the demo did not serve as it should")),
    }
}

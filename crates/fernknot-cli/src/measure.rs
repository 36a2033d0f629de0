//! `fernknot measure`: measures the resource usage of controllers and gateways on loopback at several sizes of one
//! parameter, such as the number of nodes.

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::output::print_line;
use fernknot_testbed::measure::{Cost, Dimension, Workload, measure};
use serde_json::{Value, json};
use std::time::Duration;

const DEFAULT_SECONDS: f64 = 10.0;

/// Returns the varied parameter of this name and its default sizes.
fn dimension(name: &str) -> Option<(Dimension, Vec<usize>)> {
    Some(match name {
        "gateways" => (Dimension::Gateways, vec![2, 4, 8, 16, 32]),
        "nodes" => (Dimension::Nodes, vec![50, 200, 800, 2000]),
        "routes" => (Dimension::Routes, vec![12, 100, 370, 1000]),
        "changes" => (Dimension::Changes, vec![0, 6, 30, 60]),
        "queries" => (Dimension::Queries, vec![25, 50, 100, 200]),
        "shards" => (Dimension::Shards, vec![2, 4, 8, 16]),
        "replicas" => (Dimension::Replicas, vec![14]),
        _ => return None,
    })
}

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [name] =
        arguments.expect_positional("measure gateways|nodes|routes|changes|queries|shards|replicas")?;
    let name = name.to_string_lossy();
    let unknown = || {
        CliError::Usage(format!(
            "{name}: is none of gateways, nodes, routes, changes, queries, shards, replicas"
        ))
    };
    let (dimension, default_sizes) = dimension(&name).ok_or_else(unknown)?;
    let sizes = arguments.value("sizes").map_or(Ok(default_sizes), parse_sizes)?;
    let seconds: f64 = arguments.number("seconds")?.unwrap_or(DEFAULT_SECONDS);
    if !(1.0..=3600.0).contains(&seconds) {
        return Err(CliError::Usage("--seconds: is not from 1 to 3600".into()));
    }
    let is_json = arguments.flag("json");
    if !is_json {
        print_header(&name);
    }
    for count in sizes {
        let mut workload = Workload::varying(dimension, count);
        workload.gateways = arguments.number("gateways")?.unwrap_or(workload.gateways);
        workload.zones = arguments.number("zones")?.unwrap_or(workload.zones);
        let cost = measure(&workload, Duration::from_secs_f64(seconds))?;
        if is_json {
            print_line(to_json(&name, count, seconds, &cost));
        } else {
            print_row(count, &cost);
        }
        if let Some(max) = workload.max_query_cpu() {
            check_query_cpu(&cost, max)?;
        }
    }
    Ok(())
}

/// Fails if a gateway uses more processor time for a query than its share of a core gives within the latency target.
fn check_query_cpu(cost: &Cost, max: Duration) -> Result<(), CliError> {
    let max_ms = max.as_secs_f64() * 1e3;
    match cost.query_cpu_ms <= max_ms {
        true => Ok(()),
        false => Err(CliError::QueryTooExpensive { query_cpu_ms: cost.query_cpu_ms, max_ms }),
    }
}

fn parse_sizes(text: &str) -> Result<Vec<usize>, CliError> {
    let parse_size = |size: &str| {
        let to_usage_error = |_| CliError::Usage(format!("--sizes: {size} is not a valid number"));
        size.trim().parse().map_err(to_usage_error)
    };
    text.split(',').map(parse_size).collect()
}

fn print_header(name: &str) {
    print_line(format!(
        "{name:>8} | controller: core %, most, MB | gateway: core %, most, MB | subscriber: snapshot B, B/s | \
         apply ms, most, ack ms | queries, served, p50 ms, p99 ms | heartbeats | a query: core ms, turns, system calls, \
         connections"
    ));
}

fn print_row(count: usize, cost: &Cost) {
    let percent = |share: f64| format!("{:.2}", share * 100.0);
    let megabytes = |bytes: f64| format!("{:.1}", bytes / 1e6);
    let controller = [
        percent(cost.controller_cpu),
        percent(cost.controller_cpu_max),
        megabytes(cost.controller_resident_bytes),
    ];
    let gateway =
        [percent(cost.gateway_cpu), percent(cost.gateway_cpu_max), megabytes(cost.gateway_resident_bytes)];
    print_line(format!(
        "{count:>8} | {} | {} | {:.0} {:.0} | {:.0} {:.0} {:.0} | {} {} {:.1} {:.1} | {} | {:.3} {:.1} {:.1} {:.2}",
        controller.join(" "),
        gateway.join(" "),
        cost.snapshot_bytes,
        cost.update_bytes_per_s,
        cost.apply_mean_ms,
        cost.apply_max_ms,
        cost.ack_mean_ms,
        cost.queries,
        cost.served,
        cost.query_p50_ms,
        cost.query_p99_ms,
        cost.heartbeats,
        cost.query_cpu_ms,
        cost.query_turns,
        cost.query_system_calls,
        cost.query_connections,
    ));
}

/// Formats a measurement as JSON, with the keys of `results/capacity/*.jsonl`. Some keys are terms of earlier releases:
/// `registrar` for a controller, `told` for received bytes, `beats` for heartbeats.
fn to_json(name: &str, count: usize, seconds: f64, cost: &Cost) -> Value {
    json!({
        "experiment": name, "variant": count, "seed": 1, "seconds": seconds,
        "registrar_cpu_share": cost.controller_cpu, "registrar_cpu_most_share": cost.controller_cpu_max,
        "registrar_resident_bytes": cost.controller_resident_bytes, "gateway_cpu_share": cost.gateway_cpu,
        "gateway_cpu_most_share": cost.gateway_cpu_max, "gateway_resident_bytes": cost.gateway_resident_bytes,
        "told_whole_bytes": cost.snapshot_bytes, "told_bytes_per_s": cost.update_bytes_per_s,
        "apply_mean_ms": cost.apply_mean_ms, "apply_most_ms": cost.apply_max_ms,
        "ack_mean_ms": cost.ack_mean_ms, "changes": cost.changes, "queries": cost.queries,
        "served": cost.served, "query_p50_ms": cost.query_p50_ms, "query_p99_ms": cost.query_p99_ms,
        "beats": cost.heartbeats, "query_cpu_ms": cost.query_cpu_ms, "query_turns": cost.query_turns,
        "query_system_calls": cost.query_system_calls, "query_connections": cost.query_connections,
    })
}

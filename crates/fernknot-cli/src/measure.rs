//! `fernknot measure`: one table for each thing that is varied.

use crate::{Arguments, CliError, failed, print_line};
use fernknot_testbed::measure::{Dimension, Workload, measure};
use serde_json::json;
use std::time::Duration;

pub fn run(words: &Arguments) -> Result<(), CliError> {
    let [what] = words.expect_positional("measure gateways|nodes|routes|changes|queries|shards")?;
    let name = what.to_string_lossy().into_owned();
    let (what, sizes) = match name.as_str() {
        "gateways" => (Dimension::Gateways, vec![2, 4, 8, 16, 32]),
        "nodes" => (Dimension::Nodes, vec![50, 200, 800, 2000]),
        "routes" => (Dimension::Routes, vec![12, 100, 370, 1000]),
        "changes" => (Dimension::Changes, vec![0, 6, 30, 60]),
        "queries" => (Dimension::Queries, vec![25, 50, 100, 200]),
        "shards" => (Dimension::Shards, vec![2, 4, 8, 16]),
        other => {
            return Err(CliError::Usage(format!(
                "{other}: is none of gateways, nodes, routes, changes, queries, shards"
            )));
        }
    };
    let given =
        words.options.iter().rev().find(|(key, _)| key == "sizes").and_then(|(_, value)| value.clone());
    let sizes = match given {
        None => sizes,
        Some(text) => text
            .split(',')
            .map(|word| {
                word.trim().parse().map_err(|_| CliError::Usage(format!("--sizes: {word} is no number")))
            })
            .collect::<Result<Vec<usize>, CliError>>()?,
    };
    let seconds: f64 = words.number("seconds")?.unwrap_or(10.0);
    if !(1.0..=3600.0).contains(&seconds) {
        return Err(CliError::Usage("--seconds: is not from 1 to 3600".into()));
    }
    let json = words.flag("json");
    if !json {
        print_line(format!(
            "{name:>8} | registrar: core %, most, MB | gateway: core %, most, MB | told: whole B, B/s | \
             apply ms, most, ack ms | queries, served, p50 ms, p99 ms | beats"
        ));
    }
    for count in sizes {
        let mut size = Workload::varying(what, count);
        size.gateways = words.number("gateways")?.unwrap_or(size.gateways);
        size.zones = words.number("zones")?.unwrap_or(size.zones);
        let cost = measure(&size, Duration::from_secs_f64(seconds)).map_err(failed)?;
        let mb = |bytes: f64| bytes / 1e6;
        if json {
            print_line(json!({
                "experiment": name, "variant": count, "seed": 1, "seconds": seconds,
                "registrar_cpu_share": cost.controller_cpu, "registrar_cpu_most_share": cost.controller_cpu_max,
                "registrar_resident_bytes": cost.controller_resident_bytes, "gateway_cpu_share": cost.gateway_cpu,
                "gateway_cpu_most_share": cost.gateway_cpu_max, "gateway_resident_bytes": cost.gateway_resident_bytes,
                "told_whole_bytes": cost.snapshot_bytes, "told_bytes_per_s": cost.update_bytes_per_s,
                "apply_mean_ms": cost.apply_mean_ms, "apply_most_ms": cost.apply_max_ms,
                "ack_mean_ms": cost.ack_mean_ms, "changes": cost.changes, "queries": cost.queries,
                "served": cost.served, "query_p50_ms": cost.query_p50_ms, "query_p99_ms": cost.query_p99_ms,
                "beats": cost.heartbeats,
            }));
        } else {
            print_line(format!(
                "{count:>8} | {:.2} {:.2} {:.1} | {:.2} {:.2} {:.1} | {:.0} {:.0} | {:.0} {:.0} {:.0} | {} {} {:.1} {:.1} | {}",
                cost.controller_cpu * 100.0,
                cost.controller_cpu_max * 100.0,
                mb(cost.controller_resident_bytes),
                cost.gateway_cpu * 100.0,
                cost.gateway_cpu_max * 100.0,
                mb(cost.gateway_resident_bytes),
                cost.snapshot_bytes,
                cost.update_bytes_per_s,
                cost.apply_mean_ms,
                cost.apply_max_ms,
                cost.ack_mean_ms,
                cost.queries,
                cost.served,
                cost.query_p50_ms,
                cost.query_p99_ms,
                cost.heartbeats
            ));
        }
    }
    Ok(())
}

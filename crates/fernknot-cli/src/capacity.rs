//! `fernknot plan-capacity`: what each role would cost at a size, reckoned from slopes that `fernknot measure` gave.
//!
//! The slopes are of `results/capacity/*.jsonl` (release build, one machine of 8 cores that others kept busy, 3
//! registrars, processes on loopback); `docs/CAPACITY.md` has the tables. They are those of the dearest rows, so that a
//! plan errs to the safe side. What lies beyond the measured sizes is reckoned along the same lines.

use crate::{Arguments, CliError, print_line};

pub const OPTIONS: [&str; 9] = [
    "gateways",
    "nodes",
    "routes",
    "registrars",
    "changes-a-day",
    "queries-per-s",
    "parts",
    "zones",
    "beat-ms",
];

/// A registrar without nodes, as a share of a core (`nodes.jsonl`, its line drawn to 0 nodes).
const REGISTRAR_IDLE: f64 = 0.0048;
/// Seconds of a core for each beat that a registrar takes, what it tells the others and hears of them included (800
/// nodes; with 2,000, where more come in one turn of the loop, 31e-6).
const HEARTBEAT_CPU_S: f64 = 67e-6;
/// Seconds of a core for each route of a configuration that is taken: at the registrar that makes the order, and at a
/// gateway (`routes.jsonl`, 12 to 1,000 routes).
const REGISTRAR_ROUTE_S: f64 = 16e-6;
const GATEWAY_ROUTE_S: f64 = 8e-6;
/// Memory in bytes: the process, each node (with a third of them connected), each route, each gateway in a cut.
const REGISTRAR_BYTES: f64 = 5.5e6;
const REGISTRAR_NODE_BYTES: f64 = 6.5e3;
const REGISTRAR_ROUTE_BYTES: f64 = 5.1e3;
const REGISTRAR_GATEWAY_BYTES: f64 = 8.4e3;
/// A gateway without clients, as a share of a core for each teller that it listens to (`gateways.jsonl`).
const GATEWAY_PER_RELAY: f64 = 0.0013;
const GATEWAY_BYTES: f64 = 4.0e6;
const GATEWAY_NODE_BYTES: f64 = 1.8e3;
const GATEWAY_ROUTE_BYTES: f64 = 3.5e3;
/// Bytes that one listener is told: in a second while nothing changes, at `apply_ms` 3,000 (`gateways.jsonl`), for a
/// node at first, and for a route of each version.
const HEARTBEAT_BYTES_PER_S: f64 = 300.0;
const NODE_UPDATE_BYTES: f64 = 35.0;
const ROUTE_UPDATE_BYTES: f64 = 48.0;
/// Seconds of a gateway's core for a query, and for each of its parts of 3,200 bytes (`shards.jsonl`, 4 to 58).
const QUERY_CPU_S: f64 = 320e-6;
const SHARD_RESPONSE_S: f64 = 49e-6;
/// How many gateways of a zone share a relay, and the most relays of a zone (`docs/distribution.md`).
const GATEWAYS_PER_RELAY: f64 = 16.0;
const MAX_RELAYS_PER_ZONE: f64 = 8.0;

pub fn run(words: &Arguments) -> Result<(), CliError> {
    let [] = words.expect_positional("plan-capacity [--gateways N] [--nodes N] ...")?;
    let number = |name: &str, absent: f64| -> Result<f64, CliError> {
        let number: f64 = words.number(name)?.unwrap_or(absent);
        match number.is_finite() && number >= 0.0 {
            true => Ok(number),
            false => Err(CliError::Usage(format!("--{name}: {number} is no number that fits"))),
        }
    };
    let above = |name: &str, absent: f64| -> Result<f64, CliError> {
        match number(name, absent)? {
            0.0 => Err(CliError::Usage(format!("--{name}: is 0"))),
            number => Ok(number),
        }
    };
    let gateways = above("gateways", 4200.0)?;
    let nodes = number("nodes", 19_000.0)?;
    let routes = number("routes", 370.0)?;
    let registrars = above("registrars", 8.0)?;
    let changes = number("changes-a-day", 12_000.0)? / 86_400.0;
    let queries = number("queries-per-s", 940_000.0)?;
    let parts = number("parts", 58.0)?;
    let zones = above("zones", 19.0)?;
    let beat = above("beat-ms", 1200.0)? / 1e3;

    let wards = (gateways / zones / GATEWAYS_PER_RELAY).ceil().clamp(1.0, MAX_RELAYS_PER_ZONE);
    let homes = (zones * wards).min(gateways);
    let beats = nodes / beat / registrars;
    let registrar_cpu = REGISTRAR_IDLE + beats * HEARTBEAT_CPU_S + changes * routes * REGISTRAR_ROUTE_S;
    let registrar_bytes = REGISTRAR_BYTES
        + nodes * REGISTRAR_NODE_BYTES
        + routes * REGISTRAR_ROUTE_BYTES
        + gateways * REGISTRAR_GATEWAY_BYTES;
    let news = HEARTBEAT_BYTES_PER_S + changes * routes * ROUTE_UPDATE_BYTES;
    let whole = nodes * NODE_UPDATE_BYTES + routes * ROUTE_UPDATE_BYTES;
    let control_cpu = wards * GATEWAY_PER_RELAY + changes * routes * GATEWAY_ROUTE_S;
    let control_bytes = GATEWAY_BYTES + nodes * GATEWAY_NODE_BYTES + routes * GATEWAY_ROUTE_BYTES;
    let per_gateway = queries / gateways;
    let data_cpu = per_gateway * (QUERY_CPU_S + parts * SHARD_RESPONSE_S);

    print_line("reckoned from slopes measured on loopback (docs/CAPACITY.md)");
    print_line(format!("registrar, each of {registrars}"));
    print_line(format!(
        "  processor  {:.1} % of a core; {beats:.0} beats and {changes:.2} changes a second",
        registrar_cpu * 100.0
    ));
    print_line(format!("  memory     {:.0} MB", registrar_bytes / 1e6));
    print_line(format!(
        "  tells      {:.1} KB/s to {:.0} homes; {:.0} KB to one that starts",
        news * homes / registrars / 1e3,
        homes / registrars,
        whole / 1e3
    ));
    print_line(format!("gateway, each of {gateways}, for control"));
    print_line(format!(
        "  processor  {:.1} % of a core, listening to {wards} homes of its zone",
        control_cpu * 100.0
    ));
    print_line(format!(
        "  memory     {:.0} MB, {:.0} MB of it for the process itself",
        control_bytes / 1e6,
        GATEWAY_BYTES / 1e6
    ));
    print_line(format!(
        "  hears      {:.1} KB/s where one home tells configurations, {:.1} KB/s where all {wards} do",
        (news + (wards - 1.0) * HEARTBEAT_BYTES_PER_S) / 1e3,
        news * wards / 1e3
    ));
    print_line("gateway, for queries");
    print_line(format!(
        "  processor  {:.0} % of a core; {per_gateway:.0} queries, {:.0} parts a second",
        data_cpu * 100.0,
        per_gateway * parts
    ));
    Ok(())
}

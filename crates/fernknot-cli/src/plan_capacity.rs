//! `fernknot plan-capacity`: what each role would cost at a size, estimated from slopes that `fernknot measure` gave.
//!
//! The slopes are of `results/capacity/*.jsonl` (release build, one machine of 8 cores that others kept busy, 3
//! controllers, processes on loopback); `docs/CAPACITY.md` has the tables. They are those of the dearest rows, so that a
//! plan errs on the safe side. What lies beyond the measured sizes is estimated along the same lines.

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::output::print_line;

/// All options, those under earlier names included.
pub const OPTIONS: [&str; 12] = [
    "gateways",
    "nodes",
    "routes",
    "controllers",
    "registrars",
    "changes-a-day",
    "queries-per-s",
    "shards",
    "parts",
    "zones",
    "heartbeat-ms",
    "beat-ms",
];

const SECONDS_PER_DAY: f64 = 86_400.0;
/// A controller without nodes, as a share of a core (`nodes.jsonl`, its line drawn to 0 nodes).
const CONTROLLER_IDLE_CPU: f64 = 0.0048;
/// Seconds of a core for each heartbeat that a controller takes, what it sends to its peers and receives of them included
/// (800 nodes; with 2,000, where more come in one turn of the loop, 31e-6).
const HEARTBEAT_CPU_S: f64 = 67e-6;
/// Seconds of a core for each route of a configuration that is committed, at the leader (`routes.jsonl`, 12 to 1,000
/// routes).
const CONTROLLER_ROUTE_CPU_S: f64 = 16e-6;
/// The same at a gateway.
const GATEWAY_ROUTE_CPU_S: f64 = 8e-6;
/// Memory of a controller's process, in bytes.
const CONTROLLER_BYTES: f64 = 5.5e6;
/// Memory of a controller for each node, with a third of them connected, in bytes.
const CONTROLLER_NODE_BYTES: f64 = 6.5e3;
/// Memory of a controller for each route, in bytes.
const CONTROLLER_ROUTE_BYTES: f64 = 5.1e3;
/// Memory of a controller for each gateway in an assignment, in bytes.
const CONTROLLER_GATEWAY_BYTES: f64 = 8.4e3;
/// A gateway without clients, as a share of a core for each relay that it subscribes to (`gateways.jsonl`).
const RELAY_CPU: f64 = 0.0013;
/// Memory of a gateway's process, in bytes.
const GATEWAY_BYTES: f64 = 4.0e6;
/// Memory of a gateway for each node, in bytes.
const GATEWAY_NODE_BYTES: f64 = 1.8e3;
/// Memory of a gateway for each route, in bytes.
const GATEWAY_ROUTE_BYTES: f64 = 3.5e3;
/// Bytes a second to one subscriber while nothing changes, at `apply_ms` 3,000 (`gateways.jsonl`).
const HEARTBEAT_BYTES_PER_S: f64 = 300.0;
/// Bytes to one subscriber for a node at first.
const NODE_UPDATE_BYTES: f64 = 35.0;
/// Bytes to one subscriber for a route of each version.
const ROUTE_UPDATE_BYTES: f64 = 48.0;
/// Seconds of a gateway's core for a query (`shards.jsonl`, 4 to 58).
const QUERY_CPU_S: f64 = 320e-6;
/// Seconds of a gateway's core for each response of a shard, of 3,200 bytes.
const SHARD_RESPONSE_CPU_S: f64 = 49e-6;
/// Gateways of a zone that share a relay (`docs/distribution.md`).
const GATEWAYS_PER_RELAY: f64 = 16.0;
const MAX_RELAYS_PER_ZONE: f64 = 8.0;

pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let [] = arguments.expect_positional("plan-capacity [--gateways N] [--nodes N] ...")?;
    let size = SystemSize::parse(arguments)?;
    print_line("estimated from slopes measured on loopback (docs/CAPACITY.md)");
    size.print_controllers();
    size.print_gateway_control();
    size.print_gateway_queries();
    Ok(())
}

/// The first of these options that is given, which must be a number that is not negative.
fn number(arguments: &Arguments, names: &[&str], default: f64) -> Result<f64, CliError> {
    let Some(name) = names.iter().find(|name| arguments.value(name).is_some()) else { return Ok(default) };
    let number: f64 = arguments.number(name)?.unwrap_or(default);
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(CliError::Usage(format!("--{name}: {number} is no number that fits")))
    }
}

/// The same, and it must not be 0.
fn positive(arguments: &Arguments, names: &[&str], default: f64) -> Result<f64, CliError> {
    match number(arguments, names, default)? {
        0.0 => Err(CliError::Usage(format!("--{}: is 0", names[0]))),
        number => Ok(number),
    }
}

/// How large the system is to be.
struct SystemSize {
    gateways: f64,
    nodes: f64,
    routes: f64,
    controllers: f64,
    changes_per_s: f64,
    queries_per_s: f64,
    /// Shards of each query.
    shards: f64,
    zones: f64,
    heartbeat_interval_s: f64,
}

impl SystemSize {
    fn parse(arguments: &Arguments) -> Result<SystemSize, CliError> {
        Ok(SystemSize {
            gateways: positive(arguments, &["gateways"], 4200.0)?,
            nodes: number(arguments, &["nodes"], 19_000.0)?,
            routes: number(arguments, &["routes"], 370.0)?,
            controllers: positive(arguments, &["controllers", "registrars"], 8.0)?,
            changes_per_s: number(arguments, &["changes-a-day"], 12_000.0)? / SECONDS_PER_DAY,
            queries_per_s: number(arguments, &["queries-per-s"], 940_000.0)?,
            shards: number(arguments, &["shards", "parts"], 58.0)?,
            zones: positive(arguments, &["zones"], 19.0)?,
            heartbeat_interval_s: positive(arguments, &["heartbeat-ms", "beat-ms"], 1200.0)? / 1e3,
        })
    }

    fn relays_per_zone(&self) -> f64 {
        (self.gateways / self.zones / GATEWAYS_PER_RELAY).ceil().clamp(1.0, MAX_RELAYS_PER_ZONE)
    }

    /// Routes of all versions that are committed in a second.
    fn changed_routes_per_s(&self) -> f64 {
        self.changes_per_s * self.routes
    }

    /// Bytes a second to one subscriber.
    fn update_bytes_per_s(&self) -> f64 {
        HEARTBEAT_BYTES_PER_S + self.changed_routes_per_s() * ROUTE_UPDATE_BYTES
    }

    fn print_controllers(&self) {
        let relays = (self.zones * self.relays_per_zone()).min(self.gateways);
        let relays_per_controller = relays / self.controllers;
        let heartbeats_per_s = self.nodes / self.heartbeat_interval_s / self.controllers;
        let cpu = CONTROLLER_IDLE_CPU
            + heartbeats_per_s * HEARTBEAT_CPU_S
            + self.changed_routes_per_s() * CONTROLLER_ROUTE_CPU_S;
        let bytes = CONTROLLER_BYTES
            + self.nodes * CONTROLLER_NODE_BYTES
            + self.routes * CONTROLLER_ROUTE_BYTES
            + self.gateways * CONTROLLER_GATEWAY_BYTES;
        let snapshot_bytes = self.nodes * NODE_UPDATE_BYTES + self.routes * ROUTE_UPDATE_BYTES;
        print_line(format!("controller, each of {}", self.controllers));
        print_line(format!(
            "  processor  {:.1} % of a core; {heartbeats_per_s:.0} heartbeats and {:.2} changes a second",
            cpu * 100.0,
            self.changes_per_s
        ));
        print_line(format!("  memory     {:.0} MB", bytes / 1e6));
        print_line(format!(
            "  sends      {:.1} KB/s to {relays_per_controller:.0} relays; {:.0} KB to one that starts",
            self.update_bytes_per_s() * relays_per_controller / 1e3,
            snapshot_bytes / 1e3
        ));
    }

    fn print_gateway_control(&self) {
        let relays = self.relays_per_zone();
        let cpu = relays * RELAY_CPU + self.changed_routes_per_s() * GATEWAY_ROUTE_CPU_S;
        let bytes = GATEWAY_BYTES + self.nodes * GATEWAY_NODE_BYTES + self.routes * GATEWAY_ROUTE_BYTES;
        let from_one = self.update_bytes_per_s() + (relays - 1.0) * HEARTBEAT_BYTES_PER_S;
        print_line(format!("gateway, each of {}, for control", self.gateways));
        print_line(format!(
            "  processor  {:.1} % of a core, subscribed to {relays} relays of its zone",
            cpu * 100.0
        ));
        print_line(format!(
            "  memory     {:.0} MB, {:.0} MB of it for the process itself",
            bytes / 1e6,
            GATEWAY_BYTES / 1e6
        ));
        print_line(format!(
            "  receives   {:.1} KB/s where one relay sends configurations, {:.1} KB/s where all {relays} do",
            from_one / 1e3,
            self.update_bytes_per_s() * relays / 1e3
        ));
    }

    fn print_gateway_queries(&self) {
        let queries_per_s = self.queries_per_s / self.gateways;
        let cpu = queries_per_s * (QUERY_CPU_S + self.shards * SHARD_RESPONSE_CPU_S);
        print_line("gateway, for queries");
        print_line(format!(
            "  processor  {:.0} % of a core; {queries_per_s:.0} queries, {:.0} shard responses a second",
            cpu * 100.0,
            queries_per_s * self.shards
        ));
    }
}

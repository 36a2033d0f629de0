//! `fernknot plan-capacity`: estimates the resource usage of each role (controller, gateway) from results of
//! `fernknot measure`. Controllers send configurations and nodes to the relays, a few gateways of each zone, which pass
//! them on to the other gateways; the receivers are called subscribers. A snapshot is what a subscriber receives first.
//!
//! The constants are slopes of `results/capacity/*.jsonl`, from release builds with 3 controllers on one machine of 8
//! cores with other load; `docs/CAPACITY.md` has the tables. Each is the steepest measured slope, so that estimates err on
//! the high side. Larger sizes are extrapolated linearly.

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::output::print_line;

/// Names of all options, including earlier names.
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
/// Processor time of a controller without nodes, as a share of a core: the line of `nodes.jsonl` extrapolated to 0 nodes.
const CONTROLLER_IDLE_CPU_SHARE: f64 = 0.0048;
/// Processor time of a controller per heartbeat that it receives, including the messages to and from its peers, in
/// seconds; that of 800 nodes. With 2,000, where more heartbeats arrive in one turn of the loop, it is 31e-6.
const CONTROLLER_CPU_S_PER_HEARTBEAT: f64 = 67e-6;
/// Processor time of the leader per route of a committed configuration, in seconds (`routes.jsonl`, 12 to 1,000 routes).
const CONTROLLER_CPU_S_PER_ROUTE: f64 = 16e-6;
/// Processor time of a gateway per route of a committed configuration, in seconds.
const GATEWAY_CPU_S_PER_ROUTE: f64 = 8e-6;
/// Memory of a controller without nodes, routes and gateways, in bytes.
const CONTROLLER_BASE_BYTES: f64 = 5.5e6;
/// Memory of a controller per node of the system, in bytes, with a third of the nodes connected to this controller.
const CONTROLLER_BYTES_PER_NODE: f64 = 6.5e3;
/// Memory of a controller per route, in bytes.
const CONTROLLER_BYTES_PER_ROUTE: f64 = 5.1e3;
/// Memory of a controller per gateway in the assignment, the leader's list of live gateways, in bytes.
const CONTROLLER_BYTES_PER_GATEWAY: f64 = 8.4e3;
/// Processor time of a gateway without clients per relay that it subscribes to, as a share of a core (`gateways.jsonl`).
const GATEWAY_CPU_SHARE_PER_RELAY: f64 = 0.0013;
/// Memory of a gateway without nodes and routes, in bytes.
const GATEWAY_BASE_BYTES: f64 = 4.0e6;
/// Memory of a gateway per node, in bytes.
const GATEWAY_BYTES_PER_NODE: f64 = 1.8e3;
/// Memory of a gateway per route, in bytes.
const GATEWAY_BYTES_PER_ROUTE: f64 = 3.5e3;
/// Bytes per second to one subscriber while nothing changes, with the setting `apply_ms` 3,000 (`gateways.jsonl`).
const IDLE_SUBSCRIBER_BYTES_PER_S: f64 = 300.0;
/// Bytes of a snapshot per node.
const SNAPSHOT_BYTES_PER_NODE: f64 = 35.0;
/// Bytes to one subscriber per route of each configuration version, in a snapshot or an update.
const UPDATE_BYTES_PER_ROUTE: f64 = 48.0;
/// Processor time of a gateway per query, without the time for the responses of the shards, in seconds (`shards.jsonl`, 4
/// to 58 shards).
const GATEWAY_CPU_S_PER_QUERY: f64 = 320e-6;
/// Processor time of a gateway per shard response of 3,200 bytes, in seconds.
const GATEWAY_CPU_S_PER_SHARD_RESPONSE: f64 = 49e-6;
/// Number of gateways of a zone for which the zone has one relay (`docs/distribution.md`).
const GATEWAYS_PER_RELAY: f64 = 64.0;
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

/// Returns the value of the first given option among `names`, which must be a finite number and not negative.
fn number(arguments: &Arguments, names: &[&str], default: f64) -> Result<f64, CliError> {
    let Some(name) = names.iter().find(|name| arguments.value(name).is_some()) else { return Ok(default) };
    let number: f64 = arguments.number(name)?.unwrap_or(default);
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(CliError::Usage(format!("--{name}: {number} is not a finite number of at least 0")))
    }
}

/// Returns the value of the first given option among `names`, which must be a finite number above 0.
fn positive(arguments: &Arguments, names: &[&str], default: f64) -> Result<f64, CliError> {
    match number(arguments, names, default)? {
        0.0 => Err(CliError::Usage(format!("--{}: is 0", names[0]))),
        number => Ok(number),
    }
}

/// Size of the system whose resource usage is estimated.
struct SystemSize {
    gateways: f64,
    nodes: f64,
    routes: f64,
    controllers: f64,
    changes_per_s: f64,
    queries_per_s: f64,
    /// Number of shards to which a gateway sends each query.
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

    /// Returns the number of routes per second that committed configurations contain: each change sends all routes.
    fn changed_routes_per_s(&self) -> f64 {
        self.changes_per_s * self.routes
    }

    /// Returns the bytes per second that one sender sends to one subscriber.
    fn update_bytes_per_s(&self) -> f64 {
        IDLE_SUBSCRIBER_BYTES_PER_S + self.changed_routes_per_s() * UPDATE_BYTES_PER_ROUTE
    }

    fn print_controllers(&self) {
        let relays = (self.zones * self.relays_per_zone()).min(self.gateways);
        let relays_per_controller = relays / self.controllers;
        let heartbeats_per_s = self.nodes / self.heartbeat_interval_s / self.controllers;
        let cpu = CONTROLLER_IDLE_CPU_SHARE
            + heartbeats_per_s * CONTROLLER_CPU_S_PER_HEARTBEAT
            + self.changed_routes_per_s() * CONTROLLER_CPU_S_PER_ROUTE;
        let bytes = CONTROLLER_BASE_BYTES
            + self.nodes * CONTROLLER_BYTES_PER_NODE
            + self.routes * CONTROLLER_BYTES_PER_ROUTE
            + self.gateways * CONTROLLER_BYTES_PER_GATEWAY;
        let snapshot_bytes = self.nodes * SNAPSHOT_BYTES_PER_NODE + self.routes * UPDATE_BYTES_PER_ROUTE;
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
        let cpu =
            relays * GATEWAY_CPU_SHARE_PER_RELAY + self.changed_routes_per_s() * GATEWAY_CPU_S_PER_ROUTE;
        let bytes =
            GATEWAY_BASE_BYTES + self.nodes * GATEWAY_BYTES_PER_NODE + self.routes * GATEWAY_BYTES_PER_ROUTE;
        let single_sender_bytes_per_s =
            self.update_bytes_per_s() + (relays - 1.0) * IDLE_SUBSCRIBER_BYTES_PER_S;
        print_line(format!("gateway, each of {}, for control", self.gateways));
        print_line(format!(
            "  processor  {:.1} % of a core, subscribed to {relays} relays of its zone",
            cpu * 100.0
        ));
        print_line(format!(
            "  memory     {:.0} MB, {:.0} MB of it for the process itself",
            bytes / 1e6,
            GATEWAY_BASE_BYTES / 1e6
        ));
        print_line(format!(
            "  receives   {:.1} KB/s where one relay sends configurations, {:.1} KB/s where all {relays} do",
            single_sender_bytes_per_s / 1e3,
            self.update_bytes_per_s() * relays / 1e3
        ));
    }

    fn print_gateway_queries(&self) {
        let queries_per_s = self.queries_per_s / self.gateways;
        let cpu = queries_per_s * (GATEWAY_CPU_S_PER_QUERY + self.shards * GATEWAY_CPU_S_PER_SHARD_RESPONSE);
        print_line("gateway, for queries");
        print_line(format!(
            "  processor  {:.0} % of a core; {queries_per_s:.0} queries, {:.0} shard responses a second",
            cpu * 100.0,
            queries_per_s * self.shards
        ));
    }
}

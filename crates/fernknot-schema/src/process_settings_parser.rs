//! Parsing of the settings file of a process.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;

use crate::object_reader::{ErrorCollector, ObjectReader, parse_object};
use crate::process_settings::{
    BindAddrs, FaultBudget, InvariantBounds, PlatformApi, PortRange, ProcessSettings, ResourceLimits,
    SERVES_CONTROL_PLANE, SERVES_EDGE,
};
use crate::validation_error::ValidationError;

const EXPECTED_SOCKET_ADDRESS: &str = "an IPv4 address with a port";
const DEFAULT_HEARTBEAT_INTERVAL_MS: f64 = 1000.0;
const DEFAULT_CALLS_PER_S: f64 = 10.0;
const DEFAULT_DISCOVERY: &str = "registry";
const DEFAULT_CLIENT_ENTRY: &str = "vip";

impl ProcessSettings {
    /// Parses the settings file. Unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, so that they can be corrected at once.
    pub fn parse(bytes: &[u8]) -> Result<ProcessSettings, Vec<ValidationError>> {
        let value = parse_object(bytes)?;
        let errors = ErrorCollector::default();
        let settings = parse_root(&ObjectReader::root(&value, &errors));
        errors.into_result(settings)
    }
}

fn parse_root(root: &ObjectReader<'_>) -> ProcessSettings {
    root.require(&["node_name", "ip", "zone", "bind_addrs", "port_range"]);
    let bind = root.nested("bind_addrs");
    let bind_addrs = parse_bind_addrs(&bind);
    let serves = root.list("serves", "a string");
    require_bind_addrs(&bind, &serves);
    let limits = parse_resource_limits(&root.nested("limits"));
    let bounds = parse_invariant_bounds(&root.nested("bounds"));
    let fault_budget = parse_fault_budget(&root.nested("fault_budget"));
    let zone = root.string("zone").unwrap_or_default();
    let zones = parse_zones(&root.nested("zones"));
    // The region defaults to that of the machine's zone in `zones`.
    let region = root.string("region").or_else(|| zones.get(&zone).cloned()).unwrap_or_default();
    ProcessSettings {
        node_name: root.string("node_name").unwrap_or_default(),
        role: root.string("role").unwrap_or_default(),
        machine_class: root.string("machine_class").unwrap_or_default(),
        serves,
        ip: root.parsed("ip", "an IPv4 address").unwrap_or(Ipv4Addr::UNSPECIFIED),
        zone,
        region,
        zones,
        bind_addrs,
        port_range: parse_port_range(root),
        seeds: root.list("seeds", EXPECTED_SOCKET_ADDRESS),
        bootstrap: root.boolean("bootstrap").unwrap_or(false),
        counts_in_fault_budget: root.boolean("counted").unwrap_or(false),
        limits,
        data_dir: root.string("data_dir").map(PathBuf::from),
        discovery: root.string("discovery").unwrap_or_else(|| DEFAULT_DISCOVERY.into()),
        client_entry: root.string("entry").unwrap_or_else(|| DEFAULT_CLIENT_ENTRY.into()),
        heartbeat_interval_ms: root.positive_or("beat_ms", DEFAULT_HEARTBEAT_INTERVAL_MS),
        invariants: root.list("invariants", "a string"),
        fault_budget,
        bounds,
        platform_api: parse_platform_api(root),
    }
}

/// Returns the platform's interface, or `None` after recording the errors of one that is given.
fn parse_platform_api(root: &ObjectReader<'_>) -> Option<PlatformApi> {
    root.get("cloud_api")?;
    let api = root.nested("cloud_api");
    api.require(&["address"]);
    let calls_per_s = api.positive_or("duty_per_s", DEFAULT_CALLS_PER_S);
    let roles = api.list("duties", "a string");
    Some(PlatformApi { address: api.parsed("address", EXPECTED_SOCKET_ADDRESS)?, roles, calls_per_s })
}

fn parse_bind_addrs(bind: &ObjectReader<'_>) -> BindAddrs {
    BindAddrs {
        front_addr: bind.parsed("front_addr", EXPECTED_SOCKET_ADDRESS),
        ready_addr: bind.parsed("ready_addr", EXPECTED_SOCKET_ADDRESS),
        control_addr: bind.parsed("control_addr", EXPECTED_SOCKET_ADDRESS),
    }
}

/// Requires the addresses for all groups of callers that the process serves.
fn require_bind_addrs(bind: &ObjectReader<'_>, serves: &[String]) {
    let serves = |role: &str| serves.iter().any(|serves| serves == role);
    if serves(SERVES_EDGE) {
        bind.require(&["front_addr", "ready_addr"]);
    }
    if serves(SERVES_CONTROL_PLANE) {
        bind.require(&["control_addr"]);
    }
}

fn parse_resource_limits(limits: &ObjectReader<'_>) -> ResourceLimits {
    let default = ResourceLimits::default();
    ResourceLimits {
        cpu_share: limits.positive_or("cpu_share", default.cpu_share),
        core_speed: limits.positive_or("cores", default.core_speed),
        memory_mb: limits.positive_or("memory_mb", default.memory_mb),
        fd_limit: limits.rounded_up("fd_limit").unwrap_or(default.fd_limit),
        link_mbps: limits.positive_or("link_mbps", default.link_mbps),
        disk_mb: limits.number("disk_mb").unwrap_or(default.disk_mb),
    }
}

fn parse_invariant_bounds(bounds: &ObjectReader<'_>) -> InvariantBounds {
    let default = InvariantBounds::default();
    let number_or = |key, default| bounds.number(key).unwrap_or(default);
    InvariantBounds {
        seed_lag_s: number_or("seed_lag_s", default.seed_lag_s),
        reuse_after_s: number_or("reuse_after_s", default.reuse_after_s),
        contact_ms: number_or("contact_ms", default.contact_ms),
        ack_deadline_ms: number_or("ack_deadline_ms", default.ack_deadline_ms),
        catch_up_s: number_or("catch_up_s", default.catch_up_s),
        drain_cutoff_ms: number_or("drain_cutoff_ms", default.drain_cutoff_ms),
        grace_s: number_or("grace_s", default.grace_s),
        loss_slack_ms: number_or("loss_slack_ms", default.loss_slack_ms),
        apply_ms: number_or("apply_ms", default.apply_ms),
        revert_slack_ms: number_or("revert_slack_ms", default.revert_slack_ms),
        stretch_ms: number_or("stretch_ms", default.stretch_ms),
        retry_ratio: number_or("retry_ratio", default.retry_ratio),
        retry_window_s: number_or("retry_window_s", default.retry_window_s),
        retry_slack: number_or("retry_slack", default.retry_slack),
        recover_s: number_or("recover_s", default.recover_s),
        revocation_global: bounds.boolean("revocation_global").unwrap_or(default.revocation_global),
        revoke_ms: number_or("revoke_ms", default.revoke_ms),
        fenced: bounds.boolean("fenced").unwrap_or(default.fenced),
        lease_ms: number_or("lease_ms", default.lease_ms),
        thaw_ms: number_or("thaw_ms", default.thaw_ms),
        report_window_s: bounds.positive_or("report_window_s", default.report_window_s),
        usage_error: number_or("usage_error", default.usage_error),
        usage_delay_s: number_or("usage_delay_s", default.usage_delay_s),
    }
}

fn parse_fault_budget(budget: &ObjectReader<'_>) -> FaultBudget {
    FaultBudget {
        machine_losses: budget.rounded_up("machine_losses").unwrap_or(0),
        zones: budget.rounded_up("zones").unwrap_or(0),
        region_losses: budget.rounded_up("region_losses").unwrap_or(0),
    }
}

fn parse_zones(zones: &ObjectReader<'_>) -> BTreeMap<String, String> {
    let mut region_by_zone = BTreeMap::new();
    for (zone, region) in zones.entries() {
        match region.as_str() {
            Some(region) => drop(region_by_zone.insert(zone.clone(), region.to_string())),
            None => zones.report(zone, "is not a string"),
        }
    }
    region_by_zone
}

/// Returns the port range, or a placeholder after recording an error.
fn parse_port_range(root: &ObjectReader<'_>) -> PortRange {
    const INVALID: PortRange = PortRange { first: 0, last: 0 };
    let Some(value) = root.get("port_range") else { return INVALID };
    let ports: Option<Vec<u16>> = value.as_array().and_then(|ports| {
        ports.iter().map(|port| port.as_u64().and_then(|port| u16::try_from(port).ok())).collect()
    });
    match ports.as_deref() {
        Some(&[first, last]) if 0 < first && first <= last => PortRange { first, last },
        _ => {
            root.report(
                "port_range",
                "is not a list of two ports from 1 to 65535, the second at least the first",
            );
            INVALID
        }
    }
}

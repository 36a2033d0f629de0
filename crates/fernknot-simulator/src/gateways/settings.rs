//! Settings file of a simulated gateway.

use crate::settings::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, SeededBug, Settings};
use crate::topology::{GATEWAY_PEER_PORT, controller_addr, gateway_addr, zone_name};
use fernknot_schema::{ProcessSettings, ValidationError};

/// Factor by which the seeded bug `UnlimitedRetries` enlarges the retry budget.
const UNLIMITED_RETRIES_FACTOR: f64 = 100.0;

/// Builds the settings that a gateway reads at its start.
///
/// # Errors
/// Returns all validation errors if the settings are invalid.
pub(super) fn process_settings(
    gateway: usize,
    seeds: &[usize],
    settings: &Settings,
) -> Result<ProcessSettings, Vec<ValidationError>> {
    let bounds = &settings.bounds;
    let seeds: Vec<String> =
        seeds.iter().map(|seed| format!("\"{}:8729\"", controller_addr(*seed).ip())).collect();
    let is_unlimited = settings.has_bug(SeededBug::UnlimitedRetries);
    let budget_factor = if is_unlimited { UNLIMITED_RETRIES_FACTOR } else { 1.0 };
    let text = format!(
        r#"{{"node_name": "edge-{gateway}", "role": "gate", "machine_class": "edge", "serves": ["edge"], "ip": "{ip}",
        "zone": "{zone}", "region": "r", "zones": {{"zone-0": "r", "zone-1": "r", "zone-2": "r"}},
        "bind_addrs": {{"front_addr": "{ip}:8726", "ready_addr": "{ip}:8723"}},
        "port_range": [{GATEWAY_PEER_PORT}, 7135], "seeds": [{seeds}], "bootstrap": true, "counted": false,
        "limits": {{"memory_mb": 260, "fd_limit": 4100}}, "beat_ms": {heartbeat_ms},
        "bounds": {{"apply_ms": {apply_ms}, "contact_ms": {contact_ms}, "grace_s": 6.0, "drain_cutoff_ms": {cutoff_ms},
                    "retry_ratio": {ratio}, "retry_window_s": {window_s}, "retry_slack": {slack}}}}}"#,
        ip = gateway_addr(gateway).ip(),
        zone = zone_name(gateway),
        seeds = seeds.join(", "),
        heartbeat_ms = bounds.heartbeat_interval.as_millis(),
        apply_ms = bounds.apply_deadline.as_millis(),
        contact_ms = bounds.contact_timeout.as_millis(),
        cutoff_ms = bounds.drain_cutoff.as_millis(),
        ratio = RETRY_RATIO * budget_factor,
        slack = RETRY_SLACK * budget_factor,
        window_s = RETRY_WINDOW.as_millis() / 1e3,
    );
    ProcessSettings::parse(text.as_bytes())
}

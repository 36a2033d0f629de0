//! Requirements of a controller on the process settings, and values derived from them.

use crate::host::limits::RESERVED_DESCRIPTORS;
use crate::settings::ControllerSettings;
use fernknot::interface::Nanos;
use fernknot_schema::{DigestKey, ProcessSettings};
use fernknot_usage_reporting::ReportingSettings;
use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Minimum number of file descriptors in addition to the reserved ones.
const MIN_CONNECTIONS: u64 = 65;
/// Interval between checks of the settings file, in heartbeat intervals.
const SETTINGS_CHECK_HEARTBEAT_INTERVALS: f64 = 2.0;

/// A setting that is valid by itself but not suitable for a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsuitableSetting {
    /// `bind_addrs.control_addr` is missing, the address for calls of nodes and operators.
    #[error("bind_addrs.control_addr: is missing; nodes and operators call a controller at this address")]
    NoControlAddr,
    /// `port_range` has fewer than two ports.
    #[error("port_range: has fewer than two ports")]
    TooFewPorts,
    /// `limits.fd_limit` is too low.
    #[error("limits.fd_limit: is under {minimum}")]
    TooFewDescriptors {
        /// Lowest suitable value.
        minimum: u64,
    },
}

/// All settings that are not suitable for a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsuitableSettings(pub Vec<UnsuitableSetting>);

impl UnsuitableSettings {
    /// Returns a message for each unsuitable setting, which begins with its path in the file.
    pub fn messages(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }
}

impl Display for UnsuitableSettings {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.messages().join("; "))
    }
}

impl Error for UnsuitableSettings {}

/// Checks whether valid process settings are suitable for a controller.
///
/// # Errors
/// All unsuitable settings.
pub fn check_settings(settings: &ProcessSettings) -> Result<(), UnsuitableSettings> {
    let mut faults = Vec::new();
    if settings.bind_addrs.control_addr.is_none() {
        faults.push(UnsuitableSetting::NoControlAddr);
    }
    if settings.port_range.first == u16::MAX || settings.port_range.first + 1 > settings.port_range.last {
        faults.push(UnsuitableSetting::TooFewPorts);
    }
    let minimum = RESERVED_DESCRIPTORS + MIN_CONNECTIONS;
    if settings.limits.fd_limit < minimum {
        faults.push(UnsuitableSetting::TooFewDescriptors { minimum });
    }
    if faults.is_empty() { Ok(()) } else { Err(UnsuitableSettings(faults)) }
}

/// Returns the address at which a controller listens for other processes of the system: the second port of the range.
fn internal_addr(ip: Ipv4Addr, settings: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(ip, settings.port_range.first + 1)
}

/// Returns the internal addresses of the controllers listed in the settings.
pub fn seed_addrs(settings: &ProcessSettings) -> Vec<SocketAddrV4> {
    settings.seeds.iter().map(|seed| internal_addr(*seed.ip(), settings)).collect()
}

/// Returns the settings of the controller itself. `seed` must differ between any two starts, on any machines;
/// `digest_key` is the secret of the digests of the tenants' keys.
pub fn controller_settings(
    settings: &ProcessSettings,
    seed: u64,
    digest_key: DigestKey,
) -> ControllerSettings {
    ControllerSettings {
        addr: internal_addr(settings.ip, settings),
        zone: settings.zone.clone(),
        seeds: seed_addrs(settings),
        bootstrap: settings.bootstrap,
        tolerated_losses: settings.fault_budget.machine_losses as usize,
        heartbeat_interval: heartbeat_interval(settings),
        apply_deadline: Nanos::from_millis(settings.bounds.apply_ms),
        contact_timeout: contact_timeout(settings),
        budget_window: Nanos::from_millis(settings.bounds.retry_window_s * 1000.0),
        seed,
        digest_key,
        usage_reporting: usage_reporting(settings),
    }
}

/// Returns the settings of the role of usage reporter, if the platform has it.
fn usage_reporting(settings: &ProcessSettings) -> Option<ReportingSettings> {
    let platform = settings.platform_api.as_ref().filter(|platform| platform.wants_usage())?;
    let bounds = &settings.bounds;
    Some(ReportingSettings {
        holder: settings.node_name.clone(),
        lease: Nanos::from_millis(bounds.lease_ms),
        window: Nanos::from_millis(bounds.report_window_s * 1000.0),
        usage_delay: Nanos::from_millis(bounds.usage_delay_s * 1000.0),
        calls_per_s: platform.calls_per_s,
    })
}

/// Returns the interval between checks of the settings file.
pub fn settings_check_interval(settings: &ProcessSettings) -> Nanos {
    heartbeat_interval(settings).times(SETTINGS_CHECK_HEARTBEAT_INTERVALS)
}

/// Returns the nominal interval between two heartbeats of a node.
fn heartbeat_interval(settings: &ProcessSettings) -> Nanos {
    Nanos::from_millis(settings.heartbeat_interval_ms)
}

/// Returns the time after which an unreachable machine is considered failed.
pub fn contact_timeout(settings: &ProcessSettings) -> Nanos {
    Nanos::from_millis(settings.bounds.contact_ms)
}

/// Converts a duration to the type of the standard library, as the event loop and the disk take it.
pub fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos.0)
}

//! What a controller needs of the process settings, and what follows from them.

use crate::host::limits::RESERVED_DESCRIPTORS;
use crate::settings::ControllerSettings;
use fernknot::interface::Nanos;
use fernknot_schema::ProcessSettings;
use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// File descriptors that are needed beyond the reserved ones.
const MIN_CONNECTIONS: u64 = 65;
/// The settings file is looked at every so many heartbeat intervals.
const SETTINGS_CHECK_HEARTBEATS: f64 = 2.0;

/// Something that a controller needs beyond what the settings' own checks ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsuitableSetting {
    /// `bind_addrs.control_addr` is missing: nodes and operators call there.
    #[error("bind_addrs.control_addr: is missing; a controller is called there")]
    NoControlAddr,
    /// `port_range` has fewer than two ports.
    #[error("port_range: has fewer than two ports")]
    TooFewPorts,
    /// `limits.fd_limit` is too low.
    #[error("limits.fd_limit: is under {minimum}")]
    TooFewDescriptors {
        /// The lowest value that will do.
        minimum: u64,
    },
}

/// All that makes the settings unsuitable for a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsuitableSettings(pub Vec<UnsuitableSetting>);

impl UnsuitableSettings {
    /// A sentence for each fault, which begins with its place in the file.
    pub fn sentences(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }
}

impl Display for UnsuitableSettings {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.sentences().join("; "))
    }
}

impl Error for UnsuitableSettings {}

/// Checks what a controller can't do without.
///
/// # Errors
/// Everything that is missing.
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

/// Where a controller listens for other processes of the system: at the second port of the range.
fn internal_addr(ip: Ipv4Addr, settings: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(ip, settings.port_range.first + 1)
}

/// The internal addresses of the controllers that the settings name.
pub fn seed_addrs(settings: &ProcessSettings) -> Vec<SocketAddrV4> {
    settings.seeds.iter().map(|seed| internal_addr(*seed.ip(), settings)).collect()
}

/// The settings of the controller itself. `seed` must differ from start to start and from machine to machine.
pub fn controller_settings(settings: &ProcessSettings, seed: u64) -> ControllerSettings {
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
    }
}

/// The interval at which the settings file is looked at.
pub fn settings_check_interval(settings: &ProcessSettings) -> Nanos {
    heartbeat_interval(settings).times(SETTINGS_CHECK_HEARTBEATS)
}

/// The usual interval between two heartbeats of a node.
fn heartbeat_interval(settings: &ProcessSettings) -> Nanos {
    Nanos::from_millis(settings.heartbeat_interval_ms)
}

/// How long machines that are out of reach are waited for.
pub fn contact_timeout(settings: &ProcessSettings) -> Nanos {
    Nanos::from_millis(settings.bounds.contact_ms)
}

/// The same span for the standard library.
pub fn duration(nanos: Nanos) -> Duration {
    Duration::from_nanos(nanos.0)
}

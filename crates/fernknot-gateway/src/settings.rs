//! What a gateway derives from the settings of its process.

use fernknot::interface::{Nanos, ZoneId};
use fernknot_schema::ProcessSettings;
use std::net::SocketAddrV4;

/// Descriptors that are neither clients' nor nodes'.
const RESERVED_DESCRIPTORS: usize = 220;
/// A gateway has at least so many connections, whatever its limit of descriptors.
const MIN_CONNECTIONS: usize = 64;
/// The part of the memory that bodies of incomplete requests may take.
const PARTIAL_BODIES_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// A connection to a node that is not open after this share of `drain_cutoff_ms` is abandoned.
const CONNECT_TIMEOUT_SHARE: f64 = 0.25;

/// Connections that a gateway with these settings may have at once, of all kinds.
pub fn max_connections(settings: &ProcessSettings) -> usize {
    (settings.limits.fd_limit as usize).saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS)
}

/// Where a gateway with these settings accepts connections of other processes of the system.
pub fn inner_addr(settings: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(settings.ip, settings.port_range.first)
}

/// The inner addresses of the controllers that the settings name.
pub fn controller_seeds(settings: &ProcessSettings) -> Vec<SocketAddrV4> {
    let inner_port = settings.port_range.first + 1;
    settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), inner_port)).collect()
}

/// Spans and bounds of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    /// How long a configuration may take to be in force everywhere.
    pub(crate) apply: Nanos,
    /// How long a process may be out of touch with another one.
    pub(crate) contact: Nanos,
    /// How long a draining node may still get requests.
    pub(crate) drain_cutoff: Nanos,
    /// A connection to a node that is not open after this time is abandoned.
    pub(crate) connect_timeout: Nanos,
    /// The window over which retries are counted.
    pub(crate) retry_window: Nanos,
    /// Retries for each request.
    pub(crate) retry_ratio: f64,
    /// Bytes that bodies of incomplete requests may take together.
    pub(crate) max_partial_body_bytes: usize,
    /// The gateway's own zone.
    pub(crate) zone: ZoneId,
}

impl GatewaySettings {
    pub(crate) fn new(settings: &ProcessSettings) -> GatewaySettings {
        let bounds = &settings.bounds;
        let drain_cutoff = Nanos::from_millis(bounds.drain_cutoff_ms);
        let memory_bytes = settings.limits.memory_mb * f64::from(1 << 20);
        GatewaySettings {
            apply: Nanos::from_millis(bounds.apply_ms),
            contact: Nanos::from_millis(bounds.contact_ms),
            drain_cutoff,
            connect_timeout: drain_cutoff.times(CONNECT_TIMEOUT_SHARE),
            retry_window: Nanos::from_millis(bounds.retry_window_s * 1e3),
            retry_ratio: bounds.retry_ratio,
            max_partial_body_bytes: (memory_bytes * PARTIAL_BODIES_MEMORY_SHARE) as usize,
            zone: ZoneIds::new(settings).id(&settings.zone),
        }
    }
}

/// The engine's identifiers for zones.
#[derive(Clone, Debug)]
pub(crate) struct ZoneIds {
    /// The zones that the settings name, sorted.
    names: Vec<String>,
}

impl ZoneIds {
    pub(crate) fn new(settings: &ProcessSettings) -> ZoneIds {
        ZoneIds { names: settings.zones.keys().cloned().collect() }
    }

    /// The identifier of a zone; all unknown ones have the same.
    pub(crate) fn id(&self, name: &str) -> ZoneId {
        let index = self.names.iter().position(|zone| zone == name);
        ZoneId(index.map_or(u32::MAX, |index| index as u32))
    }
}

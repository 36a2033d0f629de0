//! Settings that a gateway derives from those of its process.

use fernknot::interface::{Nanos, ZoneId};
use fernknot_ownership::lease_duration;
use fernknot_schema::ProcessSettings;
use std::net::SocketAddrV4;

/// Number of file descriptors that are not available for connections of clients and nodes.
const RESERVED_DESCRIPTORS: usize = 220;
/// Minimum number of connections, regardless of the limit of file descriptors.
const MIN_CONNECTIONS: usize = 64;
/// Share of the memory that bodies of incomplete requests may use.
const PARTIAL_BODIES_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// Time for a connection to a node to open, as a share of `drain_cutoff_ms`.
const CONNECT_TIMEOUT_SHARE: f64 = 0.25;

/// Maximum number of connections of all kinds that a gateway may have at the same time.
pub fn max_connections(settings: &ProcessSettings) -> usize {
    (settings.limits.fd_limit as usize).saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS)
}

/// Address at which a gateway accepts connections of other processes of the system.
pub fn inner_addr(settings: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(settings.ip, settings.port_range.first)
}

/// Inner addresses of the controllers that the settings name as seeds.
pub fn controller_seeds(settings: &ProcessSettings) -> Vec<SocketAddrV4> {
    let inner_port = settings.port_range.first + 1;
    settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), inner_port)).collect()
}

/// Time-outs and limits of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    /// Time within which an acknowledged configuration has to be in force everywhere (`apply_ms`).
    pub(crate) apply_timeout: Nanos,
    /// Time for which a machine has to run and be connected before it counts as in contact (`contact_ms`).
    pub(crate) contact_timeout: Nanos,
    /// Time for which controllers hold a lease.
    pub(crate) lease_duration: Nanos,
    /// Time for which requests may still go to a node after its draining was acknowledged (`drain_cutoff_ms`).
    pub(crate) drain_cutoff: Nanos,
    /// Time after which a connection to a node that is not open yet is closed.
    pub(crate) connect_timeout: Nanos,
    /// Length of the window over which retries are counted (`retry_window_s`).
    pub(crate) retry_window: Nanos,
    /// Number of retries that are allowed per request in a window, in addition to the free ones (`retry_ratio`).
    pub(crate) retry_ratio: f64,
    /// Maximum number of bytes that bodies of incomplete requests may use in total.
    pub(crate) max_partial_body_bytes: usize,
    /// Zone of this gateway.
    pub(crate) zone: ZoneId,
}

impl GatewaySettings {
    pub(crate) fn new(settings: &ProcessSettings) -> GatewaySettings {
        let bounds = &settings.bounds;
        let drain_cutoff = Nanos::from_millis(bounds.drain_cutoff_ms);
        let memory_bytes = settings.limits.memory_mb * f64::from(1 << 20);
        GatewaySettings {
            apply_timeout: Nanos::from_millis(bounds.apply_ms),
            contact_timeout: Nanos::from_millis(bounds.contact_ms),
            lease_duration: lease_duration(Nanos::from_millis(bounds.contact_ms)),
            drain_cutoff,
            connect_timeout: drain_cutoff.times(CONNECT_TIMEOUT_SHARE),
            retry_window: Nanos::from_millis(bounds.retry_window_s * 1e3),
            retry_ratio: bounds.retry_ratio,
            max_partial_body_bytes: (memory_bytes * PARTIAL_BODIES_MEMORY_SHARE) as usize,
            zone: ZoneIds::new(settings).id(&settings.zone),
        }
    }
}

/// Identifiers of zones in the engine.
#[derive(Clone, Debug)]
pub(crate) struct ZoneIds {
    /// Zones that the settings name, sorted.
    names: Vec<String>,
}

impl ZoneIds {
    pub(crate) fn new(settings: &ProcessSettings) -> ZoneIds {
        ZoneIds { names: settings.zones.keys().cloned().collect() }
    }

    /// Returns the identifier of a zone. All unknown zones have the same one.
    pub(crate) fn id(&self, name: &str) -> ZoneId {
        let index = self.names.iter().position(|zone| zone == name);
        ZoneId(index.map_or(u32::MAX, |index| index as u32))
    }
}

//! Limits on the sizes of callers' requests.

use fernknot::interface::Nanos;
use fernknot_router_config::{ConfigError, Limits, SocketSettings};

/// Limits on the requests that a server accepts.
#[derive(Clone, Debug)]
pub struct HttpServerSettings {
    pub(crate) limits: Limits,
}

impl HttpServerSettings {
    /// Creates the settings of a process with `max_connections` connections and `memory_mb` megabytes of memory, which
    /// accepts request bodies of up to `max_body_bytes`.
    ///
    /// Returns an error if a server needs more connections or memory than these.
    pub fn new(
        max_connections: usize,
        memory_mb: f64,
        max_body_bytes: usize,
    ) -> Result<HttpServerSettings, ConfigError> {
        let mut limits = Limits::new(max_connections, memory_mb, &unused_socket_settings())?;
        limits.max_body_bytes = max_body_bytes;
        Ok(HttpServerSettings { limits })
    }

    /// Limits on the sizes of messages, which apply to the answers to a server's own calls too.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }
}

/// Socket settings from which the limits on times and counts are derived, all empty. A server uses only the limits on
/// sizes, which do not depend on these settings.
fn unused_socket_settings() -> SocketSettings {
    SocketSettings {
        use_cases: Vec::new(),
        shards: 0,
        max_calls_per_connection: 0,
        max_parts_per_call: 0,
        node_idle_timeout: Nanos(0),
        connect_timeout: Nanos(0),
        drain_grace: Nanos(0),
        longest_deadline: Nanos(0),
        phases: Vec::new(),
        position: 0,
        zones: Vec::new(),
    }
}

//! What bounds the requests of callers.

use fernknot::interface::Nanos;
use fernknot_router_config::{Limits, SocketFacts};

/// Bounds of the requests that a server accepts.
#[derive(Clone, Debug)]
pub struct HttpServerSettings {
    pub(crate) limits: Limits,
}

impl HttpServerSettings {
    /// Settings of a process with so many connections and `memory_mb` megabytes of memory, which accepts bodies of
    /// `max_body_bytes`.
    ///
    /// # Errors
    /// There are fewer connections, or less memory, than a server needs.
    pub fn new(
        max_connections: usize,
        memory_mb: f64,
        max_body_bytes: usize,
    ) -> Result<HttpServerSettings, String> {
        let mut limits = Limits::new(max_connections, memory_mb, &unused_socket_facts())?;
        limits.body = max_body_bytes;
        Ok(HttpServerSettings { limits })
    }
}

/// The facts that times and counts of the limits are made of. Readers of requests use only the sizes, which don't
/// depend on them.
fn unused_socket_facts() -> SocketFacts {
    SocketFacts {
        use_cases: Vec::new(),
        shards: 0,
        streams: 0,
        batch: 0,
        idle: Nanos(0),
        connect_within: Nanos(0),
        drain_grace: Nanos(0),
        longest_wait: Nanos(0),
        phases: Vec::new(),
        position: 0,
        zones: Vec::new(),
    }
}

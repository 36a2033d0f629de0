//! Counters and current values of a gateway, and their text for operators: one per line, name and value.

use crate::clients::Rejection;

/// Counters of clients' requests since the start of the process.
#[derive(Default)]
pub(crate) struct ClientCounters {
    /// Requests received at the address for clients.
    pub(crate) requests: u64,
    unrouted: u64,
    without_config: u64,
    without_api_key: u64,
    unknown_api_key: u64,
    malformed: u64,
    overloaded: u64,
}

impl ClientCounters {
    pub(crate) fn count(&mut self, rejection: Rejection) {
        let counter = match rejection {
            Rejection::NoConfig => &mut self.without_config,
            Rejection::NoRoute => &mut self.unrouted,
            Rejection::MissingApiKey => &mut self.without_api_key,
            Rejection::UnknownApiKey => &mut self.unknown_api_key,
            Rejection::InvalidAttemptId | Rejection::Malformed(_) => &mut self.malformed,
            Rejection::TooManyPartialBodies => &mut self.overloaded,
            Rejection::ReceiveTimeout => return,
        };
        *counter += 1;
    }
}

/// Counters of connections to nodes and of nodes' responses since the start of the process.
#[derive(Default)]
pub(crate) struct NodeCounters {
    /// Connections that were started.
    pub(crate) connections_opened: u64,
    /// Responses to another attempt than the one that their connection carried.
    pub(crate) mismatched_responses: u64,
    /// Malformed or truncated responses, and bytes received on idle connections.
    pub(crate) invalid_responses: u64,
    /// Responses of another incarnation than the addressed one.
    pub(crate) wrong_node_responses: u64,
}

/// Values that describe a gateway's current state.
pub(crate) struct CurrentValues {
    pub(crate) requests_in_flight: usize,
    pub(crate) node_connections: usize,
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    /// Number that the operator gave to the configuration in force (`epoch`); 0 before the first configuration.
    pub(crate) config_epoch: u64,
    /// Whether the last heartbeat with a lease from a source of the configuration is older than `drain_cutoff_ms`, or
    /// there was none.
    pub(crate) is_config_stale: bool,
}

/// Returns all counters and current values except the engine's counters.
pub(crate) fn counters_text(
    clients: &ClientCounters,
    nodes: &NodeCounters,
    current_values: &CurrentValues,
) -> String {
    let lines = [
        ("requests", clients.requests),
        ("unrouted", clients.unrouted),
        ("without_config", clients.without_config),
        ("without_api_key", clients.without_api_key),
        ("unknown_api_key", clients.unknown_api_key),
        ("malformed", clients.malformed),
        ("overloaded", clients.overloaded),
        ("mismatched_responses", nodes.mismatched_responses),
        ("invalid_responses", nodes.invalid_responses),
        ("node_connections_opened", nodes.connections_opened),
        ("wrong_node_responses", nodes.wrong_node_responses),
        ("requests_in_flight", current_values.requests_in_flight as u64),
        ("node_connections", current_values.node_connections as u64),
        ("nodes", current_values.nodes as u64),
        ("services", current_values.services as u64),
        ("config_epoch", current_values.config_epoch),
        ("config_stale", u64::from(current_values.is_config_stale)),
    ];
    lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
}

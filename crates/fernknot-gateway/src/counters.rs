//! What a gateway counts, and its text for operators: one counter a line, name and value.

use crate::clients::Rejection;

/// Requests of clients, since the start of the process.
#[derive(Default)]
pub(crate) struct ClientCounters {
    /// Requests that were read at the address for clients.
    pub(crate) requests: u64,
    unrouted: u64,
    without_config: u64,
    malformed: u64,
    overloaded: u64,
}

impl ClientCounters {
    pub(crate) fn count(&mut self, rejection: Rejection) {
        let counter = match rejection {
            Rejection::NoConfig => &mut self.without_config,
            Rejection::NoRoute => &mut self.unrouted,
            Rejection::InvalidAttemptId | Rejection::Malformed(_) => &mut self.malformed,
            Rejection::TooManyPartialBodies => &mut self.overloaded,
            Rejection::ReceiveTimeout => return,
        };
        *counter += 1;
    }
}

/// Connections to nodes and their responses, since the start of the process.
#[derive(Default)]
pub(crate) struct NodeCounters {
    /// Connections that were begun.
    pub(crate) connections_opened: u64,
    /// Responses to another attempt than the one that their connection carried.
    pub(crate) mismatched_responses: u64,
    /// Bytes that were no response, or belonged to no attempt.
    pub(crate) invalid_responses: u64,
    /// Responses of another incarnation than the one that was meant.
    pub(crate) wrong_node_responses: u64,
}

/// What a gateway holds at the moment.
pub(crate) struct Levels {
    pub(crate) requests_in_flight: usize,
    pub(crate) node_connections: usize,
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    /// The operator's number of the configuration in force; 0 for none.
    pub(crate) config_epoch: u64,
    /// No source in touch with the controllers was heard for long.
    pub(crate) is_config_stale: bool,
}

/// All counters and levels but the engine's.
pub(crate) fn counters_text(clients: &ClientCounters, nodes: &NodeCounters, levels: &Levels) -> String {
    let lines = [
        ("requests", clients.requests),
        ("unrouted", clients.unrouted),
        ("without_config", clients.without_config),
        ("malformed", clients.malformed),
        ("overloaded", clients.overloaded),
        ("mismatched_responses", nodes.mismatched_responses),
        ("invalid_responses", nodes.invalid_responses),
        ("node_connections_opened", nodes.connections_opened),
        ("wrong_node_responses", nodes.wrong_node_responses),
        ("requests_in_flight", levels.requests_in_flight as u64),
        ("node_connections", levels.node_connections as u64),
        ("nodes", levels.nodes as u64),
        ("services", levels.services as u64),
        ("config_epoch", levels.config_epoch),
        ("config_stale", u64::from(levels.is_config_stale)),
    ];
    lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
}

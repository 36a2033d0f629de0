//! Counters and current values of a gateway, and their text for operators: one per line, name and value.

use crate::clients::Rejection;
use crate::turns::TurnCounters;
use fernknot::interface::Nanos;
use fernknot_net::EventLoopCounters;
use fernknot_net::process::ProcessorTimes;
use std::collections::BTreeMap;

/// Age of a node's announcement to leave up to which attempts to it count as recent.
const RECENT_LEAVE: Nanos = Nanos(1_000_000_000);

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// State of a gateway when it rejects a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServingState {
    /// Whether the gateway reports that it is ready.
    pub(crate) is_ready: bool,
    /// Whether a source has confirmed the configuration within `apply_ms`.
    pub(crate) is_config_confirmed: bool,
}

impl ServingState {
    /// Returns the state as a part of a counter's name.
    fn name(self) -> &'static str {
        match (self.is_ready, self.is_config_confirmed) {
            (true, true) => "ready_confirmed",
            (true, false) => "ready_unconfirmed",
            (false, true) => "unready_confirmed",
            (false, false) => "unready_unconfirmed",
        }
    }
}

/// Counters of clients' requests since the start of the process.
#[derive(Default)]
pub(crate) struct ClientCounters {
    /// Requests received at the address for clients.
    pub(crate) requests: u64,
    unrouted: u64,
    without_config: u64,
    unconfirmed_config: u64,
    without_api_key: u64,
    unknown_api_key: u64,
    malformed: u64,
    overloaded: u64,
    /// Rejected requests by status and by the gateway's state.
    rejected: BTreeMap<(u16, ServingState), u64>,
}

impl ClientCounters {
    pub(crate) fn count(&mut self, rejection: Rejection, state: ServingState) {
        *self.rejected.entry((rejection.status(), state)).or_default() += 1;
        let counter = match rejection {
            Rejection::NoConfig => &mut self.without_config,
            Rejection::UnconfirmedConfig | Rejection::UnconfirmedLimit => &mut self.unconfirmed_config,
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

/// Attempts to nodes that had announced to drain, or to end, by the time since the gateway learnt of it.
#[derive(Default)]
pub(crate) struct LeavingNodeCounters {
    recent: u64,
    before_cutoff: u64,
    after_cutoff: u64,
}

impl LeavingNodeCounters {
    /// Counts an attempt. `cutoff` is `drain_cutoff_ms`.
    pub(crate) fn count(&mut self, time_since_leave: Nanos, cutoff: Nanos) {
        let counter = match time_since_leave {
            time if time <= RECENT_LEAVE.min(cutoff) => &mut self.recent,
            time if time <= cutoff => &mut self.before_cutoff,
            _ => &mut self.after_cutoff,
        };
        *counter += 1;
    }
}

/// Counters of connections to nodes and of nodes' responses since the start of the process.
#[derive(Default)]
pub(crate) struct NodeCounters {
    /// Connections that were started.
    pub(crate) connections_opened: u64,
    /// Attempts that were sent over a connection that was already open.
    pub(crate) connections_reused: u64,
    /// Responses to another attempt than the one that their connection carried.
    pub(crate) mismatched_responses: u64,
    /// Malformed or truncated responses, and bytes received on idle connections.
    pub(crate) invalid_responses: u64,
    /// Responses of another incarnation than the addressed one.
    pub(crate) wrong_node_responses: u64,
    /// Attempts to nodes that were known to leave.
    pub(crate) to_leaving_nodes: LeavingNodeCounters,
}

/// Values that describe a gateway's current state.
pub(crate) struct CurrentValues {
    pub(crate) requests_in_flight: usize,
    pub(crate) node_connections: usize,
    pub(crate) nodes: usize,
    pub(crate) services: usize,
    /// Number that the operator gave to the configuration in force (`epoch`); 0 before the first configuration.
    pub(crate) config_epoch: u64,
    /// Sequence number of the configuration in force among all that ever were; 0 before the first configuration.
    pub(crate) config_revision: u64,
    /// Newest sequence number of a configuration that any source has announced.
    pub(crate) announced_revision: u64,
    /// Number of update streams that were started.
    pub(crate) update_streams_started: u64,
    /// Whether the last heartbeat with a lease from a source of the configuration is older than `drain_cutoff_ms`, or
    /// there was none.
    pub(crate) is_config_stale: bool,
    /// Topics (the configuration, and the nodes of each service) without a current source that has sent a heartbeat
    /// with a lease.
    pub(crate) topics_without_lease: usize,
    /// Time since the last heartbeat with a lease for the topic whose last one is the oldest.
    pub(crate) oldest_topic_lease: Nanos,
    pub(crate) turns: TurnCounters,
    pub(crate) event_loop: EventLoopCounters,
    pub(crate) processor_times: ProcessorTimes,
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
        ("unconfirmed_config", clients.unconfirmed_config),
        ("without_api_key", clients.without_api_key),
        ("unknown_api_key", clients.unknown_api_key),
        ("malformed", clients.malformed),
        ("overloaded", clients.overloaded),
        ("mismatched_responses", nodes.mismatched_responses),
        ("invalid_responses", nodes.invalid_responses),
        ("node_connections_opened", nodes.connections_opened),
        ("node_connections_reused", nodes.connections_reused),
        ("wrong_node_responses", nodes.wrong_node_responses),
        ("attempts_to_leaving_nodes_recent", nodes.to_leaving_nodes.recent),
        ("attempts_to_leaving_nodes_before_cutoff", nodes.to_leaving_nodes.before_cutoff),
        ("attempts_to_leaving_nodes_after_cutoff", nodes.to_leaving_nodes.after_cutoff),
        ("requests_in_flight", current_values.requests_in_flight as u64),
        ("node_connections", current_values.node_connections as u64),
        ("nodes", current_values.nodes as u64),
        ("services", current_values.services as u64),
        ("config_epoch", current_values.config_epoch),
        ("config_revision", current_values.config_revision),
        ("announced_revision", current_values.announced_revision),
        ("update_streams_started", current_values.update_streams_started),
        ("config_stale", u64::from(current_values.is_config_stale)),
        ("topics_without_lease", current_values.topics_without_lease as u64),
        ("oldest_topic_lease_ms", current_values.oldest_topic_lease.as_millis() as u64),
        ("loop_turns", current_values.turns.turns),
        ("loop_turn_delay_total_ms", current_values.turns.total_delay.as_millis() as u64),
        ("loop_turn_delay_max_ms", current_values.turns.max_delay.as_millis() as u64),
        ("system_calls", current_values.event_loop.system_calls()),
        ("processor_running_us", current_values.processor_times.running.0 / NANOS_PER_MICRO),
        ("processor_waiting_us", current_values.processor_times.waiting.0 / NANOS_PER_MICRO),
    ];
    let rejected = clients
        .rejected
        .iter()
        .map(|((status, state), count)| format!("rejected_{status}_{} {count}\n", state.name()));
    lines.iter().map(|(name, value)| format!("{name} {value}\n")).chain(rejected).collect()
}

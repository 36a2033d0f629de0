//! Processing of requests: from clients, routed by the configuration in force, to nodes and back. The engine
//! (`fernknot-engine`) decides to which nodes a request is sent and when it is complete.

use crate::attempts::Attempts;
use crate::budget::BudgetShare;
use crate::clients::{ClientConnections, ClientRead, Rejection};
use crate::config_snapshot::ConfigSnapshot;
use crate::counters::{ClientCounters, ServingState};
use crate::engine_setup::initial_site;
use crate::error::GatewayError;
use crate::listeners::ListenAddress;
use crate::nodes::{AttemptKey, NodeChanges, NodeTable};
use crate::requests::PendingRequest;
use crate::routing::Routing;
use crate::seeded_bug::SeededBug;
use crate::settings::{GatewaySettings, ZoneIds, max_connections};
use crate::updates::LocalState;
use fernknot::interface::*;
use fernknot_engine::{Action, RequesterId, Verdict};
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::Request;
use fernknot_schema::{ProcessSettings, SystemConfig};
use fernknot_telemetry::component;
use std::rc::Rc;

/// Clients, their requests, and the nodes that the requests are sent to.
pub(crate) struct DataPlane {
    settings: GatewaySettings,
    /// Seed of the engine's random numbers.
    seed: u64,
    pub(crate) clients: ClientConnections,
    pub(crate) routing: Routing,
    pub(crate) attempts: Attempts,
    pub(crate) nodes: NodeTable,
    budget: BudgetShare,
    pub(crate) counters: ClientCounters,
    /// State in which rejected requests are counted.
    pub(crate) serving_state: ServingState,
    /// Whether a shutdown has begun: clients' connections are closed after their pending responses.
    pub(crate) is_stopping: bool,
}

impl DataPlane {
    /// Creates a data plane without connections, configuration and nodes.
    pub(crate) fn new(
        process: &ProcessSettings,
        settings: GatewaySettings,
        seed: u64,
    ) -> Result<DataPlane, GatewayError> {
        let routing = Routing::new(&settings, max_connections(process), process.limits.memory_mb, seed)?;
        let heartbeat_interval = Nanos::from_millis(process.heartbeat_interval_ms);
        let drain_cutoff = settings.drain_cutoff;
        Ok(DataPlane {
            settings,
            seed,
            clients: ClientConnections::default(),
            routing,
            attempts: Attempts::new(drain_cutoff),
            nodes: NodeTable::new(heartbeat_interval, ZoneIds::new(process)),
            budget: BudgetShare::new(process.bounds.retry_slack),
            counters: ClientCounters::default(),
            serving_state: ServingState::default(),
            is_stopping: false,
        })
    }

    pub(crate) fn set_seeded_bug(&mut self, bug: SeededBug) {
        self.clients.set_seeded_bug(bug);
        self.attempts.set_seeded_bug(bug);
    }

    // ---- Clients ---------------------------------------------------------------------------

    /// Adds a connection that was accepted at the address for clients or for the platform.
    pub(crate) fn accept_client(&mut self, now: Nanos, id: ConnectionId, address: ListenAddress) {
        self.clients.accept(now, id, address, self.routing.client_timeouts().idle);
    }

    /// Reads and starts the requests of a client until one is pending or none is complete.
    pub(crate) fn serve_client<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        while let Some(request) = self.read_request(now, id, network) {
            self.start_request(now, id, request, network);
        }
    }

    /// Reads the next request. Malformed and oversized requests are rejected.
    pub(crate) fn read_request<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        network: &mut N,
    ) -> Option<Request> {
        let limits = self.routing.http_limits();
        // A single body of the configured maximum size is always accepted.
        let max_partial_body_bytes = self.settings.max_partial_body_bytes.max(limits.max_body_bytes);
        match self.clients.read(now, id, limits, max_partial_body_bytes, network)? {
            ClientRead::Request(request) => Some(request),
            ClientRead::Rejected(rejection) => {
                let rejection = self.routing.confirmed_limit(now, rejection);
                self.reject(now, id, rejection, network);
                None
            }
        }
    }

    fn start_request<N: Network>(&mut self, now: Nanos, id: ConnectionId, request: Request, network: &mut N) {
        self.counters.requests += 1;
        match self.routing.route(now, request) {
            Err(rejection) => self.reject(now, id, rejection, network),
            Ok(routed) => {
                if let Some(request) = self.attempts.start(now, id, routed) {
                    self.clients.set_pending(id, request);
                }
            }
        }
    }

    fn reject<N: Network>(&mut self, now: Nanos, id: ConnectionId, rejection: Rejection, network: &mut N) {
        self.counters.count(rejection, self.serving_state);
        if let Rejection::Malformed(error) = rejection {
            log::debug!(target: component::CONNECTIONS, "client request rejected: {} {}", error.status, error.reason);
        }
        self.clients.reject(now, id, rejection, self.is_stopping, network);
    }

    /// Writes the response to a request that the engine has completed, and serves the client's next requests.
    fn complete_request<N: Network>(
        &mut self,
        now: Nanos,
        id: RequesterId,
        verdict: Verdict,
        network: &mut N,
    ) {
        let Some(completed) = self.attempts.complete(now, id, verdict, network) else { return };
        let mut merged = Vec::new();
        let response = completed.response(now, &mut merged);
        let client = completed.request.client;
        let idle_ms = completed.request.config.config.limits.idle_ms;
        if self.clients.write_response(now, client, &response, idle_ms, self.is_stopping, network) {
            self.serve_client(now, client, network);
        }
    }

    /// Answers all pending requests as far as they have got, because the process exits: with the parts that have arrived if
    /// they reach the quorum, and otherwise with a failure. A connection that only ends would leave the client without any.
    pub(crate) fn answer_pending<N: Network>(&mut self, now: Nanos, network: &mut N) {
        for id in self.attempts.requests().ids() {
            let has_answer = self.attempts.requests().get(id).is_some_and(PendingRequest::has_answer);
            let verdict = if has_answer { answer_of_parts() } else { Verdict::Failed };
            self.complete_request(now, id, verdict, network);
        }
    }

    /// Handles the end or failure of a client's connection: cancels its pending request.
    pub(crate) fn client_closed<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        network.close(id);
        if let Some(request) = self.clients.remove(id) {
            self.attempts.cancel(now, request);
        }
    }

    // ---- Connections to nodes --------------------------------------------------------------

    /// Reads a connection to a node.
    pub(crate) fn read_node<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        read_closed: bool,
        network: &mut N,
    ) {
        let wrong_node = self.attempts.read(now, id, read_closed, self.routing.http_limits(), network);
        self.handle_wrong_node(now, wrong_node, network);
    }

    /// Handles the end of a connection to a node: reads a response that was complete before, or else ends the attempt.
    pub(crate) fn node_connection_closed<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        was_open: bool,
        network: &mut N,
    ) {
        let wrong_node = self.attempts.read_remaining(now, id, self.routing.http_limits(), network);
        self.handle_wrong_node(now, wrong_node, network);
        self.attempts.connection_closed(now, id, was_open, network);
    }

    /// Marks a node as lost if another incarnation has answered at its address.
    fn handle_wrong_node<N: Network>(&mut self, now: Nanos, node: Option<NodeId>, network: &mut N) {
        let Some(incarnation) = node.and_then(|node| self.attempts.incarnation(node)) else { return };
        if self.nodes.mark_lost(now, &incarnation) {
            self.apply_recent_node_changes(now, network);
        }
    }

    // ---- Engine ----------------------------------------------------------------------------

    /// Executes the engine's actions until none is due.
    pub(crate) fn run_engine<N: Network>(&mut self, now: Nanos, network: &mut N) {
        while self.attempts.decisions().is_due(now) {
            while let Some(action) = self.attempts.decisions_mut().poll_action(now) {
                self.execute_action(now, action, network);
            }
        }
    }

    fn execute_action<N: Network>(&mut self, now: Nanos, action: Action, network: &mut N) {
        match action {
            Action::Send { part, number, node } => {
                self.attempts.send(now, AttemptKey { part, number }, node, network);
            }
            Action::Cancel { part, number, outcome } => {
                self.attempts.abandon(now, AttemptKey { part, number }, outcome, network);
            }
            Action::Answer { requester, verdict, .. } => {
                self.complete_request(now, requester, verdict, network)
            }
            Action::RenewConnections { node } => self.attempts.renew_connections(now, node, network),
            Action::SubscribeToNodeList | Action::NotifyPeers { .. } => {}
        }
    }

    // ---- Configuration, nodes and budget ---------------------------------------------------

    /// Puts a configuration in force; returns `None` if one of the same or a later revision already is.
    pub(crate) fn apply_config(
        &mut self,
        now: Nanos,
        revision: u64,
        config: SystemConfig,
    ) -> Option<Rc<ConfigSnapshot>> {
        let (snapshot, change) = self.routing.apply(now, revision, config)?;
        let (epoch, routes) = (snapshot.config.epoch, snapshot.config.routes.len());
        log::info!(target: component::ROUTING_CONFIG, "routing configuration applied: epoch {epoch}, {routes} routes");
        let decisions = self.attempts.decisions_mut();
        if decisions.has_engine() {
            decisions.apply_use_cases(now, &change);
        } else {
            let use_cases = change.use_cases.into_iter().map(|(_, use_case)| use_case).collect();
            decisions.start_engine(now, initial_site(&self.settings, &self.budget, use_cases), self.seed);
        }
        Some(snapshot)
    }

    /// Passes the changes of all nodes to the engine.
    pub(crate) fn apply_all_node_changes<N: Network>(&mut self, now: Nanos, network: &mut N) {
        let changes = self.nodes.all_changes(self.routing.ids());
        self.apply_node_changes(now, changes, network);
    }

    /// Passes the changes of services that have changed since the last call to the engine.
    pub(crate) fn apply_recent_node_changes<N: Network>(&mut self, now: Nanos, network: &mut N) {
        if !self.attempts.decisions().has_engine() {
            return self.nodes.skip_recent_changes();
        }
        let changes = self.nodes.recent_changes(self.routing.ids());
        self.apply_node_changes(now, changes, network);
    }

    fn apply_node_changes<N: Network>(&mut self, now: Nanos, changes: NodeChanges, network: &mut N) {
        let known_nodes = self.nodes.engine_node_count();
        self.attempts.apply_node_changes(now, changes, known_nodes, network);
    }

    /// Returns the state that sources and subscribers of updates receive.
    pub(crate) fn local_state(&self, is_ready: bool) -> LocalState<'_> {
        let config = self.routing.config().map(Rc::as_ref);
        LocalState { nodes: self.nodes.directory(), config, is_ready }
    }

    /// Sets the number of gateways that share the retry budget; `None` while this one may use no share.
    pub(crate) fn set_budget_sharers(&mut self, now: Nanos, sharers: Option<u32>) {
        if self.budget.set_sharers(sharers) {
            self.attempts.decisions_mut().set_budget(now, self.budget.free_retries(), sharers);
        }
    }

    // ---- Sweeps ----------------------------------------------------------------------------

    /// Closes connections that have timed out.
    pub(crate) fn sweep_connections<N: Network>(&mut self, now: Nanos, network: &mut N) {
        self.attempts.close_expired(now, now - self.settings.connect_timeout, network);
        for id in self.clients.timed_out(now, self.routing.client_timeouts()) {
            if self.clients.is_receiving(id) {
                self.reject(now, id, Rejection::ReceiveTimeout, network);
            } else {
                self.clients.close(id, network);
            }
        }
    }

    /// Removes nodes that are no longer reported, and releases unused identifiers.
    pub(crate) fn sweep_nodes<N: Network>(&mut self, now: Nanos, network: &mut N) {
        self.nodes.expire(now);
        self.apply_recent_node_changes(now, network);
        let (in_flight, listed) = (self.attempts.requests().iter(), self.nodes.directory().services());
        self.routing.release_unused_ids(now, in_flight, listed);
    }
}

/// Returns the verdict for a request that is answered with the parts that have arrived.
fn answer_of_parts() -> Verdict {
    Verdict::Completed { is_complete: false, values: Vec::new(), answered_by: Vec::new(), blocks: None }
}

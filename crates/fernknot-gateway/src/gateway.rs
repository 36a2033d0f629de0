//! One gateway without sockets, clock or signals: events become inputs of its parts, and what these decide is carried
//! out over the network that it is lent.

use crate::attempts::Attempts;
use crate::budget::BudgetShare;
use crate::clients::{ClientConnections, ClientRead, LocalReply, Rejection};
use crate::counters::{ClientCounters, Levels, counters_text};
use crate::discovery::Discovery;
use crate::engine_setup::site_facts;
use crate::error::GatewayError;
use crate::listeners::{ListenAddress, ListenerIds};
use crate::nodes::{Attempt, NodeChanges, NodeTable};
use crate::routing::Routing;
use crate::seeded_bug::SeededBug;
use crate::settings::{GatewaySettings, ZoneIds, controller_seeds, inner_addr, max_connections};
use crate::shutdown::{Shutdown, ShutdownPhase};
use crate::stall::StallDetector;
use crate::updates::{LocalState, Update, UpdateRelay};
use fernknot::interface::*;
use fernknot_engine::{AskerId, Order, Verdict};
use fernknot_net::{ConnectionId, Event, Network};
use fernknot_ownership::{GatewayRecord, IncarnationId, OwnedKeysSettings, confirmation_timeout};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_protocol::http::Request;
use fernknot_registry::NodeRecord;
use fernknot_rpc::InspectionTopic;
use fernknot_schema::{ProcessSettings, RoutingConfig};
use fernknot_telemetry::part;
use std::net::SocketAddrV4;

/// The time between two sweeps for what has timed out.
const SWEEP_INTERVAL: Nanos = Nanos(500_000_000);

/// One gateway, which has no socket, clock, signal or file.
///
/// A host passes it what happened to its connections with [`step`](Gateway::step) and lends it its [`Network`], over
/// which it sends. It wants another step after each event, and without one at [`next_wakeup`](Gateway::next_wakeup).
/// Times are nanoseconds since any one moment before the first step, and never decrease.
///
/// [`stop`](Gateway::stop) begins a graceful shutdown, and [`poll_shutdown`](Gateway::poll_shutdown) says after each
/// step whether it is complete. Where [`take_settings_reload_request`](Gateway::take_settings_reload_request) says so,
/// the host reads its settings again and passes the seeds to [`set_seeds`](Gateway::set_seeds).
pub struct Gateway {
    settings: GatewaySettings,
    /// Identifies this incarnation, and seeds its random numbers.
    seed: u64,
    listeners: ListenerIds,
    clients: ClientConnections,
    routing: Routing,
    attempts: Attempts,
    nodes: NodeTable,
    update_relay: UpdateRelay,
    /// A source of updates has sent a complete snapshot.
    is_synchronized: bool,
    discovery: Discovery,
    budget: BudgetShare,
    shutdown: Shutdown,
    stall_detector: StallDetector,
    next_sweep_at: Nanos,
    counters: ClientCounters,
}

impl Gateway {
    /// A gateway that listens at these sockets. `seed` is the identifier of its incarnation and the seed of its random
    /// numbers: no two incarnations of a system may have the same.
    ///
    /// # Errors
    /// There is less memory, or there are fewer connections, than a gateway needs.
    pub fn new(process: ProcessSettings, listeners: ListenerIds, seed: u64) -> Result<Gateway, GatewayError> {
        let settings = GatewaySettings::new(&process);
        let (addr, seeds) = (inner_addr(&process), controller_seeds(&process));
        let heartbeat_interval = Nanos::from_millis(process.heartbeat_interval_ms);
        let descriptor = PeerDescriptor {
            addr,
            role: Role::Gateway,
            zone: process.zone.clone(),
            incarnation: seed,
            age_ms: 0,
        };
        let record = GatewayRecord { incarnation: IncarnationId(seed), addr, zone: process.zone.clone() };
        let ownership = OwnedKeysSettings {
            max_keys: 0,
            handover_timeout: settings.apply,
            confirmation_timeout: confirmation_timeout(settings.contact, heartbeat_interval),
            budget_window: settings.retry_window,
        };
        let memory_mb = process.limits.memory_mb;
        Ok(Gateway {
            seed,
            listeners,
            clients: ClientConnections::default(),
            routing: Routing::new(&settings, max_connections(&process), memory_mb, seed)?,
            attempts: Attempts::new(),
            nodes: NodeTable::new(heartbeat_interval, ZoneIds::new(&process)),
            update_relay: UpdateRelay::new(record, &seeds, ownership, seed),
            is_synchronized: false,
            discovery: Discovery::new(descriptor, &seeds, &settings, seed),
            budget: BudgetShare::new(process.bounds.retry_slack),
            shutdown: Shutdown::new(Nanos::from_millis(process.bounds.grace_s * 1e3)),
            stall_detector: StallDetector::new(settings.apply),
            next_sweep_at: Nanos(0),
            counters: ClientCounters::default(),
            settings,
        })
    }

    /// The same gateway with a bug, for the tests of checkers.
    #[doc(hidden)]
    pub fn with_seeded_bug(mut self, bug: SeededBug) -> Gateway {
        self.clients.set_seeded_bug(bug);
        self.attempts.set_seeded_bug(bug);
        self
    }

    /// Handles what happened up to now, does what is due, and sends what there is to send.
    pub fn step<N: Network>(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>, network: &mut N) {
        if let Some(gap) = self.stall_detector.step(now) {
            log::warn!(target: part::PROCESS, "the event loop stalled for {:.0} ms", gap.as_millis());
            self.update_relay.resume_after_stall(now);
        }
        for event in events {
            self.handle_event(now, event, network);
        }
        self.poll_update_relay(now, network);
        self.run_engine(now, network);
        if now >= self.next_sweep_at {
            self.sweep(now, network);
        }
    }

    /// When the gateway wants a step without an event.
    pub fn next_wakeup(&self) -> Nanos {
        let engine = self.attempts.decisions().next_wakeup().unwrap_or(Nanos(u64::MAX));
        engine.min(self.update_relay.next_wakeup()).min(self.next_sweep_at)
    }

    /// The settings name these controllers now, by their inner addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.update_relay.add_controllers(seeds);
        self.discovery.set_seeds(seeds);
    }

    /// Whether no known source sends updates, so that the host is to read the settings again, which may name others.
    /// Each request is returned once.
    pub fn take_settings_reload_request(&mut self) -> bool {
        self.discovery.take_settings_reload_request()
    }

    // ---- Shutdown --------------------------------------------------------------------------

    /// Begins a graceful shutdown: the gateway is no longer ready, and completes what is in flight.
    pub fn stop<N: Network>(&mut self, now: Nanos, network: &mut N) {
        if self.shutdown.request(now) {
            let in_flight = self.attempts.requests().len();
            log::info!(target: part::PROCESS, "stop requested, {in_flight} requests in flight");
            self.update_relay.announce_shutdown(network);
        }
    }

    /// Goes on with a shutdown. Returns whether it is complete: all requests are answered, or the grace is nearly over.
    /// Pending output has still to be written then.
    pub fn poll_shutdown<N: Network>(&mut self, now: Nanos, network: &mut N) -> bool {
        match self.shutdown.phase(now) {
            ShutdownPhase::Running | ShutdownPhase::Unready => false,
            ShutdownPhase::Expired => true,
            ShutdownPhase::Draining => {
                network.stop_listening(self.listeners.front);
                self.clients.close_idle(network);
                self.attempts.requests().is_empty() && self.clients.are_all_readiness()
            }
        }
    }

    fn is_ready(&self) -> bool {
        !self.shutdown.is_requested() && self.routing.config().is_some() && self.is_synchronized
    }

    // ---- Events ----------------------------------------------------------------------------

    fn handle_event<N: Network>(&mut self, now: Nanos, event: Event, network: &mut N) {
        match event {
            Event::Accepted { connection, listener, .. } => self.accept(now, connection, listener),
            Event::Connected { .. } | Event::Woken => {}
            Event::Received { connection } => self.read(now, connection, false, network),
            Event::ReadClosed { connection } => self.handle_read_closed(now, connection, network),
            Event::Closed { connection, was_open, error } => {
                if self.attempts.connections().contains(connection) {
                    log::debug!(target: part::CONNECTIONS, "{error}");
                    self.handle_node_closed(now, connection, was_open, network);
                } else if self.update_relay.owns_connection(connection) {
                    self.update_relay.connection_closed(now, connection);
                } else {
                    self.handle_client_closed(now, connection, network);
                }
            }
            Event::Datagram { from, bytes } => self.discovery.handle_datagram(now, from, &bytes, network),
        }
    }

    fn accept(&mut self, now: Nanos, connection: ConnectionId, listener: ConnectionId) {
        if listener == self.listeners.inner {
            return self.update_relay.accept(connection);
        }
        debug_assert!(listener == self.listeners.front || listener == self.listeners.ready);
        let is_front = listener == self.listeners.front;
        let address = if is_front { ListenAddress::Front } else { ListenAddress::Ready };
        self.clients.accept(now, connection, address, self.routing.client_timeouts().idle);
    }

    fn read<N: Network>(&mut self, now: Nanos, id: ConnectionId, read_closed: bool, network: &mut N) {
        if self.attempts.connections().contains(id) {
            let limits = self.routing.http_limits();
            let wrong_node = self.attempts.read(now, id, read_closed, limits, network);
            self.handle_wrong_node(now, wrong_node, network);
        } else if self.update_relay.owns_connection(id) {
            self.read_updates(now, id, network);
        } else {
            self.read_client(now, id, network);
        }
    }

    fn handle_read_closed<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        if self.clients.contains(id) {
            return self.handle_client_closed(now, id, network);
        }
        self.read(now, id, true, network);
        if self.update_relay.owns_connection(id) {
            network.close(id);
            self.update_relay.connection_closed(now, id);
        }
    }

    fn handle_node_closed<N: Network>(
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

    fn handle_client_closed<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        network.close(id);
        if let Some(request) = self.clients.remove(id) {
            self.attempts.cancel(now, request);
        }
    }

    // ---- Clients ---------------------------------------------------------------------------

    /// Reads and handles the requests of a client until one is pending or none is complete.
    fn read_client<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        loop {
            let limits = self.routing.http_limits();
            // One body that the configuration allows is always accepted.
            let max_partial_body_bytes = self.settings.max_partial_body_bytes.max(limits.body);
            match self.clients.read(now, id, limits, max_partial_body_bytes, network) {
                None => return,
                Some(ClientRead::Rejected(rejection)) => return self.reject(now, id, rejection, network),
                Some(ClientRead::Request(ListenAddress::Ready, request)) => {
                    self.serve_admin(now, id, &request, network);
                }
                Some(ClientRead::Request(ListenAddress::Front, request)) => {
                    self.start_request(now, id, request, network);
                }
            }
        }
    }

    fn start_request<N: Network>(&mut self, now: Nanos, id: ConnectionId, request: Request, network: &mut N) {
        self.counters.requests += 1;
        match self.routing.route(request) {
            Err(rejection) => self.reject(now, id, rejection, network),
            Ok(routed) => {
                if let Some(request) = self.attempts.start(now, id, routed) {
                    self.clients.set_pending(id, request);
                }
            }
        }
    }

    fn reject<N: Network>(&mut self, now: Nanos, id: ConnectionId, rejection: Rejection, network: &mut N) {
        self.counters.count(rejection);
        if let Rejection::Malformed(error) = rejection {
            log::debug!(target: part::CONNECTIONS, "request rejected: {} {}", error.status, error.why);
        }
        self.clients.reject(now, id, rejection, self.shutdown.is_requested(), network);
    }

    /// Answers the platform, and readers of counters.
    fn serve_admin<N: Network>(&mut self, now: Nanos, id: ConnectionId, request: &Request, network: &mut N) {
        let counters;
        let reply = match (request.method.as_str(), request.path()) {
            ("GET", "/-/readiness") if self.is_ready() => LocalReply::new(200, b"ready\n"),
            ("GET", "/-/readiness") => LocalReply::new(503, b"not ready\n"),
            ("GET", "/-/counters") => {
                counters = self.counters_text(now);
                LocalReply::new(200, counters.as_bytes())
            }
            _ => LocalReply::new(404, b"unknown\n"),
        };
        self.clients.write_reply(now, id, &reply, self.shutdown.is_requested(), network);
    }

    /// Writes the response to a request on which the engine has decided, and reads the client's next one.
    fn complete_request<N: Network>(&mut self, now: Nanos, id: AskerId, verdict: Verdict, network: &mut N) {
        let Some(completed) = self.attempts.complete(now, id, verdict, network) else { return };
        let mut merged = Vec::new();
        let response = completed.response(now, &mut merged);
        let client = completed.request.client;
        let idle_ms = completed.request.config.config.limits.idle_ms;
        let is_stopping = self.shutdown.is_requested();
        if self.clients.write_response(now, client, &response, idle_ms, is_stopping, network) {
            self.read_client(now, client, network);
        }
    }

    // ---- Attempts and nodes ----------------------------------------------------------------

    /// Carries out the engine's actions until none is due.
    fn run_engine<N: Network>(&mut self, now: Nanos, network: &mut N) {
        while self.attempts.decisions().is_due(now) {
            while let Some(action) = self.attempts.decisions_mut().poll_action(now) {
                self.execute_action(now, action, network);
            }
        }
    }

    fn execute_action<N: Network>(&mut self, now: Nanos, action: Order, network: &mut N) {
        match action {
            Order::Send { part, no, node } => {
                self.attempts.send(now, Attempt { part, number: no }, node, network);
            }
            Order::Abandon { part, no, outcome } => {
                self.attempts.abandon(now, Attempt { part, number: no }, outcome, network);
            }
            Order::Answer { asker, verdict, .. } => self.complete_request(now, asker, verdict, network),
            Order::Renew { node } => self.attempts.renew_connections(now, node, network),
            Order::FollowList | Order::Tell { .. } => {}
        }
    }

    /// Another incarnation has answered at the address of a node, which is gone then.
    fn handle_wrong_node<N: Network>(&mut self, now: Nanos, node: Option<NodeId>, network: &mut N) {
        let Some(incarnation) = node.and_then(|node| self.attempts.incarnation(node)) else { return };
        if self.nodes.mark_lost(now, &incarnation) {
            self.apply_recent_node_changes(now, network);
        }
    }

    fn apply_recent_node_changes<N: Network>(&mut self, now: Nanos, network: &mut N) {
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

    // ---- Updates ---------------------------------------------------------------------------

    fn poll_update_relay<N: Network>(&mut self, now: Nanos, network: &mut N) {
        let state = LocalState {
            nodes: self.nodes.directory(),
            config: self.routing.config().map(|config| (config.revision, &config.config)),
            is_synchronized: self.is_synchronized,
            is_ready: self.is_ready(),
        };
        self.update_relay.poll(now, network, &state);
    }

    fn read_updates<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        let state = LocalState {
            nodes: self.nodes.directory(),
            config: self.routing.config().map(|config| (config.revision, &config.config)),
            is_synchronized: self.is_synchronized,
            is_ready: self.is_ready(),
        };
        let mut updates = Vec::new();
        let token = self.update_relay.fencing_token();
        self.update_relay.read(now, id, network, &state, &mut updates);
        if self.update_relay.fencing_token() > token {
            self.update_relay.forward_assignment(network);
        }
        for update in updates {
            self.apply_update(now, update, network);
        }
    }

    fn apply_update<N: Network>(&mut self, now: Nanos, update: Update, network: &mut N) {
        match update {
            Update::Config { revision, config } => self.apply_config(now, revision, config, network),
            Update::Nodes(records) => {
                let new = self.nodes.apply_updates(now, &records);
                self.update_relay.forward_nodes(network, &new);
                self.apply_recent_node_changes(now, network);
            }
            Update::SnapshotComplete { watermark, subscription } => {
                self.nodes.finish_snapshot(watermark, &subscription);
                if !std::mem::replace(&mut self.is_synchronized, true) {
                    self.update_relay.forward_snapshot_complete(network);
                }
            }
            Update::SourceHealthy => self.handle_source_heartbeat(now),
            Update::Inspect { connection, topic } => {
                let report = self.inspect(now, topic);
                self.update_relay.send_report(network, connection, report);
            }
        }
    }

    fn handle_source_heartbeat(&mut self, now: Nanos) {
        self.nodes.record_source_heartbeat(now);
        let sharers = self.update_relay.budget_sharers(now);
        if self.budget.set_sharers(sharers) {
            self.attempts.decisions_mut().set_budget(now, self.budget.slack(), sharers);
        }
    }

    fn apply_config<N: Network>(
        &mut self,
        now: Nanos,
        revision: u64,
        config: RoutingConfig,
        network: &mut N,
    ) {
        let Some((snapshot, change)) = self.routing.apply(now, revision, config) else { return };
        let (epoch, routes) = (snapshot.config.epoch, snapshot.config.routes.len());
        log::info!(target: part::ROUTING_CONFIG, "epoch {epoch} with {routes} routes is in force");
        let decisions = self.attempts.decisions_mut();
        if decisions.has_engine() {
            decisions.apply_use_cases(now, &change);
        } else {
            let use_cases = change.use_cases.into_iter().map(|(_, facts)| facts).collect();
            decisions.start_engine(now, site_facts(&self.settings, &self.budget, use_cases), self.seed);
        }
        self.update_relay.forward_config(network, revision, &snapshot.config);
        self.update_relay.set_services(&snapshot.config);
        let changes = self.nodes.all_changes(self.routing.ids());
        self.apply_node_changes(now, changes, network);
    }

    // ---- Sweeps ----------------------------------------------------------------------------

    /// Closes and forgets what has timed out.
    fn sweep<N: Network>(&mut self, now: Nanos, network: &mut N) {
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.attempts.close_expired(now, now - self.settings.connect_timeout, network);
        self.sweep_clients(now, network);
        self.discovery.send_due(now, network);
        // Controllers that no seed and no heartbeat names any more are found through other processes.
        if self.update_relay.config_age(now).is_none_or(|age| age > self.settings.apply) {
            self.update_relay.add_controllers(&self.discovery.find_controllers(now));
        }
        self.nodes.expire(now);
        self.apply_recent_node_changes(now, network);
        let (in_flight, listed) = (self.attempts.requests().iter(), self.nodes.directory().services());
        self.routing.release_unused_ids(now, in_flight, listed);
    }

    fn sweep_clients<N: Network>(&mut self, now: Nanos, network: &mut N) {
        for id in self.clients.timed_out(now, self.routing.client_timeouts()) {
            if self.clients.is_receiving(id) {
                self.reject(now, id, Rejection::ReceiveTimeout, network);
            } else {
                self.clients.close(id, network);
            }
        }
    }

    // ---- Inspection ------------------------------------------------------------------------

    /// What this gateway knows, for a person to read.
    fn inspect(&self, now: Nanos, topic: InspectionTopic) -> String {
        match topic {
            InspectionTopic::Counters => self.counters_text(now),
            InspectionTopic::Nodes => {
                let line = |record: &NodeRecord| {
                    let NodeRecord { id, service, addr, zone, state, .. } = record;
                    format!("{id} {service} {addr} {zone} {state:?}\n")
                };
                self.nodes.directory().records().map(line).collect()
            }
            other => self.update_relay.describe(other),
        }
    }

    fn counters_text(&self, now: Nanos) -> String {
        let config_age = self.update_relay.config_age(now);
        let levels = Levels {
            requests_in_flight: self.attempts.requests().len(),
            node_connections: self.attempts.connections().len(),
            nodes: self.nodes.engine_node_count(),
            services: self.routing.service_count(),
            config_epoch: self.routing.config().map_or(0, |snapshot| snapshot.config.epoch),
            is_config_stale: config_age.is_none_or(|age| age > self.settings.drain_cutoff),
        };
        let text = counters_text(&self.counters, self.attempts.counters(), &levels);
        text + &self.attempts.decisions().counters_text()
    }
}

//! One gateway without sockets, clock or signals: it passes events to its components, and sends their output over the
//! network that the host, the program that drives it, passes in.

use crate::clients::LocalReply;
use crate::counters::{CurrentValues, ServingState, counters_text};
use crate::data_plane::DataPlane;
use crate::discovery::Discovery;
use crate::error::GatewayError;
use crate::listeners::{ListenAddress, ListenerIds};
use crate::requests::StartedRequest;
use crate::seeded_bug::SeededBug;
use crate::settings::{GatewaySettings, controller_seeds, inner_addr};
use crate::shutdown::{Shutdown, ShutdownPhase};
use crate::stall::StallDetector;
use crate::turns::TurnCounters;
use crate::updates::{Update, UpdateRelay};
use fernknot::interface::Nanos;
use fernknot_net::process::ProcessorTimes;
use fernknot_net::{ConnectionId, Event, EventLoopCounters, Network};
use fernknot_ownership::{GatewayRecord, IncarnationId, OwnedKeysSettings, confirmation_timeout};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_protocol::http::Request;
use fernknot_registry::NodeRecord;
use fernknot_rpc::InspectionTopic;
use fernknot_schema::{PlatformApi, ProcessSettings, SystemConfig};
use fernknot_telemetry::component;
use std::net::SocketAddrV4;

/// Interval of the sweeps that close and remove whatever has timed out.
const SWEEP_INTERVAL: Nanos = Nanos(500_000_000);
/// Time that a sweep may be late: it is done in a turn that something else causes, if there is one by then.
const SWEEP_SLACK: Nanos = Nanos(250_000_000);

/// A gateway that has no socket, clock, signal handler or file of its own.
///
/// A host (the process in [`host`](crate::host), or a simulation) passes the events of its connections to
/// [`step`](Gateway::step), together with the [`Network`] over which the gateway sends. A step is due after each event,
/// and without events at [`next_wakeup`](Gateway::next_wakeup). Times are nanoseconds since a fixed moment before the
/// first step, and never decrease.
///
/// [`stop`](Gateway::stop) begins a graceful shutdown, and [`poll_shutdown`](Gateway::poll_shutdown) returns after each
/// step whether it is complete. When [`take_settings_reload_request`](Gateway::take_settings_reload_request) returns
/// true, the host reads its settings again and passes the seeds to [`set_seeds`](Gateway::set_seeds).
pub struct Gateway {
    settings: GatewaySettings,
    listeners: ListenerIds,
    data_plane: DataPlane,
    update_relay: UpdateRelay,
    /// Whether the usage of tenants is due to the platform.
    reports_usage: bool,
    /// Whether this gateway has had, since its start, a configuration and complete snapshots of the nodes of all its
    /// services. A service that a later configuration adds does not make it unready.
    is_synchronized: bool,
    discovery: Discovery,
    shutdown: Shutdown,
    stall_detector: StallDetector,
    turns: TurnCounters,
    /// Reads the processor times of this process, if the host has any.
    read_processor_times: fn() -> Option<ProcessorTimes>,
    next_sweep_at: Nanos,
}

impl Gateway {
    /// Creates a gateway that listens at these sockets. `seed` identifies its incarnation (this run of the process) and
    /// seeds its random numbers: no two incarnations of a system may have the same seed.
    ///
    /// # Errors
    /// Fails if the settings allow less memory or fewer connections than a gateway needs.
    pub fn new(process: ProcessSettings, listeners: ListenerIds, seed: u64) -> Result<Gateway, GatewayError> {
        let settings = GatewaySettings::new(&process);
        let (addr, seeds) = (inner_addr(&process), controller_seeds(&process));
        let zone = process.zone.clone();
        let record = GatewayRecord { incarnation: IncarnationId(seed), addr, zone: zone.clone() };
        let descriptor = PeerDescriptor { addr, role: Role::Gateway, zone, incarnation: seed, age_ms: 0 };
        let ownership = ownership_settings(&process, &settings);
        Ok(Gateway {
            listeners,
            data_plane: DataPlane::new(&process, settings.clone(), seed)?,
            update_relay: UpdateRelay::new(
                record,
                &seeds,
                ownership,
                settings.lease_duration,
                &process.bounds,
                seed,
            ),
            reports_usage: process.platform_api.as_ref().is_some_and(PlatformApi::wants_usage),
            is_synchronized: false,
            discovery: Discovery::new(descriptor, &seeds, &settings, seed),
            shutdown: Shutdown::new(Nanos::from_millis(process.bounds.grace_s * 1e3)),
            stall_detector: StallDetector::new(settings.apply_timeout),
            turns: TurnCounters::default(),
            read_processor_times: || None,
            next_sweep_at: Nanos(0),
            settings,
        })
    }

    /// Gives the gateway a bug on purpose, so that tests can show that their checks find it.
    #[doc(hidden)]
    pub fn with_seeded_bug(mut self, bug: SeededBug) -> Gateway {
        self.data_plane.set_seeded_bug(bug);
        self
    }

    /// Sets how the processor times of this process are read when its counters are requested.
    pub fn set_processor_times_reader(&mut self, read: fn() -> Option<ProcessorTimes>) {
        self.read_processor_times = read;
    }

    /// Handles the events up to `now`, runs everything that is due, and writes the output to the network.
    pub fn step<N: Network>(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>, network: &mut N) {
        if let Some(gap) = self.stall_detector.step(now) {
            log::warn!(target: component::PROCESS, "event loop stalled for {:.0} ms; restarting time-outs", gap.as_millis());
            self.update_relay.resume_after_stall(now);
        }
        self.turns.record(now, self.next_wakeup());
        self.data_plane.attempts.clear_unwritten();
        self.data_plane.serving_state = self.serving_state(now);
        for event in events {
            self.handle_event(now, event, network);
        }
        self.poll_update_relay(now, network);
        self.data_plane.run_engine(now, network);
        self.count_usage();
        if now >= self.next_sweep_at {
            self.sweep(now, network);
        }
    }

    /// Sets the time of day by the clock of this machine, in milliseconds since the beginning of 1970. It is used until
    /// a controller has stated the time of day.
    pub fn set_machine_time(&mut self, now: Nanos, unix_ms: u64) {
        self.update_relay.usage.set_machine_time(now, unix_ms);
    }

    /// Whether the output of the last step contains requests to nodes. The host then writes it, and calls
    /// [`output_written`](Gateway::output_written) with the time after that.
    pub fn has_unwritten_attempts(&self) -> bool {
        self.data_plane.attempts.has_unwritten()
    }

    /// Records that the output of the last step has been written. The time that this took, of a process that waits for its
    /// processor, does not count as the nodes'.
    pub fn output_written(&mut self, now: Nanos) {
        self.data_plane.attempts.output_written(now);
    }

    /// Counts the requests of tenants that nodes have begun to execute.
    fn count_usage(&mut self) {
        for StartedRequest { config, tenant, at } in self.data_plane.attempts.take_started() {
            if let Some(access) = config.access().filter(|_| self.reports_usage) {
                self.update_relay.usage.count(at, access.tenant_name(tenant));
            }
        }
    }

    /// Time of the next step that is due without an event.
    pub fn next_wakeup(&self) -> Nanos {
        let engine = self.data_plane.attempts.decisions().next_wakeup().unwrap_or(Nanos(u64::MAX));
        engine.min(self.update_relay.next_wakeup()).min(self.next_sweep_at + SWEEP_SLACK)
    }

    /// Adds the controllers that the settings name now, by inner address (for other processes of the system), to the
    /// known ones, and makes them the seeds of peer sampling.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.update_relay.add_controllers(seeds);
        self.discovery.set_seeds(seeds);
    }

    /// Whether the host has to read the settings again, which may name other controllers, because no source has
    /// confirmed the configuration for `apply_ms`. Returns true once for each request.
    pub fn take_settings_reload_request(&mut self) -> bool {
        self.discovery.take_settings_reload_request()
    }

    /// Closes connections and removes records that have timed out.
    fn sweep<N: Network>(&mut self, now: Nanos, network: &mut N) {
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.data_plane.sweep_connections(now, network);
        self.discovery.send_due(now, network);
        // Peer sampling may know controllers that neither the seeds nor the heartbeats of sources name any more.
        if self.update_relay.config_age(now).is_none_or(|age| age > self.settings.apply_timeout) {
            self.update_relay.add_controllers(&self.discovery.find_controllers(now));
        }
        self.data_plane.sweep_nodes(now, network);
    }

    // ---- Shutdown --------------------------------------------------------------------------

    /// Begins a graceful shutdown: the gateway is no longer ready, and completes the requests in flight.
    pub fn stop<N: Network>(&mut self, now: Nanos, network: &mut N) {
        if self.shutdown.request(now) {
            self.data_plane.is_stopping = true;
            let in_flight = self.data_plane.attempts.requests().len();
            log::info!(target: component::PROCESS, "stop requested; completing {in_flight} requests in flight");
            self.update_relay.announce_shutdown(network);
        }
    }

    /// Advances a shutdown. Returns whether it is complete: all requests are answered, or the grace period is nearly
    /// over. The host still has to write pending output then.
    pub fn poll_shutdown<N: Network>(&mut self, now: Nanos, network: &mut N) -> bool {
        let is_complete = match self.shutdown.phase(now) {
            ShutdownPhase::Running | ShutdownPhase::Unready => false,
            ShutdownPhase::Expired => {
                self.data_plane.answer_pending(now, network);
                true
            }
            ShutdownPhase::Draining => {
                network.stop_listening(self.listeners.front);
                self.data_plane.clients.close_idle(network);
                self.data_plane.attempts.requests().is_empty() && self.data_plane.clients.are_all_readiness()
            }
        };
        if is_complete {
            self.count_usage();
            self.update_relay.send_remaining_usage(network);
        }
        is_complete
    }

    fn is_ready(&self) -> bool {
        let has_config = self.data_plane.routing.config().is_some();
        !self.shutdown.is_requested() && has_config && self.is_synchronized
    }

    fn serving_state(&self, now: Nanos) -> ServingState {
        let config_age = self.update_relay.config_age(now);
        let is_config_confirmed = config_age.is_some_and(|age| age <= self.settings.apply_timeout);
        ServingState { is_ready: self.is_ready(), is_config_confirmed }
    }

    // ---- Events ----------------------------------------------------------------------------

    fn handle_event<N: Network>(&mut self, now: Nanos, event: Event, network: &mut N) {
        match event {
            Event::Accepted { connection, listener, .. } => self.accept(now, connection, listener),
            Event::Connected { connection } => {
                self.data_plane.attempts.connection_opened(now, connection);
            }
            Event::Woken => {}
            Event::Received { connection } => self.read(now, connection, false, network),
            Event::ReadClosed { connection } => self.handle_read_closed(now, connection, network),
            Event::Closed { connection, was_open, error } => {
                if self.data_plane.attempts.connections().contains(connection) {
                    log::debug!(target: component::CONNECTIONS, "connection to a node closed: {error}");
                    self.data_plane.node_connection_closed(now, connection, was_open, network);
                } else if self.update_relay.owns_connection(connection) {
                    self.update_relay.connection_closed(now, connection);
                } else {
                    self.data_plane.client_closed(now, connection, network);
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
        self.data_plane.accept_client(now, connection, address);
    }

    fn read<N: Network>(&mut self, now: Nanos, id: ConnectionId, read_closed: bool, network: &mut N) {
        if self.data_plane.attempts.connections().contains(id) {
            self.data_plane.read_node(now, id, read_closed, network);
        } else if self.update_relay.owns_connection(id) {
            self.read_updates(now, id, network);
        } else {
            match self.data_plane.clients.listen_address(id) {
                Some(ListenAddress::Front) => self.data_plane.serve_client(now, id, network),
                Some(ListenAddress::Ready) => self.serve_platform(now, id, network),
                None => {}
            }
        }
    }

    fn handle_read_closed<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        if self.data_plane.clients.contains(id) {
            return self.data_plane.client_closed(now, id, network);
        }
        self.read(now, id, true, network);
        if self.update_relay.owns_connection(id) {
            network.close(id);
            self.update_relay.connection_closed(now, id);
        }
    }

    // ---- Platform --------------------------------------------------------------------------

    /// Serves requests for readiness and counters.
    fn serve_platform<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        while let Some(request) = self.data_plane.read_request(now, id, network) {
            self.answer_platform(now, id, &request, network);
        }
    }

    fn answer_platform<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        request: &Request,
        network: &mut N,
    ) {
        let counters;
        let reply = match (request.method.as_str(), request.path()) {
            ("GET", "/-/readiness") if self.is_ready() => LocalReply::new(200, b"ready\n"),
            ("GET", "/-/readiness") => LocalReply::new(503, b"not ready\n"),
            ("GET", "/-/counters") => {
                counters = self.counters_text(now, network.counters());
                LocalReply::new(200, counters.as_bytes())
            }
            _ => LocalReply::new(404, b"unknown\n"),
        };
        self.data_plane.clients.write_reply(now, id, &reply, self.shutdown.is_requested(), network);
    }

    fn counters_text(&self, now: Nanos, event_loop: EventLoopCounters) -> String {
        let DataPlane { attempts, nodes, routing, counters, .. } = &self.data_plane;
        let config_age = self.update_relay.config_age(now);
        let (topics_without_lease, oldest_topic_lease) = self.update_relay.topic_lease_ages(now);
        let current_values = CurrentValues {
            requests_in_flight: attempts.requests().len(),
            node_connections: attempts.connections().len(),
            nodes: nodes.engine_node_count(),
            services: routing.service_count(),
            config_epoch: routing.config().map_or(0, |snapshot| snapshot.config.epoch),
            config_revision: routing.config().map_or(0, |snapshot| snapshot.revision),
            announced_revision: self.update_relay.confirmation().announced_revision,
            update_streams_started: self.update_relay.streams_started(),
            is_config_stale: config_age.is_none_or(|age| age > self.settings.drain_cutoff),
            topics_without_lease,
            oldest_topic_lease,
            turns: self.turns,
            event_loop,
            processor_times: (self.read_processor_times)().unwrap_or_default(),
        };
        counters_text(counters, attempts.counters(), &current_values) + &attempts.decisions().counters_text()
    }

    // ---- Updates ---------------------------------------------------------------------------

    fn poll_update_relay<N: Network>(&mut self, now: Nanos, network: &mut N) {
        let state = self.data_plane.local_state(self.is_ready());
        self.update_relay.poll(now, network, &state);
    }

    fn read_updates<N: Network>(&mut self, now: Nanos, id: ConnectionId, network: &mut N) {
        let state = self.data_plane.local_state(self.is_ready());
        let mut updates = Vec::new();
        let token = self.update_relay.fencing_token();
        self.update_relay.read(now, id, network, &state, &mut updates);
        self.data_plane.routing.set_confirmation(self.update_relay.confirmation());
        if self.update_relay.fencing_token() > token {
            self.update_relay.forward_assignment(network);
        }
        for update in updates {
            self.apply_update(now, update, network);
        }
        if !self.is_synchronized {
            let has_config = self.data_plane.routing.config().is_some();
            self.is_synchronized = has_config && self.update_relay.has_all_snapshots();
        }
    }

    fn apply_update<N: Network>(&mut self, now: Nanos, update: Update, network: &mut N) {
        match update {
            Update::Config { revision, config } => self.apply_config(now, revision, config, network),
            Update::Nodes(records) => {
                let new = self.data_plane.nodes.apply_updates(now, &records);
                self.update_relay.forward_nodes(network, &new);
                self.data_plane.apply_recent_node_changes(now, network);
            }
            Update::SnapshotComplete { watermark, subscription } => {
                self.data_plane.nodes.finish_snapshot(watermark, &subscription);
            }
            Update::SourceHealthy => {
                self.data_plane.nodes.record_source_heartbeat(now);
                self.data_plane.set_budget_sharers(now, self.update_relay.budget_sharers(now));
            }
            Update::Inspect { connection, topic } => {
                let report = self.inspect(now, topic, network.counters());
                self.update_relay.send_report(network, connection, report);
            }
        }
    }

    fn apply_config<N: Network>(&mut self, now: Nanos, revision: u64, config: SystemConfig, network: &mut N) {
        let Some(snapshot) = self.data_plane.apply_config(now, revision, config) else { return };
        self.update_relay.forward_config(network, &snapshot);
        self.update_relay.set_services(&snapshot.config);
        self.data_plane.apply_all_node_changes(now, network);
    }

    /// Returns the report on a topic, as text for operators.
    fn inspect(&self, now: Nanos, topic: InspectionTopic, event_loop: EventLoopCounters) -> String {
        match topic {
            InspectionTopic::Counters => self.counters_text(now, event_loop),
            InspectionTopic::Nodes => {
                let line = |record: &NodeRecord| {
                    let NodeRecord { id, service, addr, zone, state, .. } = record;
                    format!("{id} {service} {addr} {zone} {state:?}\n")
                };
                self.data_plane.nodes.directory().records().map(line).collect()
            }
            other => self.update_relay.describe(other),
        }
    }
}

fn ownership_settings(process: &ProcessSettings, settings: &GatewaySettings) -> OwnedKeysSettings {
    let heartbeat_interval = Nanos::from_millis(process.heartbeat_interval_ms);
    OwnedKeysSettings {
        max_keys: 0,
        handover_timeout: settings.apply_timeout,
        confirmation_timeout: confirmation_timeout(settings.contact_timeout, heartbeat_interval),
        budget_window: settings.retry_window,
    }
}

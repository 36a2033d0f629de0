//! Routing of updates from the sources that `fernknot-distribution` selects to this gateway and to its subscribers.

use super::config_source::ConfigSourceLog;
use super::confirmation::Confirmation;
use super::controllers::KnownControllers;
use super::message_readers::MessageReaders;
use super::ownership::Ownership;
use super::snapshots::Snapshots;
use super::sources::{Source, SourceStream, SourceStreams};
use super::state::{LocalState, Update, config_message};
use super::subscribers::{Subscribers, select, send};
use super::topics::{subscription_to, topics_of};
use super::usage::UsageReporter;
use fernknot::interface::Nanos;
use fernknot_distribution::{Action, Relays, RelaysLimits, Topic};
use fernknot_net::{ConnectionId, Network};
use fernknot_ownership::{FencingToken, GatewayRecord, OwnedKeysSettings};
use fernknot_rpc::{ControllerToGateway, GatewayToController, InspectionTopic, Subscription, write_message};
use fernknot_schema::{InvariantBounds, RoutingConfig};
use fernknot_telemetry::component;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

mod forwarding;
mod source_messages;

/// Maximum size of a message, in bytes. A configuration of the largest size that operators may send fits.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Maximum size of a message of a subscriber, in bytes. The longest is a subscription by the names of all services.
const MAX_SUBSCRIBER_MESSAGE_BYTES: usize = 1 << 20;
/// Interval of this gateway's own heartbeats, in intervals of its sources' heartbeats.
const HEARTBEAT_INTERVALS: f64 = 2.0;
/// Time that a heartbeat may be late, in its intervals: it is sent in a turn that something else causes, if there is one by
/// then.
const HEARTBEAT_SLACK_INTERVALS: f64 = 0.25;
/// Time without heartbeats after which a subscriber is not reported as live, in intervals of this gateway's heartbeats.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 3.0;
/// Reason given for rejecting an operator's request to force a consensus view, which only controllers have.
const NO_VIEW_REASON: &str = "a gateway is in no view; order it at a controller";

/// Streams of updates that a gateway receives and sends.
pub(crate) struct UpdateRelay {
    this_gateway: GatewayRecord,
    /// Selects the sources.
    relays: Relays,
    sources: SourceStreams,
    subscribers: Subscribers,
    readers: MessageReaders,
    ownership: Ownership,
    /// Usage that is reported to the source of the configuration.
    pub(crate) usage: UsageReporter,
    heartbeat_interval: Nanos,
    next_heartbeat_at: Nanos,
    controllers: KnownControllers,
    /// Services in the configuration in force.
    services: BTreeSet<String>,
    /// Services of whose nodes this gateway has a complete snapshot.
    snapshots: Snapshots,
    /// Whether something has changed that subscribers may wait for to receive the end of their snapshot.
    checks_snapshots: bool,
    /// Identifier of the controller whose heartbeat was the last to arrive with a lease; 0 before the first one.
    last_heartbeat_from: u64,
    config_source_log: ConfigSourceLog,
}

/// A gateway that subscribes to this one.
struct NewSubscriber {
    gateway: GatewayRecord,
    subscription: Subscription,
    /// Revision of the configuration that it has; 0 for none.
    revision: u64,
}

impl UpdateRelay {
    /// Creates a relay without streams. `settings.handover_timeout` is the time within which an update has to be in
    /// force everywhere (`apply_ms`); all intervals and time-outs of the relay are shares of it. `lease_duration` is that
    /// of the controllers.
    pub(crate) fn new(
        this_gateway: GatewayRecord,
        seeds: &[SocketAddrV4],
        settings: OwnedKeysSettings,
        lease_duration: Nanos,
        bounds: &InvariantBounds,
        rng_seed: u64,
    ) -> UpdateRelay {
        let (incarnation, zone, apply_timeout) =
            (this_gateway.incarnation, &this_gateway.zone, settings.handover_timeout);
        let mut relay = UpdateRelay {
            relays: Relays::new(
                incarnation,
                zone,
                apply_timeout,
                lease_duration,
                RelaysLimits::default(),
                rng_seed,
            ),
            ownership: Ownership::new(&this_gateway, settings),
            usage: UsageReporter::new(incarnation, bounds),
            this_gateway,
            sources: SourceStreams::default(),
            subscribers: Subscribers::default(),
            readers: MessageReaders::default(),
            heartbeat_interval: Relays::heartbeat_interval(apply_timeout).times(HEARTBEAT_INTERVALS),
            next_heartbeat_at: Nanos(0),
            controllers: KnownControllers::default(),
            services: BTreeSet::new(),
            snapshots: Snapshots::default(),
            checks_snapshots: false,
            last_heartbeat_from: 0,
            config_source_log: ConfigSourceLog::default(),
        };
        relay.add_controllers(seeds);
        relay
    }

    /// Adds controllers that may answer at these inner addresses, the ones for other processes of the system.
    pub(crate) fn add_controllers(&mut self, addrs: &[SocketAddrV4]) {
        self.controllers.add_seeds(addrs);
        self.relays.set_controllers(&self.controllers.endpoints());
    }

    /// Sets the services that the configuration in force names.
    pub(crate) fn set_services(&mut self, config: &RoutingConfig) {
        self.relays.set_services(config.services.iter().map(|service| service.name.as_str()));
        self.services = config.services.iter().map(|service| service.name.clone()).collect();
        self.snapshots.retain(&self.services);
        self.checks_snapshots = true;
        // The stream of a source that sends all services also sends those that are new.
        if self
            .sources
            .iter()
            .any(|(_, stream)| stream.is_complete && stream.subscription == Subscription::All)
        {
            self.snapshots.record_complete(&Subscription::All, &self.services);
        }
    }

    /// Whether sources have sent all nodes of all services in the configuration in force.
    pub(crate) fn has_all_snapshots(&self) -> bool {
        self.snapshots.covers(&Subscription::All, &self.services)
    }

    /// Time since the last heartbeat with a lease (of a controller in contact with a majority, perhaps forwarded) from
    /// a current source of the configuration; `None` if no current source has sent one.
    pub(crate) fn config_age(&self, now: Nanos) -> Option<Nanos> {
        self.relays.time_since_lease(now, &Topic::Configuration)
    }

    /// What the sources have confirmed about the configuration.
    pub(crate) fn confirmation(&self) -> Confirmation {
        Confirmation {
            announced_revision: self.relays.newest_seen().revision,
            until: self.relays.configuration_confirmed_until(),
        }
    }

    /// Number of update streams that were started.
    pub(crate) fn streams_started(&self) -> u64 {
        self.sources.started()
    }

    /// Returns the number of topics without a current source that has sent a heartbeat with a lease, and the greatest
    /// time since the last such heartbeat for any other topic.
    pub(crate) fn topic_lease_ages(&self, now: Nanos) -> (usize, Nanos) {
        let topics = self.services.iter().map(|name| Topic::service(name)).chain([Topic::Configuration]);
        let ages: Vec<Option<Nanos>> =
            topics.map(|topic| self.relays.time_since_lease(now, &topic)).collect();
        let without_lease = ages.iter().filter(|age| age.is_none()).count();
        (without_lease, ages.into_iter().flatten().max().unwrap_or(Nanos(0)))
    }

    /// Restarts the time-outs of sources after a stall of the event loop: messages that were not received during the
    /// stall prove no fault of the sources.
    pub(crate) fn resume_after_stall(&mut self, now: Nanos) {
        self.relays.reset_liveness(now);
    }

    /// Number of gateways that share the retry budget; `None` while this one may use no share.
    pub(crate) fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.ownership.budget_sharers(now)
    }

    /// Returns the fencing token of the newest assignment.
    pub(crate) fn fencing_token(&self) -> FencingToken {
        self.ownership.fencing_token()
    }

    /// Time at which the relay is due to be polled without an event.
    pub(crate) fn next_wakeup(&self) -> Nanos {
        let slack = self.heartbeat_interval.times(HEARTBEAT_SLACK_INTERVALS);
        self.relays.wakes_at().min(self.next_heartbeat_at + slack)
    }

    // ---- Connections -----------------------------------------------------------------------

    /// Adds a connection that was accepted at the inner address.
    pub(crate) fn accept(&mut self, id: ConnectionId) {
        self.subscribers.accept(id);
    }

    /// Whether a connection is a stream of updates, or was accepted at the inner address.
    pub(crate) fn owns_connection(&self, id: ConnectionId) -> bool {
        self.sources.contains(id) || self.subscribers.contains(id)
    }

    /// Handles the end of a connection: removes its subscriber, or reports its source as lost.
    pub(crate) fn connection_closed(&mut self, now: Nanos, id: ConnectionId) {
        self.readers.remove(id);
        if let Some(addr) = self.subscribers.remove(id) {
            self.relays.subscribe(addr, []);
        }
        if let Some(stream) = self.sources.remove(id) {
            let Source { kind, addr } = stream.source;
            log::info!(target: component::CONNECTIONS, "update stream from {addr} closed; selecting a source again");
            self.relays.source_lost(now, addr, kind);
        }
    }

    // ---- Subscriptions of this gateway -----------------------------------------------------

    /// Executes the subscriptions and cancellations that are due, and sends heartbeats.
    pub(crate) fn poll<N: Network>(&mut self, now: Nanos, network: &mut N, state: &LocalState<'_>) {
        while let Some(action) = self.relays.poll_action(now) {
            match action {
                Action::Subscribe { addr, kind, topics } => {
                    self.subscribe(now, network, state, Source { kind, addr }, &topics);
                }
                Action::Unsubscribe { addr, kind } => {
                    if let Some(id) = self.sources.close(Source { kind, addr }, network) {
                        self.readers.remove(id);
                    }
                }
                Action::ForwardHeartbeat { to, heartbeat } => {
                    if let Some(time_of_day) = self.usage.time_of_day_message(now) {
                        self.subscribers.multicast(network, &to, &time_of_day);
                    }
                    let message = self.heartbeat_message(heartbeat);
                    self.subscribers.multicast(network, &to, &message);
                }
            }
        }
        if std::mem::take(&mut self.checks_snapshots) {
            self.complete_snapshots(now, network);
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.heartbeat_interval;
            self.send_heartbeats(now, network, state.is_ready);
        }
    }

    fn subscribe<N: Network>(
        &mut self,
        now: Nanos,
        network: &mut N,
        state: &LocalState<'_>,
        source: Source,
        topics: &[Topic],
    ) {
        let carries_config = topics.contains(&Topic::Configuration);
        let subscription = subscription_to(topics, &self.services);
        let known = self.sources.connection_of(source);
        let stream = known.and_then(|id| self.sources.get_mut(id));
        if carries_config && !stream.as_ref().is_some_and(|stream| stream.carries_config) {
            self.usage.report_all_again();
        }
        if let Some(stream) = stream
            && stream.subscription == subscription
        {
            stream.carries_config = carries_config;
            return;
        }
        let id = match known.map_or_else(|| network.connect(source.addr), Ok) {
            Ok(id) => id,
            Err(error) => {
                log::warn!(target: component::CONNECTIONS, "cannot subscribe to updates: {error}; selecting a source again");
                return self.relays.source_lost(now, source.addr, source.kind);
            }
        };
        if let Some(output) = network.output(id) {
            write_message(output, &self.subscribe_message(state, subscription.clone()));
        }
        let watermark = state.nodes.begin_snapshot();
        let stream = SourceStream { source, subscription, carries_config, watermark, is_complete: false };
        self.sources.insert(id, stream);
    }

    fn subscribe_message(&self, state: &LocalState<'_>, subscription: Subscription) -> GatewayToController {
        GatewayToController::Subscribe {
            gateway: self.this_gateway.clone(),
            ready: state.is_ready,
            subscription,
            revision: state.config.map_or(0, |config| config.revision),
        }
    }

    /// Sends each source a heartbeat, and reports the live subscribers to the source of the configuration only. Relays
    /// of different topics may subscribe to each other in cycles: if reports were sent to all sources, those of
    /// gateways that are gone would circulate for ever and accumulate. The streams of the configuration form a tree.
    fn send_heartbeats<N: Network>(&mut self, now: Nanos, network: &mut N, is_ready: bool) {
        let since = now - self.heartbeat_interval.times(HEARTBEAT_TIMEOUT_INTERVALS);
        for (id, stream) in self.sources.iter() {
            let Some(output) = network.output(id) else { continue };
            write_message(output, &GatewayToController::Heartbeat { ready: is_ready });
            if !stream.carries_config {
                continue;
            }
            let live = self.subscribers.live_gateways(since, stream.source.addr);
            if !live.is_empty() {
                write_message(output, &GatewayToController::RelayedHeartbeats(live));
            }
            self.usage.due_reports(now).iter().for_each(|reports| write_message(output, reports));
        }
    }

    /// Notifies the sources that this gateway is shutting down, so that no process waits for its heartbeats.
    pub(crate) fn announce_shutdown<N: Network>(&mut self, network: &mut N) {
        self.ownership.begin_shutdown();
        for (id, _) in self.sources.iter() {
            if let Some(output) = network.output(id) {
                write_message(output, &GatewayToController::ShuttingDown);
            }
        }
    }

    /// Reports the usage that has not been reported yet, before the process exits.
    pub(crate) fn send_remaining_usage<N: Network>(&mut self, network: &mut N) {
        for (id, _) in self.sources.iter().filter(|(_, stream)| stream.carries_config) {
            let Some(output) = network.output(id) else { continue };
            self.usage.changed_reports().iter().for_each(|reports| write_message(output, reports));
        }
    }

    // ---- Messages --------------------------------------------------------------------------

    /// Reads the messages that were received on a connection, and adds those for the gateway itself to `updates`.
    pub(crate) fn read<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        network: &mut N,
        state: &LocalState<'_>,
        updates: &mut Vec<Update>,
    ) {
        loop {
            let Some(input) = network.input(id) else { return };
            let read = if self.sources.contains(id) {
                let message = self.readers.read::<ControllerToGateway>(id, input, MAX_MESSAGE_BYTES);
                message.map(|message| {
                    message.map(|message| self.handle_source_message(now, id, message, updates))
                })
            } else {
                let message =
                    self.readers.read::<GatewayToController>(id, input, MAX_SUBSCRIBER_MESSAGE_BYTES);
                message.map(|message| {
                    message.map(|message| {
                        self.handle_subscriber_message(now, id, message, network, state, updates);
                    })
                })
            };
            match read {
                Ok(Some(())) => {}
                Ok(None) => return,
                Err(error) => {
                    log::warn!(target: component::CONNECTIONS, "cannot decode a message: {error}; closing its connection");
                    network.close(id);
                    return self.connection_closed(now, id);
                }
            }
        }
    }

    fn handle_subscriber_message<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        message: GatewayToController,
        network: &mut N,
        state: &LocalState<'_>,
        updates: &mut Vec<Update>,
    ) {
        match message {
            GatewayToController::Subscribe { gateway, subscription, revision, .. } => {
                let subscriber = NewSubscriber { gateway, subscription, revision };
                self.handle_subscribe(now, id, subscriber, network, state);
            }
            GatewayToController::Heartbeat { .. } => self.subscribers.record_heartbeat(now, id),
            GatewayToController::RelayedHeartbeats(gateways) => {
                self.subscribers.set_descendants(id, gateways);
            }
            GatewayToController::ShuttingDown => {
                if let Some(addr) = self.subscribers.unsubscribe(id) {
                    self.relays.subscribe(addr, []);
                }
                // The gateway reports its usage until it exits.
                self.subscribers.accept(id);
            }
            GatewayToController::Inspect(topic) => updates.push(Update::Inspect { connection: id, topic }),
            GatewayToController::ForceView { .. } => {
                let rejection = Err(NO_VIEW_REASON.into());
                send(network, id, &ControllerToGateway::ForceViewResult(rejection));
            }
            GatewayToController::UsageReports(reports) => self.usage.record(&reports),
            GatewayToController::Peer(_) => {}
        }
    }

    /// Accepts a subscription, and sends the assignment, the configuration and the subscribed node records.
    fn handle_subscribe<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        subscriber: NewSubscriber,
        network: &mut N,
        state: &LocalState<'_>,
    ) {
        let NewSubscriber { gateway, subscription, revision } = subscriber;
        self.subscribers.identify(id);
        if !self.relays.subscribe(gateway.addr, topics_of(&subscription, &self.services)) {
            network.close(id);
            return self.connection_closed(now, id);
        }
        let records = select(&subscription, state.nodes.records(), &self.services);
        self.subscribers.insert(now, id, gateway, subscription);
        if self.ownership.is_assigned() {
            let assignment = self.ownership.assignment().clone();
            send(network, id, &ControllerToGateway::Assignment(assignment));
        }
        if let Some(config) = state.config.filter(|config| config.revision > revision) {
            send(network, id, &config_message(config));
        }
        send(network, id, &ControllerToGateway::NodeUpdates(records));
        self.complete_snapshots(now, network);
    }

    // ---- Inspection ------------------------------------------------------------------------

    /// Returns the report on relays, ownership or controllers, as text for operators.
    pub(crate) fn describe(&self, topic: InspectionTopic) -> String {
        match topic {
            InspectionTopic::Relays => self.sources.describe() + &self.subscribers.describe(),
            InspectionTopic::Ownership => self.ownership.describe(),
            _ => self.controllers.describe(),
        }
    }

    /// Sends a report to the operator who requested it.
    pub(crate) fn send_report<N: Network>(&self, network: &mut N, id: ConnectionId, report: String) {
        send(network, id, &ControllerToGateway::InspectionReport(report));
    }
}

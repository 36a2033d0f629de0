//! Streams of news: from a controller or the home in the zone, and on to those that subscribe here. Whom to
//! listen to is what `fernknot-distribution` says; here are the connections and the words.

use fernknot::interface::Nanos;
use fernknot_distribution::{
    Action, ControllerEndpoint, Relays, RelaysLimits, SourceHeartbeat, SourceKind, Topic,
};
use fernknot_net::{ConnectionId, Network};
use fernknot_ownership::{
    Assignment, FencingToken, GatewayRecord, IncarnationId, OwnedKeys, OwnedKeysSettings,
};
use fernknot_registry::{NodeDirectory, NodeRecord};
use fernknot_rpc::{
    ControllerEndpoint as Told, ControllerToGateway, GatewayToController, InspectionTopic, Subscription,
    read_message, write_message,
};
use fernknot_schema::RoutingConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Bytes that one word may have: a configuration of the largest size an operator may send.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Bytes that may wait for one that listens here; one that takes nothing is let go.
const MAX_PENDING_OUTPUT_BYTES: usize = 32 << 20;
/// Between two words that this gateway lives, in pulses.
const ALIVE_INTERVAL_HEARTBEATS: f64 = 2.0;
/// A gateway below that has not said so for this many times as long may be gone.
const ALIVE_TIMEOUT_INTERVALS: f64 = 3.0;

/// Gateways told of as living below, at most.
const MAX_REPORTED_SUBSCRIBERS: usize = 1024;

/// What this gateway holds, for those that listen to it.
pub struct LocalState<'a> {
    pub node_list: &'a NodeDirectory,
    pub config: Option<(u64, &'a RoutingConfig)>,
    pub is_synchronized: bool,
    pub is_ready: bool,
}

/// What the host is to take.
pub enum Update {
    Config {
        revision: u64,
        config: RoutingConfig,
    },
    Nodes(Vec<NodeRecord>),
    /// All of a share was told, from this mark of the list on.
    Complete {
        watermark: u64,
        scope: Subscription,
    },
    /// A teller in touch with the rest spoke.
    SourceHealthy,
    /// An operator wants to know; `answer` takes the words.
    OperatorQuestion {
        connection: ConnectionId,
        question: InspectionTopic,
    },
}

struct UpdateStream {
    source_kind: SourceKind,
    addr: SocketAddrV4,
    scope: Subscription,
    /// The configuration is to come from there: who lives below is told there, and nowhere else.
    carries_config: bool,
    /// Where the list of nodes stood when the whole was asked for.
    watermark: u64,
}

struct Subscriber {
    gateway: GatewayRecord,
    scope: Subscription,
    /// When it last said that it lives.
    last_alive_at: Nanos,
    /// Those that listen to it in turn, as it said lately.
    descendants: Vec<GatewayRecord>,
}

pub struct UpdateRelay {
    this_gateway: GatewayRecord,
    relays: Relays,
    alive_interval: Nanos,
    next_alive_at: Nanos,
    controllers: BTreeMap<SocketAddrV4, String>,
    streams: BTreeMap<ConnectionId, UpdateStream>,
    stream_by_source: BTreeMap<(SourceKind, SocketAddrV4), ConnectionId>,
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Connections at the inner port that have not said who they are.
    unidentified: BTreeSet<ConnectionId>,
    services: BTreeSet<String>,
    assignment: Assignment,
    /// Whether this gateway may take a share of a budget, and among how many.
    owned_keys: OwnedKeys,
    /// Who told the newest pulse.
    last_heartbeat_from: u64,
}

fn is_in_scope(share: &Subscription, fact: &NodeRecord, services: &BTreeSet<String>) -> bool {
    match share {
        Subscription::All => true,
        // What no configuration names yet comes with any share, so that it is known when one does.
        Subscription::Services(names) => names.contains(&fact.service) || !services.contains(&fact.service),
    }
}

impl UpdateRelay {
    /// A hand-over may take as long as a configuration to be everywhere.
    pub fn new(
        me: GatewayRecord,
        seeds: &[SocketAddrV4],
        bounds: OwnedKeysSettings,
        seed: u64,
    ) -> UpdateRelay {
        let apply = bounds.handover_timeout;
        let holder = OwnedKeys::new(me.incarnation, Some(me.zone.clone()), bounds);
        let mut homes = Relays::new(me.incarnation, &me.zone, apply, RelaysLimits::default(), seed);
        let known: BTreeMap<SocketAddrV4, String> = seeds.iter().map(|addr| (*addr, String::new())).collect();
        homes.set_controllers(&controller_list(&known));
        UpdateRelay {
            this_gateway: me,
            relays: homes,
            alive_interval: Relays::heartbeat_interval(apply).times(ALIVE_INTERVAL_HEARTBEATS),
            next_alive_at: Nanos(0),
            controllers: known,
            streams: BTreeMap::new(),
            stream_by_source: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            unidentified: BTreeSet::new(),
            services: BTreeSet::new(),
            assignment: Assignment::default(),
            owned_keys: holder,
            last_heartbeat_from: 0,
        }
    }

    /// Controllers that others told of.
    pub fn add_controllers(&mut self, addrs: &[SocketAddrV4]) {
        addrs.iter().for_each(|addr| _ = self.controllers.entry(*addr).or_default());
        self.relays.set_controllers(&controller_list(&self.controllers));
    }

    /// The services that the configuration in force names.
    pub fn set_services(&mut self, plan: &RoutingConfig) {
        self.relays.set_services(plan.services.iter().map(|service| service.name.as_str()));
        self.services = plan.services.iter().map(|service| service.name.clone()).collect();
    }

    pub fn owns_connection(&self, berth: ConnectionId) -> bool {
        self.streams.contains_key(&berth)
            || self.subscribers.contains_key(&berth)
            || self.unidentified.contains(&berth)
    }

    /// How long ago a teller in touch with the rest spoke for the configuration.
    pub fn config_age(&self, now: Nanos) -> Option<Nanos> {
        self.relays.time_since_lease(now, &Topic::Configuration)
    }

    /// The loop stood still for long: what did not come meanwhile says nothing.
    pub fn resume_after_stall(&mut self, now: Nanos) {
        self.relays.reset_liveness(now);
    }

    pub fn add_connection(&mut self, berth: ConnectionId) {
        self.unidentified.insert(berth);
    }

    pub fn next_wakeup(&self) -> Nanos {
        self.relays.wakes_at().min(self.next_alive_at)
    }

    /// Opens, drops and serves streams as the homes' orders say.
    pub fn poll<P: Network>(&mut self, now: Nanos, ports: &mut P, held: &LocalState) {
        while let Some(order) = self.relays.poll_action(now) {
            match order {
                Action::Subscribe { addr, kind: what, topics } => {
                    self.subscribe(now, ports, held, (what, addr), &topics)
                }
                Action::Unsubscribe { addr, kind: what } => {
                    if let Some(berth) = self.stream_by_source.remove(&(what, addr)) {
                        self.streams.remove(&berth);
                        ports.close(berth);
                    }
                }
                Action::ForwardHeartbeat { to, heartbeat: pulse } => {
                    let word = self.heartbeat_message(pulse);
                    let listeners =
                        self.subscribers.iter().filter(|(_, below)| to.contains(&below.gateway.addr));
                    let listeners: Vec<ConnectionId> = listeners.map(|(berth, _)| *berth).collect();
                    listeners.into_iter().for_each(|berth| self.send(ports, berth, &word));
                }
            }
        }
        if now >= self.next_alive_at {
            self.next_alive_at = now + self.alive_interval;
            // One that hangs keeps its connections: only what was said lately is passed on.
            let late = self.alive_interval.times(ALIVE_TIMEOUT_INTERVALS);
            let lately = |below: &&Subscriber| now - below.last_alive_at <= late;
            for (berth, stream) in &self.streams {
                let Some(out) = ports.output(*berth) else { continue };
                write_message(out, &GatewayToController::Heartbeat { ready: held.is_ready });
                // Homes of several wards listen to each other in circles: on all streams, what is told of the dead
                // would go round for ever, and grow. The streams of the configuration alone are a tree.
                if !stream.carries_config {
                    continue;
                }
                let below = self
                    .subscribers
                    .values()
                    .filter(lately)
                    .filter(|below| below.gateway.addr != stream.addr);
                let live = below.flat_map(|below| below.descendants.iter().chain([&below.gateway]));
                let live: BTreeMap<IncarnationId, &GatewayRecord> =
                    live.map(|gateway| (gateway.incarnation, gateway)).collect();
                if !live.is_empty() {
                    write_message(
                        out,
                        &GatewayToController::RelayedHeartbeats(
                            live.into_values().take(MAX_REPORTED_SUBSCRIBERS).cloned().collect(),
                        ),
                    );
                }
            }
        }
    }

    fn subscribe<P: Network>(
        &mut self,
        now: Nanos,
        ports: &mut P,
        held: &LocalState,
        key: (SourceKind, SocketAddrV4),
        topics: &[Topic],
    ) {
        let names = topics.iter().filter_map(|topic| match topic {
            Topic::Configuration => None,
            Topic::Service(name) => Some(name.to_string()),
        });
        let names: Vec<String> = names.collect();
        let main = topics.contains(&Topic::Configuration);
        let share = if names.len() >= self.services.len() {
            Subscription::All
        } else {
            Subscription::Services(names)
        };
        let berth = match self.stream_by_source.get(&key) {
            Some(berth) if self.streams.get(berth).is_some_and(|stream| stream.scope == share) => {
                if let Some(stream) = self.streams.get_mut(berth) {
                    stream.carries_config = main;
                }
                return;
            }
            Some(berth) => *berth,
            None => match ports.connect(key.1) {
                Ok(berth) => berth,
                Err(why) => {
                    log::warn!(target: "news", "{why}");
                    return self.relays.source_lost(now, key.1, key.0);
                }
            },
        };
        let order = held.config.map_or(0, |(order, _)| order);
        let attach = GatewayToController::Subscribe {
            gateway: self.this_gateway.clone(),
            ready: held.is_ready,
            subscription: share.clone(),
            revision: order,
        };
        if let Some(out) = ports.output(berth) {
            write_message(out, &attach);
        }
        self.stream_by_source.insert(key, berth);
        self.streams.insert(
            berth,
            UpdateStream {
                source_kind: key.0,
                addr: key.1,
                scope: share,
                carries_config: main,
                watermark: held.node_list.begin_snapshot(),
            },
        );
    }

    /// A connection went.
    pub fn connection_closed(&mut self, now: Nanos, berth: ConnectionId) {
        self.unidentified.remove(&berth);
        if let Some(below) = self.subscribers.remove(&berth) {
            self.relays.subscribe(below.gateway.addr, []);
        }
        if let Some(stream) = self.streams.remove(&berth) {
            log::info!(target: "news", "The stream from {} is lost.", stream.addr);
            self.stream_by_source.remove(&(stream.source_kind, stream.addr));
            self.relays.source_lost(now, stream.addr, stream.source_kind);
        }
    }

    /// Reads what came; what the host is to take is added to `news`.
    pub fn read_input<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        ports: &mut P,
        held: &LocalState,
        news: &mut Vec<Update>,
    ) {
        loop {
            let Some(input) = ports.input(berth) else { return };
            let taken = match self.streams.contains_key(&berth) {
                true => read_message::<ControllerToGateway>(input, MAX_MESSAGE_BYTES)
                    .map(|word| word.map(|word| self.handle_source_message(now, berth, word, news))),
                false => read_message::<GatewayToController>(input, MAX_MESSAGE_BYTES).map(|word| {
                    word.map(|word| self.handle_subscriber_message(now, berth, word, ports, held, news))
                }),
            };
            match taken {
                Ok(Some(())) => {}
                Ok(None) => return,
                Err(why) => {
                    log::warn!(target: "news", "What came is refused: {why}.");
                    ports.close(berth);
                    return self.connection_closed(now, berth);
                }
            }
        }
    }

    fn handle_source_message(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        word: ControllerToGateway,
        news: &mut Vec<Update>,
    ) {
        let Some(UpdateStream { source_kind: what, addr, scope: share, watermark: mark, .. }) =
            self.streams.get(&berth)
        else {
            return;
        };
        let (what, addr) = (*what, *addr);
        self.relays.record_message(now, addr, what);
        match word {
            ControllerToGateway::Heartbeat {
                sender: teller,
                revision: order,
                holds_lease: lease,
                hops,
                fencing_token: fence,
                controllers,
            } => {
                let pulse = SourceHeartbeat {
                    revision: order,
                    registry_version: 0,
                    fencing_token: FencingToken(fence),
                    has_lease: lease,
                    hops,
                };
                self.relays.record_heartbeat(now, addr, what, pulse);
                if lease {
                    self.last_heartbeat_from = teller;
                    self.owned_keys.confirm(now, FencingToken(fence));
                    if !controllers.is_empty() {
                        self.controllers =
                            controllers.into_iter().map(|told| (told.addr, told.zone)).collect();
                        self.relays.set_controllers(&controller_list(&self.controllers));
                    }
                    news.push(Update::SourceHealthy);
                }
            }
            ControllerToGateway::Config { revision: order, config: plan } => {
                news.push(Update::Config { revision: order, config: plan })
            }
            ControllerToGateway::NodeUpdates(facts) => news.push(Update::Nodes(facts)),
            ControllerToGateway::SnapshotComplete => {
                news.push(Update::Complete { watermark: *mark, scope: share.clone() })
            }
            ControllerToGateway::Assignment(cut) if cut.fencing_token > self.assignment.fencing_token => {
                log::info!(target: "news", "{} gateways live by the cut under {}.", cut.gateways.len(), cut.fencing_token.0);
                self.assignment = cut.sorted();
                self.relays.apply_assignment(now, &self.assignment);
                self.owned_keys.apply(now, self.assignment.clone());
            }
            ControllerToGateway::Assignment(_)
            | ControllerToGateway::InspectionReport(_)
            | ControllerToGateway::ForceViewResult(_) => {}
        }
    }

    fn handle_subscriber_message<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        word: GatewayToController,
        ports: &mut P,
        held: &LocalState,
        news: &mut Vec<Update>,
    ) {
        match word {
            GatewayToController::Subscribe { gateway: who, subscription: share, revision: order, .. } => {
                let topics = match &share {
                    Subscription::All => self.services.iter().map(|name| Topic::service(name)).collect(),
                    Subscription::Services(names) => {
                        names.iter().map(|name| Topic::service(name)).collect::<Vec<_>>()
                    }
                };
                let topics = topics.into_iter().chain([Topic::Configuration]);
                self.unidentified.remove(&berth);
                if !self.relays.subscribe(who.addr, topics) {
                    ports.close(berth);
                    return self.connection_closed(now, berth);
                }
                let facts: Vec<NodeRecord> = held
                    .node_list
                    .records()
                    .filter(|fact| is_in_scope(&share, fact, &self.services))
                    .cloned()
                    .collect();
                self.subscribers.insert(
                    berth,
                    Subscriber { gateway: who, scope: share, last_alive_at: now, descendants: Vec::new() },
                );
                if self.assignment.fencing_token.0 > 0 {
                    self.send(ports, berth, &ControllerToGateway::Assignment(self.assignment.clone()));
                }
                if let Some((own, plan)) = held.config.filter(|(own, _)| *own > order) {
                    self.send(
                        ports,
                        berth,
                        &ControllerToGateway::Config { revision: own, config: plan.clone() },
                    );
                }
                self.send(ports, berth, &ControllerToGateway::NodeUpdates(facts));
                if held.is_synchronized {
                    self.send(ports, berth, &ControllerToGateway::SnapshotComplete);
                }
            }
            GatewayToController::Heartbeat { .. } => {
                if let Some(below) = self.subscribers.get_mut(&berth) {
                    below.last_alive_at = now;
                }
            }
            GatewayToController::RelayedHeartbeats(further) => {
                if let Some(below) = self.subscribers.get_mut(&berth) {
                    below.descendants = further;
                }
            }
            GatewayToController::ShuttingDown => {
                if let Some(below) = self.subscribers.remove(&berth) {
                    self.relays.subscribe(below.gateway.addr, []);
                }
            }
            GatewayToController::Inspect(question) => {
                news.push(Update::OperatorQuestion { connection: berth, question })
            }
            GatewayToController::ForceView { .. } => {
                let why = "a gateway is in no view; order it at a controller";
                self.send(ports, berth, &ControllerToGateway::ForceViewResult(Err(why.into())));
            }
            GatewayToController::Peer(_) => {}
        }
    }

    /// What this gateway knows of homes and duties, for a person to read.
    pub fn describe(&self, question: InspectionTopic) -> String {
        let mut text = String::new();
        match question {
            InspectionTopic::Relays => {
                for stream in self.streams.values() {
                    text += &format!("listens to {:?} {}\n", stream.source_kind, stream.addr);
                }
                for below in self.subscribers.values() {
                    text +=
                        &format!("tells {} and {} below it\n", below.gateway.addr, below.descendants.len());
                }
            }
            InspectionTopic::Ownership => {
                text += &format!(
                    "cut {}.{}\n",
                    self.assignment.fencing_token.view(),
                    self.assignment.fencing_token.count()
                );
                for gateway in &self.assignment.gateways {
                    text += &format!("lives {} {} {:x}\n", gateway.addr, gateway.zone, gateway.incarnation.0);
                }
            }
            _ => {
                for (addr, zone) in &self.controllers {
                    text += &format!("controller {addr} {zone}\n");
                }
            }
        }
        text
    }

    /// Answers an operator's question.
    pub fn answer_operator<P: Network>(&self, ports: &mut P, berth: ConnectionId, text: String) {
        self.send(ports, berth, &ControllerToGateway::InspectionReport(text));
    }

    fn heartbeat_message(&self, pulse: SourceHeartbeat) -> ControllerToGateway {
        let SourceHeartbeat { revision: order, has_lease: lease, hops, fencing_token: fence, .. } = pulse;
        let told = |(addr, zone): (&SocketAddrV4, &String)| Told { addr: *addr, zone: zone.clone() };
        let controllers = self.controllers.iter().map(told).collect();
        ControllerToGateway::Heartbeat {
            sender: self.last_heartbeat_from,
            revision: order,
            holds_lease: lease,
            hops,
            fencing_token: fence.0,
            controllers: controllers,
        }
    }

    fn send<P: Network>(&self, ports: &mut P, berth: ConnectionId, word: &ControllerToGateway) {
        if ports.pending_output_bytes(berth) > MAX_PENDING_OUTPUT_BYTES {
            return ports.close(berth);
        }
        if let Some(out) = ports.output(berth) {
            write_message(out, word);
        }
    }

    /// Passes on to all that listen here what was news to this gateway.
    pub fn forward_config<P: Network>(&self, ports: &mut P, order: u64, plan: &RoutingConfig) {
        if !self.subscribers.is_empty() {
            let word = ControllerToGateway::Config { revision: order, config: plan.clone() };
            self.subscribers.keys().for_each(|berth| self.send(ports, *berth, &word));
        }
    }

    pub fn forward_assignment<P: Network>(&self, ports: &mut P) {
        self.subscribers.keys().for_each(|berth| {
            self.send(ports, *berth, &ControllerToGateway::Assignment(self.assignment.clone()))
        });
    }

    /// By how many gateways a budget is shared, or none while this one may take no share.
    pub fn budget_sharers(&self, now: Nanos) -> Option<u32> {
        self.owned_keys.budget_sharers(now)
    }

    pub fn fencing_token(&self) -> u64 {
        self.assignment.fencing_token.0
    }

    pub fn forward_complete<P: Network>(&self, ports: &mut P) {
        self.subscribers
            .keys()
            .for_each(|berth| self.send(ports, *berth, &ControllerToGateway::SnapshotComplete));
    }

    pub fn forward_nodes<P: Network>(&self, ports: &mut P, facts: &[NodeRecord]) {
        for (berth, below) in &self.subscribers {
            let facts: Vec<NodeRecord> = facts
                .iter()
                .filter(|fact| is_in_scope(&below.scope, fact, &self.services))
                .cloned()
                .collect();
            if !facts.is_empty() {
                self.send(ports, *berth, &ControllerToGateway::NodeUpdates(facts));
            }
        }
    }

    /// Says farewell, so that nobody waits for this gateway.
    pub fn announce_leaving<P: Network>(&mut self, ports: &mut P) {
        self.owned_keys.begin_shutdown();
        for berth in self.streams.keys() {
            if let Some(out) = ports.output(*berth) {
                write_message(out, &GatewayToController::ShuttingDown);
            }
        }
    }
}

fn controller_list(known: &BTreeMap<SocketAddrV4, String>) -> Vec<ControllerEndpoint> {
    known.iter().map(|(addr, zone)| ControllerEndpoint { addr: *addr, zone: zone.clone() }).collect()
}

//! One gateway without sockets, clock or signals: what happens becomes calls on the engine, and the engine's orders
//! are carried out over the ports that it is lent.

mod downstream;
mod upstream;

use crate::asks::PendingRequest;
use crate::clients::{ClientConnection, ClientConnections, ListenAddress};
use crate::lines::NodeConnections;
use crate::news::{LocalState, Update, UpdateRelay};
use crate::routes::{ConfigSnapshot, EngineIds};
use fernknot::interface::*;
use fernknot::state::Mwc;
use fernknot_engine::{AskerId, Engine, Order};
use fernknot_net::{ConnectionId, Event, Network};
use fernknot_ownership::{GatewayRecord as Me, IncarnationId, OwnedKeysSettings, confirmation_timeout};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_registry::{NodeDirectory, NodeDirectoryLimits, NodeRecord};
use fernknot_router_config::{Limits, SocketFacts};
use fernknot_rpc::{InspectionTopic, ShuffleProtocol, Subscription};
use fernknot_schema::{ClientLimits, ProcessSettings, RoutingConfig};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Descriptors that are neither clients' nor nodes'.
const RESERVED_DESCRIPTORS: usize = 220;
/// Granularity of the loop, which is also the estimate's network term.
const LOOP_GRANULARITY_MS: f64 = 3.0;
/// A stand-still of the loop past this share of `apply_ms` is one of the process.
const STALL_SHARE_OF_APPLY: f64 = 1.0 / 6.0;
/// Views are shuffled once in so many times `contact_ms`.
const SHUFFLE_INTERVAL_CONTACTS: f64 = 2.0;
/// Names of services are looked through once in so many times `contact_ms`.
const ID_SWEEP_INTERVAL_CONTACTS: f64 = 2.0;
/// A connection to a node that is not up by this share of `drain_cutoff_ms` is given up.
const CONNECT_TIMEOUT_SHARE: f64 = 0.25;
/// The part of the memory that bodies of clients may take while they come.
const PARTIAL_BODIES_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// The readiness calls that the platform may need to hear that a gateway leaves, with a little more.
const MIN_UNREADY_TIME: Nanos = Nanos(2_600_000_000);

/// Where a gateway listens; the host opens these and says by which berths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerIds {
    /// For clients.
    pub front: ConnectionId,
    /// For those that ask whether it is ready.
    pub ready: ConnectionId,
    /// For other processes of the system.
    pub inner: ConnectionId,
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// An answer belongs to what its connection carries, whatever id it bears.
    MatchByConnection,
    /// What a connection carried when it was reset counts as never sent.
    RetryAfterReset,
    /// A node that is silent for long counts as if nothing had been sent to it.
    RetryAfterTimeout,
    /// A request that may have run is told a 503.
    RejectAfterAttempt,
    /// A request may go again over a connection that carried it.
    RetryOnSameConnection,
    /// A connection that was up and is gone counts as one that never came up.
    ClosedCountsAsUnopened,
    /// A request whose connection was up and is gone counts as one that was never sent, once it is broken off.
    RejectAfterClose,
    /// An answer whose end no head tells counts as whole.
    TruncatedIsComplete,
    /// Of pipelined requests all are taken in hand at once.
    ConcurrentPipelining,
}

/// The brain of one gateway. It has no socket, clock, signal or file.
///
/// A host feeds it what happened to its connections with [`turn`](Gateway::turn), and lends it its [`Ports`]; all
/// that it has to say goes out there. It wants another turn when something happens, and without news at
/// [`due`](Gateway::due). Times are nanoseconds since any one moment before the first turn, and never go back.
/// [`stop`](Gateway::stop) is the order to stop, and [`is_out`](Gateway::is_out) says after each turn whether it has
/// been followed. Where [`wants_seeds`](Gateway::wants_seeds), the host reads its settings anew and tells
/// [`seeds`](Gateway::seeds).
pub struct Gateway {
    settings: ProcessSettings,
    http_limits: Limits,
    listeners: ListenerIds,
    seed: u64,
    rng: Mwc,
    engine: Option<Engine>,
    clients: ClientConnections,
    requests: HashMap<AskerId, PendingRequest>,
    request_by_multiget: HashMap<MultigetId, AskerId>,
    next_request_id: u64,
    node_connections: NodeConnections,
    engine_ids: EngineIds,
    node_list: NodeDirectory,
    /// What the module was told of the lives of each service.
    known_nodes: HashMap<ShardId, BTreeMap<String, (NodeId, Health)>>,
    next_node_id: u32,
    config: Option<Rc<ConfigSnapshot>>,
    update_relay: UpdateRelay,
    peer_sampling: ShuffleProtocol,
    is_synchronized: bool,
    budget_sharers: Option<u32>,
    /// How long an idle line to a node may be used again, as nodes tell.
    node_idle_timeout: Nanos,
    stop_requested_at: Option<Nanos>,
    next_sweep_at: Nanos,
    next_id_sweep_at: Nanos,
    last_step_at: Nanos,
    next_reload_at: Nanos,
    wants_settings_reload: bool,
    counters: Counters,
    seeded_bug: Option<SeededBug>,
}

#[derive(Default)]
struct Counters {
    requests: u64,
    unrouted: u64,
    no_config: u64,
    malformed: u64,
    overloaded: u64,
    mismatched_responses: u64,
    invalid_responses: u64,
    connections_opened: u64,
    wrong_node_responses: u64,
}

impl Gateway {
    /// A gateway that listens at these doors. `seed` is the number of its life and its chance: no two lives of a
    /// system may have the same.
    ///
    /// # Errors
    /// Less memory, or fewer connections, than anything can be done with.
    pub fn new(facts: ProcessSettings, doors: ListenerIds, seed: u64) -> Result<Gateway, String> {
        let bounds = &facts.bounds;
        let links = max_connections(&facts);
        let inner_addr = inner_addr(&facts);
        let seeds = controller_seeds(&facts);
        let me = Me { incarnation: IncarnationId(seed), addr: inner_addr, zone: facts.zone.clone() };
        let own = PeerDescriptor {
            addr: inner_addr,
            role: Role::Gateway,
            zone: facts.zone.clone(),
            incarnation: seed,
            age_ms: 0,
        };
        let contact = Nanos::from_millis(bounds.contact_ms);
        let window = Nanos::from_millis(bounds.retry_window_s * 1e3);
        let beat = Nanos::from_millis(facts.heartbeat_interval_ms);
        let shuffles = ShuffleProtocol::new(own, &seeds, contact.times(SHUFFLE_INTERVAL_CONTACTS), seed);
        let shared = OwnedKeysSettings {
            max_keys: 0,
            handover_timeout: Nanos::from_millis(bounds.apply_ms),
            confirmation_timeout: confirmation_timeout(contact, beat),
            budget_window: window,
        };
        let mains = UpdateRelay::new(me, &seeds, shared, seed);
        let socket_facts = SocketFacts {
            use_cases: Vec::new(),
            shards: 0,
            streams: 1,
            batch: 1,
            idle: Nanos::from_millis(4000.0),
            connect_within: Nanos::from_millis(1000.0),
            drain_grace: Nanos::from_millis(bounds.drain_cutoff_ms),
            longest_wait: Nanos::from_millis(3000.0),
            phases: Vec::new(),
            position: 0,
            zones: Vec::new(),
        };
        let limits = Limits::new(links, facts.limits.memory_mb, &socket_facts)?;
        Ok(Gateway {
            http_limits: limits,
            listeners: doors,
            seed,
            rng: Mwc::new(seed),
            engine: None,
            clients: ClientConnections::default(),
            requests: HashMap::new(),
            request_by_multiget: HashMap::new(),
            next_request_id: 0,
            node_connections: NodeConnections::default(),
            engine_ids: EngineIds::default(),
            node_list: NodeDirectory::new(beat, NodeDirectoryLimits::default()),
            known_nodes: HashMap::new(),
            next_node_id: 0,
            config: None,
            update_relay: mains,
            peer_sampling: shuffles,
            is_synchronized: false,
            budget_sharers: None,
            node_idle_timeout: Nanos::from_millis(4000.0),
            stop_requested_at: None,
            next_sweep_at: Nanos(0),
            next_id_sweep_at: Nanos(0),
            last_step_at: Nanos(0),
            next_reload_at: Nanos(0),
            wants_settings_reload: false,
            counters: Counters::default(),
            seeded_bug: None,
            settings: facts,
        })
    }

    /// The same with a break in it.
    #[doc(hidden)]
    pub fn with_seeded_bug(self, plant: SeededBug) -> Gateway {
        Gateway { seeded_bug: Some(plant), ..self }
    }

    /// Takes what happened up to now, does what is due, and says over the ports what there is to say.
    pub fn step<P: Network>(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>, ports: &mut P) {
        self.detect_stall(now);
        for event in events {
            self.handle_event(now, event, ports);
        }
        self.poll_update_relay(now, ports);
        self.run_engine(now, ports);
        if now >= self.next_sweep_at {
            self.sweep(now, ports);
        }
    }

    /// When it wants a turn without news.
    pub fn next_wakeup(&self) -> Nanos {
        let due = self.engine.as_ref().and_then(|engine| engine.due()).unwrap_or(Nanos(u64::MAX));
        due.min(self.update_relay.next_wakeup()).min(self.next_sweep_at)
    }

    /// The order to stop: says farewell, is no longer ready, and answers what is in hand.
    pub fn stop<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        if self.stop_requested_at.is_none() {
            self.stop_requested_at = Some(now);
            log::info!(target: "gateway", "told to stop, {} requests in hand", self.requests.len());
            self.update_relay.announce_leaving(ports);
        }
    }

    /// The settings name these controllers now, at their inner addresses.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.update_relay.add_controllers(seeds);
        self.peer_sampling.set_seeds(seeds);
    }

    /// Whether nobody that it knows tells it news, so that settings may name others; says so once.
    pub fn take_settings_reload_request(&mut self) -> bool {
        std::mem::take(&mut self.wants_settings_reload)
    }

    /// After the order to stop: whether all is answered, or the grace is nearly over. What has been written has still
    /// to go out.
    pub fn poll_shutdown<P: Network>(&mut self, now: Nanos, ports: &mut P) -> bool {
        let Some(since) = self.stop_requested_at else { return false };
        let grace = Nanos::from_millis(self.settings.bounds.grace_s * 1e3);
        let gone = now - since;
        if gone >= grace.times(0.92) {
            return true;
        }
        // The platform needs two calls to see that this gateway is not ready; until then it sends more.
        if gone < MIN_UNREADY_TIME.min(grace.times(0.6)) {
            return false;
        }
        ports.stop_listening(self.listeners.front);
        for berth in self.clients.idle() {
            self.clients.remove(berth);
            ports.close(berth);
        }
        self.requests.is_empty()
            && self.clients.iter().all(|client| client.listen_address == ListenAddress::Ready)
    }

    fn is_ready(&self) -> bool {
        self.stop_requested_at.is_none() && self.config.is_some() && self.is_synchronized
    }

    fn handle_event<P: Network>(&mut self, now: Nanos, event: Event, ports: &mut P) {
        match event {
            Event::Accepted { connection: berth, listener: at, .. } if at == self.listeners.inner => {
                self.update_relay.add_connection(berth)
            }
            Event::Accepted { connection: berth, listener: at, .. } => {
                let door =
                    if at == self.listeners.front { ListenAddress::Front } else { ListenAddress::Ready };
                debug_assert!(at == self.listeners.front || at == self.listeners.ready);
                let client = ClientConnection::new(door, now, self.client_idle_timeout());
                self.clients.insert(berth, client);
            }
            Event::Connected { .. } => {}
            Event::Received { connection: berth } => self.handle_input(now, berth, false, ports),
            Event::ReadClosed { connection: berth } => {
                if self.clients.contains(berth) {
                    self.client_closed(now, berth, ports);
                } else {
                    self.handle_input(now, berth, true, ports);
                    if self.update_relay.owns_connection(berth) {
                        ports.close(berth);
                        self.update_relay.connection_closed(now, berth);
                    }
                }
            }
            Event::Closed { connection: berth, was_open: opened, error: why } => {
                if self.node_connections.contains(berth) {
                    log::debug!(target: "line", "{why}");
                    self.read_remaining_response(now, berth, ports);
                    let may_have_run = opened && self.seeded_bug != Some(SeededBug::RetryAfterReset);
                    let outcome = if may_have_run { Outcome::Broken } else { Outcome::Unreachable };
                    self.node_connection_failed(now, berth, outcome, ports);
                } else if self.update_relay.owns_connection(berth) {
                    self.update_relay.connection_closed(now, berth);
                } else {
                    self.client_closed(now, berth, ports);
                }
            }
            Event::Datagram { from, bytes } => {
                if let Some(answer) = self.peer_sampling.handle_datagram(now, from, &bytes) {
                    ports.send_datagram(from, &answer);
                }
            }
            Event::Woken => {}
        }
    }

    fn handle_input<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ended: bool, ports: &mut P) {
        if self.node_connections.contains(berth) {
            self.read_node(now, berth, ended, ports);
        } else if self.update_relay.owns_connection(berth) {
            self.read_updates(now, berth, ports);
        } else {
            self.read_client(now, berth, ports);
        }
    }

    // ---- News ------------------------------------------------------------------------------

    /// What those that listen here are told.
    fn local_state<'a>(
        pinned: &'a Option<Rc<ConfigSnapshot>>,
        pool: &'a NodeDirectory,
        whole: bool,
        ready: bool,
    ) -> LocalState<'a> {
        let plan = pinned.as_ref().map(|pinned| (pinned.revision, &pinned.config));
        LocalState { node_list: pool, config: plan, is_synchronized: whole, is_ready: ready }
    }

    fn poll_update_relay<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let ready = self.is_ready();
        let held = Gateway::local_state(&self.config, &self.node_list, self.is_synchronized, ready);
        self.update_relay.poll(now, ports, &held);
    }

    fn read_updates<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ports: &mut P) {
        let (mut news, fence, ready) = (Vec::new(), self.update_relay.fencing_token(), self.is_ready());
        let held = Gateway::local_state(&self.config, &self.node_list, self.is_synchronized, ready);
        self.update_relay.read_input(now, berth, ports, &held, &mut news);
        if self.update_relay.fencing_token() > fence {
            self.update_relay.forward_assignment(ports);
        }
        news.into_iter().for_each(|news| self.apply_update(now, news, ports));
    }

    /// Guards against taking a stand-still of this process for silence of the others.
    fn detect_stall(&mut self, now: Nanos) {
        let gap = now - std::mem::replace(&mut self.last_step_at, now);
        if gap > Nanos::from_millis(self.settings.bounds.apply_ms).times(STALL_SHARE_OF_APPLY) {
            log::warn!(target: "gateway", "The loop stood still for {:.0} ms.", gap.as_millis());
            self.update_relay.resume_after_stall(now);
        }
    }

    fn apply_update<P: Network>(&mut self, now: Nanos, news: Update, ports: &mut P) {
        match news {
            Update::Config { revision: order, config: plan } => self.apply_config(now, order, plan, ports),
            Update::Nodes(facts) => {
                // Only what is news here goes on, so that it never goes in a circle.
                let is_news = |fact: &&NodeRecord| {
                    let held = self.node_list.get(&fact.id);
                    held.is_none_or(|held| held.state != fact.state || held.sequence < fact.sequence)
                };
                let fresh: Vec<NodeRecord> = facts.iter().filter(is_news).cloned().collect();
                self.node_list.apply_updates(now, &facts);
                self.update_relay.forward_nodes(ports, &fresh);
                self.refresh_changed_nodes(now, ports);
            }
            Update::Complete { watermark: mark, scope: share } => {
                let services = match &share {
                    Subscription::All => None,
                    Subscription::Services(names) => Some(&names[..]),
                };
                self.node_list.finish_snapshot(mark, services);
                if !std::mem::replace(&mut self.is_synchronized, true) {
                    self.update_relay.forward_complete(ports);
                }
            }
            Update::OperatorQuestion { connection: berth, question } => {
                let text = match question {
                    InspectionTopic::Counters => self.counters_text(now),
                    InspectionTopic::Nodes => {
                        let line = |fact: &NodeRecord| {
                            let NodeRecord { id, service, addr, zone, state, .. } = fact;
                            format!("{id} {service} {addr} {zone} {state:?}\n")
                        };
                        self.node_list.records().map(line).collect()
                    }
                    other => self.update_relay.describe(other),
                };
                self.update_relay.answer_operator(ports, berth, text);
            }
            Update::SourceHealthy => {
                self.node_list.record_source_heartbeat(now);
                let sharers = self.update_relay.budget_sharers(now);
                if sharers != self.budget_sharers {
                    self.budget_sharers = sharers;
                    let free = self.budget_slack();
                    if let Some(engine) = &mut self.engine {
                        engine.slack(free);
                        sharers.iter().for_each(|count| engine.shared_by(now, *count as usize));
                    }
                }
            }
        }
    }

    /// This gateway's share of the slack of each service; none while the others may not count it.
    fn budget_slack(&self) -> f64 {
        self.budget_sharers
            .map_or(0.0, |sharers| self.settings.bounds.retry_slack / f64::from(sharers.max(1)))
    }

    fn apply_config<P: Network>(&mut self, now: Nanos, order: u64, plan: RoutingConfig, ports: &mut P) {
        // Guards against going back: only what is later in the one order is ever taken.
        if self.config.as_ref().is_some_and(|held| held.revision >= order) {
            return;
        }
        let longest = plan.routes.iter().map(|route| route.deadline_ms).max().unwrap_or(0);
        let keep = Nanos::from_millis(longest as f64 * 2.0 + 10_000.0);
        log::info!(target: "plan", "version {} with {} routes is in force", plan.epoch, plan.routes.len());
        self.http_limits.head = plan.limits.header_bytes as usize;
        self.http_limits.body = plan.limits.body_bytes as usize;
        let (pinned, cases, freed) = self.engine_ids.snapshot(now, order, plan, keep);
        if let Some(engine) = &mut self.engine {
            freed.into_iter().for_each(|case| engine.retire(case));
        }
        match &mut self.engine {
            Some(engine) => cases.iter().for_each(|(case, facts)| engine.use_case(now, *case, facts)),
            None => {
                let shortest = cases.iter().map(|(_, facts)| facts.goal).filter(|goal| goal.0 > 0).min();
                let site = SiteFacts {
                    routers: self.budget_sharers.unwrap_or(1).max(1) as usize,
                    use_cases: cases.into_iter().map(|(_, facts)| facts).collect(),
                    shortest_goal: shortest,
                    customers: Vec::new(),
                    tick: Nanos::from_millis(LOOP_GRANULARITY_MS),
                    cold: ColdFacts::default(),
                    budget: Some(BudgetFacts {
                        free: self.budget_slack(),
                        share: self.settings.bounds.retry_ratio,
                        window: Nanos::from_millis(self.settings.bounds.retry_window_s * 1e3),
                        each_shard: true,
                    }),
                    places: u32::MAX,
                    width: 1,
                    cancel: true,
                    second_copies: true,
                    most_hand_offs: 1,
                    longest_wait: shortest,
                    must_ask: false,
                    peers: false,
                    by_work: false,
                    zone: Some(zone_id(&self.settings, &self.settings.zone)),
                    // What a client waits for tells when it first asked, but a late answer still earns something.
                    marks_repeats: true,
                    // One that is refused twice costs a third of its worth, and a late answer earns as much.
                    refusals_cost: true,
                };
                self.engine = Some(Engine::new(self.seed, site, &[], 0, now));
            }
        }
        self.update_relay.forward_config(ports, order, &pinned.config);
        self.update_relay.set_services(&pinned.config);
        self.config = Some(Rc::new(pinned));
        self.refresh_all_nodes(now, ports);
    }

    /// Bytes that bodies of all clients together may take while they come; one that the version in force allows always
    /// may.
    fn max_partial_body_bytes(&self) -> usize {
        let most =
            (self.settings.limits.memory_mb * f64::from(1 << 20) * PARTIAL_BODIES_MEMORY_SHARE) as usize;
        most.max(self.http_limits.body)
    }

    /// How long connections of clients may rest by the version in force.
    fn client_idle_timeout(&self) -> Nanos {
        let held = self.config.as_ref().map(|pinned| pinned.config.limits.idle_ms);
        Nanos::from_millis(held.unwrap_or(ClientLimits::default().idle_ms) as f64)
    }

    fn counters_text(&self, now: Nanos) -> String {
        let counters = &self.counters;
        let mut text = format!(
            "requests {}\nunrouted {}\nunplanned {}\nbad {}\ncrowded {}\nstrays {}\nspoilt {}\nlines_opened {}\nstrangers {}\n\
             in_hand {}\nlines {}\nnodes {}\nservices {}\nversion {}\n",
            counters.requests,
            counters.unrouted,
            counters.no_config,
            counters.malformed,
            counters.overloaded,
            counters.mismatched_responses,
            counters.invalid_responses,
            counters.connections_opened,
            counters.wrong_node_responses,
            self.requests.len(),
            self.node_connections.len(),
            self.known_nodes.values().map(BTreeMap::len).sum::<usize>(),
            self.engine_ids.service_count(),
            self.config.as_ref().map_or(0, |pinned| pinned.config.epoch),
        );
        let old = Nanos::from_millis(self.settings.bounds.drain_cutoff_ms);
        let fresh = self.update_relay.config_age(now).is_some_and(|ago| ago <= old);
        text += &format!("news_old {}\n", u8::from(!fresh));
        if let Some(engine) = &self.engine {
            text += &engine.counters.text();
        }
        text
    }

    // ---- Orders ----------------------------------------------------------------------------

    fn run_engine<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        loop {
            let Some(engine) = &mut self.engine else { return };
            let due = engine.due().is_some_and(|at| at <= now);
            if !due && !engine.has_news() {
                return;
            }
            while let Some(order) = self.engine.as_mut().and_then(|engine| engine.next(now)) {
                self.execute_action(now, order, ports);
            }
        }
    }

    fn execute_action<P: Network>(&mut self, now: Nanos, order: Order, ports: &mut P) {
        match order {
            Order::Send { part, no, node } => {
                if let Err(outcome) = self.send_attempt(now, part, no, node, ports)
                    && let Some(engine) = &mut self.engine
                {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Abandon { part, no, outcome } => {
                if let Some(berth) = self.node_connections.connection_of(part, no) {
                    if ports.is_opening(berth) {
                        self.remove_opening_connection(part, berth);
                    }
                    self.node_connections.remove(berth);
                    ports.close(berth);
                }
                if let Some(engine) = &mut self.engine {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Answer { asker, verdict, .. } => self.complete_request(now, asker, verdict, ports),
            Order::Renew { node } => {
                if self.seeded_bug == Some(SeededBug::RetryAfterTimeout) {
                    for berth in self.node_connections.in_flight(Some(node), Nanos(u64::MAX)) {
                        self.node_connection_failed(now, berth, Outcome::NeverSent, ports);
                    }
                }
                self.node_connections
                    .retire_connections(node)
                    .into_iter()
                    .for_each(|berth| ports.close(berth));
            }
            Order::FollowList | Order::Tell { .. } => {}
        }
    }

    // ---- Now and then ----------------------------------------------------------------------

    fn sweep<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        self.next_sweep_at = now + Nanos::from_millis(500.0);
        for berth in self.node_connections.remove_expired(now) {
            ports.close(berth);
        }
        let opens = Nanos::from_millis(self.settings.bounds.drain_cutoff_ms).times(CONNECT_TIMEOUT_SHARE);
        let waiting = self.node_connections.in_flight(None, now - opens);
        self.abandon_unopened(now, waiting, ports);
        let limits = self.config.as_ref().map(|pinned| &pinned.config.limits);
        let header_ms = limits.map_or(ClientLimits::default().header_ms, |limits| limits.header_ms);
        let sending = Nanos::from_millis(header_ms as f64).times(2.0);
        for (berth, coming) in self.clients.timed_out(now, self.client_idle_timeout(), sending) {
            if coming {
                if let Some(client) = self.clients.get_mut(berth) {
                    client.keep_alive = false;
                }
                self.reply_locally(now, berth, 408, None, b"the request did not come whole in time\n", ports);
            } else {
                self.clients.remove(berth);
                ports.close(berth);
            }
        }
        while let Some((to, bytes)) = self.peer_sampling.poll_datagram(now) {
            ports.send_datagram(to, &bytes);
        }
        let apply = Nanos::from_millis(self.settings.bounds.apply_ms);
        if self.update_relay.config_age(now).is_none_or(|ago| ago > apply) {
            // Controllers that no seed and no pulse names any more are found through neighbours, or by settings
            // that changed without a word.
            self.update_relay.add_controllers(&self.peer_sampling.candidate_controllers());
            if now >= self.next_reload_at {
                self.next_reload_at = now + Nanos::from_millis(self.settings.bounds.contact_ms);
                self.wants_settings_reload = true;
            }
        }
        self.node_list.expire(now);
        self.refresh_changed_nodes(now, ports);
        if now >= self.next_id_sweep_at {
            self.next_id_sweep_at =
                now + Nanos::from_millis(self.settings.bounds.contact_ms).times(ID_SWEEP_INTERVAL_CONTACTS);
            self.release_unused_ids(now);
        }
    }

    /// Gives up the numbers of services that no version names which is in force or which a request in hand was taken
    /// under, and of which neither the list nor the module knows any node.
    fn release_unused_ids(&mut self, now: Nanos) {
        let Some(pinned) = &self.config else { return };
        let mut versions = BTreeMap::from([(pinned.revision, pinned)]);
        self.requests.values().for_each(|ask| _ = versions.entry(ask.config.revision).or_insert(&ask.config));
        let named = versions.values().flat_map(|pinned| pinned.services());
        let listed = self.node_list.services();
        let in_use: HashSet<&str> = named.chain(listed).collect();
        // What was spent on further tries of a service counts by its number, in this window and the one before.
        let keep = Nanos::from_millis(self.settings.bounds.retry_window_s * 1e3).times(2.0);
        self.engine_ids.release_unused(now, keep, |service| in_use.contains(service));
    }
}

/// The module's number for a zone.
fn zone_id(facts: &ProcessSettings, name: &str) -> ZoneId {
    let place = facts.zones.keys().position(|zone| zone == name);
    ZoneId(place.map_or(u32::MAX, |place| place as u32))
}

/// Connections that a gateway with these settings may have at once, of all kinds.
pub fn max_connections(facts: &ProcessSettings) -> usize {
    (facts.limits.fd_limit as usize).saturating_sub(RESERVED_DESCRIPTORS).max(64)
}

/// Where a gateway with these settings is spoken to by other processes of the system.
pub fn inner_addr(facts: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(facts.ip, facts.port_range.first)
}

/// The inner addresses of the controllers that the settings name.
pub fn controller_seeds(facts: &ProcessSettings) -> Vec<SocketAddrV4> {
    facts.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), facts.port_range.first + 1)).collect()
}

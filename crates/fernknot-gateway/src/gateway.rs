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
use fernknot_ownership::{GatewayRecord as Me, IncarnationId, OwnedKeysSettings, unconfirmed};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_registry::{NodeDirectory, NodeDirectoryLimits, NodeRecord};
use fernknot_router_config::{Limits, SocketFacts};
use fernknot_rpc::{InspectionTopic, ShuffleProtocol, Subscription};
use fernknot_schema::{ClientLimits, ProcessSettings, RoutingConfig};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Descriptors that are neither clients' nor nodes'.
const RESERVE: usize = 220;
/// Granularity of the loop, which is also the estimate's network term.
const TICK_MS: f64 = 3.0;
/// A stand-still of the loop past this share of `apply_ms` is one of the process.
const AWAY: f64 = 1.0 / 6.0;
/// Views are shuffled once in so many times `contact_ms`.
const SHUFFLE: f64 = 2.0;
/// Names of services are looked through once in so many times `contact_ms`.
const NAMES: f64 = 2.0;
/// A connection to a node that is not up by this share of `drain_cutoff_ms` is given up.
const OPENS: f64 = 0.25;
/// The part of the memory that bodies of clients may take while they come.
const BODIES: f64 = 1.0 / 8.0;
/// The readiness calls that the platform may need to hear that a gateway leaves, with a little more.
const UNREADY: Nanos = Nanos(2_600_000_000);

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
    AgainAfterReset,
    /// A node that is silent for long counts as if nothing had been sent to it.
    AgainAfterSilence,
    /// A request that may have run is told a 503.
    PromiseAfterHandOff,
    /// A request may go again over a connection that carried it.
    SameLineAgain,
    /// A connection that was up and is gone counts as one that never came up.
    GoneIsUnopened,
    /// A request whose connection was up and is gone counts as one that was never sent, once it is broken off.
    PromiseAfterGone,
    /// An answer whose end no head tells counts as whole.
    CutShortIsWhole,
    /// Of pipelined requests all are taken in hand at once.
    PipelinedAtOnce,
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
    facts: ProcessSettings,
    limits: Limits,
    doors: ListenerIds,
    seed: u64,
    chance: Mwc,
    engine: Option<Engine>,
    clients: ClientConnections,
    asks: HashMap<AskerId, PendingRequest>,
    by_multiget: HashMap<MultigetId, AskerId>,
    next_asker: u64,
    lines: NodeConnections,
    names: EngineIds,
    pool: NodeDirectory,
    /// What the module was told of the lives of each service.
    nodes: HashMap<ShardId, BTreeMap<String, (NodeId, Health)>>,
    next_node: u32,
    pinned: Option<Rc<ConfigSnapshot>>,
    mains: UpdateRelay,
    shuffles: ShuffleProtocol,
    whole: bool,
    sharers: Option<u32>,
    /// How long an idle line to a node may be used again, as nodes tell.
    line_idle: Nanos,
    stopping: Option<Nanos>,
    tidy_at: Nanos,
    names_at: Nanos,
    turned: Nanos,
    reread_at: Nanos,
    wants_seeds: bool,
    counters: Counters,
    plant: Option<SeededBug>,
}

#[derive(Default)]
struct Counters {
    requests: u64,
    unrouted: u64,
    unplanned: u64,
    bad: u64,
    crowded: u64,
    strays: u64,
    spoilt: u64,
    lines_opened: u64,
    strangers: u64,
}

impl Gateway {
    /// A gateway that listens at these doors. `seed` is the number of its life and its chance: no two lives of a
    /// system may have the same.
    ///
    /// # Errors
    /// Less memory, or fewer connections, than anything can be done with.
    pub fn new(facts: ProcessSettings, doors: ListenerIds, seed: u64) -> Result<Gateway, String> {
        let bounds = &facts.bounds;
        let links = links(&facts);
        let inner_addr = inner_addr(&facts);
        let seeds = seeds(&facts);
        let me = Me { life: IncarnationId(seed), addr: inner_addr, zone: facts.zone.clone() };
        let own = PeerDescriptor {
            addr: inner_addr,
            role: Role::Gateway,
            zone: facts.zone.clone(),
            life: seed,
            age: 0,
        };
        let contact = Nanos::from_millis(bounds.contact_ms);
        let window = Nanos::from_millis(bounds.retry_window_s * 1e3);
        let beat = Nanos::from_millis(facts.beat_ms);
        let shuffles = ShuffleProtocol::new(own, &seeds, contact.times(SHUFFLE), seed);
        let shared = OwnedKeysSettings {
            most_keys: 0,
            hand_over: Nanos::from_millis(bounds.apply_ms),
            unconfirmed: unconfirmed(contact, beat),
            window,
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
            limits,
            doors,
            seed,
            chance: Mwc::new(seed),
            engine: None,
            clients: ClientConnections::default(),
            asks: HashMap::new(),
            by_multiget: HashMap::new(),
            next_asker: 0,
            lines: NodeConnections::default(),
            names: EngineIds::default(),
            pool: NodeDirectory::new(beat, NodeDirectoryLimits::default()),
            nodes: HashMap::new(),
            next_node: 0,
            pinned: None,
            mains,
            shuffles,
            whole: false,
            sharers: None,
            line_idle: Nanos::from_millis(4000.0),
            stopping: None,
            tidy_at: Nanos(0),
            names_at: Nanos(0),
            turned: Nanos(0),
            reread_at: Nanos(0),
            wants_seeds: false,
            counters: Counters::default(),
            plant: None,
            facts,
        })
    }

    /// The same with a break in it.
    #[doc(hidden)]
    pub fn planted(self, plant: SeededBug) -> Gateway {
        Gateway { plant: Some(plant), ..self }
    }

    /// Takes what happened up to now, does what is due, and says over the ports what there is to say.
    pub fn turn<P: Network>(&mut self, now: Nanos, events: impl IntoIterator<Item = Event>, ports: &mut P) {
        self.noticed(now);
        for event in events {
            self.happened(now, event, ports);
        }
        self.tend(now, ports);
        self.pump(now, ports);
        if now >= self.tidy_at {
            self.tidy(now, ports);
        }
    }

    /// When it wants a turn without news.
    pub fn due(&self) -> Nanos {
        let due = self.engine.as_ref().and_then(|engine| engine.due()).unwrap_or(Nanos(u64::MAX));
        due.min(self.mains.due()).min(self.tidy_at)
    }

    /// The order to stop: says farewell, is no longer ready, and answers what is in hand.
    pub fn stop<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            log::info!(target: "gateway", "told to stop, {} requests in hand", self.asks.len());
            self.mains.leave(ports);
        }
    }

    /// The settings name these registrars now, at their inner addresses.
    pub fn seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.mains.know(seeds);
        self.shuffles.seeds(seeds);
    }

    /// Whether nobody that it knows tells it news, so that settings may name others; says so once.
    pub fn wants_seeds(&mut self) -> bool {
        std::mem::take(&mut self.wants_seeds)
    }

    /// After the order to stop: whether all is answered, or the grace is nearly over. What has been written has still
    /// to go out.
    pub fn is_out<P: Network>(&mut self, now: Nanos, ports: &mut P) -> bool {
        let Some(since) = self.stopping else { return false };
        let grace = Nanos::from_millis(self.facts.bounds.grace_s * 1e3);
        let gone = now - since;
        if gone >= grace.times(0.92) {
            return true;
        }
        // The platform needs two calls to see that this gateway is not ready; until then it sends more.
        if gone < UNREADY.min(grace.times(0.6)) {
            return false;
        }
        ports.stop_listening(self.doors.front);
        for berth in self.clients.idle() {
            self.clients.remove(berth);
            ports.close(berth);
        }
        self.asks.is_empty() && self.clients.all().all(|client| client.door == ListenAddress::Ready)
    }

    fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.pinned.is_some() && self.whole
    }

    fn happened<P: Network>(&mut self, now: Nanos, event: Event, ports: &mut P) {
        match event {
            Event::Accepted { berth, at, .. } if at == self.doors.inner => self.mains.accepted(berth),
            Event::Accepted { berth, at, .. } => {
                let door = if at == self.doors.front { ListenAddress::Front } else { ListenAddress::Ready };
                debug_assert!(at == self.doors.front || at == self.doors.ready);
                let client = ClientConnection::new(door, now, self.idle());
                self.clients.add(berth, client);
            }
            Event::Opened { .. } => {}
            Event::Came { berth } => self.came(now, berth, false, ports),
            Event::Ended { berth } => {
                if self.clients.has(berth) {
                    self.client_gone(now, berth, ports);
                } else {
                    self.came(now, berth, true, ports);
                    if self.mains.is_mine(berth) {
                        ports.close(berth);
                        self.mains.lost(now, berth);
                    }
                }
            }
            Event::Gone { berth, opened, why } => {
                if self.lines.is_line(berth) {
                    log::debug!(target: "line", "{why}");
                    self.line_rest(now, berth, ports);
                    let may_have_run = opened && self.plant != Some(SeededBug::AgainAfterReset);
                    let outcome = if may_have_run { Outcome::Broken } else { Outcome::Unreachable };
                    self.line_lost(now, berth, outcome, ports);
                } else if self.mains.is_mine(berth) {
                    self.mains.lost(now, berth);
                } else {
                    self.client_gone(now, berth, ports);
                }
            }
            Event::Datagram { from, bytes } => {
                if let Some(answer) = self.shuffles.came(now, from, &bytes) {
                    ports.send_datagram(from, &answer);
                }
            }
            Event::Woken => {}
        }
    }

    fn came<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ended: bool, ports: &mut P) {
        if self.lines.is_line(berth) {
            self.line_came(now, berth, ended, ports);
        } else if self.mains.is_mine(berth) {
            self.news(now, berth, ports);
        } else {
            self.client_came(now, berth, ports);
        }
    }

    // ---- News ------------------------------------------------------------------------------

    /// What those that listen here are told.
    fn held<'a>(
        pinned: &'a Option<Rc<ConfigSnapshot>>,
        pool: &'a NodeDirectory,
        whole: bool,
        ready: bool,
    ) -> LocalState<'a> {
        let plan = pinned.as_ref().map(|pinned| (pinned.order, &pinned.plan));
        LocalState { pool, plan, whole, ready }
    }

    fn tend<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let ready = self.is_ready();
        let held = Gateway::held(&self.pinned, &self.pool, self.whole, ready);
        self.mains.tend(now, ports, &held);
    }

    fn news<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ports: &mut P) {
        let (mut news, fence, ready) = (Vec::new(), self.mains.fence(), self.is_ready());
        let held = Gateway::held(&self.pinned, &self.pool, self.whole, ready);
        self.mains.came(now, berth, ports, &held, &mut news);
        if self.mains.fence() > fence {
            self.mains.pass_cut(ports);
        }
        news.into_iter().for_each(|news| self.heard(now, news, ports));
    }

    /// Guards against taking a stand-still of this process for silence of the others.
    fn noticed(&mut self, now: Nanos) {
        let gap = now - std::mem::replace(&mut self.turned, now);
        if gap > Nanos::from_millis(self.facts.bounds.apply_ms).times(AWAY) {
            log::warn!(target: "gateway", "The loop stood still for {:.0} ms.", gap.as_millis());
            self.mains.was_away(now);
        }
    }

    fn heard<P: Network>(&mut self, now: Nanos, news: Update, ports: &mut P) {
        match news {
            Update::Plan { order, plan } => self.take_plan(now, order, plan, ports),
            Update::Nodes(facts) => {
                // Only what is news here goes on, so that it never goes in a circle.
                let is_news = |fact: &&NodeRecord| {
                    let held = self.pool.get(&fact.id);
                    held.is_none_or(|held| held.state != fact.state || held.seq < fact.seq)
                };
                let fresh: Vec<NodeRecord> = facts.iter().filter(is_news).cloned().collect();
                self.pool.take(now, &facts);
                self.mains.pass_nodes(ports, &fresh);
                self.relist(now, ports);
            }
            Update::Whole { mark, share } => {
                let services = match &share {
                    Subscription::All => None,
                    Subscription::Services(names) => Some(&names[..]),
                };
                self.pool.whole_told(mark, services);
                if !std::mem::replace(&mut self.whole, true) {
                    self.mains.pass_whole(ports);
                }
            }
            Update::Asked { berth, question } => {
                let text = match question {
                    InspectionTopic::Counters => self.count(now),
                    InspectionTopic::Nodes => {
                        let line = |fact: &NodeRecord| {
                            let NodeRecord { id, service, addr, zone, state, .. } = fact;
                            format!("{id} {service} {addr} {zone} {state:?}\n")
                        };
                        self.pool.facts().map(line).collect()
                    }
                    other => self.mains.text(other),
                };
                self.mains.answer(ports, berth, text);
            }
            Update::Well => {
                self.pool.teller_well(now);
                let sharers = self.mains.shared_by(now);
                if sharers != self.sharers {
                    self.sharers = sharers;
                    let free = self.slack();
                    if let Some(engine) = &mut self.engine {
                        engine.slack(free);
                        sharers.iter().for_each(|count| engine.shared_by(now, *count as usize));
                    }
                }
            }
        }
    }

    /// This gateway's share of the slack of each service; none while the others may not count it.
    fn slack(&self) -> f64 {
        self.sharers.map_or(0.0, |sharers| self.facts.bounds.retry_slack / f64::from(sharers.max(1)))
    }

    fn take_plan<P: Network>(&mut self, now: Nanos, order: u64, plan: RoutingConfig, ports: &mut P) {
        // Guards against going back: only what is later in the one order is ever taken.
        if self.pinned.as_ref().is_some_and(|held| held.order >= order) {
            return;
        }
        let longest = plan.routes.iter().map(|route| route.deadline_ms).max().unwrap_or(0);
        let keep = Nanos::from_millis(longest as f64 * 2.0 + 10_000.0);
        log::info!(target: "plan", "version {} with {} routes is in force", plan.epoch, plan.routes.len());
        self.limits.head = plan.limits.header_bytes as usize;
        self.limits.body = plan.limits.body_bytes as usize;
        let (pinned, cases, freed) = self.names.pin(now, order, plan, keep);
        if let Some(engine) = &mut self.engine {
            freed.into_iter().for_each(|case| engine.retire(case));
        }
        match &mut self.engine {
            Some(engine) => cases.iter().for_each(|(case, facts)| engine.use_case(now, *case, facts)),
            None => {
                let shortest = cases.iter().map(|(_, facts)| facts.goal).filter(|goal| goal.0 > 0).min();
                let site = SiteFacts {
                    routers: self.sharers.unwrap_or(1).max(1) as usize,
                    use_cases: cases.into_iter().map(|(_, facts)| facts).collect(),
                    shortest_goal: shortest,
                    customers: Vec::new(),
                    tick: Nanos::from_millis(TICK_MS),
                    cold: ColdFacts::default(),
                    budget: Some(BudgetFacts {
                        free: self.slack(),
                        share: self.facts.bounds.retry_ratio,
                        window: Nanos::from_millis(self.facts.bounds.retry_window_s * 1e3),
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
                    zone: Some(zone_of(&self.facts, &self.facts.zone)),
                    // What a client waits for tells when it first asked, but a late answer still earns something.
                    marks_repeats: true,
                    // One that is refused twice costs a third of its worth, and a late answer earns as much.
                    refusals_cost: true,
                };
                self.engine = Some(Engine::new(self.seed, site, &[], 0, now));
            }
        }
        self.mains.pass_plan(ports, order, &pinned.plan);
        self.mains.services(&pinned.plan);
        self.pinned = Some(Rc::new(pinned));
        self.relist_all(now, ports);
    }

    /// Bytes that bodies of all clients together may take while they come; one that the version in force allows always
    /// may.
    fn most_in_part(&self) -> usize {
        let most = (self.facts.limits.memory_mb * f64::from(1 << 20) * BODIES) as usize;
        most.max(self.limits.body)
    }

    /// How long connections of clients may rest by the version in force.
    fn idle(&self) -> Nanos {
        let held = self.pinned.as_ref().map(|pinned| pinned.plan.limits.idle_ms);
        Nanos::from_millis(held.unwrap_or(ClientLimits::default().idle_ms) as f64)
    }

    fn count(&self, now: Nanos) -> String {
        let counters = &self.counters;
        let mut text = format!(
            "requests {}\nunrouted {}\nunplanned {}\nbad {}\ncrowded {}\nstrays {}\nspoilt {}\nlines_opened {}\nstrangers {}\n\
             in_hand {}\nlines {}\nnodes {}\nservices {}\nversion {}\n",
            counters.requests,
            counters.unrouted,
            counters.unplanned,
            counters.bad,
            counters.crowded,
            counters.strays,
            counters.spoilt,
            counters.lines_opened,
            counters.strangers,
            self.asks.len(),
            self.lines.len(),
            self.nodes.values().map(BTreeMap::len).sum::<usize>(),
            self.names.services(),
            self.pinned.as_ref().map_or(0, |pinned| pinned.plan.epoch),
        );
        let old = Nanos::from_millis(self.facts.bounds.drain_cutoff_ms);
        let fresh = self.mains.fresh_ago(now).is_some_and(|ago| ago <= old);
        text += &format!("news_old {}\n", u8::from(!fresh));
        if let Some(engine) = &self.engine {
            text += &engine.counters.text();
        }
        text
    }

    // ---- Orders ----------------------------------------------------------------------------

    fn pump<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        loop {
            let Some(engine) = &mut self.engine else { return };
            let due = engine.due().is_some_and(|at| at <= now);
            if !due && !engine.has_news() {
                return;
            }
            while let Some(order) = self.engine.as_mut().and_then(|engine| engine.next(now)) {
                self.carry_out(now, order, ports);
            }
        }
    }

    fn carry_out<P: Network>(&mut self, now: Nanos, order: Order, ports: &mut P) {
        match order {
            Order::Send { part, no, node } => {
                if let Err(outcome) = self.send(now, part, no, node, ports)
                    && let Some(engine) = &mut self.engine
                {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Abandon { part, no, outcome } => {
                if let Some(berth) = self.lines.carrier(part, no) {
                    if ports.is_opening(berth) {
                        self.never_opened(part, berth);
                    }
                    self.lines.lost(berth);
                    ports.close(berth);
                }
                if let Some(engine) = &mut self.engine {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Answer { asker, verdict, .. } => self.answer(now, asker, verdict, ports),
            Order::Renew { node } => {
                if self.plant == Some(SeededBug::AgainAfterSilence) {
                    for berth in self.lines.carrying(Some(node), Nanos(u64::MAX)) {
                        self.line_lost(now, berth, Outcome::NeverSent, ports);
                    }
                }
                self.lines.renew(node).into_iter().for_each(|berth| ports.close(berth));
            }
            Order::FollowList | Order::Tell { .. } => {}
        }
    }

    // ---- Now and then ----------------------------------------------------------------------

    fn tidy<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        self.tidy_at = now + Nanos::from_millis(500.0);
        for berth in self.lines.stale(now) {
            ports.close(berth);
        }
        let opens = Nanos::from_millis(self.facts.bounds.drain_cutoff_ms).times(OPENS);
        let waiting = self.lines.carrying(None, now - opens);
        self.give_up_unopened(now, waiting, ports);
        let limits = self.pinned.as_ref().map(|pinned| &pinned.plan.limits);
        let header_ms = limits.map_or(ClientLimits::default().header_ms, |limits| limits.header_ms);
        let sending = Nanos::from_millis(header_ms as f64).times(2.0);
        for (berth, coming) in self.clients.overdue(now, self.idle(), sending) {
            if coming {
                if let Some(client) = self.clients.get_mut(berth) {
                    client.keep = false;
                }
                self.say(now, berth, 408, None, b"the request did not come whole in time\n", ports);
            } else {
                self.clients.remove(berth);
                ports.close(berth);
            }
        }
        while let Some((to, bytes)) = self.shuffles.next(now) {
            ports.send_datagram(to, &bytes);
        }
        let apply = Nanos::from_millis(self.facts.bounds.apply_ms);
        if self.mains.fresh_ago(now).is_none_or(|ago| ago > apply) {
            // Registrars that no seed and no pulse names any more are found through neighbours, or by settings
            // that changed without a word.
            self.mains.know(&self.shuffles.registrars());
            if now >= self.reread_at {
                self.reread_at = now + Nanos::from_millis(self.facts.bounds.contact_ms);
                self.wants_seeds = true;
            }
        }
        self.pool.expire(now);
        self.relist(now, ports);
        if now >= self.names_at {
            self.names_at = now + Nanos::from_millis(self.facts.bounds.contact_ms).times(NAMES);
            self.give_up_names(now);
        }
    }

    /// Gives up the numbers of services that no version names which is in force or which a request in hand was taken
    /// under, and of which neither the list nor the module knows any node.
    fn give_up_names(&mut self, now: Nanos) {
        let Some(pinned) = &self.pinned else { return };
        let mut versions = BTreeMap::from([(pinned.order, pinned)]);
        self.asks.values().for_each(|ask| _ = versions.entry(ask.pinned.order).or_insert(&ask.pinned));
        let named = versions.values().flat_map(|pinned| pinned.services());
        let listed = self.pool.services();
        let in_use: HashSet<&str> = named.chain(listed).collect();
        // What was spent on further tries of a service counts by its number, in this window and the one before.
        let keep = Nanos::from_millis(self.facts.bounds.retry_window_s * 1e3).times(2.0);
        self.names.give_up(now, keep, |service| in_use.contains(service));
    }
}

/// The module's number for a zone.
fn zone_of(facts: &ProcessSettings, name: &str) -> ZoneId {
    let place = facts.zones.keys().position(|zone| zone == name);
    ZoneId(place.map_or(u32::MAX, |place| place as u32))
}

/// Connections that a gateway with these settings may have at once, of all kinds.
pub fn links(facts: &ProcessSettings) -> usize {
    (facts.limits.fd_limit as usize).saturating_sub(RESERVE).max(64)
}

/// Where a gateway with these settings is spoken to by other processes of the system.
pub fn inner_addr(facts: &ProcessSettings) -> SocketAddrV4 {
    SocketAddrV4::new(facts.ip, facts.port_range.0)
}

/// The inner addresses of the registrars that the settings name.
pub fn seeds(facts: &ProcessSettings) -> Vec<SocketAddrV4> {
    facts.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), facts.port_range.0 + 1)).collect()
}

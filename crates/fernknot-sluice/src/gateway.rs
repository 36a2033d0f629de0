//! One gateway: the loop's events become calls on the engine, and its orders are carried out.

use crate::asks::{Ask, Final, Verdict as Judged, judge, wire};
use crate::clients::{Client, Clients, Door};
use crate::lines::{Heard, Lines};
use crate::news::{Held, Mains, News};
use crate::routes::{Names, Pinned};
use fernknot::interface::*;
use fernknot::state::Mwc;
use fernknot_conduit::{Question, Share, Shuffles};
use fernknot_config::{Limits, SocketFacts};
use fernknot_duties::{Gateway as Me, LifeId, doubt};
use fernknot_engine::{AskerId, Engine, Order, Verdict};
use fernknot_intake::{Plan, ProcessFacts, Target};
use fernknot_overlay::{Descriptor, Role};
use fernknot_penstock::{Berth, Dock, DockFacts, Event, Signals};
use fernknot_protocol::http::{Answer, GO_ON, Request, Response};
use fernknot_protocol::multiget::{Asked, AskedPart};
use fernknot_registry::{NodeFact, NodeState, Pool, PoolBounds};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Descriptors that are neither clients' nor nodes'.
const RESERVE: usize = 220;
/// Granularity of the loop, which is also the estimate's network term.
const TICK_MS: f64 = 3.0;
/// A stand-still of the loop past this share of `apply_ms` is one of the process.
const AWAY: f64 = 1.0 / 6.0;
/// Views are shuffled once in so many times `contact_ms`.
const SHUFFLE: f64 = 2.0;
/// A connection to a node that is not up by this share of `drain_cutoff_ms` is given up.
const OPENS: f64 = 0.25;
/// The readiness calls that the platform may need to hear that a gateway leaves, with a little more.
const UNREADY: Duration = Duration::from_millis(2600);

pub struct Gateway {
    facts: ProcessFacts,
    limits: Limits,
    dock: Dock,
    signals: Signals,
    start: Instant,
    front: Berth,
    ready_door: Berth,
    seed: u64,
    chance: Mwc,
    engine: Option<Engine>,
    clients: Clients,
    asks: HashMap<AskerId, Ask>,
    by_multiget: HashMap<MultigetId, AskerId>,
    next_asker: u64,
    lines: Lines,
    names: Names,
    pool: Pool,
    nodes: HashMap<String, (NodeId, Health)>,
    next_node: u32,
    pinned: Option<Rc<Pinned>>,
    mains: Mains,
    shuffles: Shuffles,
    inner: Berth,
    whole: bool,
    sharers: Option<u32>,
    /// How long an idle line to a node may be used again, as nodes tell.
    line_idle: Nanos,
    stopping: Option<Instant>,
    tidy_at: Nanos,
    turned: Nanos,
    reread_at: Nanos,
    counters: Counters,
}

#[derive(Default)]
struct Counters {
    requests: u64,
    unrouted: u64,
    unplanned: u64,
    bad: u64,
    strays: u64,
    spoilt: u64,
    lines_opened: u64,
    strangers: u64,
}

impl Gateway {
    pub fn new(facts: ProcessFacts, seed: u64) -> Result<Gateway, Box<dyn std::error::Error>> {
        let bounds = &facts.bounds;
        let millis = |ms: f64| Duration::from_nanos((ms * 1e6) as u64);
        let links = (facts.limits.fd_limit as usize).saturating_sub(RESERVE).max(64);
        let silence = millis(bounds.apply_ms);
        let mut dock = Dock::new(DockFacts { links, ahead: 64 * 1024, silence })?;
        let place = |name: &str| format!("settings: bind_addrs.{name} is missing");
        let front = dock.listen(facts.bind_addrs.front_addr.ok_or(place("front_addr"))?)?;
        let ready_door = dock.listen(facts.bind_addrs.ready_addr.ok_or(place("ready_addr"))?)?;
        let inner_addr = SocketAddrV4::new(facts.ip, facts.port_range.0);
        let inner = dock.listen(inner_addr)?;
        let seeds: Vec<SocketAddrV4> =
            facts.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), facts.port_range.0 + 1)).collect();
        let me = Me { life: LifeId(seed), addr: inner_addr, zone: facts.zone.clone() };
        dock.listen_datagrams(inner_addr)?;
        let own = Descriptor {
            addr: inner_addr,
            role: Role::Gateway,
            zone: facts.zone.clone(),
            life: seed,
            age: 0,
        };
        let contact = Nanos::from_millis(bounds.contact_ms);
        let window = Nanos::from_millis(bounds.retry_window_s * 1e3);
        let beat = Nanos::from_millis(facts.beat_ms);
        // Half of what registrars wait: all others have heard of a newcomer before it spends.
        let unconfirmed = doubt(contact, window, beat).times(0.5);
        let shuffles = Shuffles::new(own, &seeds, contact.times(SHUFFLE), seed);
        let mains = Mains::new(me, &seeds, Nanos::from_millis(bounds.apply_ms), unconfirmed, seed);
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
            dock,
            signals: Signals::watch()?,
            start: Instant::now(),
            front,
            ready_door,
            seed,
            chance: Mwc::new(seed),
            engine: None,
            clients: Clients::default(),
            asks: HashMap::new(),
            by_multiget: HashMap::new(),
            next_asker: 0,
            lines: Lines::default(),
            names: Names::default(),
            pool: Pool::new(beat, PoolBounds::default()),
            nodes: HashMap::new(),
            next_node: 0,
            pinned: None,
            mains,
            shuffles,
            inner,
            whole: false,
            sharers: None,
            line_idle: Nanos::from_millis(4000.0),
            stopping: None,
            tidy_at: Nanos(0),
            turned: Nanos(0),
            reread_at: Nanos(0),
            counters: Counters::default(),
            facts,
        })
    }

    fn now(&self) -> Nanos {
        Nanos(self.start.elapsed().as_nanos() as u64)
    }

    /// Serves until the order to stop has been carried out.
    pub fn run(&mut self) {
        let mut events = Vec::new();
        log::info!(target: "gateway", "{} serves in {}", self.facts.node_name, self.facts.zone);
        loop {
            let now = self.now();
            let due = self.engine.as_ref().and_then(|engine| engine.due()).unwrap_or(Nanos(u64::MAX));
            let due = due.min(self.mains.due()).min(self.tidy_at);
            let wait = Duration::from_nanos((due - now).0.min(250_000_000));
            self.dock.turn(Some(wait), &mut events);
            let now = self.now();
            self.noticed(now);
            for event in events.drain(..) {
                self.happened(now, event);
            }
            self.tend(now);
            self.pump(now);
            if now >= self.tidy_at {
                self.tidy(now);
            }
            if self.signals.stop() && self.stopping.is_none() {
                self.stopping = Some(Instant::now());
                log::info!(target: "gateway", "told to stop, {} requests in hand", self.asks.len());
                self.mains.leave(&mut self.dock);
            }
            if self.signals.changed() {
                log::info!(target: "gateway", "told that its settings changed");
                self.reread();
            }
            if self.is_out() {
                // What is written last has to be on its way.
                self.dock.turn(Some(Duration::ZERO), &mut events);
                log::info!(target: "gateway", "out");
                return;
            }
        }
    }

    fn reread(&mut self) {
        let path = std::env::var("FERNKNOT_CONFIG").unwrap_or_default();
        let Ok(bytes) = std::fs::read(&path) else { return };
        match ProcessFacts::read(&bytes) {
            Ok(facts) => {
                let inner = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), facts.port_range.0 + 1);
                let seeds: Vec<SocketAddrV4> = facts.seeds.iter().map(inner).collect();
                self.mains.know(&seeds);
                self.shuffles.seeds(&seeds);
            }
            Err(faults) => faults
                .iter()
                .for_each(|fault| log::warn!(target: "settings", "{}: {}", fault.place, fault.why)),
        }
    }

    /// After the order to stop: whether all is answered, or the grace is nearly over.
    fn is_out(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let grace = Duration::from_secs_f64(self.facts.bounds.grace_s);
        let gone = since.elapsed();
        if gone >= grace.mul_f64(0.92) {
            return true;
        }
        // The platform needs two calls to see that this gateway is not ready; until then it sends more.
        if gone < UNREADY.min(grace.mul_f64(0.6)) {
            return false;
        }
        self.dock.stop_listening(self.front);
        for berth in self.clients.idle() {
            self.clients.held.remove(&berth);
            self.dock.close(berth);
        }
        self.asks.is_empty() && self.clients.held.values().all(|client| client.door == Door::Ready)
    }

    fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.pinned.is_some() && self.whole
    }

    fn happened(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Accepted { berth, at, .. } if at == self.inner => self.mains.accepted(berth),
            Event::Accepted { berth, at, .. } => {
                let door = if at == self.front { Door::Front } else { Door::Ready };
                debug_assert!(at == self.front || at == self.ready_door);
                self.clients.held.insert(berth, Client::new(door, now));
            }
            Event::Opened { .. } => {}
            Event::Came { berth } => self.came(now, berth, false),
            Event::Ended { berth } => {
                if self.clients.held.contains_key(&berth) {
                    self.client_gone(now, berth);
                } else {
                    self.came(now, berth, true);
                    if self.mains.is_mine(berth) {
                        self.dock.close(berth);
                        self.mains.lost(now, berth);
                    }
                }
            }
            Event::Gone { berth, opened, why } => {
                if self.lines.is_line(berth) {
                    log::debug!(target: "line", "{why}");
                    self.line_lost(now, berth, if opened { Outcome::Broken } else { Outcome::Unreachable });
                } else if self.mains.is_mine(berth) {
                    self.mains.lost(now, berth);
                } else {
                    self.client_gone(now, berth);
                }
            }
            Event::Datagram { from, bytes } => {
                if let Some(answer) = self.shuffles.came(now, from, &bytes) {
                    self.dock.send_datagram(from, &answer);
                }
            }
            Event::Woken => {}
        }
    }

    fn came(&mut self, now: Nanos, berth: Berth, ended: bool) {
        if self.lines.is_line(berth) {
            self.line_came(now, berth, ended);
        } else if self.mains.is_mine(berth) {
            self.news(now, berth);
        } else {
            self.client_came(now, berth);
        }
    }

    // ---- News ------------------------------------------------------------------------------

    /// What those that listen here are told.
    fn held<'a>(pinned: &'a Option<Rc<Pinned>>, pool: &'a Pool, whole: bool, ready: bool) -> Held<'a> {
        let plan = pinned.as_ref().map(|pinned| (pinned.order, &pinned.plan));
        Held { pool, plan, whole, ready }
    }

    fn tend(&mut self, now: Nanos) {
        let ready = self.is_ready();
        let held = Gateway::held(&self.pinned, &self.pool, self.whole, ready);
        self.mains.tend(now, &mut self.dock, &held);
    }

    fn news(&mut self, now: Nanos, berth: Berth) {
        let (mut news, fence, ready) = (Vec::new(), self.mains.fence(), self.is_ready());
        let held = Gateway::held(&self.pinned, &self.pool, self.whole, ready);
        self.mains.came(now, berth, &mut self.dock, &held, &mut news);
        if self.mains.fence() > fence {
            self.mains.pass_cut(&mut self.dock);
        }
        news.into_iter().for_each(|news| self.heard(now, news));
    }

    /// Guards against taking a stand-still of this process for silence of the others.
    fn noticed(&mut self, now: Nanos) {
        let gap = now - std::mem::replace(&mut self.turned, now);
        if gap > Nanos::from_millis(self.facts.bounds.apply_ms).times(AWAY) {
            log::warn!(target: "gateway", "The loop stood still for {:.0} ms.", gap.as_millis());
            self.mains.was_away(now);
        }
    }

    fn heard(&mut self, now: Nanos, news: News) {
        match news {
            News::Plan { order, plan } => self.take_plan(now, order, plan),
            News::Nodes(facts) => {
                // Only what is news here goes on, so that it never goes in a circle.
                let is_news = |fact: &&NodeFact| {
                    let held = self.pool.get(&fact.id);
                    held.is_none_or(|held| held.state != fact.state || held.seq < fact.seq)
                };
                let fresh: Vec<NodeFact> = facts.iter().filter(is_news).cloned().collect();
                self.pool.take(now, &facts);
                self.mains.pass_nodes(&mut self.dock, &fresh);
                self.relist(now);
            }
            News::Whole { mark, share } => {
                let services = match &share {
                    Share::All => None,
                    Share::Services(names) => Some(&names[..]),
                };
                self.pool.whole_told(mark, services);
                if !std::mem::replace(&mut self.whole, true) {
                    self.mains.pass_whole(&mut self.dock);
                }
            }
            News::Asked { berth, question } => {
                let text = match question {
                    Question::Counters => self.count(),
                    Question::Nodes => {
                        let line = |fact: &NodeFact| {
                            let NodeFact { id, service, addr, zone, state, .. } = fact;
                            format!("{id} {service} {addr} {zone} {state:?}\n")
                        };
                        self.pool.facts().map(line).collect()
                    }
                    other => self.mains.text(other),
                };
                self.mains.answer(&mut self.dock, berth, text);
            }
            News::Well => {
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

    fn take_plan(&mut self, now: Nanos, order: u64, plan: Plan) {
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
                    zone: Some(self.zone(&self.facts.zone.clone())),
                    // What a client waits for tells when it first asked, but a late answer still earns something.
                    marks_repeats: true,
                    // One that is refused twice costs a third of its worth, and a late answer earns as much.
                    refusals_cost: true,
                };
                self.engine = Some(Engine::new(self.seed, site, &[], 0, now));
            }
        }
        self.mains.pass_plan(&mut self.dock, order, &pinned.plan);
        self.mains.services(&pinned.plan);
        self.pinned = Some(Rc::new(pinned));
        self.relist_all(now);
    }

    fn zone(&self, name: &str) -> ZoneId {
        let place = self.facts.zones.keys().position(|zone| zone == name);
        ZoneId(place.map_or(u32::MAX, |place| place as u32))
    }

    fn relist_all(&mut self, now: Nanos) {
        let services: Vec<String> = self.pool.services().map(str::to_string).collect();
        self.relist_of(now, services);
    }

    fn relist(&mut self, now: Nanos) {
        let services = self.pool.take_changed();
        self.relist_of(now, services);
    }

    /// Tells the module what differs in the lists of these services.
    fn relist_of(&mut self, now: Nanos, services: impl IntoIterator<Item = String>) {
        if self.engine.is_none() {
            return;
        }
        let mut entries = Vec::new();
        let mut close = Vec::new();
        let mut leaving = Vec::new();
        for service in services {
            let shard = self.names.shard(&service);
            if let Some(engine) = &mut self.engine {
                engine.group(PlaceId(shard.0), self.names.group(shard));
            }
            for fact in self.pool.of(&service) {
                let health = match fact.state {
                    NodeState::Ready => Health::Running,
                    NodeState::Draining => Health::Draining,
                    NodeState::Lost | NodeState::Gone => Health::Gone,
                };
                let known = self.nodes.get(&fact.id).copied();
                if known.is_none() && health == Health::Gone || known.is_some_and(|(_, was)| was == health) {
                    continue;
                }
                let node = known.map_or(NodeId(self.next_node), |(node, _)| node);
                self.next_node = self.next_node.max(node.0 + 1);
                if health == Health::Gone {
                    close.extend(self.lines.forget(node));
                    if fact.state == NodeState::Gone {
                        self.nodes.remove(&fact.id);
                    } else {
                        self.nodes.insert(fact.id.clone(), (node, health));
                    }
                } else {
                    self.nodes.insert(fact.id.clone(), (node, health));
                    self.lines.know(node, &fact.id, fact.addr);
                }
                if health != Health::Running {
                    leaving.push(node);
                }
                let zone = Some(self.zone(&fact.zone));
                entries.push(NodeEntry { node, place: PlaceId(shard.0), zone, health, since: Nanos(0) });
            }
        }
        close.into_iter().for_each(|berth| self.dock.close(berth));
        // What has not gone out by now may not reach a node that leaves: the connection may take seconds.
        for node in leaving {
            let waiting = self.lines.carrying(Some(node), Nanos(u64::MAX));
            self.give_up_unopened(now, waiting);
        }
        if let Some(engine) = self.engine.as_mut().filter(|_| !entries.is_empty()) {
            log::info!(target: "nodes", "{} changes, {} known", entries.len(), self.nodes.len());
            engine.list(ListKind::Changes, &entries);
        }
    }

    /// Gives up connections that are not up yet. Nothing of what they carry has been sent.
    fn give_up_unopened(&mut self, now: Nanos, lines: Vec<Berth>) {
        for berth in lines {
            if !self.dock.is_open(berth) {
                self.line_lost(now, berth, Outcome::Unreachable);
            }
        }
    }

    // ---- Clients ---------------------------------------------------------------------------

    fn client_gone(&mut self, now: Nanos, berth: Berth) {
        self.dock.close(berth);
        let Some(client) = self.clients.held.remove(&berth) else { return };
        let Some(ask) = client.asker.and_then(|asker| self.asks.remove(&asker)) else { return };
        self.by_multiget.remove(&ask.multiget);
        if let Some(engine) = &mut self.engine {
            engine.lapsed(now, ask.multiget);
        }
    }

    fn client_came(&mut self, now: Nanos, berth: Berth) {
        loop {
            let Some(client) = self.clients.held.get_mut(&berth) else { return };
            // One after the other: what comes behind a request waits for its answer.
            if client.asker.is_some() {
                return;
            }
            let Some(input) = self.dock.input(berth) else { return };
            let request = match client.reader.read(input, &self.limits) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let coming = client.reader.is_open() || !input.is_empty();
                    if coming && !client.coming {
                        client.since = now;
                    }
                    client.coming = coming;
                    if client.reader.wants_leave()
                        && let Some(out) = self.dock.output(berth)
                    {
                        out.push(GO_ON);
                    }
                    return;
                }
                Err(why) => {
                    self.counters.bad += 1;
                    log::debug!(target: "client", "{} {}", why.status, why.why);
                    client.keep = false;
                    self.say(now, berth, why.status, None, why.why.as_bytes());
                    return;
                }
            };
            (client.coming, client.since) = (false, now);
            (client.keep, client.old) = (request.keep, request.old);
            match client.door {
                Door::Ready => self.own(now, berth, &request),
                Door::Front => self.request(now, berth, request),
            }
        }
    }

    /// An answer of our own, at either door.
    fn say(&mut self, now: Nanos, berth: Berth, status: u16, wait: Option<f64>, body: &[u8]) {
        let Some(client) = self.clients.held.get_mut(&berth) else { return };
        let keep = client.keep && self.stopping.is_none();
        let answer = Answer { status, kind: "text/plain", wait, keep, old: client.old };
        (client.asker, client.since) = (None, now);
        if let Some(out) = self.dock.output(berth) {
            answer.write(out, body);
        }
        if !keep {
            self.clients.held.remove(&berth);
            self.dock.close_after(berth);
        }
    }

    fn own(&mut self, now: Nanos, berth: Berth, request: &Request) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/readiness") if self.is_ready() => self.say(now, berth, 200, None, b"ready\n"),
            ("GET", "/-/readiness") => self.say(now, berth, 503, None, b"not ready\n"),
            ("GET", "/-/counters") => {
                let text = self.count();
                self.say(now, berth, 200, None, text.as_bytes());
            }
            _ => self.say(now, berth, 404, None, b"unknown\n"),
        }
    }

    fn count(&self) -> String {
        let counters = &self.counters;
        let mut text = format!(
            "requests {}\nunrouted {}\nunplanned {}\nbad {}\nstrays {}\nspoilt {}\nlines_opened {}\nstrangers {}\n\
             in_hand {}\nlines {}\nnodes {}\nversion {}\n",
            counters.requests,
            counters.unrouted,
            counters.unplanned,
            counters.bad,
            counters.strays,
            counters.spoilt,
            counters.lines_opened,
            counters.strangers,
            self.asks.len(),
            self.lines.len(),
            self.nodes.len(),
            self.pinned.as_ref().map_or(0, |pinned| pinned.plan.epoch),
        );
        let old = Nanos::from_millis(self.facts.bounds.drain_cutoff_ms);
        let fresh = self.mains.fresh_ago(self.now()).is_some_and(|ago| ago <= old);
        text += &format!("news_old {}\n", u8::from(!fresh));
        if let Some(engine) = &self.engine {
            text += &engine.counters.text();
        }
        text
    }

    fn request(&mut self, now: Nanos, berth: Berth, request: Request) {
        self.counters.requests += 1;
        let Some(pinned) = self.pinned.clone() else {
            self.counters.unplanned += 1;
            return self.say(now, berth, 503, Some(0.5), b"no configuration yet\n");
        };
        let host = request.header("host").unwrap_or_default();
        let Some(index) = pinned.find(host, request.path()) else {
            self.counters.unrouted += 1;
            return self.say(now, berth, 404, None, b"no route\n");
        };
        let Some(attempt) = request.header(wire::ATTEMPT).filter(|id| !id.is_empty() && id.len() <= 256)
        else {
            self.counters.bad += 1;
            return self.say(now, berth, 400, None, b"Attempt-Id is missing or unfit\n");
        };
        let attempt = attempt.to_string();
        let route = pinned.route(index);
        let told = request.header(wire::DEADLINE).and_then(|text| text.trim().parse::<u64>().ok());
        let wait = told.unwrap_or(u64::MAX).min(route.deadline_ms);
        let wait = Nanos(wait.saturating_mul(1_000_000));
        let services: Vec<&str> = match &route.to {
            Target::Backend(service) => vec![service],
            Target::Shares(shares) => vec![self.drawn(shares)],
            Target::Fanout { shards, .. } => shards.iter().map(String::as_str).collect(),
        };
        let weight = 1.0 / services.len().max(1) as f64;
        let part = |service: &str| AskedPart { shard: self.names.shard(service), weight, effort: None };
        let parts: Vec<AskedPart> = services.into_iter().map(part).collect();
        let asker = AskerId(self.next_asker);
        self.next_asker += 1;
        let asked = Asked {
            id: attempt.clone(),
            use_case: pinned.use_case(index),
            key: None,
            wait,
            repeat: false,
            text: String::new(),
            parts,
            second: None,
        };
        let client_end = now + wait;
        let count = asked.parts.len();
        let mut ask = Ask::new(berth, pinned, index, attempt, client_end, request, count);
        let Some(engine) = &mut self.engine else { return };
        ask.multiget = engine.take(now, asker, client_end, asked);
        self.by_multiget.insert(ask.multiget, asker);
        self.asks.insert(asker, ask);
        if let Some(client) = self.clients.held.get_mut(&berth) {
            client.asker = Some(asker);
        }
    }

    /// The service that a request goes to where several share a route, by their weights.
    fn drawn<'a>(&mut self, shares: &'a [(String, f64)]) -> &'a str {
        let all: f64 = shares.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let mut at = self.chance.share() * all;
        let drawn = shares.iter().find(|(_, weight)| {
            at -= weight.max(0.0);
            at < 0.0 && *weight > 0.0
        });
        drawn.or(shares.iter().rfind(|(_, weight)| *weight > 0.0)).map_or("", |(name, _)| name)
    }

    // ---- Lines to nodes --------------------------------------------------------------------

    fn line_lost(&mut self, now: Nanos, berth: Berth, outcome: Outcome) {
        self.dock.close(berth);
        if let Some((part, no)) = self.lines.lost(berth)
            && let Some(engine) = &mut self.engine
        {
            engine.ended(now, part, no, outcome, LoadReport::default());
        }
    }

    fn line_came(&mut self, now: Nanos, berth: Berth, ended: bool) {
        let Some(input) = self.dock.input(berth) else { return };
        match self.lines.read(berth, input, ended, &self.limits) {
            Heard::Nothing => {}
            Heard::Spoilt => {
                self.counters.spoilt += 1;
                self.line_lost(now, berth, Outcome::Broken);
            }
            Heard::Answer { part, no, node, response } => {
                self.answered(now, berth, (part, no), node, response)
            }
        }
    }

    fn answered(
        &mut self,
        now: Nanos,
        berth: Berth,
        (part, no): (PartId, HandOffNo),
        node: NodeId,
        response: Response,
    ) {
        if let Some(told) = response.header("keep-alive").and_then(timeout) {
            // Closed a little before the node would, so that nothing is sent into a closing line.
            self.line_idle = Nanos::from_millis(told as f64 * 1e3).times(0.75);
        }
        let ask = self.by_multiget.get(&part.of).and_then(|asker| self.asks.get_mut(asker));
        let verdict = match &ask {
            Some(ask) => judge(&response, &ask.attempt),
            None => Judged::Failed,
        };
        if verdict == Judged::Stray {
            self.counters.strays += 1;
            self.lines.lost(berth);
            self.dock.close(berth);
        } else if !self.lines.rest(berth, now + self.line_idle) {
            self.dock.close(berth);
        }
        let Some(engine) = &mut self.engine else { return };
        let report = LoadReport::default();
        match verdict {
            Judged::Part => {
                if let Some(ask) = ask {
                    ask.keep(part.index, response);
                }
                engine.answered(now, part, no, String::new(), report);
            }
            Judged::NotRun { stranger } => {
                engine.ended(now, part, no, Outcome::TurnedAway, report);
                if stranger {
                    self.counters.strangers += 1;
                    self.stranger(now, node);
                }
            }
            Judged::Failed => {
                if let Some(ask) = ask {
                    ask.keep_failure(response);
                }
                engine.ended(now, part, no, Outcome::Error, report);
            }
            Judged::Stray => engine.ended(now, part, no, Outcome::Broken, report),
        }
    }

    /// Another life answers at this address: the one that was meant is gone.
    fn stranger(&mut self, now: Nanos, node: NodeId) {
        let Some(life) = self.lines.place(node).map(|place| place.life.clone()) else { return };
        if let Some(fact) = self.pool.get(&life).cloned() {
            let gone = fernknot_registry::NodeFact { state: NodeState::Lost, ..fact };
            self.pool.take(now, &[gone]);
            self.relist(now);
        }
    }

    // ---- Orders ----------------------------------------------------------------------------

    fn pump(&mut self, now: Nanos) {
        loop {
            let Some(engine) = &mut self.engine else { return };
            let due = engine.due().is_some_and(|at| at <= now);
            if !due && !engine.has_news() {
                return;
            }
            while let Some(order) = self.engine.as_mut().and_then(|engine| engine.next(now)) {
                self.carry_out(now, order);
            }
        }
    }

    fn carry_out(&mut self, now: Nanos, order: Order) {
        match order {
            Order::Send { part, no, node } => {
                if let Err(outcome) = self.send(now, part, no, node)
                    && let Some(engine) = &mut self.engine
                {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Abandon { part, no, outcome } => {
                if let Some(berth) = self.lines.carrier(part, no) {
                    self.lines.lost(berth);
                    self.dock.close(berth);
                }
                if let Some(engine) = &mut self.engine {
                    engine.ended(now, part, no, outcome, LoadReport::default());
                }
            }
            Order::Answer { asker, verdict, .. } => self.answer(now, asker, verdict),
            Order::Renew { node } => {
                self.lines.renew(node).into_iter().for_each(|berth| self.dock.close(berth));
            }
            Order::FollowList | Order::Tell { .. } => {}
        }
    }

    fn send(&mut self, now: Nanos, part: PartId, no: HandOffNo, node: NodeId) -> Result<(), Outcome> {
        let asker = self.by_multiget.get(&part.of).ok_or(Outcome::NeverSent)?;
        let ask = self.asks.get(asker).ok_or(Outcome::NeverSent)?;
        let (idle, past) = self.lines.idle(now, node);
        past.into_iter().for_each(|berth| self.dock.close(berth));
        let place = self.lines.place(node).ok_or(Outcome::NeverSent)?;
        let berth = match idle.filter(|berth| self.dock.is_open(*berth)) {
            Some(berth) => {
                self.lines.carry(berth, part, no);
                berth
            }
            None => {
                let berth = self.dock.connect(place.addr).map_err(|_| Outcome::Unreachable)?;
                self.counters.lines_opened += 1;
                self.lines.add(now, berth, node, part, no);
                berth
            }
        };
        let place = self.lines.place(node).ok_or(Outcome::NeverSent)?;
        let out = self.dock.output(berth).ok_or(Outcome::NeverSent)?;
        ask.send(out, &place.life, ask.client_end - now);
        Ok(())
    }

    fn answer(&mut self, now: Nanos, asker: AskerId, verdict: Verdict) {
        let Some(ask) = self.asks.remove(&asker) else { return };
        self.by_multiget.remove(&ask.multiget);
        let berth = ask.client;
        let Some(client) = self.clients.held.get_mut(&berth) else { return };
        let keep = client.keep && !client.old && self.stopping.is_none();
        (client.asker, client.since) = (None, now);
        let mut merged = Vec::new();
        let late = if now + Nanos::from_millis(TICK_MS) >= ask.client_end { 504 } else { 502 };
        let answer = match verdict {
            Verdict::Settled { .. } => ask.settled(&mut merged).unwrap_or_else(|| ask.failed(502)),
            Verdict::Dismissed { wait } => {
                let wait = wait.unwrap_or(Nanos::from_millis(TICK_MS)).as_millis() / 1e3;
                let headers =
                    vec![(wire::ATTEMPT, ask.attempt.clone()), ("Retry-After", format!("{wait:.3}"))];
                Final { status: 503, headers, body: b"" }
            }
            Verdict::BrokenOff => ask.failed(late),
        };
        let idle_s = (ask.pinned.plan.limits.idle_ms / 1000).saturating_sub(1);
        if let Some(out) = self.dock.output(berth) {
            answer.write(out, keep, idle_s);
        }
        if keep {
            self.client_came(now, berth);
        } else {
            self.clients.held.remove(&berth);
            self.dock.close_after(berth);
        }
    }

    // ---- Now and then ----------------------------------------------------------------------

    fn tidy(&mut self, now: Nanos) {
        self.tidy_at = now + Nanos::from_millis(500.0);
        for berth in self.lines.stale(now) {
            self.dock.close(berth);
        }
        let opens = Nanos::from_millis(self.facts.bounds.drain_cutoff_ms).times(OPENS);
        let waiting = self.lines.carrying(None, now - opens);
        self.give_up_unopened(now, waiting);
        let limits = self.pinned.as_ref().map(|pinned| &pinned.plan.limits);
        let span = |ms: Option<u64>, default: f64| Nanos::from_millis(ms.map_or(default, |ms| ms as f64));
        let idle = span(limits.map(|limits| limits.idle_ms), 15_000.0);
        let sending = span(limits.map(|limits| limits.header_ms), 3_000.0).times(2.0);
        for (berth, coming) in self.clients.overdue(now, idle, sending) {
            if coming {
                if let Some(client) = self.clients.held.get_mut(&berth) {
                    client.keep = false;
                }
                self.say(now, berth, 408, None, b"the request did not come whole in time\n");
            } else {
                self.clients.held.remove(&berth);
                self.dock.close(berth);
            }
        }
        while let Some((to, bytes)) = self.shuffles.next(now) {
            self.dock.send_datagram(to, &bytes);
        }
        let apply = Nanos::from_millis(self.facts.bounds.apply_ms);
        if self.mains.fresh_ago(now).is_none_or(|ago| ago > apply) {
            // Registrars that no seed and no pulse names any more are found through neighbours, or by settings
            // that changed without a word.
            self.mains.know(&self.shuffles.registrars());
            if now >= self.reread_at {
                self.reread_at = now + Nanos::from_millis(self.facts.bounds.contact_ms);
                self.reread();
            }
        }
        self.pool.expire(now);
        self.relist(now);
    }
}

/// The seconds that a `Keep-Alive` line tells.
fn timeout(value: &str) -> Option<u64> {
    let told = value.split(',').find_map(|word| word.trim().strip_prefix("timeout="))?;
    told.trim().parse().ok()
}

//! Streams of news: from a registrar or the home in the zone, and on to those that subscribe here. Whom to
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
    pull, push,
};
use fernknot_schema::RoutingConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Bytes that one word may have: a configuration of the largest size an operator may send.
const MOST: usize = 16 << 20;
/// Bytes that may wait for one that listens here; one that takes nothing is let go.
const MOST_WAITING: usize = 32 << 20;
/// Between two words that this gateway lives, in pulses.
const ALIVE: f64 = 2.0;
/// A gateway below that has not said so for this many times as long may be gone.
const LATE: f64 = 3.0;

/// Gateways told of as living below, at most.
const MOST_BELOW: usize = 1024;

/// What this gateway holds, for those that listen to it.
pub struct LocalState<'a> {
    pub pool: &'a NodeDirectory,
    pub plan: Option<(u64, &'a RoutingConfig)>,
    pub whole: bool,
    pub ready: bool,
}

/// What the host is to take.
pub enum Update {
    Plan {
        order: u64,
        plan: RoutingConfig,
    },
    Nodes(Vec<NodeRecord>),
    /// All of a share was told, from this mark of the list on.
    Whole {
        mark: u64,
        share: Subscription,
    },
    /// A teller in touch with the rest spoke.
    Well,
    /// An operator wants to know; `answer` takes the words.
    Asked {
        berth: ConnectionId,
        question: InspectionTopic,
    },
}

struct UpdateStream {
    what: SourceKind,
    addr: SocketAddrV4,
    share: Subscription,
    /// The configuration is to come from there: who lives below is told there, and nowhere else.
    main: bool,
    /// Where the list of nodes stood when the whole was asked for.
    mark: u64,
}

struct Subscriber {
    who: GatewayRecord,
    share: Subscription,
    /// When it last said that it lives.
    alive: Nanos,
    /// Those that listen to it in turn, as it said lately.
    further: Vec<GatewayRecord>,
}

pub struct UpdateRelay {
    me: GatewayRecord,
    homes: Relays,
    alive_every: Nanos,
    alive_at: Nanos,
    known: BTreeMap<SocketAddrV4, String>,
    streams: BTreeMap<ConnectionId, UpdateStream>,
    by_addr: BTreeMap<(SourceKind, SocketAddrV4), ConnectionId>,
    below: BTreeMap<ConnectionId, Subscriber>,
    /// Connections at the inner port that have not said who they are.
    strangers: BTreeSet<ConnectionId>,
    services: BTreeSet<String>,
    cut: Assignment,
    /// Whether this gateway may take a share of a budget, and among how many.
    holder: OwnedKeys,
    /// Who told the newest pulse.
    teller: u64,
}

fn is_for(share: &Subscription, fact: &NodeRecord, services: &BTreeSet<String>) -> bool {
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
        let apply = bounds.hand_over;
        let holder = OwnedKeys::new(me.life, Some(me.zone.clone()), bounds);
        let mut homes = Relays::new(me.life, &me.zone, apply, RelaysLimits::default(), seed);
        let known: BTreeMap<SocketAddrV4, String> = seeds.iter().map(|addr| (*addr, String::new())).collect();
        homes.registrars(&listed(&known));
        UpdateRelay {
            me,
            homes,
            alive_every: Relays::pulse_every(apply).times(ALIVE),
            alive_at: Nanos(0),
            known,
            streams: BTreeMap::new(),
            by_addr: BTreeMap::new(),
            below: BTreeMap::new(),
            strangers: BTreeSet::new(),
            services: BTreeSet::new(),
            cut: Assignment::default(),
            holder,
            teller: 0,
        }
    }

    /// Registrars that others told of.
    pub fn know(&mut self, addrs: &[SocketAddrV4]) {
        addrs.iter().for_each(|addr| _ = self.known.entry(*addr).or_default());
        self.homes.registrars(&listed(&self.known));
    }

    /// The services that the configuration in force names.
    pub fn services(&mut self, plan: &RoutingConfig) {
        self.homes.services(plan.services.iter().map(|service| service.name.as_str()));
        self.services = plan.services.iter().map(|service| service.name.clone()).collect();
    }

    pub fn is_mine(&self, berth: ConnectionId) -> bool {
        self.streams.contains_key(&berth)
            || self.below.contains_key(&berth)
            || self.strangers.contains(&berth)
    }

    /// How long ago a teller in touch with the rest spoke for the configuration.
    pub fn fresh_ago(&self, now: Nanos) -> Option<Nanos> {
        self.homes.fresh_ago(now, &Topic::Configuration)
    }

    /// The loop stood still for long: what did not come meanwhile says nothing.
    pub fn was_away(&mut self, now: Nanos) {
        self.homes.was_away(now);
    }

    pub fn accepted(&mut self, berth: ConnectionId) {
        self.strangers.insert(berth);
    }

    pub fn due(&self) -> Nanos {
        self.homes.wakes_at().min(self.alive_at)
    }

    /// Opens, drops and serves streams as the homes' orders say.
    pub fn tend<P: Network>(&mut self, now: Nanos, ports: &mut P, held: &LocalState) {
        while let Some(order) = self.homes.next(now) {
            match order {
                Action::Attach { addr, what, topics } => self.attach(now, ports, held, (what, addr), &topics),
                Action::Detach { addr, what } => {
                    if let Some(berth) = self.by_addr.remove(&(what, addr)) {
                        self.streams.remove(&berth);
                        ports.close(berth);
                    }
                }
                Action::Relay { to, pulse } => {
                    let word = self.pulse_word(pulse);
                    let listeners = self.below.iter().filter(|(_, below)| to.contains(&below.who.addr));
                    let listeners: Vec<ConnectionId> = listeners.map(|(berth, _)| *berth).collect();
                    listeners.into_iter().for_each(|berth| self.tell(ports, berth, &word));
                }
            }
        }
        if now >= self.alive_at {
            self.alive_at = now + self.alive_every;
            // One that hangs keeps its connections: only what was said lately is passed on.
            let late = self.alive_every.times(LATE);
            let lately = |below: &&Subscriber| now - below.alive <= late;
            for (berth, stream) in &self.streams {
                let Some(out) = ports.output(*berth) else { continue };
                push(out, &GatewayToController::Alive { ready: held.ready });
                // Homes of several wards listen to each other in circles: on all streams, what is told of the dead
                // would go round for ever, and grow. The streams of the configuration alone are a tree.
                if !stream.main {
                    continue;
                }
                let below = self.below.values().filter(lately).filter(|below| below.who.addr != stream.addr);
                let live = below.flat_map(|below| below.further.iter().chain([&below.who]));
                let live: BTreeMap<IncarnationId, &GatewayRecord> =
                    live.map(|gateway| (gateway.life, gateway)).collect();
                if !live.is_empty() {
                    push(
                        out,
                        &GatewayToController::Below(live.into_values().take(MOST_BELOW).cloned().collect()),
                    );
                }
            }
        }
    }

    fn attach<P: Network>(
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
        let berth = match self.by_addr.get(&key) {
            Some(berth) if self.streams.get(berth).is_some_and(|stream| stream.share == share) => {
                if let Some(stream) = self.streams.get_mut(berth) {
                    stream.main = main;
                }
                return;
            }
            Some(berth) => *berth,
            None => match ports.connect(key.1) {
                Ok(berth) => berth,
                Err(why) => {
                    log::warn!(target: "news", "{why}");
                    return self.homes.lost(now, key.1, key.0);
                }
            },
        };
        let order = held.plan.map_or(0, |(order, _)| order);
        let attach = GatewayToController::Attach {
            who: self.me.clone(),
            ready: held.ready,
            share: share.clone(),
            order,
        };
        if let Some(out) = ports.output(berth) {
            push(out, &attach);
        }
        self.by_addr.insert(key, berth);
        self.streams
            .insert(berth, UpdateStream { what: key.0, addr: key.1, share, main, mark: held.pool.mark() });
    }

    /// A connection went.
    pub fn lost(&mut self, now: Nanos, berth: ConnectionId) {
        self.strangers.remove(&berth);
        if let Some(below) = self.below.remove(&berth) {
            self.homes.subscribed(below.who.addr, []);
        }
        if let Some(stream) = self.streams.remove(&berth) {
            log::info!(target: "news", "The stream from {} is lost.", stream.addr);
            self.by_addr.remove(&(stream.what, stream.addr));
            self.homes.lost(now, stream.addr, stream.what);
        }
    }

    /// Reads what came; what the host is to take is added to `news`.
    pub fn came<P: Network>(
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
                true => pull::<ControllerToGateway>(input, MOST)
                    .map(|word| word.map(|word| self.heard(now, berth, word, news))),
                false => pull::<GatewayToController>(input, MOST)
                    .map(|word| word.map(|word| self.asked(now, berth, word, ports, held, news))),
            };
            match taken {
                Ok(Some(())) => {}
                Ok(None) => return,
                Err(why) => {
                    log::warn!(target: "news", "What came is refused: {why}.");
                    ports.close(berth);
                    return self.lost(now, berth);
                }
            }
        }
    }

    fn heard(&mut self, now: Nanos, berth: ConnectionId, word: ControllerToGateway, news: &mut Vec<Update>) {
        let Some(UpdateStream { what, addr, share, mark, .. }) = self.streams.get(&berth) else { return };
        let (what, addr) = (*what, *addr);
        self.homes.told(now, addr, what);
        match word {
            ControllerToGateway::Pulse { teller, order, lease, hops, fence, registrars } => {
                let pulse = SourceHeartbeat { order, registry: 0, fence: FencingToken(fence), lease, hops };
                self.homes.pulse(now, addr, what, pulse);
                if lease {
                    self.teller = teller;
                    self.holder.confirm(now, FencingToken(fence));
                    if !registrars.is_empty() {
                        self.known = registrars.into_iter().map(|told| (told.addr, told.zone)).collect();
                        self.homes.registrars(&listed(&self.known));
                    }
                    news.push(Update::Well);
                }
            }
            ControllerToGateway::Plan { order, plan } => news.push(Update::Plan { order, plan }),
            ControllerToGateway::Nodes(facts) => news.push(Update::Nodes(facts)),
            ControllerToGateway::Whole => news.push(Update::Whole { mark: *mark, share: share.clone() }),
            ControllerToGateway::Cut(cut) if cut.fence > self.cut.fence => {
                log::info!(target: "news", "{} gateways live by the cut under {}.", cut.live.len(), cut.fence.0);
                self.cut = cut.sorted();
                self.homes.cut(now, &self.cut);
                self.holder.take(now, self.cut.clone());
            }
            ControllerToGateway::Cut(_) | ControllerToGateway::Answer(_) | ControllerToGateway::Forced(_) => {
            }
        }
    }

    fn asked<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        word: GatewayToController,
        ports: &mut P,
        held: &LocalState,
        news: &mut Vec<Update>,
    ) {
        match word {
            GatewayToController::Attach { who, share, order, .. } => {
                let topics = match &share {
                    Subscription::All => self.services.iter().map(|name| Topic::service(name)).collect(),
                    Subscription::Services(names) => {
                        names.iter().map(|name| Topic::service(name)).collect::<Vec<_>>()
                    }
                };
                let topics = topics.into_iter().chain([Topic::Configuration]);
                self.strangers.remove(&berth);
                if !self.homes.subscribed(who.addr, topics) {
                    ports.close(berth);
                    return self.lost(now, berth);
                }
                let facts: Vec<NodeRecord> =
                    held.pool.facts().filter(|fact| is_for(&share, fact, &self.services)).cloned().collect();
                self.below.insert(berth, Subscriber { who, share, alive: now, further: Vec::new() });
                if self.cut.fence.0 > 0 {
                    self.tell(ports, berth, &ControllerToGateway::Cut(self.cut.clone()));
                }
                if let Some((own, plan)) = held.plan.filter(|(own, _)| *own > order) {
                    self.tell(ports, berth, &ControllerToGateway::Plan { order: own, plan: plan.clone() });
                }
                self.tell(ports, berth, &ControllerToGateway::Nodes(facts));
                if held.whole {
                    self.tell(ports, berth, &ControllerToGateway::Whole);
                }
            }
            GatewayToController::Alive { .. } => {
                if let Some(below) = self.below.get_mut(&berth) {
                    below.alive = now;
                }
            }
            GatewayToController::Below(further) => {
                if let Some(below) = self.below.get_mut(&berth) {
                    below.further = further;
                }
            }
            GatewayToController::Leaving => {
                if let Some(below) = self.below.remove(&berth) {
                    self.homes.subscribed(below.who.addr, []);
                }
            }
            GatewayToController::Ask(question) => news.push(Update::Asked { berth, question }),
            GatewayToController::Force { .. } => {
                let why = "a gateway is in no view; order it at a registrar";
                self.tell(ports, berth, &ControllerToGateway::Forced(Err(why.into())));
            }
            GatewayToController::Peer(_) => {}
        }
    }

    /// What this gateway knows of homes and duties, for a person to read.
    pub fn text(&self, question: InspectionTopic) -> String {
        let mut text = String::new();
        match question {
            InspectionTopic::Homes => {
                for stream in self.streams.values() {
                    text += &format!("listens to {:?} {}\n", stream.what, stream.addr);
                }
                for below in self.below.values() {
                    text += &format!("tells {} and {} below it\n", below.who.addr, below.further.len());
                }
            }
            InspectionTopic::Duties => {
                text += &format!("cut {}.{}\n", self.cut.fence.view(), self.cut.fence.count());
                for gateway in &self.cut.live {
                    text += &format!("lives {} {} {:x}\n", gateway.addr, gateway.zone, gateway.life.0);
                }
            }
            _ => {
                for (addr, zone) in &self.known {
                    text += &format!("registrar {addr} {zone}\n");
                }
            }
        }
        text
    }

    /// Answers an operator's question.
    pub fn answer<P: Network>(&self, ports: &mut P, berth: ConnectionId, text: String) {
        self.tell(ports, berth, &ControllerToGateway::Answer(text));
    }

    fn pulse_word(&self, pulse: SourceHeartbeat) -> ControllerToGateway {
        let SourceHeartbeat { order, lease, hops, fence, .. } = pulse;
        let told = |(addr, zone): (&SocketAddrV4, &String)| Told { addr: *addr, zone: zone.clone() };
        let registrars = self.known.iter().map(told).collect();
        ControllerToGateway::Pulse { teller: self.teller, order, lease, hops, fence: fence.0, registrars }
    }

    fn tell<P: Network>(&self, ports: &mut P, berth: ConnectionId, word: &ControllerToGateway) {
        if ports.waiting(berth) > MOST_WAITING {
            return ports.close(berth);
        }
        if let Some(out) = ports.output(berth) {
            push(out, word);
        }
    }

    /// Passes on to all that listen here what was news to this gateway.
    pub fn pass_plan<P: Network>(&self, ports: &mut P, order: u64, plan: &RoutingConfig) {
        if !self.below.is_empty() {
            let word = ControllerToGateway::Plan { order, plan: plan.clone() };
            self.below.keys().for_each(|berth| self.tell(ports, *berth, &word));
        }
    }

    pub fn pass_cut<P: Network>(&self, ports: &mut P) {
        self.below
            .keys()
            .for_each(|berth| self.tell(ports, *berth, &ControllerToGateway::Cut(self.cut.clone())));
    }

    /// By how many gateways a budget is shared, or none while this one may take no share.
    pub fn shared_by(&self, now: Nanos) -> Option<u32> {
        self.holder.shared_by(now)
    }

    pub fn fence(&self) -> u64 {
        self.cut.fence.0
    }

    pub fn pass_whole<P: Network>(&self, ports: &mut P) {
        self.below.keys().for_each(|berth| self.tell(ports, *berth, &ControllerToGateway::Whole));
    }

    pub fn pass_nodes<P: Network>(&self, ports: &mut P, facts: &[NodeRecord]) {
        for (berth, below) in &self.below {
            let facts: Vec<NodeRecord> =
                facts.iter().filter(|fact| is_for(&below.share, fact, &self.services)).cloned().collect();
            if !facts.is_empty() {
                self.tell(ports, *berth, &ControllerToGateway::Nodes(facts));
            }
        }
    }

    /// Says farewell, so that nobody waits for this gateway.
    pub fn leave<P: Network>(&mut self, ports: &mut P) {
        self.holder.leave();
        for berth in self.streams.keys() {
            if let Some(out) = ports.output(*berth) {
                push(out, &GatewayToController::Leaving);
            }
        }
    }
}

fn listed(known: &BTreeMap<SocketAddrV4, String>) -> Vec<ControllerEndpoint> {
    known.iter().map(|(addr, zone)| ControllerEndpoint { addr: *addr, zone: zone.clone() }).collect()
}

//! A few zones of gateways and controllers in memory, on a clock of 10 ms steps.

use fernknot::interface::Nanos;
use fernknot_distribution::{
    Action, ControllerEndpoint, Relays, RelaysLimits, SourceHeartbeat, SourceKind, Topic,
};
use fernknot_ownership::{Assignment, FencingToken, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const APPLY: Nanos = Nanos(3_000_000_000);
pub const ZONES: [&str; 3] = ["north", "south", "east"];
const STEP: u64 = 10;

pub fn millis(ms: u64) -> Nanos {
    Nanos(ms * 1_000_000)
}

pub fn gateway_addr(life: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (life >> 8) as u8, life as u8), 7120)
}

pub fn controller_addr(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 8729)
}

pub fn zone(life: u64) -> &'static str {
    ZONES[life as usize % 3]
}

pub fn cut(count: u32, lives: impl IntoIterator<Item = u64>) -> Assignment {
    let gateway = |life| GatewayRecord {
        incarnation: IncarnationId(life),
        addr: gateway_addr(life),
        zone: zone(life).to_string(),
    };
    let live: Vec<GatewayRecord> = lives.into_iter().map(gateway).collect();
    Assignment {
        fencing_token: FencingToken::new(1, count),
        presumed_alive: live.len() as u32,
        gateways: live,
    }
    .sorted()
}

pub fn topics() -> Vec<Topic> {
    let services = (0..12).map(|number| Topic::service(&format!("service-{number}")));
    [Topic::Configuration].into_iter().chain(services).collect()
}

pub struct Teller {
    pub zone: &'static str,
    pub lease: bool,
    pub silent: bool,
    /// It takes no connections, and those it had are broken.
    pub dead: bool,
}

pub struct Member {
    pub homes: Relays,
    /// The newest news of each topic that came.
    pub has: BTreeMap<Topic, u64>,
    pub silent: bool,
    pub dead: bool,
    pub links: BTreeMap<(SourceKind, SocketAddrV4), BTreeSet<Topic>>,
}

/// News is a number for each topic; it crosses no time but the steps.
pub struct World {
    pub ms: u64,
    pub members: BTreeMap<u64, Member>,
    pub tellers: BTreeMap<SocketAddrV4, Teller>,
    pub news: BTreeMap<Topic, u64>,
    /// Tellings of a change that went from one zone to another.
    pub crossings: usize,
    pub attaches: usize,
}

impl World {
    pub fn new(lives: impl IntoIterator<Item = u64>) -> World {
        let teller = |zone| Teller { zone, lease: true, silent: false, dead: false };
        let mut world = World {
            ms: 0,
            members: BTreeMap::new(),
            tellers: (0..3).map(|number| (controller_addr(number), teller(ZONES[number as usize]))).collect(),
            news: topics().into_iter().map(|topic| (topic, 1)).collect(),
            crossings: 0,
            attaches: 0,
        };
        let lives: Vec<u64> = lives.into_iter().collect();
        for life in &lives {
            world.start(*life);
        }
        world.cut(&cut(1, lives));
        world.run(2_000);
        world
    }

    pub fn start(&mut self, life: u64) {
        let mut homes = Relays::new(IncarnationId(life), zone(life), APPLY, RelaysLimits::default(), life);
        let names: Vec<String> = (0..12).map(|number| format!("service-{number}")).collect();
        homes.set_services(names.iter().map(String::as_str));
        let known = self
            .tellers
            .iter()
            .map(|(addr, teller)| ControllerEndpoint { addr: *addr, zone: teller.zone.to_string() });
        homes.set_controllers(&known.collect::<Vec<_>>());
        let (has, links) = (BTreeMap::new(), BTreeMap::new());
        self.members.insert(life, Member { homes, has, silent: false, dead: false, links });
    }

    pub fn cut(&mut self, cut: &Assignment) {
        let now = millis(self.ms);
        self.members
            .values_mut()
            .filter(|member| !member.silent)
            .for_each(|member| member.homes.apply_assignment(now, cut));
    }

    /// The home of a topic in a zone.
    pub fn home(&self, zone_name: &str, topic: &Topic) -> u64 {
        let mut here =
            self.members.iter().filter(|(life, member)| zone(**life) == zone_name && !member.silent);
        here.next().unwrap().1.homes.relay_for(topic).unwrap().incarnation.0
    }

    pub fn change(&mut self, topic: &Topic) {
        *self.news.get_mut(topic).unwrap() += 1;
        self.crossings = 0;
        let news = self.news[topic];
        let tellers =
            self.tellers.iter().filter(|(_, teller)| teller.lease && !teller.silent && !teller.dead);
        let tellers: Vec<(SocketAddrV4, &str)> = tellers.map(|(addr, teller)| (*addr, teller.zone)).collect();
        for (addr, from) in tellers {
            for life in self.takers(SourceKind::Controller, addr, topic) {
                self.crossings += (zone(life) != from) as usize;
                self.give(life, topic, news);
            }
        }
    }

    /// Runs on until all who live have all news; returns the milliseconds that took, or None after ten seconds.
    pub fn spread(&mut self) -> Option<u64> {
        let start = self.ms;
        while !self.all_have_all() {
            if self.ms - start > 10_000 {
                return None;
            }
            self.run(STEP);
        }
        Some(self.ms - start)
    }

    pub fn run(&mut self, ms: u64) {
        let pulses = Relays::heartbeat_interval(APPLY).0 / 1_000_000 / STEP;
        for _ in 0..ms.div_ceil(STEP) {
            self.ms += STEP;
            let now = millis(self.ms);
            if (self.ms / STEP).is_multiple_of(pulses) {
                self.beat(now);
            }
            for life in self.members.keys().copied().collect::<Vec<_>>() {
                while let Some(order) = self.order(now, life) {
                    self.obey(now, life, order);
                }
            }
        }
    }

    fn all_have_all(&self) -> bool {
        let mut live = self.members.values().filter(|member| !member.dead && !member.silent);
        live.all(|member| member.has == self.news)
    }

    fn order(&mut self, now: Nanos, life: u64) -> Option<Action> {
        let member = self.members.get_mut(&life)?;
        if member.dead || member.silent { None } else { member.homes.poll_action(now) }
    }

    fn beat(&mut self, now: Nanos) {
        for (addr, teller) in &self.tellers {
            if teller.silent || teller.dead {
                continue;
            }
            let pulse = SourceHeartbeat {
                has_lease: teller.lease,
                fencing_token: FencingToken::new(1, 1),
                ..SourceHeartbeat::default()
            };
            for member in self.members.values_mut() {
                if member.links.contains_key(&(SourceKind::Controller, *addr)) && !member.silent {
                    member.homes.record_heartbeat(now, *addr, SourceKind::Controller, pulse);
                }
            }
        }
    }

    fn takers(&self, what: SourceKind, addr: SocketAddrV4, topic: &Topic) -> Vec<u64> {
        let takes =
            |member: &Member| member.links.get(&(what, addr)).is_some_and(|topics| topics.contains(topic));
        self.members.iter().filter(|(_, member)| takes(member)).map(|(life, _)| *life).collect()
    }

    /// News reaches a gateway, which passes it on.
    fn give(&mut self, life: u64, topic: &Topic, news: u64) {
        let Some(member) = self.members.get_mut(&life) else { return };
        if member.dead || member.silent || member.has.get(topic).is_some_and(|has| *has >= news) {
            return;
        }
        member.has.insert(topic.clone(), news);
        let to: Vec<SocketAddrV4> = member.homes.subscribers_of(topic).collect();
        let on: Vec<u64> =
            self.members.keys().copied().filter(|life| to.contains(&gateway_addr(*life))).collect();
        on.into_iter().for_each(|other| self.give(other, topic, news));
    }

    fn obey(&mut self, now: Nanos, life: u64, order: Action) {
        let me = gateway_addr(life);
        match order {
            Action::Subscribe { addr, kind: what, topics } => {
                self.attaches += 1;
                let has: BTreeMap<Topic, u64> = match what {
                    SourceKind::Controller => match self.tellers.get(&addr) {
                        Some(teller) if !teller.dead => {
                            if teller.silent || !teller.lease {
                                BTreeMap::new()
                            } else {
                                self.news.clone()
                            }
                        }
                        _ => return self.break_link(now, life, addr, what),
                    },
                    SourceKind::Relay => {
                        let at = self
                            .members
                            .values_mut()
                            .find(|member| gateway_addr(member.homes_life()) == addr);
                        match at {
                            Some(home) if !home.dead => {
                                home.homes.subscribe(me, topics.iter().cloned());
                                if home.silent { BTreeMap::new() } else { home.has.clone() }
                            }
                            _ => return self.break_link(now, life, addr, what),
                        }
                    }
                };
                let links = &mut self.members.get_mut(&life).unwrap().links;
                links.insert((what, addr), topics.iter().cloned().collect());
                for topic in &topics {
                    if let Some(news) = has.get(topic) {
                        self.give(life, topic, *news);
                    }
                }
            }
            Action::Unsubscribe { addr, kind: what } => {
                self.members.get_mut(&life).unwrap().links.remove(&(what, addr));
                if let Some(home) =
                    self.members.values_mut().find(|home| gateway_addr(home.homes_life()) == addr)
                {
                    home.homes.subscribe(me, []);
                }
            }
            Action::ForwardHeartbeat { to, heartbeat: pulse } => {
                for member in self.members.values_mut().filter(|member| !member.silent) {
                    if to.contains(&gateway_addr(member.homes_life())) {
                        member.homes.record_heartbeat(now, me, SourceKind::Relay, pulse);
                    }
                }
            }
        }
    }

    fn break_link(&mut self, now: Nanos, life: u64, addr: SocketAddrV4, what: SourceKind) {
        let member = self.members.get_mut(&life).unwrap();
        member.links.remove(&(what, addr));
        member.homes.source_lost(now, addr, what);
    }

    /// All links to an address break at once.
    pub fn reset(&mut self, addr: SocketAddrV4) {
        let now = millis(self.ms);
        for life in self.members.keys().copied().collect::<Vec<_>>() {
            for what in [SourceKind::Controller, SourceKind::Relay] {
                if self.members[&life].links.contains_key(&(what, addr)) {
                    self.break_link(now, life, addr, what);
                }
            }
        }
    }
}

impl Member {
    fn homes_life(&self) -> u64 {
        self.homes.incarnation().0
    }
}

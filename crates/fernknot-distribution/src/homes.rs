//! The state machine of one gateway.

use crate::link::{MOST_HOPS, SourceHeartbeat, SourceKind, Subscription, Topic, ward_key};
use crate::registrars::{Backoff, ControllerEndpoint};
use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// Time between two pulses, as a share of the time in which news has to be in force.
const PULSE: f64 = 1.0 / 15.0;
/// A teller whose last fresh pulse is older is stale.
const STALE: f64 = 1.0 / 6.0;
/// A home that is well but says that its own registrar is silent gets so long to find another. With the attaching
/// that follows, a home costs its zone less than a third.
const PATIENCE: f64 = 1.0 / 4.0;
/// How long an earlier home serves on after a cut, for those who heard of it later.
const HAND_OVER: f64 = 1.0 / 3.0;

/// One ward of topics, with a home of its own, for so many gateways of a zone.
const GATEWAYS_A_WARD: usize = 16;
const MOST_WARDS: usize = 8;
/// A gateway passes a ward's news on to so many at most; in larger zones these pass it on to theirs.
const MOST_BELOW: usize = 12;

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct RelaysLimits {
    pub most_topics: usize,
    pub most_subscribers: usize,
    pub most_registrars: usize,
}

impl Default for RelaysLimits {
    fn default() -> Self {
        RelaysLimits { most_topics: 4_096, most_subscribers: 4_096, most_registrars: 64 }
    }
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have a link to this process and take these topics on it, and no others. Given again when the topics change.
    Attach { addr: SocketAddrV4, what: SourceKind, topics: Vec<Topic> },
    /// Close the link.
    Detach { addr: SocketAddrV4, what: SourceKind },
    /// Pass a pulse on to these subscribers.
    Relay { to: Vec<SocketAddrV4>, pulse: SourceHeartbeat },
}

#[derive(Clone, Debug)]
pub(crate) struct Subscriber {
    pub topics: BTreeSet<Topic>,
    /// When a pulse was last passed on to it.
    pub passed_at: Option<Nanos>,
}

/// Where one gateway gets each topic's news, and to whom it passes them on.
#[derive(Clone, Debug)]
pub struct Relays {
    pub(crate) me: IncarnationId,
    pub(crate) zone: String,
    pub(crate) bounds: RelaysLimits,
    pub(crate) pulse_every: Nanos,
    pub(crate) stale: Nanos,
    pub(crate) patience: Nanos,
    pub(crate) hand_over: Nanos,
    pub(crate) cut: Assignment,
    /// For each ward: from whom its topics come; see `topics`.
    pub(crate) above: Vec<Option<SocketAddrV4>>,
    /// For each topic the home, or the one between; None where this gateway is it, or no gateway of the zone lives.
    pub(crate) topics: BTreeMap<Topic, Option<SocketAddrV4>>,
    /// Topics of which this gateway was the home until a cut, and until when it serves on.
    pub(crate) handing: BTreeMap<Topic, Nanos>,
    /// Where a topic came from before a cut; held until the new source is fresh, or for a bounded while.
    pub(crate) moving: BTreeMap<Topic, (SourceKind, SocketAddrV4, Nanos)>,
    /// Homes that are stale.
    pub(crate) fallen: BTreeSet<SocketAddrV4>,
    pub(crate) links: BTreeMap<(SourceKind, SocketAddrV4), Subscription>,
    pub(crate) registrars: Vec<ControllerEndpoint>,
    pub(crate) current: Option<SocketAddrV4>,
    pub(crate) trial: Option<SocketAddrV4>,
    pub(crate) pauses: Backoff,
    pub(crate) subscribers: BTreeMap<SocketAddrV4, Subscriber>,
    pub(crate) newest: SourceHeartbeat,
    pub(crate) orders: VecDeque<Action>,
    pub(crate) dirty: bool,
    pub(crate) look_at: Nanos,
    /// Links on which a pulse with a lease came and was not passed on yet.
    pub(crate) passed: BTreeSet<(SourceKind, SocketAddrV4)>,
    pub(crate) relay_at: Nanos,
}

impl Relays {
    /// `apply` is the time in which news has to be in force after its acknowledgement (the bound `apply_ms`). The
    /// configuration is a topic from the start.
    pub fn new(me: IncarnationId, zone: &str, apply: Nanos, bounds: RelaysLimits, seed: u64) -> Relays {
        let stale = apply.times(STALE);
        Relays {
            me,
            zone: zone.to_string(),
            bounds,
            pulse_every: apply.times(PULSE),
            stale,
            patience: apply.times(PATIENCE),
            hand_over: apply.times(HAND_OVER),
            cut: Assignment::default(),
            above: vec![None],
            topics: BTreeMap::from([(Topic::Configuration, None)]),
            handing: BTreeMap::new(),
            moving: BTreeMap::new(),
            fallen: BTreeSet::new(),
            links: BTreeMap::new(),
            registrars: Vec::new(),
            current: None,
            trial: None,
            pauses: Backoff::new(seed, stale, 256),
            subscribers: BTreeMap::new(),
            newest: SourceHeartbeat::default(),
            orders: VecDeque::new(),
            dirty: true,
            look_at: Nanos(0),
            passed: BTreeSet::new(),
            relay_at: Nanos(0),
        }
    }

    /// The life whose news this is about.
    pub fn life(&self) -> IncarnationId {
        self.me
    }

    /// Time between two pulses of a registrar, as this machine expects them.
    pub fn pulse_every(apply: Nanos) -> Nanos {
        apply.times(PULSE)
    }

    /// The services there are by the newest configuration.
    pub fn services<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let named = names.into_iter().map(Topic::service).take(self.bounds.most_topics);
        let named: BTreeSet<Topic> = named.chain([Topic::Configuration]).collect();
        if named.iter().eq(self.topics.keys()) {
            return;
        }
        let homes = named.into_iter().map(|topic| {
            let home = self.above.get(topic.ward(self.above.len())).copied().flatten();
            (topic, home)
        });
        self.topics = homes.collect();
        self.handing.retain(|topic, _| self.topics.contains_key(topic));
        self.moving.retain(|topic, _| self.topics.contains_key(topic));
        self.dirty = true;
    }

    /// The registrars there are, as the overlay or a view names them.
    pub fn registrars(&mut self, registrars: &[ControllerEndpoint]) {
        let mut known: Vec<ControllerEndpoint> =
            registrars.iter().take(self.bounds.most_registrars).cloned().collect();
        known.sort();
        known.dedup_by_key(|registrar| registrar.addr);
        if known != self.registrars {
            self.registrars = known;
            self.dirty = true;
        }
    }

    /// A cut came; an older one changes nothing.
    pub fn cut(&mut self, now: Nanos, cut: &Assignment) {
        if cut.fence <= self.cut.fence {
            return;
        }
        let was_live = self.cut.find(self.me).is_some();
        self.cut = cut.of_zone(&self.zone).sorted();
        let until = now + self.hand_over;
        self.above = self.above_me();
        let wards = self.above.len();
        let moved: Vec<(Topic, Option<SocketAddrV4>)> =
            self.topics.keys().map(|topic| (topic.clone(), self.above[topic.ward(wards)])).collect();
        for (topic, home) in moved {
            let before = self.topics.insert(topic.clone(), home).flatten();
            if before == home {
                continue;
            }
            match before {
                Some(addr) => {
                    self.moving.insert(topic, (SourceKind::Home, addr, until));
                }
                None if was_live => {
                    self.handing.insert(topic, until);
                }
                // No cut named this gateway before: nobody counts on it, but the news must not stop.
                None => {
                    if let Some(registrar) = self.current {
                        self.moving.insert(topic, (SourceKind::Registrar, registrar, until));
                    }
                }
            }
        }
        let homes: BTreeSet<SocketAddrV4> = self.topics.values().flatten().copied().collect();
        self.fallen.retain(|addr| homes.contains(addr));
        self.dirty = true;
    }

    /// A pulse came on a link.
    pub fn pulse(&mut self, now: Nanos, from: SocketAddrV4, what: SourceKind, pulse: SourceHeartbeat) {
        let stale = self.stale;
        let Some(link) = self.links.get_mut(&(what, from)) else { return };
        let pulse = SourceHeartbeat { lease: pulse.lease && pulse.hops <= MOST_HOPS, ..pulse };
        let was_fresh = link.is_fresh(now, stale);
        link.pulse(now, pulse.lease, pulse.hops, stale);
        self.dirty |=
            was_fresh != link.is_fresh(now, stale) || (what == SourceKind::Registrar && !pulse.lease);
        if pulse.lease {
            self.pauses.worked(from);
            self.passed.insert((what, from));
        }
        if pulse.order >= self.newest.order {
            self.newest.order = pulse.order;
        }
        self.newest.fence = self.newest.fence.max(pulse.fence);
        if what == SourceKind::Registrar && Some(from) == self.current {
            self.newest.registry = pulse.registry;
        }
    }

    /// News came on a link: its teller is well, which says nothing of a lease.
    pub fn told(&mut self, now: Nanos, from: SocketAddrV4, what: SourceKind) {
        if let Some(link) = self.links.get_mut(&(what, from)) {
            link.well_at = link.well_at.max(now);
        }
    }

    /// A link broke, or could not be had.
    pub fn lost(&mut self, now: Nanos, addr: SocketAddrV4, what: SourceKind) {
        if self.links.remove(&(what, addr)).is_none() {
            return;
        }
        self.pauses.failed(now, addr);
        match what {
            SourceKind::Registrar => {
                self.current = self.current.filter(|current| *current != addr);
                self.trial = self.trial.filter(|trial| *trial != addr);
            }
            SourceKind::Home => {
                self.fallen.insert(addr);
            }
        }
        self.dirty = true;
    }

    /// Another gateway asks for topics, or for none any more. Returns false where there is no room for it.
    pub fn subscribed(&mut self, from: SocketAddrV4, topics: impl IntoIterator<Item = Topic>) -> bool {
        let topics: BTreeSet<Topic> = topics.into_iter().take(self.bounds.most_topics).collect();
        if topics.is_empty() {
            self.subscribers.remove(&from);
        } else if self.subscribers.len() < self.bounds.most_subscribers
            || self.subscribers.contains_key(&from)
        {
            self.subscribers.insert(from, Subscriber { topics, passed_at: None });
        } else {
            return false;
        }
        true
    }

    /// This process was frozen: what did not come says nothing of the tellers.
    pub fn was_away(&mut self, now: Nanos) {
        for link in self.links.values_mut() {
            (link.well_at, link.fresh_at, link.since) = (now, now, now);
        }
    }

    /// The subscribers to whom a topic's news is to be passed on.
    pub fn subscribers(&self, topic: &Topic) -> impl Iterator<Item = SocketAddrV4> {
        self.subscribers.iter().filter(|(_, asks)| asks.topics.contains(topic)).map(|(addr, _)| *addr)
    }

    /// The newest place in the order and the newest fence that any teller spoke of: what is older here is to be
    /// asked for.
    pub fn newest(&self) -> SourceHeartbeat {
        self.newest
    }

    /// How long ago one that is in touch with the rest last spoke for a topic. None if none ever did on the links
    /// there are.
    pub fn fresh_ago(&self, now: Nanos, topic: &Topic) -> Option<Nanos> {
        let links = self.links.values().filter(|link| link.topics.contains(topic));
        links.filter(|link| link.fresh_since.is_some()).map(|link| now - link.fresh_at).min()
    }

    /// The registrar this gateway is with, if it needs one.
    pub fn registrar(&self) -> Option<SocketAddrV4> {
        self.current
    }

    /// True where this gateway takes the topic from a registrar for others.
    pub fn is_home(&self, topic: &Topic) -> bool {
        self.topics.get(topic) == Some(&None) && self.cut.find(self.me).is_some()
    }

    /// The next thing to do, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Action> {
        if self.orders.is_empty() && (self.dirty || now >= self.look_at) {
            self.look(now);
        }
        if self.orders.is_empty() && (!self.passed.is_empty() || now >= self.relay_at) {
            self.relay(now);
        }
        self.orders.pop_front()
    }

    /// When to ask again though nothing came.
    pub fn wakes_at(&self) -> Nanos {
        if self.subscribers.is_empty() { self.look_at } else { self.look_at.min(self.relay_at) }
    }

    /// For each ward the gateway above this one: its home, or one that passes the home's news on.
    fn above_me(&self) -> Vec<Option<SocketAddrV4>> {
        let wards = self.cut.live.len().div_ceil(GATEWAYS_A_WARD).clamp(1, MOST_WARDS);
        let above = |ward| {
            let ranked = self.cut.ranked(Some(&self.zone), &ward_key(ward));
            match ranked.iter().position(|gateway| gateway.life == self.me) {
                Some(0) => None,
                Some(rank) => Some(ranked[(rank - 1) / MOST_BELOW].addr),
                // The cut doesn't count this gateway yet: it takes from the home meanwhile.
                None => ranked.first().map(|gateway| gateway.addr),
            }
        };
        (0..wards).map(above).collect()
    }

    /// The home of a topic in this zone, by the newest cut.
    pub fn home(&self, topic: &Topic) -> Option<&GatewayRecord> {
        self.cut.owner(Some(&self.zone), &ward_key(topic.ward(self.above.len())))
    }
}

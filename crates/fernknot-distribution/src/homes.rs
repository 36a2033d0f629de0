//! The state machine of one gateway.

use crate::controllers::{Backoff, ControllerEndpoint};
use crate::link::{MAX_HOPS, SourceHeartbeat, SourceKind, Subscription, Topic, group_key};
use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// Time between two pulses, as a share of the time in which news has to be in force.
const HEARTBEAT_INTERVAL_SHARE: f64 = 1.0 / 15.0;
/// A teller whose last fresh pulse is older is stale.
const STALE_AFTER_SHARE: f64 = 1.0 / 6.0;
/// A home that is well but says that its own controller is silent gets so long to find another. With the attaching
/// that follows, a home costs its zone less than a third.
const UNLEASED_RELAY_TIMEOUT_SHARE: f64 = 1.0 / 4.0;
/// How long an earlier home serves on after a cut, for those who heard of it later.
const HANDOVER_TIMEOUT_SHARE: f64 = 1.0 / 3.0;

/// One ward of topics, with a home of its own, for so many gateways of a zone.
const GATEWAYS_PER_TOPIC_GROUP: usize = 16;
const MAX_TOPIC_GROUPS: usize = 8;
/// A gateway passes a ward's news on to so many at most; in larger zones these pass it on to theirs.
const MAX_DOWNSTREAMS: usize = 12;

/// What a gateway may hold.
#[derive(Clone, Copy, Debug)]
pub struct RelaysLimits {
    pub max_topics: usize,
    pub max_subscribers: usize,
    pub max_controllers: usize,
}

impl Default for RelaysLimits {
    fn default() -> Self {
        RelaysLimits { max_topics: 4_096, max_subscribers: 4_096, max_controllers: 64 }
    }
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have a link to this process and take these topics on it, and no others. Given again when the topics change.
    Subscribe { addr: SocketAddrV4, kind: SourceKind, topics: Vec<Topic> },
    /// Close the link.
    Unsubscribe { addr: SocketAddrV4, kind: SourceKind },
    /// Pass a pulse on to these subscribers.
    ForwardHeartbeat { to: Vec<SocketAddrV4>, heartbeat: SourceHeartbeat },
}

#[derive(Clone, Debug)]
pub(crate) struct Subscriber {
    pub topics: BTreeSet<Topic>,
    /// When a pulse was last passed on to it.
    pub forwarded_at: Option<Nanos>,
}

/// Where one gateway gets each topic's news, and to whom it passes them on.
#[derive(Clone, Debug)]
pub struct Relays {
    pub(crate) incarnation: IncarnationId,
    pub(crate) zone: String,
    pub(crate) limits: RelaysLimits,
    pub(crate) heartbeat_interval: Nanos,
    pub(crate) stale_after: Nanos,
    pub(crate) unleased_relay_timeout: Nanos,
    pub(crate) handover_timeout: Nanos,
    pub(crate) assignment: Assignment,
    /// For each ward: from whom its topics come; see `topics`.
    pub(crate) upstream_by_group: Vec<Option<SocketAddrV4>>,
    /// For each topic the home, or the one between; None where this gateway is it, or no gateway of the zone lives.
    pub(crate) upstream_by_topic: BTreeMap<Topic, Option<SocketAddrV4>>,
    /// Topics of which this gateway was the home until a cut, and until when it serves on.
    pub(crate) handover_until: BTreeMap<Topic, Nanos>,
    /// Where a topic came from before a cut; held until the new source is fresh, or for a bounded while.
    pub(crate) previous_sources: BTreeMap<Topic, (SourceKind, SocketAddrV4, Nanos)>,
    /// Homes that are stale.
    pub(crate) stale_relays: BTreeSet<SocketAddrV4>,
    pub(crate) subscriptions: BTreeMap<(SourceKind, SocketAddrV4), Subscription>,
    pub(crate) controllers: Vec<ControllerEndpoint>,
    pub(crate) current_controller: Option<SocketAddrV4>,
    pub(crate) candidate_controller: Option<SocketAddrV4>,
    pub(crate) backoff: Backoff,
    pub(crate) subscribers: BTreeMap<SocketAddrV4, Subscriber>,
    pub(crate) newest_seen: SourceHeartbeat,
    pub(crate) actions: VecDeque<Action>,
    pub(crate) needs_update: bool,
    pub(crate) next_update_at: Nanos,
    /// Links on which a pulse with a lease came and was not passed on yet.
    pub(crate) not_yet_forwarded: BTreeSet<(SourceKind, SocketAddrV4)>,
    pub(crate) next_forward_at: Nanos,
}

impl Relays {
    /// `apply` is the time in which news has to be in force after its acknowledgement (the bound `apply_ms`). The
    /// configuration is a topic from the start.
    pub fn new(me: IncarnationId, zone: &str, apply: Nanos, bounds: RelaysLimits, seed: u64) -> Relays {
        let stale = apply.times(STALE_AFTER_SHARE);
        Relays {
            incarnation: me,
            zone: zone.to_string(),
            limits: bounds,
            heartbeat_interval: apply.times(HEARTBEAT_INTERVAL_SHARE),
            stale_after: stale,
            unleased_relay_timeout: apply.times(UNLEASED_RELAY_TIMEOUT_SHARE),
            handover_timeout: apply.times(HANDOVER_TIMEOUT_SHARE),
            assignment: Assignment::default(),
            upstream_by_group: vec![None],
            upstream_by_topic: BTreeMap::from([(Topic::Configuration, None)]),
            handover_until: BTreeMap::new(),
            previous_sources: BTreeMap::new(),
            stale_relays: BTreeSet::new(),
            subscriptions: BTreeMap::new(),
            controllers: Vec::new(),
            current_controller: None,
            candidate_controller: None,
            backoff: Backoff::new(seed, stale, 256),
            subscribers: BTreeMap::new(),
            newest_seen: SourceHeartbeat::default(),
            actions: VecDeque::new(),
            needs_update: true,
            next_update_at: Nanos(0),
            not_yet_forwarded: BTreeSet::new(),
            next_forward_at: Nanos(0),
        }
    }

    /// The life whose news this is about.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Time between two pulses of a controller, as this machine expects them.
    pub fn heartbeat_interval(apply: Nanos) -> Nanos {
        apply.times(HEARTBEAT_INTERVAL_SHARE)
    }

    /// The services there are by the newest configuration.
    pub fn set_services<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let named = names.into_iter().map(Topic::service).take(self.limits.max_topics);
        let named: BTreeSet<Topic> = named.chain([Topic::Configuration]).collect();
        if named.iter().eq(self.upstream_by_topic.keys()) {
            return;
        }
        let homes = named.into_iter().map(|topic| {
            let home =
                self.upstream_by_group.get(topic.group(self.upstream_by_group.len())).copied().flatten();
            (topic, home)
        });
        self.upstream_by_topic = homes.collect();
        self.handover_until.retain(|topic, _| self.upstream_by_topic.contains_key(topic));
        self.previous_sources.retain(|topic, _| self.upstream_by_topic.contains_key(topic));
        self.needs_update = true;
    }

    /// The controllers there are, as the overlay or a view names them.
    pub fn set_controllers(&mut self, controllers: &[ControllerEndpoint]) {
        let mut known: Vec<ControllerEndpoint> =
            controllers.iter().take(self.limits.max_controllers).cloned().collect();
        known.sort();
        known.dedup_by_key(|controller| controller.addr);
        if known != self.controllers {
            self.controllers = known;
            self.needs_update = true;
        }
    }

    /// A cut came; an older one changes nothing.
    pub fn apply_assignment(&mut self, now: Nanos, cut: &Assignment) {
        if cut.fencing_token <= self.assignment.fencing_token {
            return;
        }
        let was_live = self.assignment.gateway(self.incarnation).is_some();
        self.assignment = cut.for_zone(&self.zone).sorted();
        let until = now + self.handover_timeout;
        self.upstream_by_group = self.upstreams();
        let wards = self.upstream_by_group.len();
        let moved: Vec<(Topic, Option<SocketAddrV4>)> = self
            .upstream_by_topic
            .keys()
            .map(|topic| (topic.clone(), self.upstream_by_group[topic.group(wards)]))
            .collect();
        for (topic, home) in moved {
            let before = self.upstream_by_topic.insert(topic.clone(), home).flatten();
            if before == home {
                continue;
            }
            match before {
                Some(addr) => {
                    self.previous_sources.insert(topic, (SourceKind::Relay, addr, until));
                }
                None if was_live => {
                    self.handover_until.insert(topic, until);
                }
                // No cut named this gateway before: nobody counts on it, but the news must not stop.
                None => {
                    if let Some(controller) = self.current_controller {
                        self.previous_sources.insert(topic, (SourceKind::Controller, controller, until));
                    }
                }
            }
        }
        let homes: BTreeSet<SocketAddrV4> = self.upstream_by_topic.values().flatten().copied().collect();
        self.stale_relays.retain(|addr| homes.contains(addr));
        self.needs_update = true;
    }

    /// A pulse came on a link.
    pub fn record_heartbeat(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        what: SourceKind,
        pulse: SourceHeartbeat,
    ) {
        let stale = self.stale_after;
        let Some(link) = self.subscriptions.get_mut(&(what, from)) else { return };
        let pulse = SourceHeartbeat { has_lease: pulse.has_lease && pulse.hops <= MAX_HOPS, ..pulse };
        let was_fresh = link.is_fresh(now, stale);
        link.record_heartbeat(now, pulse.has_lease, pulse.hops, stale);
        self.needs_update |=
            was_fresh != link.is_fresh(now, stale) || (what == SourceKind::Controller && !pulse.has_lease);
        if pulse.has_lease {
            self.backoff.record_success(from);
            self.not_yet_forwarded.insert((what, from));
        }
        if pulse.revision >= self.newest_seen.revision {
            self.newest_seen.revision = pulse.revision;
        }
        self.newest_seen.fencing_token = self.newest_seen.fencing_token.max(pulse.fencing_token);
        if what == SourceKind::Controller && Some(from) == self.current_controller {
            self.newest_seen.registry_version = pulse.registry_version;
        }
    }

    /// News came on a link: its teller is well, which says nothing of a lease.
    pub fn record_message(&mut self, now: Nanos, from: SocketAddrV4, what: SourceKind) {
        if let Some(link) = self.subscriptions.get_mut(&(what, from)) {
            link.last_message_at = link.last_message_at.max(now);
        }
    }

    /// A link broke, or could not be had.
    pub fn source_lost(&mut self, now: Nanos, addr: SocketAddrV4, what: SourceKind) {
        if self.subscriptions.remove(&(what, addr)).is_none() {
            return;
        }
        self.backoff.record_failure(now, addr);
        match what {
            SourceKind::Controller => {
                self.current_controller = self.current_controller.filter(|current| *current != addr);
                self.candidate_controller = self.candidate_controller.filter(|trial| *trial != addr);
            }
            SourceKind::Relay => {
                self.stale_relays.insert(addr);
            }
        }
        self.needs_update = true;
    }

    /// Another gateway asks for topics, or for none any more. Returns false where there is no room for it.
    pub fn subscribe(&mut self, from: SocketAddrV4, topics: impl IntoIterator<Item = Topic>) -> bool {
        let topics: BTreeSet<Topic> = topics.into_iter().take(self.limits.max_topics).collect();
        if topics.is_empty() {
            self.subscribers.remove(&from);
        } else if self.subscribers.len() < self.limits.max_subscribers || self.subscribers.contains_key(&from)
        {
            self.subscribers.insert(from, Subscriber { topics, forwarded_at: None });
        } else {
            return false;
        }
        true
    }

    /// This process was frozen: what did not come says nothing of the tellers.
    pub fn reset_liveness(&mut self, now: Nanos) {
        for link in self.subscriptions.values_mut() {
            (link.last_message_at, link.last_leased_at, link.attached_at) = (now, now, now);
        }
    }

    /// The subscribers to whom a topic's news is to be passed on.
    pub fn subscribers_of(&self, topic: &Topic) -> impl Iterator<Item = SocketAddrV4> {
        self.subscribers.iter().filter(|(_, asks)| asks.topics.contains(topic)).map(|(addr, _)| *addr)
    }

    /// The newest place in the order and the newest fence that any teller spoke of: what is older here is to be
    /// asked for.
    pub fn newest_seen(&self) -> SourceHeartbeat {
        self.newest_seen
    }

    /// How long ago one that is in touch with the rest last spoke for a topic. None if none ever did on the links
    /// there are.
    pub fn time_since_lease(&self, now: Nanos, topic: &Topic) -> Option<Nanos> {
        let links = self.subscriptions.values().filter(|link| link.topics.contains(topic));
        links.filter(|link| link.leased_since.is_some()).map(|link| now - link.last_leased_at).min()
    }

    /// The controller this gateway is with, if it needs one.
    pub fn controller(&self) -> Option<SocketAddrV4> {
        self.current_controller
    }

    /// True where this gateway takes the topic from a controller for others.
    pub fn is_relay(&self, topic: &Topic) -> bool {
        self.upstream_by_topic.get(topic) == Some(&None)
            && self.assignment.gateway(self.incarnation).is_some()
    }

    /// The next thing to do, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() && (self.needs_update || now >= self.next_update_at) {
            self.update_subscriptions(now);
        }
        if self.actions.is_empty() && (!self.not_yet_forwarded.is_empty() || now >= self.next_forward_at) {
            self.forward_heartbeats(now);
        }
        self.actions.pop_front()
    }

    /// When to ask again though nothing came.
    pub fn wakes_at(&self) -> Nanos {
        if self.subscribers.is_empty() {
            self.next_update_at
        } else {
            self.next_update_at.min(self.next_forward_at)
        }
    }

    /// For each ward the gateway above this one: its home, or one that passes the home's news on.
    fn upstreams(&self) -> Vec<Option<SocketAddrV4>> {
        let wards =
            self.assignment.gateways.len().div_ceil(GATEWAYS_PER_TOPIC_GROUP).clamp(1, MAX_TOPIC_GROUPS);
        let above = |ward| {
            let ranked = self.assignment.owners_ranked(Some(&self.zone), &group_key(ward));
            match ranked.iter().position(|gateway| gateway.incarnation == self.incarnation) {
                Some(0) => None,
                Some(rank) => Some(ranked[(rank - 1) / MAX_DOWNSTREAMS].addr),
                // The cut doesn't count this gateway yet: it takes from the home meanwhile.
                None => ranked.first().map(|gateway| gateway.addr),
            }
        };
        (0..wards).map(above).collect()
    }

    /// The home of a topic in this zone, by the newest cut.
    pub fn relay_for(&self, topic: &Topic) -> Option<&GatewayRecord> {
        self.assignment.owner(Some(&self.zone), &group_key(topic.group(self.upstream_by_group.len())))
    }
}

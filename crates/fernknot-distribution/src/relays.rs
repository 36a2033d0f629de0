//! The state machine of one gateway: where each topic's updates come from, and to whom they are passed on.

use crate::action::Action;
use crate::backoff::Backoff;
use crate::controller_selection::{ControllerEndpoint, ControllerSelection};
use crate::relay_health::RelayHealth;
use crate::source::{Source, SourceHeartbeat, SourceKind};
use crate::subscribers::Subscribers;
use crate::subscription::{Subscription, Subscriptions};
use crate::timing::Timing;
use crate::topic::Topic;
use crate::topic_upstreams::TopicUpstreams;
use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// Limits of [`Relays`].
#[derive(Clone, Copy, Debug)]
pub struct RelaysLimits {
    /// Topics of this gateway, and of one subscriber.
    pub max_topics: usize,
    /// Subscribers at once.
    pub max_subscribers: usize,
    /// Controllers known at once.
    pub max_controllers: usize,
}

impl Default for RelaysLimits {
    fn default() -> Self {
        RelaysLimits { max_topics: 4_096, max_subscribers: 4_096, max_controllers: 64 }
    }
}

/// The topics to subscribe to at each source.
type DesiredSubscriptions = BTreeMap<Source, BTreeSet<Topic>>;

/// Where one gateway takes each topic's updates from, and to whom it passes them on.
///
/// The host passes in what came and which connections were lost, and pulls [`Action`]s until there are none.
#[derive(Clone, Debug)]
pub struct Relays {
    limits: RelaysLimits,
    timing: Timing,
    upstreams: TopicUpstreams,
    controllers: ControllerSelection,
    relay_health: RelayHealth,
    backoff: Backoff,
    subscriptions: Subscriptions,
    subscribers: Subscribers,
    newest_seen: SourceHeartbeat,
    actions: VecDeque<Action>,
    needs_update: bool,
    next_update_at: Nanos,
}

impl Relays {
    /// Knows the topic of the configuration, and no source yet.
    ///
    /// `apply_deadline` is the time in which an update has to be in force after it was acknowledged (`apply_ms` of the
    /// settings); `seed` makes this process's random choices repeatable.
    pub fn new(
        incarnation: IncarnationId,
        zone: &str,
        apply_deadline: Nanos,
        limits: RelaysLimits,
        seed: u64,
    ) -> Relays {
        let timing = Timing::new(apply_deadline);
        Relays {
            limits,
            timing,
            upstreams: TopicUpstreams::new(incarnation, zone),
            controllers: ControllerSelection::new(zone),
            relay_health: RelayHealth::default(),
            backoff: Backoff::new(seed, timing.stale_after),
            subscriptions: Subscriptions::new(),
            subscribers: Subscribers::new(limits.max_subscribers),
            newest_seen: SourceHeartbeat::default(),
            actions: VecDeque::new(),
            needs_update: true,
            next_update_at: Nanos(0),
        }
    }

    /// The incarnation of this gateway.
    pub fn incarnation(&self) -> IncarnationId {
        self.upstreams.incarnation()
    }

    /// The time between two heartbeats that a gateway expects of its sources, for a deadline as in [`Self::new`].
    pub fn heartbeat_interval(apply_deadline: Nanos) -> Nanos {
        Timing::new(apply_deadline).heartbeat_interval
    }

    /// Sets the services of the configuration in force.
    pub fn set_services<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let services = names.into_iter().map(Topic::service).take(self.limits.max_topics);
        let topics: BTreeSet<Topic> = services.chain([Topic::Configuration]).collect();
        self.needs_update |= self.upstreams.set_topics(topics);
    }

    /// Sets the known controllers.
    pub fn set_controllers(&mut self, controllers: &[ControllerEndpoint]) {
        let controllers = controllers.iter().take(self.limits.max_controllers).cloned().collect();
        self.needs_update |= self.controllers.set_controllers(controllers);
    }

    /// Applies an assignment; one that is not newer changes nothing.
    pub fn apply_assignment(&mut self, now: Nanos, assignment: &Assignment) {
        let handover_until = now + self.timing.handover_timeout;
        if self.upstreams.apply(assignment, self.controllers.current(), handover_until) {
            self.relay_health.retain(&self.upstreams.relays());
            self.needs_update = true;
        }
    }

    /// A heartbeat came from a source.
    pub fn record_heartbeat(
        &mut self,
        now: Nanos,
        from: SocketAddrV4,
        kind: SourceKind,
        heartbeat: SourceHeartbeat,
    ) {
        let source = Source { kind, addr: from };
        let Some(subscription) = self.subscriptions.get_mut(&source) else { return };
        let stale_after = self.timing.stale_after;
        let heartbeat = heartbeat.without_lease_of_a_circle();
        let was_fresh = subscription.is_fresh(now, stale_after);
        subscription.record_heartbeat(now, &heartbeat, stale_after);
        let freshness_differs = was_fresh != subscription.is_fresh(now, stale_after);
        let is_unleased_controller = kind == SourceKind::Controller && !heartbeat.has_lease;
        self.needs_update |= freshness_differs || is_unleased_controller;
        if heartbeat.has_lease {
            self.backoff.record_success(from);
            self.subscribers.heartbeat_came(source);
        }
        self.record_newest(source, heartbeat);
    }

    /// Another message than a heartbeat came from a source: the source is alive, which says nothing of a lease.
    pub fn record_message(&mut self, now: Nanos, from: SocketAddrV4, kind: SourceKind) {
        if let Some(subscription) = self.subscriptions.get_mut(&Source { kind, addr: from }) {
            subscription.last_message_at = subscription.last_message_at.max(now);
        }
    }

    /// The connection to a source was lost, or could not be made.
    pub fn source_lost(&mut self, now: Nanos, addr: SocketAddrV4, kind: SourceKind) {
        if self.subscriptions.remove(&Source { kind, addr }).is_none() {
            return;
        }
        self.backoff.record_failure(now, addr);
        match kind {
            SourceKind::Controller => self.controllers.remove(addr),
            SourceKind::Relay => self.relay_health.mark_stale(addr),
        }
        self.needs_update = true;
    }

    /// Another gateway subscribes to these topics here and to no others; with none, it unsubscribes. Returns false
    /// where there is no room for it.
    pub fn subscribe(&mut self, from: SocketAddrV4, topics: impl IntoIterator<Item = Topic>) -> bool {
        let topics = topics.into_iter().take(self.limits.max_topics).collect();
        self.subscribers.subscribe(from, topics)
    }

    /// This process was stalled: missing messages prove nothing about the sources.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.subscriptions.values_mut().for_each(|subscription| subscription.reset_liveness(now));
    }

    /// The subscribers that a topic's updates are to be passed on to.
    pub fn subscribers_of(&self, topic: &Topic) -> impl Iterator<Item = SocketAddrV4> {
        self.subscribers.of_topic(topic)
    }

    /// The newest revision, registry version and fencing token that any source announced.
    pub fn newest_seen(&self) -> SourceHeartbeat {
        self.newest_seen
    }

    /// The time since a source of the topic last sent a heartbeat with a lease. `None` if no present source ever did.
    pub fn time_since_lease(&self, now: Nanos, topic: &Topic) -> Option<Nanos> {
        let leased = self.subscriptions.values().filter(|subscription| {
            subscription.topics.contains(topic) && subscription.leased_since.is_some()
        });
        leased.map(|subscription| now - subscription.last_leased_at).min()
    }

    /// The controller this gateway subscribes to, if it needs one.
    pub fn controller(&self) -> Option<SocketAddrV4> {
        self.controllers.current()
    }

    /// Whether this gateway is the relay of a topic in its zone.
    pub fn is_relay(&self, topic: &Topic) -> bool {
        self.upstreams.is_relay(topic)
    }

    /// The relay of a topic in this zone by the newest assignment.
    pub fn relay_for(&self, topic: &Topic) -> Option<&GatewayRecord> {
        self.upstreams.relay_for(topic)
    }

    /// The next action, until there is none.
    #[must_use]
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() && (self.needs_update || now >= self.next_update_at) {
            self.update_subscriptions(now);
        }
        if self.actions.is_empty() && self.subscribers.is_forward_due(now) {
            let interval = self.timing.heartbeat_interval;
            let forwards =
                self.subscribers.forward_heartbeats(now, interval, self.newest_seen, &self.subscriptions);
            self.actions.extend(forwards);
        }
        self.actions.pop_front()
    }

    /// When an action may be due without further input.
    pub fn wakes_at(&self) -> Nanos {
        self.subscribers.wakes_at().map_or(self.next_update_at, |at| at.min(self.next_update_at))
    }

    fn record_newest(&mut self, source: Source, heartbeat: SourceHeartbeat) {
        let newest = &mut self.newest_seen;
        newest.revision = newest.revision.max(heartbeat.revision);
        newest.fencing_token = newest.fencing_token.max(heartbeat.fencing_token);
        if self.controllers.current().map(Source::controller) == Some(source) {
            newest.registry_version = heartbeat.registry_version;
        }
    }

    fn update_subscriptions(&mut self, now: Nanos) {
        self.needs_update = false;
        self.next_update_at = now + self.timing.heartbeat_interval;
        self.upstreams.expire_handovers(now);
        let relays = self.upstreams.relays();
        self.relay_health.update(now, &relays, &self.subscriptions, &self.backoff, &self.timing);
        let topics = self.upstreams.topics_from_controller(&self.relay_health);
        if topics.is_empty() {
            self.controllers.clear();
        } else {
            self.controllers.update(now, &self.subscriptions, &mut self.backoff, &self.timing);
        }
        let controller = self.controllers.current();
        let stale_after = self.timing.stale_after;
        self.upstreams.expire_previous_sources(now, controller, &self.subscriptions, stale_after);
        let desired = self.desired_subscriptions(&topics);
        self.unsubscribe_all_but(&desired);
        self.subscribe_to(now, desired);
    }

    fn desired_subscriptions(&self, topics_from_controller: &BTreeSet<Topic>) -> DesiredSubscriptions {
        let mut desired = DesiredSubscriptions::new();
        for addr in self.controllers.chosen() {
            desired.insert(Source::controller(addr), topics_from_controller.clone());
        }
        for (source, topic) in self.upstreams.sources() {
            desired.entry(source).or_default().insert(topic.clone());
        }
        desired
    }

    fn unsubscribe_all_but(&mut self, desired: &DesiredSubscriptions) {
        let actions = &mut self.actions;
        self.subscriptions.retain(|source, _| {
            let is_desired = desired.contains_key(source);
            if !is_desired {
                actions.push_back(Action::Unsubscribe { addr: source.addr, kind: source.kind });
            }
            is_desired
        });
    }

    fn subscribe_to(&mut self, now: Nanos, desired: DesiredSubscriptions) {
        for (source, topics) in desired {
            match self.subscriptions.get_mut(&source) {
                Some(subscription) if subscription.topics == topics => continue,
                Some(subscription) => subscription.topics.clone_from(&topics),
                // A lost relay is retried after its backoff; a controller was chosen after its own.
                None if source.kind == SourceKind::Relay && !self.backoff.may_retry(now, source.addr) => {
                    continue;
                }
                None => {
                    self.subscriptions.insert(source, Subscription::new(now, topics.clone()));
                }
            }
            let Source { kind, addr } = source;
            self.actions.push_back(Action::Subscribe { addr, kind, topics: topics.into_iter().collect() });
        }
    }
}

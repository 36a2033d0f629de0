//! State machine of one gateway: the source of each topic's updates, and the subscribers they are forwarded to.

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
    /// Maximum number of topics of this gateway, and of one subscriber.
    pub max_topics: usize,
    /// Maximum number of subscribers.
    pub max_subscribers: usize,
    /// Maximum number of known controllers.
    pub max_controllers: usize,
}

impl Default for RelaysLimits {
    fn default() -> Self {
        RelaysLimits { max_topics: 4_096, max_subscribers: 4_096, max_controllers: 64 }
    }
}

/// What the desired subscriptions follow from. While it stays the same, so do they.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct SubscriptionInputs {
    upstreams_version: u64,
    health_version: u64,
    controllers: Vec<SocketAddrV4>,
}

/// Topics to subscribe to at each source.
type DesiredSubscriptions = BTreeMap<Source, BTreeSet<Topic>>;

/// Sources and subscribers of one gateway, for each topic of updates.
///
/// The host, which is the program that drives it, reports received messages and lost connections, and polls [`Action`]s
/// until there are none.
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
    configuration_confirmed_until: Nanos,
    actions: VecDeque<Action>,
    needs_update: bool,
    next_update_at: Nanos,
    /// Time of the next update if no turn comes between `next_update_at` and it.
    update_wakeup_at: Nanos,
    /// Inputs of the last update, if all desired subscriptions exist since then.
    subscribed_for: Option<SubscriptionInputs>,
}

impl Relays {
    /// Creates the state of a gateway with [`Topic::Configuration`] as its only topic, and without sources.
    ///
    /// `apply_deadline` is the time within which an acknowledged update has to be in force (`apply_ms` of the
    /// settings), `lease_duration` the time for which controllers hold a lease; `seed` makes this process's random choices repeatable.
    pub fn new(
        incarnation: IncarnationId,
        zone: &str,
        apply_deadline: Nanos,
        lease_duration: Nanos,
        limits: RelaysLimits,
        seed: u64,
    ) -> Relays {
        let timing = Timing::new(apply_deadline, lease_duration);
        Relays {
            limits,
            timing,
            upstreams: TopicUpstreams::new(incarnation, zone),
            controllers: ControllerSelection::new(zone, &timing),
            relay_health: RelayHealth::default(),
            backoff: Backoff::new(seed, timing.stale_after),
            subscriptions: Subscriptions::new(),
            subscribers: Subscribers::new(limits.max_subscribers),
            newest_seen: SourceHeartbeat::default(),
            configuration_confirmed_until: Nanos(0),
            actions: VecDeque::new(),
            needs_update: true,
            next_update_at: Nanos(0),
            update_wakeup_at: Nanos(0),
            subscribed_for: None,
        }
    }

    /// Incarnation of this gateway.
    pub fn incarnation(&self) -> IncarnationId {
        self.upstreams.incarnation()
    }

    /// Time between two heartbeats of a source, for the `apply_deadline` of [`Self::new`].
    pub fn heartbeat_interval(apply_deadline: Nanos) -> Nanos {
        Timing::new(apply_deadline, Nanos(0)).heartbeat_interval
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

    /// Applies an assignment if its fencing token is newer than that of the current one.
    pub fn apply_assignment(&mut self, now: Nanos, assignment: &Assignment) {
        let handover_until = now + self.timing.handover_timeout;
        if self.upstreams.apply(assignment, self.controllers.current(), handover_until) {
            self.relay_health.retain(self.upstreams.relays());
            self.needs_update = true;
        }
    }

    /// Records a heartbeat from a source.
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
        let heartbeat = heartbeat.without_lease_if_looping();
        let was_fresh = subscription.is_fresh(now, stale_after);
        subscription.record_heartbeat(now, &heartbeat, stale_after);
        if heartbeat.has_lease
            && subscription.topics.contains(&Topic::Configuration)
            && subscription.is_last_lease_recent(self.timing.min_lease_spacing)
        {
            let until = now + self.timing.confirmation_validity(heartbeat.hops);
            self.configuration_confirmed_until = self.configuration_confirmed_until.max(until);
        }
        let freshness_differs = was_fresh != subscription.is_fresh(now, stale_after);
        let is_unleased_controller = kind == SourceKind::Controller && !heartbeat.has_lease;
        self.needs_update |= freshness_differs || is_unleased_controller;
        if heartbeat.has_lease {
            self.backoff.record_success(from);
            self.subscribers.record_leased_heartbeat(source);
        }
        self.record_newest(source, heartbeat);
    }

    /// Records a message other than a heartbeat from a source. It shows that the source is alive, not that it has a
    /// lease.
    pub fn record_message(&mut self, now: Nanos, from: SocketAddrV4, kind: SourceKind) {
        if let Some(subscription) = self.subscriptions.get_mut(&Source { kind, addr: from }) {
            subscription.last_message_at = subscription.last_message_at.max(now);
        }
    }

    /// Handles the loss of a connection to a source, or a failed attempt to connect.
    pub fn source_lost(&mut self, now: Nanos, addr: SocketAddrV4, kind: SourceKind) {
        if self.subscriptions.remove(&Source { kind, addr }).is_none() {
            return;
        }
        self.subscribed_for = None;
        self.backoff.record_failure(now, addr);
        match kind {
            SourceKind::Controller => self.controllers.remove(now, addr),
            SourceKind::Relay => self.relay_health.mark_stale(addr),
        }
        self.needs_update = true;
    }

    /// Replaces another gateway's subscription by these topics; an empty list unsubscribes it. Returns false if there
    /// are too many subscribers.
    pub fn subscribe(&mut self, from: SocketAddrV4, topics: impl IntoIterator<Item = Topic>) -> bool {
        let topics = topics.into_iter().take(self.limits.max_topics).collect();
        self.subscribers.subscribe(from, topics)
    }

    /// Treats all sources as alive now, after a stall of this process in which messages may have gone unread.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.subscriptions.values_mut().for_each(|subscription| subscription.reset_liveness(now));
    }

    /// Addresses of the subscribers to which a topic's updates have to be forwarded.
    pub fn subscribers_of(&self, topic: &Topic) -> impl Iterator<Item = SocketAddrV4> {
        self.subscribers.of_topic(topic)
    }

    /// Newest revision and fencing token that any source announced, and the newest registry version of the controller
    /// in use.
    pub fn newest_seen(&self) -> SourceHeartbeat {
        self.newest_seen
    }

    /// Time until which the revision in [`Self::newest_seen`] includes every change of the configuration that was
    /// acknowledged earlier than the deadline. Only such a configuration proves that a route does not exist.
    pub fn configuration_confirmed_until(&self) -> Nanos {
        self.configuration_confirmed_until
    }

    /// Time since a source of the topic last sent a heartbeat with a lease; `None` if no current source ever did.
    pub fn time_since_lease(&self, now: Nanos, topic: &Topic) -> Option<Nanos> {
        let leased = self.subscriptions.values().filter(|subscription| {
            subscription.topics.contains(topic) && subscription.leased_since.is_some()
        });
        leased.map(|subscription| now - subscription.last_leased_at).min()
    }

    /// Whether a current source of the topic has sent a heartbeat with a lease within `period`. Unlike
    /// [`Self::time_since_lease`], false after [`Self::reset_liveness`] until the next one.
    pub fn has_lease_within(&self, now: Nanos, topic: &Topic, period: Nanos) -> bool {
        self.subscriptions.values().any(|subscription| {
            subscription.topics.contains(topic) && subscription.has_sent_lease_within(now, period)
        })
    }

    /// Address of the controller that this gateway subscribes to, if it needs one.
    pub fn controller(&self) -> Option<SocketAddrV4> {
        self.controllers.current()
    }

    /// Whether this gateway is the relay of a topic in its zone.
    pub fn is_relay(&self, topic: &Topic) -> bool {
        self.upstreams.is_relay(topic)
    }

    /// Relay of a topic in this zone by the newest assignment.
    pub fn relay_for(&self, topic: &Topic) -> Option<&GatewayRecord> {
        self.upstreams.relay_for(topic)
    }

    /// Returns the next action; the host polls until there is none.
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

    /// Time of the next poll without further input. Periodic actions are due a little earlier, for a host that polls for
    /// another reason.
    pub fn wakes_at(&self) -> Nanos {
        let forward_at = self.subscribers.next_forward_at().map(|at| at + self.timing.slack);
        forward_at.map_or(self.update_wakeup_at, |at| at.min(self.update_wakeup_at))
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
        self.update_wakeup_at = self.next_update_at + self.timing.slack;
        self.upstreams.expire_handovers(now);
        let relays = self.upstreams.relays();
        self.relay_health.update(now, relays, &self.subscriptions, &self.backoff, &self.timing);
        let needs_controller = self.upstreams.needs_controller(&self.relay_health);
        if needs_controller {
            self.controllers.update(now, &self.subscriptions, &mut self.backoff, &self.timing);
        } else {
            self.controllers.clear();
        }
        let controller = self.controllers.current();
        let stale_after = self.timing.stale_after;
        self.upstreams.expire_previous_sources(now, controller, &self.subscriptions, stale_after);
        self.update_desired(now);
        if needs_controller {
            self.schedule_update(now);
        }
    }

    /// Brings the subscriptions in line with the desired ones, if those may have changed.
    fn update_desired(&mut self, now: Nanos) {
        let inputs = SubscriptionInputs {
            upstreams_version: self.upstreams.version(),
            health_version: self.relay_health.version(),
            controllers: self.controllers.selected().collect(),
        };
        if self.subscribed_for.as_ref() == Some(&inputs) {
            return;
        }
        let topics = self.upstreams.topics_from_controller(&self.relay_health);
        let desired = self.desired_subscriptions(&topics);
        self.unsubscribe_undesired(&desired);
        let has_all = self.subscribe_to(now, desired);
        self.subscribed_for = has_all.then_some(inputs);
    }

    /// Brings the next update forward to the next deadline of the selection of a controller.
    fn schedule_update(&mut self, now: Nanos) {
        let deadline = self.controllers.next_deadline(now, &self.subscriptions, &self.backoff, &self.timing);
        if let Some(at) = deadline.filter(|at| *at > now) {
            self.next_update_at = self.next_update_at.min(at);
            self.update_wakeup_at = self.update_wakeup_at.min(at);
        }
    }

    fn desired_subscriptions(&self, topics_from_controller: &BTreeSet<Topic>) -> DesiredSubscriptions {
        let mut desired = DesiredSubscriptions::new();
        for addr in self.controllers.selected() {
            desired.insert(Source::controller(addr), topics_from_controller.clone());
        }
        for (source, topic) in self.upstreams.sources() {
            desired.entry(source).or_default().insert(topic.clone());
        }
        desired
    }

    fn unsubscribe_undesired(&mut self, desired: &DesiredSubscriptions) {
        let actions = &mut self.actions;
        self.subscriptions.retain(|source, _| {
            let is_desired = desired.contains_key(source);
            if !is_desired {
                actions.push_back(Action::Unsubscribe { addr: source.addr, kind: source.kind });
            }
            is_desired
        });
    }

    /// Subscribes to what is lacking. Returns whether nothing is lacking any more.
    fn subscribe_to(&mut self, now: Nanos, desired: DesiredSubscriptions) -> bool {
        let mut has_all = true;
        for (source, topics) in desired {
            match self.subscriptions.get_mut(&source) {
                Some(subscription) if subscription.topics == topics => continue,
                Some(subscription) => subscription.topics.clone_from(&topics),
                // A lost relay is retried after its backoff; the selection of a controller has already respected its
                // backoff.
                None if source.kind == SourceKind::Relay && !self.backoff.may_retry(now, source.addr) => {
                    has_all = false;
                    continue;
                }
                None => {
                    self.subscriptions.insert(source, Subscription::new(now, topics.clone()));
                }
            }
            let Source { kind, addr } = source;
            self.actions.push_back(Action::Subscribe { addr, kind, topics: topics.into_iter().collect() });
        }
        has_all
    }
}

//! Gateways that subscribe to this one, and the heartbeats forwarded to them.

use crate::action::Action;
use crate::source::{Source, SourceHeartbeat};
use crate::subscription::Subscriptions;
use crate::topic::Topic;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Number of heartbeat intervals after its last heartbeat with a lease for which a source counts as fresh when
/// heartbeats are forwarded. It is less than the 2.5 intervals of `Timing::stale_after`, because a
/// forwarded heartbeat is already old when it arrives.
pub(crate) const FRESH_INTERVALS: f64 = 1.5;
/// Minimum time between two heartbeats with a lease to one subscriber, in heartbeat intervals.
const MIN_LEASED_INTERVALS: f64 = 0.5;
/// Minimum time between the last heartbeat to a subscriber and one without a lease, in heartbeat intervals.
const MIN_UNLEASED_INTERVALS: f64 = 1.0;

#[derive(Clone, Debug)]
struct Subscriber {
    topics: BTreeSet<Topic>,
    /// Time of the last heartbeat forwarded to it.
    forwarded_at: Option<Nanos>,
}

impl Subscriber {
    fn was_forwarded_to_within(&self, now: Nanos, period: Nanos) -> bool {
        self.forwarded_at.is_some_and(|at| now - at < period)
    }
}

/// Topics that come from fresh sources.
#[derive(Default)]
struct FreshTopics<'a> {
    topics: BTreeSet<&'a Topic>,
    /// Topics among them whose source sent a heartbeat that has not been forwarded.
    to_forward: BTreeSet<&'a Topic>,
    /// Largest number of hops from a controller to any fresh source.
    max_hops: u8,
}

/// Subscribers of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers {
    max_subscribers: usize,
    by_addr: BTreeMap<SocketAddrV4, Subscriber>,
    /// Sources with a heartbeat with a lease that has not been forwarded.
    unforwarded_sources: BTreeSet<Source>,
    next_forward_at: Nanos,
}

impl Subscribers {
    /// Creates an empty set of subscribers.
    pub fn new(max_subscribers: usize) -> Subscribers {
        Subscribers {
            max_subscribers,
            by_addr: BTreeMap::new(),
            unforwarded_sources: BTreeSet::new(),
            next_forward_at: Nanos(0),
        }
    }

    /// Sets the topics of a subscriber; one without topics is removed. Returns false if there are too many subscribers.
    pub fn subscribe(&mut self, from: SocketAddrV4, topics: BTreeSet<Topic>) -> bool {
        if topics.is_empty() {
            self.by_addr.remove(&from);
            return true;
        }
        let has_room = self.by_addr.len() < self.max_subscribers || self.by_addr.contains_key(&from);
        if has_room {
            self.by_addr.insert(from, Subscriber { topics, forwarded_at: None });
        }
        has_room
    }

    /// Addresses of the subscribers of a topic.
    pub fn of_topic(&self, topic: &Topic) -> impl Iterator<Item = SocketAddrV4> {
        let subscribed = self.by_addr.iter().filter(|(_, subscriber)| subscriber.topics.contains(topic));
        subscribed.map(|(addr, _)| *addr)
    }

    /// Records a heartbeat with a lease from a source, which then has to be forwarded.
    pub fn record_leased_heartbeat(&mut self, source: Source) {
        self.unforwarded_sources.insert(source);
    }

    /// Whether [`Self::forward_heartbeats`] has to be called: a source has sent a heartbeat with a lease, or the
    /// interval is over.
    pub fn is_forward_due(&self, now: Nanos) -> bool {
        !self.unforwarded_sources.is_empty() || now >= self.next_forward_at
    }

    /// Time at which heartbeats are due without further input; `None` without subscribers.
    pub fn next_forward_at(&self) -> Option<Nanos> {
        (!self.by_addr.is_empty()).then_some(self.next_forward_at)
    }

    /// Returns the heartbeats to forward. Subscribers all of whose topics come from fresh sources receive a new
    /// heartbeat with a lease at once; the others receive one without a lease in each heartbeat interval, as a sign
    /// that this gateway is alive.
    pub fn forward_heartbeats(
        &mut self,
        now: Nanos,
        heartbeat_interval: Nanos,
        newest_seen: SourceHeartbeat,
        subscriptions: &Subscriptions,
    ) -> Vec<Action> {
        let new_sources = std::mem::take(&mut self.unforwarded_sources);
        let is_interval_over = now >= self.next_forward_at;
        if is_interval_over {
            self.next_forward_at = now + heartbeat_interval;
        }
        if self.by_addr.is_empty() {
            return Vec::new();
        }
        let fresh_for = heartbeat_interval.times(FRESH_INTERVALS);
        let fresh = fresh_topics(now, fresh_for, subscriptions, &new_sources);
        let (mut leased, mut unleased) = (Vec::new(), Vec::new());
        for (addr, subscriber) in &mut self.by_addr {
            let all_topics_fresh = subscriber.topics.iter().all(|topic| fresh.topics.contains(topic));
            let (recipients, is_due, min_intervals) = if all_topics_fresh {
                let has_new = subscriber.topics.iter().any(|topic| fresh.to_forward.contains(topic));
                (&mut leased, has_new, MIN_LEASED_INTERVALS)
            } else {
                (&mut unleased, is_interval_over, MIN_UNLEASED_INTERVALS)
            };
            if is_due && !subscriber.was_forwarded_to_within(now, heartbeat_interval.times(min_intervals)) {
                recipients.push(*addr);
                subscriber.forwarded_at = Some(now);
            }
        }
        let heartbeat = SourceHeartbeat { hops: fresh.max_hops.saturating_add(1), ..newest_seen };
        let forward = |to: Vec<SocketAddrV4>, has_lease| {
            let heartbeat = SourceHeartbeat { has_lease, ..heartbeat };
            (!to.is_empty()).then_some(Action::ForwardHeartbeat { to, heartbeat })
        };
        [forward(leased, true), forward(unleased, false)].into_iter().flatten().collect()
    }
}

fn fresh_topics<'a>(
    now: Nanos,
    fresh_for: Nanos,
    subscriptions: &'a Subscriptions,
    new_sources: &BTreeSet<Source>,
) -> FreshTopics<'a> {
    let mut fresh = FreshTopics::default();
    for (source, subscription) in subscriptions {
        if !subscription.has_sent_lease_within(now, fresh_for) {
            continue;
        }
        fresh.topics.extend(&subscription.topics);
        fresh.max_hops = subscription.hops.max(fresh.max_hops);
        if new_sources.contains(source) {
            fresh.to_forward.extend(&subscription.topics);
        }
    }
    fresh
}

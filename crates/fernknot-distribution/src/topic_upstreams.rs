//! Upstream of each topic, and the topic's previous source. The upstream is the gateway that this gateway receives the
//! topic's updates from by the newest assignment.

use crate::relay_health::RelayHealth;
use crate::source::Source;
use crate::subscription::Subscriptions;
use crate::topic::{Topic, group_count, group_key};
use fernknot::interface::Nanos;
use fernknot_ownership::{Assignment, GatewayRecord, IncarnationId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Maximum number of gateways to which one gateway forwards a topic group's updates; in larger zones these forward them
/// in turn.
const MAX_DOWNSTREAMS: usize = 12;

/// Source of a topic before the newest assignment, and the time until which it is kept.
#[derive(Clone, Copy, Debug)]
struct PreviousSource {
    source: Source,
    until: Nanos,
}

/// Upstream of each topic, and the handovers after a new assignment.
#[derive(Clone, Debug)]
pub(crate) struct TopicUpstreams {
    incarnation: IncarnationId,
    zone: String,
    /// Newest assignment, with only the gateways of this gateway's zone.
    assignment: Assignment,
    /// Upstream of the topics of each topic group; see `by_topic`.
    by_group: Vec<Option<SocketAddrV4>>,
    /// Upstream of each topic: its relay, or a gateway that forwards the relay's updates. `None` if this gateway is the
    /// relay, or no gateway of the zone is live.
    by_topic: BTreeMap<Topic, Option<SocketAddrV4>>,
    /// Topics of which this gateway was the relay by the previous assignment, with the end of its service.
    handover_until: BTreeMap<Topic, Nanos>,
    /// Sources of the topics whose upstream an assignment has changed; each is kept until the new source is fresh, or
    /// until its time has elapsed.
    previous_sources: BTreeMap<Topic, PreviousSource>,
    /// Addresses in `by_topic`.
    relays: BTreeSet<SocketAddrV4>,
    /// Number of changes of anything above.
    version: u64,
}

impl TopicUpstreams {
    /// Creates the state with [`Topic::Configuration`] as the only topic, and without an assignment.
    pub fn new(incarnation: IncarnationId, zone: &str) -> TopicUpstreams {
        TopicUpstreams {
            incarnation,
            zone: zone.to_string(),
            assignment: Assignment::default(),
            by_group: vec![None],
            by_topic: BTreeMap::from([(Topic::Configuration, None)]),
            handover_until: BTreeMap::new(),
            previous_sources: BTreeMap::new(),
            relays: BTreeSet::new(),
            version: 0,
        }
    }

    /// Incarnation of this gateway.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Number of changes so far: while it stays the same, so do the sources and topics that this state returns.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets the topics. Returns whether they differ.
    pub fn set_topics(&mut self, topics: BTreeSet<Topic>) -> bool {
        if topics.iter().eq(self.by_topic.keys()) {
            return false;
        }
        let upstreams = topics.into_iter().map(|topic| {
            let upstream = self.by_group.get(topic.group(self.by_group.len())).copied().flatten();
            (topic, upstream)
        });
        self.by_topic = upstreams.collect();
        self.handover_until.retain(|topic, _| self.by_topic.contains_key(topic));
        self.previous_sources.retain(|topic, _| self.by_topic.contains_key(topic));
        self.record_change();
        true
    }

    /// Applies an assignment. Returns false, without a change, if it is not newer. Topics whose upstream changes keep
    /// their previous source until `handover_until`.
    pub fn apply(
        &mut self,
        assignment: &Assignment,
        current_controller: Option<SocketAddrV4>,
        handover_until: Nanos,
    ) -> bool {
        if assignment.fencing_token <= self.assignment.fencing_token {
            return false;
        }
        let was_listed = self.is_listed();
        self.assignment = assignment.for_zone(&self.zone).sorted();
        self.by_group = self.upstreams_by_group();
        let groups = self.by_group.len();
        for (topic, upstream) in &mut self.by_topic {
            let new = self.by_group[topic.group(groups)];
            let old = std::mem::replace(upstream, new);
            if old == new {
                continue;
            }
            let previous = match old {
                Some(relay) => Some(Source::relay(relay)),
                None if was_listed => {
                    self.handover_until.insert(topic.clone(), handover_until);
                    None
                }
                // No earlier assignment listed this gateway: no other gateway depends on it, but it still needs
                // updates.
                None => current_controller.map(Source::controller),
            };
            if let Some(source) = previous {
                let previous = PreviousSource { source, until: handover_until };
                self.previous_sources.insert(topic.clone(), previous);
            }
        }
        self.record_change();
        true
    }

    fn record_change(&mut self) {
        self.version += 1;
        self.relays = self.by_topic.values().flatten().copied().collect();
    }

    /// Ends the handovers whose time has elapsed.
    pub fn expire_handovers(&mut self, now: Nanos) {
        let count = self.handover_until.len();
        self.handover_until.retain(|_, until| now < *until);
        self.version += u64::from(self.handover_until.len() != count);
    }

    /// Forgets the previous sources whose time has elapsed, whose connection is lost, or whose topic has a new source
    /// that is fresh.
    pub fn expire_previous_sources(
        &mut self,
        now: Nanos,
        current_controller: Option<SocketAddrV4>,
        subscriptions: &Subscriptions,
        stale_after: Nanos,
    ) {
        let count = self.previous_sources.len();
        let by_topic = &self.by_topic;
        self.previous_sources.retain(|topic, previous| {
            let new = match by_topic.get(topic) {
                Some(Some(relay)) => Some(Source::relay(*relay)),
                _ => current_controller.map(Source::controller),
            };
            let is_new_fresh = new
                .and_then(|new| subscriptions.get(&new))
                .is_some_and(|subscription| subscription.is_fresh(now, stale_after));
            now < previous.until && !is_new_fresh && subscriptions.contains_key(&previous.source)
        });
        self.version += u64::from(self.previous_sources.len() != count);
    }

    /// Addresses of the gateways that are upstreams of any topic.
    pub fn relays(&self) -> &BTreeSet<SocketAddrV4> {
        &self.relays
    }

    /// Pairs of an upstream gateway and one of its topics, and of a previous source and its topic.
    pub fn sources(&self) -> impl Iterator<Item = (Source, &Topic)> {
        let relays =
            self.by_topic.iter().filter_map(|(topic, relay)| Some((Source::relay((*relay)?), topic)));
        relays.chain(self.previous_sources.iter().map(|(topic, previous)| (previous.source, topic)))
    }

    /// Whether any topic has to come from a controller; see [`Self::topics_from_controller`].
    pub fn needs_controller(&self, health: &RelayHealth) -> bool {
        !self.handover_until.is_empty()
            || self.by_topic.values().any(|relay| relay.is_none_or(|relay| health.is_stale(relay)))
    }

    /// Topics to subscribe to at a controller: this gateway is their relay, or was it before an assignment whose
    /// handover has not ended, or their relay is stale.
    pub fn topics_from_controller(&self, health: &RelayHealth) -> BTreeSet<Topic> {
        let topics = self.by_topic.iter().filter(|(topic, relay)| {
            relay.is_none_or(|relay| health.is_stale(relay)) || self.handover_until.contains_key(topic)
        });
        topics.map(|(topic, _)| topic.clone()).collect()
    }

    /// Whether this gateway is the relay of a topic.
    pub fn is_relay(&self, topic: &Topic) -> bool {
        self.by_topic.get(topic) == Some(&None) && self.is_listed()
    }

    /// Relay of a topic in this zone.
    pub fn relay_for(&self, topic: &Topic) -> Option<&GatewayRecord> {
        self.assignment.owner(Some(&self.zone), &group_key(topic.group(self.by_group.len())))
    }

    fn is_listed(&self) -> bool {
        self.assignment.gateway(self.incarnation).is_some()
    }

    fn upstreams_by_group(&self) -> Vec<Option<SocketAddrV4>> {
        let groups = group_count(self.assignment.gateways.len());
        (0..groups).map(|group| self.upstream_of_group(group)).collect()
    }

    /// Upstream of this gateway for a topic group. The gateways of the zone, in the rendezvous order of the group's
    /// key, form a tree with the relay at the root and at most [`MAX_DOWNSTREAMS`] children of each gateway.
    fn upstream_of_group(&self, group: usize) -> Option<SocketAddrV4> {
        let ranked = self.assignment.owners_ranked(Some(&self.zone), &group_key(group));
        match ranked.iter().position(|gateway| gateway.incarnation == self.incarnation) {
            Some(0) => None,
            Some(rank) => Some(ranked[(rank - 1) / MAX_DOWNSTREAMS].addr),
            // The assignment does not list this gateway yet, so it subscribes to the relay.
            None => ranked.first().map(|gateway| gateway.addr),
        }
    }
}

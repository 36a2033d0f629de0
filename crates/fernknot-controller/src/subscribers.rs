//! The gateways that are subscribed here, and which updates each of them wants.

use crate::action::{ActionQueue, SubscriberId};
use fernknot_ownership::GatewayRecord;
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerToGateway, Subscription};
use std::collections::{BTreeMap, BTreeSet};

/// One subscriber.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The gateway.
    pub gateway: GatewayRecord,
    /// Whether it is ready to serve queries, as it said last.
    pub is_ready: bool,
    /// Which nodes it wants to be sent.
    pub subscription: Subscription,
    /// The revision of the configuration that it was sent last; 0 for none.
    pub sent_revision: u64,
}

impl Subscriber {
    fn wants_service(&self, service: &str) -> bool {
        match &self.subscription {
            Subscription::All => true,
            // An incarnation that is known by its end alone has no service: its end concerns all.
            Subscription::Services(named) => service.is_empty() || named.iter().any(|name| name == service),
        }
    }

    fn wants_all_services(&self) -> bool {
        matches!(self.subscription, Subscription::All)
    }

    /// Those of these records that it wants.
    fn select(&self, records: &[NodeRecord]) -> Vec<NodeRecord> {
        records.iter().filter(|record| self.wants_service(&record.service)).cloned().collect()
    }
}

/// All subscribers by their connections.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_id: BTreeMap<SubscriberId, Subscriber>,
    /// Those that came while no majority was heard: they have been sent neither the configuration nor the end of the
    /// snapshot.
    awaiting_snapshot: BTreeSet<SubscriberId>,
}

impl Subscribers {
    /// Adds a subscriber, or replaces what it said before over the same connection.
    pub fn add(&mut self, id: SubscriberId, subscriber: Subscriber) {
        self.by_id.insert(id, subscriber);
    }

    /// Removes a subscriber, if it is one.
    pub fn remove(&mut self, id: SubscriberId) -> Option<Subscriber> {
        self.awaiting_snapshot.remove(&id);
        self.by_id.remove(&id)
    }

    /// Records a heartbeat; returns the gateway that sent it, if it is subscribed.
    pub fn record_heartbeat(&mut self, id: SubscriberId, is_ready: bool) -> Option<&GatewayRecord> {
        let subscriber = self.by_id.get_mut(&id)?;
        subscriber.is_ready = is_ready;
        Some(&subscriber.gateway)
    }

    /// The rest of its snapshot is to be sent once a majority is heard.
    pub fn defer_snapshot(&mut self, id: SubscriberId) {
        self.awaiting_snapshot.insert(id);
    }

    /// Those whose snapshot was deferred.
    pub fn take_awaiting_snapshot(&mut self) -> BTreeSet<SubscriberId> {
        std::mem::take(&mut self.awaiting_snapshot)
    }

    /// Whether there is such a subscriber.
    pub fn contains(&self, id: SubscriberId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// The number of subscribers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All subscribers.
    pub fn ids(&self) -> Vec<SubscriberId> {
        self.by_id.keys().copied().collect()
    }

    /// Whether it has been sent an older configuration than this one, or none.
    pub fn is_behind(&self, id: SubscriberId, revision: u64) -> bool {
        self.by_id.get(&id).is_some_and(|subscriber| subscriber.sent_revision < revision)
    }

    /// Those that are behind, except where the snapshot is deferred.
    pub fn behind(&self, revision: u64) -> Vec<SubscriberId> {
        let behind = self.by_id.iter().filter(|(id, subscriber)| {
            subscriber.sent_revision < revision && !self.awaiting_snapshot.contains(id)
        });
        behind.map(|(id, _)| *id).collect()
    }

    /// The configuration of this revision is being sent to these.
    pub fn mark_sent(&mut self, ids: &[SubscriberId], revision: u64) {
        for id in ids {
            if let Some(subscriber) = self.by_id.get_mut(id) {
                subscriber.sent_revision = revision;
            }
        }
    }

    /// Those of these records that one subscriber wants. None where it is not subscribed.
    pub fn select_for(&self, id: SubscriberId, records: &[NodeRecord]) -> Option<Vec<NodeRecord>> {
        self.by_id.get(&id).map(|subscriber| subscriber.select(records))
    }

    /// Sends each subscriber what it wants of these records: one message for all that want everything.
    pub fn publish_nodes(&self, records: Vec<NodeRecord>, actions: &mut ActionQueue) {
        for (id, subscriber) in self.by_id.iter().filter(|(_, subscriber)| !subscriber.wants_all_services()) {
            let wanted = subscriber.select(&records);
            if !wanted.is_empty() {
                actions.notify(vec![*id], ControllerToGateway::NodeUpdates(wanted));
            }
        }
        let all = self.by_id.iter().filter(|(_, subscriber)| subscriber.wants_all_services());
        let all: Vec<SubscriberId> = all.map(|(id, _)| *id).collect();
        if !all.is_empty() {
            actions.notify(all, ControllerToGateway::NodeUpdates(records));
        }
    }

    /// Sends a message to every subscriber, if there is any.
    pub fn notify_all(&self, message: impl FnOnce() -> ControllerToGateway, actions: &mut ActionQueue) {
        let all = self.ids();
        if !all.is_empty() {
            actions.notify(all, message());
        }
    }
}

//! Gateways subscribed to this controller, and the updates that each of them requested.

use crate::action::{ActionQueue, SubscriberId};
use fernknot_ownership::GatewayRecord;
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerToGateway, Subscription};
use std::collections::{BTreeMap, BTreeSet};

/// A subscribed gateway.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// Incarnation, address and zone of the gateway.
    pub gateway: GatewayRecord,
    /// Whether the gateway is ready to serve queries, by its last report.
    pub is_ready: bool,
    /// Services whose nodes the gateway requested.
    pub subscription: Subscription,
    /// Revision of the configuration that it was last sent, or that it had when it subscribed; 0 for none.
    pub sent_revision: u64,
}

impl Subscriber {
    fn wants_service(&self, service: &str) -> bool {
        match &self.subscription {
            Subscription::All => true,
            // A tombstone of an unknown incarnation names no service and is sent to all subscribers.
            Subscription::Services(named) => service.is_empty() || named.iter().any(|name| name == service),
        }
    }

    fn wants_all_services(&self) -> bool {
        matches!(self.subscription, Subscription::All)
    }

    /// Returns the records of the services that the gateway requested.
    fn select(&self, records: &[NodeRecord]) -> Vec<NodeRecord> {
        records.iter().filter(|record| self.wants_service(&record.service)).cloned().collect()
    }
}

/// All subscribers, by connection.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_id: BTreeMap<SubscriberId, Subscriber>,
    /// Subscribers that were added while this controller held no lease: they have been sent neither the configuration
    /// nor the end of the snapshot.
    awaiting_snapshot: BTreeSet<SubscriberId>,
}

impl Subscribers {
    /// Adds a subscriber, or replaces an earlier subscription over the same connection.
    pub fn add(&mut self, id: SubscriberId, subscriber: Subscriber) {
        self.by_id.insert(id, subscriber);
    }

    /// Removes a subscriber, if there is one with this identifier.
    pub fn remove(&mut self, id: SubscriberId) -> Option<Subscriber> {
        self.awaiting_snapshot.remove(&id);
        self.by_id.remove(&id)
    }

    /// Records a heartbeat. Returns the gateway that sent it, if it is subscribed.
    pub fn record_heartbeat(&mut self, id: SubscriberId, is_ready: bool) -> Option<&GatewayRecord> {
        let subscriber = self.by_id.get_mut(&id)?;
        subscriber.is_ready = is_ready;
        Some(&subscriber.gateway)
    }

    /// Defers the configuration and the end of a subscriber's snapshot, until this controller holds a lease.
    pub fn defer_snapshot(&mut self, id: SubscriberId) {
        self.awaiting_snapshot.insert(id);
    }

    /// Takes the subscribers with deferred snapshots, which are to be sent now.
    pub fn take_awaiting_snapshot(&mut self) -> BTreeSet<SubscriberId> {
        std::mem::take(&mut self.awaiting_snapshot)
    }

    /// Whether there is a subscriber with this identifier.
    pub fn contains(&self, id: SubscriberId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Number of subscribers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Identifiers of all subscribers.
    pub fn ids(&self) -> Vec<SubscriberId> {
        self.by_id.keys().copied().collect()
    }

    /// Whether a subscriber has an older configuration than that of this revision, or none.
    pub fn is_behind(&self, id: SubscriberId, revision: u64) -> bool {
        self.by_id.get(&id).is_some_and(|subscriber| subscriber.sent_revision < revision)
    }

    /// Subscribers with an older configuration than that of this revision, without those whose snapshot is deferred.
    pub fn behind(&self, revision: u64) -> Vec<SubscriberId> {
        let behind = self.by_id.iter().filter(|(id, subscriber)| {
            subscriber.sent_revision < revision && !self.awaiting_snapshot.contains(id)
        });
        behind.map(|(id, _)| *id).collect()
    }

    /// Records that the configuration of this revision is being sent to these subscribers.
    pub fn mark_sent(&mut self, ids: &[SubscriberId], revision: u64) {
        for id in ids {
            if let Some(subscriber) = self.by_id.get_mut(id) {
                subscriber.sent_revision = revision;
            }
        }
    }

    /// Selects the records that a subscriber requested. None if it is not subscribed.
    pub fn select_for(&self, id: SubscriberId, records: &[NodeRecord]) -> Option<Vec<NodeRecord>> {
        self.by_id.get(&id).map(|subscriber| subscriber.select(records))
    }

    /// Sends each subscriber those of the records that it requested; the subscribers that requested all services
    /// share one message.
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

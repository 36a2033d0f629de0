//! Gateways that have subscribed to this one.

use fernknot::interface::Nanos;
use fernknot_net::{ConnectionId, Network};
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerToGateway, Subscription, write_message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Bytes that may wait to be written to a subscriber; one that reads nothing is dropped beyond that.
const MAX_PENDING_OUTPUT_BYTES: usize = 32 << 20;
/// Gateways that are reported as live subscribers, at most.
const MAX_REPORTED_GATEWAYS: usize = 1024;

struct Subscriber {
    gateway: GatewayRecord,
    subscription: Subscription,
    last_heartbeat_at: Nanos,
    /// The gateways that subscribe to it in turn, as it reported last.
    descendants: Vec<GatewayRecord>,
}

/// All connections that were accepted at the inner address.
#[derive(Default)]
pub(super) struct Subscribers {
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Connections that have not subscribed.
    unidentified: BTreeSet<ConnectionId>,
}

impl Subscribers {
    pub(super) fn accept(&mut self, id: ConnectionId) {
        self.unidentified.insert(id);
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.subscribers.contains_key(&id) || self.unidentified.contains(&id)
    }

    /// The peer of a connection says that it is a gateway, which is to be told to [`insert`](Self::insert).
    pub(super) fn identify(&mut self, id: ConnectionId) {
        self.unidentified.remove(&id);
    }

    pub(super) fn insert(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        gateway: GatewayRecord,
        subscription: Subscription,
    ) {
        let descendants = Vec::new();
        let subscriber = Subscriber { gateway, subscription, last_heartbeat_at: now, descendants };
        self.subscribers.insert(id, subscriber);
    }

    /// Forgets a connection; the address of the gateway that had subscribed over it is returned.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<SocketAddrV4> {
        self.unidentified.remove(&id);
        self.unsubscribe(id)
    }

    /// The gateway at a connection wants no further updates.
    pub(super) fn unsubscribe(&mut self, id: ConnectionId) -> Option<SocketAddrV4> {
        self.subscribers.remove(&id).map(|subscriber| subscriber.gateway.addr)
    }

    pub(super) fn record_heartbeat(&mut self, now: Nanos, id: ConnectionId) {
        if let Some(subscriber) = self.subscribers.get_mut(&id) {
            subscriber.last_heartbeat_at = now;
        }
    }

    pub(super) fn set_descendants(&mut self, id: ConnectionId, gateways: Vec<GatewayRecord>) {
        if let Some(subscriber) = self.subscribers.get_mut(&id) {
            subscriber.descendants = gateways;
        }
    }

    /// The gateways that are live by subscribers' heartbeats since this time: the subscribers without the one at
    /// `excluded`, and those that subscribe to them. A subscriber that hangs keeps its connection, so that only its
    /// heartbeats show that it lives.
    pub(super) fn live_gateways(&self, since: Nanos, excluded: SocketAddrV4) -> Vec<GatewayRecord> {
        let live = self.subscribers.values().filter(|subscriber| {
            subscriber.last_heartbeat_at >= since && subscriber.gateway.addr != excluded
        });
        let gateways = live.flat_map(|subscriber| subscriber.descendants.iter().chain([&subscriber.gateway]));
        let by_incarnation: BTreeMap<IncarnationId, &GatewayRecord> =
            gateways.map(|gateway| (gateway.incarnation, gateway)).collect();
        by_incarnation.into_values().take(MAX_REPORTED_GATEWAYS).cloned().collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Sends a message to all subscribers.
    pub(super) fn broadcast<N: Network>(&self, network: &mut N, message: &ControllerToGateway) {
        for id in self.subscribers.keys() {
            send(network, *id, message);
        }
    }

    /// Sends a message to the subscribers at these addresses.
    pub(super) fn multicast<N: Network>(
        &self,
        network: &mut N,
        to: &[SocketAddrV4],
        message: &ControllerToGateway,
    ) {
        for (id, subscriber) in &self.subscribers {
            if to.contains(&subscriber.gateway.addr) {
                send(network, *id, message);
            }
        }
    }

    /// Sends to each subscriber the records that it has subscribed to.
    pub(super) fn forward_nodes<N: Network>(
        &self,
        network: &mut N,
        records: &[NodeRecord],
        configured_services: &BTreeSet<String>,
    ) {
        for (id, subscriber) in &self.subscribers {
            let wanted = select(&subscriber.subscription, records.iter(), configured_services);
            if !wanted.is_empty() {
                send(network, *id, &ControllerToGateway::NodeUpdates(wanted));
            }
        }
    }

    /// The subscribers, for a person to read.
    pub(super) fn describe(&self) -> String {
        let line = |subscriber: &Subscriber| {
            let (addr, count) = (subscriber.gateway.addr, subscriber.descendants.len());
            format!("subscriber {addr} with {count} behind it\n")
        };
        self.subscribers.values().map(line).collect()
    }
}

/// Sends a message over an inner connection, unless its peer does not read: it is closed then.
pub(super) fn send<N: Network>(network: &mut N, id: ConnectionId, message: &ControllerToGateway) {
    if network.pending_output_bytes(id) > MAX_PENDING_OUTPUT_BYTES {
        return network.close(id);
    }
    if let Some(output) = network.output(id) {
        write_message(output, message);
    }
}

/// The records of a subscription. Services that no configuration names yet belong to every one, so that their nodes
/// are known once a configuration names them.
pub(super) fn select<'a>(
    subscription: &Subscription,
    records: impl Iterator<Item = &'a NodeRecord>,
    configured_services: &BTreeSet<String>,
) -> Vec<NodeRecord> {
    let is_wanted = |record: &&NodeRecord| match subscription {
        Subscription::All => true,
        Subscription::Services(names) => {
            names.contains(&record.service) || !configured_services.contains(&record.service)
        }
    };
    records.filter(is_wanted).cloned().collect()
}

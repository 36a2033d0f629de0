//! Gateways that have subscribed to updates of this one.

use fernknot::interface::Nanos;
use fernknot_net::{Buffer, ConnectionId, Network};
use fernknot_ownership::{GatewayRecord, IncarnationId};
use fernknot_registry::NodeRecord;
use fernknot_rpc::{ControllerToGateway, Subscription, write_message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Maximum number of bytes that wait to be written to a subscriber; beyond it, the connection is closed.
const MAX_PENDING_OUTPUT_BYTES: usize = 32 << 20;
/// Maximum number of gateways that are reported as live subscribers.
const MAX_REPORTED_GATEWAYS: usize = 1024;

struct Subscriber {
    gateway: GatewayRecord,
    subscription: Subscription,
    /// Whether it has not been notified yet that its snapshot is complete.
    awaits_snapshot: bool,
    last_heartbeat_at: Nanos,
    /// Gateways that subscribe to it directly or indirectly, by its last report.
    descendants: Vec<GatewayRecord>,
}

/// All connections that were accepted at the inner address.
#[derive(Default)]
pub(super) struct Subscribers {
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Connections over which no gateway has subscribed yet.
    unidentified: BTreeSet<ConnectionId>,
}

impl Subscribers {
    pub(super) fn accept(&mut self, id: ConnectionId) {
        self.unidentified.insert(id);
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.subscribers.contains_key(&id) || self.unidentified.contains(&id)
    }

    /// Removes a connection from the unidentified ones: its peer has identified itself as a gateway, which the caller
    /// passes to [`insert`](Self::insert) if the subscription is accepted.
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
        let subscriber =
            Subscriber { gateway, subscription, awaits_snapshot: true, last_heartbeat_at: now, descendants };
        self.subscribers.insert(id, subscriber);
    }

    /// Takes the subscribers whose snapshot is complete by now, and that have not been taken before.
    pub(super) fn take_complete(&mut self, is_complete: impl Fn(&Subscription) -> bool) -> Vec<ConnectionId> {
        let awaiting = self.subscribers.iter_mut().filter(|(_, subscriber)| subscriber.awaits_snapshot);
        let complete = awaiting.filter(|(_, subscriber)| is_complete(&subscriber.subscription));
        let taken = complete.map(|(id, subscriber)| {
            subscriber.awaits_snapshot = false;
            *id
        });
        taken.collect()
    }

    /// Removes a connection. Returns the address of the gateway that had subscribed over it.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<SocketAddrV4> {
        self.unidentified.remove(&id);
        self.unsubscribe(id)
    }

    /// Cancels the subscription over a connection. Returns the address of its gateway.
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

    /// Returns the subscribers with a heartbeat at or after `since`, except the one at `excluded`, and the gateways
    /// that subscribe to them. An open connection alone does not count, since a subscriber that hangs keeps it open.
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
        send_to_all(network, self.subscribers.keys().copied(), message);
    }

    /// Sends a message to the subscribers at these addresses.
    pub(super) fn multicast<N: Network>(
        &self,
        network: &mut N,
        to: &[SocketAddrV4],
        message: &ControllerToGateway,
    ) {
        let addressed =
            self.subscribers.iter().filter(|(_, subscriber)| to.contains(&subscriber.gateway.addr));
        send_to_all(network, addressed.map(|(id, _)| *id), message);
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

    /// Returns the subscribers as text for operators.
    pub(super) fn describe(&self) -> String {
        let line = |subscriber: &Subscriber| {
            let (addr, count) = (subscriber.gateway.addr, subscriber.descendants.len());
            format!("subscriber {addr} with {count} behind it\n")
        };
        self.subscribers.values().map(line).collect()
    }
}

/// Sends a message over an inner connection, or closes the connection if its peer does not read.
pub(super) fn send<N: Network>(network: &mut N, id: ConnectionId, message: &ControllerToGateway) {
    send_to_all(network, [id], message);
}

/// Sends a message, encoded once, over inner connections, and closes those whose peer does not read.
fn send_to_all<N: Network>(
    network: &mut N,
    ids: impl IntoIterator<Item = ConnectionId>,
    message: &ControllerToGateway,
) {
    let mut bytes = Buffer::default();
    for id in ids {
        if network.pending_output_bytes(id) > MAX_PENDING_OUTPUT_BYTES {
            network.close(id);
        } else if let Some(output) = network.output(id) {
            if bytes.is_empty() {
                write_message(&mut bytes, message);
            }
            output.push(bytes.data());
        }
    }
}

/// Returns the records that a subscription covers. Services that are not in the configuration belong to every
/// subscription, so that their nodes are known as soon as a configuration names them.
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

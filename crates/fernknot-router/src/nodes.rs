//! Data nodes of the node list.

use crate::context::Context;
use crate::events::{NodeConnectionId, Timer};
use crate::node_connection::{AttemptId, NodeConnection, WriteState};
use fernknot::interface::{Health, Nanos, NodeEntry, NodeId, Outcome, PlaceId, ZoneId};
use fernknot_protocol::discovery::{ListedNode, NodeList};
use fernknot_protocol::peer_updates::NodeTags;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// Data node of the node list.
pub struct NodeRecord {
    /// Address at which the node accepts connections.
    pub address: SocketAddr,
    /// Place of the node: its position in the placement of shards. The nodes at one place are replicas of the same
    /// shards.
    pub place: PlaceId,
    /// Health according to the list, which determines whether the node gets new calls.
    pub health: Health,
    /// Time of the node's last start, as Unix time.
    pub started_at: Nanos,
    /// Connections to the node.
    pub connections: Vec<NodeConnectionId>,
    /// End of the grace period that began when the node started to drain or was removed; `None` for a running node.
    pub drain_grace_end: Option<Nanos>,
}

/// All data nodes, their connections, and the attempts on these connections.
#[derive(Default)]
pub struct Nodes {
    /// Ids of the nodes by their names in the list.
    pub ids: HashMap<String, NodeId>,
    /// Records of the nodes; a node's id is its index.
    pub records: Vec<NodeRecord>,
    /// Connections to all nodes.
    pub connections: HashMap<NodeConnectionId, NodeConnection>,
    /// Id of the next connection.
    pub next_connection: u64,
    /// Attempts that are not yet assigned to a connection, by node.
    pub unassigned_attempts: BTreeMap<NodeId, Vec<AttemptId>>,
    /// Connection to which each pending attempt is assigned.
    pub connection_by_attempt: HashMap<AttemptId, NodeConnectionId>,
    /// Tags of the nodes in messages between routers; `None` if the configuration names no peers.
    pub tags: Option<NodeTags>,
    /// Connections whose sockets have unread bytes, because reading stopped at the limit of an iteration of the event
    /// loop.
    pub readable_connections: Vec<NodeConnectionId>,
    /// Connections with frames to write in this iteration.
    pub unflushed_connections: Vec<NodeConnectionId>,
}

impl Nodes {
    /// Returns whether the socket of a connection has unread bytes.
    pub fn has_readable(&self) -> bool {
        !self.readable_connections.is_empty()
    }

    /// Returns the record of a known node.
    pub fn record(&self, id: NodeId) -> &NodeRecord {
        &self.records[id.0 as usize]
    }

    /// Returns the mutable record of a known node.
    pub fn record_mut(&mut self, id: NodeId) -> &mut NodeRecord {
        &mut self.records[id.0 as usize]
    }

    /// Applies a full list or changes of the list, and returns the entries for the engine. Nodes that a full list lacks
    /// are gone.
    pub fn apply_list(&mut self, context: &mut Context, list: &NodeList) -> Vec<NodeEntry> {
        let mut entries = Vec::new();
        for listed in &list.nodes {
            entries.extend(self.apply_entry(context, listed));
        }
        if list.is_full {
            let listed: HashSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
            for id in (0..self.records.len() as u32).map(NodeId).filter(|id| !listed.contains(id)) {
                self.set_health(context, id, Health::Gone);
            }
        }
        entries
    }

    /// Applies one entry. An entry that removes an unknown node has no effect.
    fn apply_entry(&mut self, context: &mut Context, listed: &ListedNode) -> Option<NodeEntry> {
        let known = self.ids.get(&listed.name).copied();
        let record = known.map(|id| self.record(id));
        let address = listed.address.or(record.map(|record| record.address))?;
        let place = listed.place.or(record.map(|record| record.place))?;
        let id = known.unwrap_or_else(|| self.add_node(context, listed, address, place));
        let record = self.record_mut(id);
        let has_moved = record.address != address || record.started_at != listed.started_at;
        (record.address, record.place, record.started_at) = (address, place, listed.started_at);
        if has_moved {
            self.retire_connections(context, id);
        }
        self.set_health(context, id, listed.health);
        let zone = context.settings.zones.iter().position(|zone| listed.zone.as_ref() == Some(zone));
        let zone = zone.map(|zone| ZoneId(zone as u32));
        Some(NodeEntry { node: id, place, zone, health: listed.health, started_at: listed.started_at })
    }

    /// Adds a node. From a maximum number of nodes on, a new node reuses the id of a removed one, so that the number of
    /// records stays bounded although nodes appear under new names.
    fn add_node(
        &mut self,
        context: &mut Context,
        listed: &ListedNode,
        address: SocketAddr,
        place: PlaceId,
    ) -> NodeId {
        let now = context.now;
        let is_unused = |record: &NodeRecord| {
            record.health == Health::Gone
                && record.connections.is_empty()
                && record.drain_grace_end.is_some_and(|end| end < now)
        };
        let count = self.records.len();
        let is_full = count >= context.limits.max_nodes_before_id_reuse;
        let index = self.records.iter().position(|record| is_full && is_unused(record)).unwrap_or(count);
        let id = NodeId(index as u32);
        let record = NodeRecord {
            address,
            place,
            health: Health::Running,
            started_at: listed.started_at,
            connections: Vec::new(),
            drain_grace_end: None,
        };
        if index == count {
            self.records.push(record);
        } else {
            self.records[index] = record;
            self.ids.retain(|_, known| *known != id);
        }
        self.ids.insert(listed.name.clone(), id);
        if let Some(tags) = &mut self.tags {
            tags.add(&listed.name, id);
        }
        id
    }

    fn set_health(&mut self, context: &mut Context, id: NodeId, health: Health) {
        let drain_grace_end = context.now + context.limits.drain_grace;
        let record = self.record_mut(id);
        record.health = health;
        if health == Health::Running {
            record.drain_grace_end = None;
        } else if record.drain_grace_end.is_none() {
            record.drain_grace_end = Some(drain_grace_end);
            context.set_timer(drain_grace_end, Timer::DrainGrace(id));
        }
    }

    /// Retires the connections of a node that moved or restarted. Attempts in flight on them may still be answered.
    fn retire_connections(&mut self, context: &mut Context, id: NodeId) {
        for connection_id in self.record(id).connections.clone() {
            let Some(connection) = self.connections.get_mut(&connection_id) else { continue };
            connection.is_retired = true;
            if connection.is_idle() {
                self.close_connection(context, connection_id);
            }
        }
    }

    /// Ends the unsent attempts of a draining or removed node whose grace period is over.
    pub fn drain_grace_expired(&mut self, context: &mut Context, id: NodeId) {
        let record = self.record(id);
        if record.drain_grace_end.is_none_or(|end| end > context.now) {
            return;
        }
        for connection_id in record.connections.clone() {
            let Some(connection) = self.connections.get(&connection_id) else { continue };
            let unsent =
                connection.pending_attempts.values().filter(|attempt| attempt.state == WriteState::Queued);
            for attempt in unsent.map(|attempt| attempt.id).collect::<Vec<_>>() {
                self.abandon(context, attempt, Outcome::NeverSent);
            }
        }
    }
}

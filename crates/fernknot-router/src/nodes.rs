//! Data nodes as they are listed.

use crate::context::Context;
use crate::events::{NodeConnectionId, Timer};
use crate::node_connection::{AttemptId, NodeConnection, WriteState};
use fernknot::interface::{Health, Nanos, NodeEntry, NodeId, Outcome, PlaceId, ZoneId};
use fernknot_protocol::discovery::{ListedNode, NodeList};
use fernknot_protocol::peer_updates::NodeTags;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// A data node as the list has it.
pub struct NodeRecord {
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub place: PlaceId,
    /// Whether it takes calls.
    pub health: Health,
    /// When it last started, as Unix time.
    pub started_at: Nanos,
    /// The connections to it.
    pub connections: Vec<NodeConnectionId>,
    /// When the grace ends that it was given when it began to drain or went.
    pub grace_end: Option<Nanos>,
}

/// All data nodes, the connections to them, and the attempts on these.
#[derive(Default)]
pub struct Nodes {
    /// The nodes' ids by the names of the list.
    pub ids: HashMap<String, NodeId>,
    /// By the nodes' ids.
    pub records: Vec<NodeRecord>,
    /// All connections to nodes.
    pub connections: HashMap<NodeConnectionId, NodeConnection>,
    /// The id of the next connection.
    pub next_connection: u64,
    /// Attempts of this turn that are on no connection yet.
    pub unplaced: BTreeMap<NodeId, Vec<AttemptId>>,
    /// The connection that each attempt is on.
    pub connection_of: HashMap<AttemptId, NodeConnectionId>,
    /// What nodes are called between routers, where routers may send each other messages.
    pub tags: Option<NodeTags>,
    /// Connections with more to read.
    pub readable: Vec<NodeConnectionId>,
    /// Connections with something to write.
    pub unflushed: Vec<NodeConnectionId>,
}

impl Nodes {
    /// Whether a connection has more to read.
    pub fn has_more(&self) -> bool {
        !self.readable.is_empty()
    }

    /// The record of a node that is known.
    pub fn record(&self, id: NodeId) -> &NodeRecord {
        &self.records[id.0 as usize]
    }

    /// The record of a node that is known, to be changed.
    pub fn record_mut(&mut self, id: NodeId) -> &mut NodeRecord {
        &mut self.records[id.0 as usize]
    }

    /// Takes in a list; what the decision module is to be given of it comes back.
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

    /// Takes in one entry. One that is gone and was never known changes nothing.
    fn apply_entry(&mut self, context: &mut Context, listed: &ListedNode) -> Option<NodeEntry> {
        let known = self.ids.get(&listed.name).copied();
        let record = known.map(|id| self.record(id));
        let address = listed.address.or(record.map(|record| record.address))?;
        let place = listed.place.or(record.map(|record| record.place))?;
        let id = known.unwrap_or_else(|| self.add(context, listed, address, place));
        let record = self.record_mut(id);
        let has_moved = record.address != address || record.started_at != listed.started_at;
        (record.address, record.place, record.started_at) = (address, place, listed.started_at);
        if has_moved {
            self.retire_connections(context, id);
        }
        self.set_health(context, id, listed.health);
        let zone = context.settings.zones.iter().position(|zone| listed.zone.as_ref() == Some(zone));
        let zone = zone.map(|zone| ZoneId(zone as u32));
        Some(NodeEntry { node: id, place, zone, health: listed.health, since: listed.started_at })
    }

    /// Guards against ids without end where nodes come under ever new names: past a limit, a new one takes the id of
    /// one that is gone.
    fn add(
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
                && record.grace_end.is_some_and(|end| end < now)
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
            grace_end: None,
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
        let grace_end = context.now + context.limits.drain_grace;
        let record = self.record_mut(id);
        record.health = health;
        if health == Health::Running {
            record.grace_end = None;
        } else if record.grace_end.is_none() {
            record.grace_end = Some(grace_end);
            context.set_timer(grace_end, Timer::DrainGrace(id));
        }
    }

    /// For a node that moved or restarted: what is in flight on its old connections may still be answered.
    fn retire_connections(&mut self, context: &mut Context, id: NodeId) {
        for connection_id in self.record(id).connections.clone() {
            let Some(connection) = self.connections.get_mut(&connection_id) else { continue };
            connection.is_retired = true;
            if connection.is_idle() {
                self.close_connection(context, connection_id);
            }
        }
    }

    /// The grace of a draining node has run out: what is unsent will not be sent.
    pub fn grace_over(&mut self, context: &mut Context, id: NodeId) {
        let record = self.record(id);
        if record.grace_end.is_none_or(|end| end > context.now) {
            return;
        }
        for connection_id in record.connections.clone() {
            let Some(connection) = self.connections.get(&connection_id) else { continue };
            let unsent = connection.pending.values().filter(|attempt| attempt.state == WriteState::Queued);
            for attempt in unsent.map(|attempt| attempt.id).collect::<Vec<_>>() {
                self.abandon(context, attempt, Outcome::NeverSent);
            }
        }
    }
}

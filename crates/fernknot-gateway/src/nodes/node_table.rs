//! The known nodes: the records that other processes report, and the state that the engine has been given. The engine
//! (`fernknot-engine`) selects the node of each attempt. Each record is of one incarnation, that is, one run of a
//! node's process.

use crate::engine_ids::EngineIds;
use crate::settings::ZoneIds;
use fernknot::interface::*;
use fernknot_registry::{NodeDirectory, NodeDirectoryLimits, NodeRecord, NodeState};
use fernknot_rpc::Subscription;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// Nodes of all services.
pub(crate) struct NodeTable {
    directory: NodeDirectory,
    /// Incarnations of each service by their identifiers, as last passed to the engine.
    engine_nodes: HashMap<ShardId, BTreeMap<String, EngineNode>>,
    next_node_id: u32,
    zones: ZoneIds,
}

#[derive(Clone, Copy)]
struct EngineNode {
    id: NodeId,
    health: Health,
}

/// Addition or removal of an address that attempts may be sent to.
pub(crate) enum EndpointChange {
    Add { node: NodeId, incarnation: String, addr: SocketAddrV4 },
    Remove { node: NodeId },
}

/// Differences between the reported nodes and the state that the engine has been given.
#[derive(Default)]
pub(crate) struct NodeChanges {
    /// Group of shards with similar work that each compared service belongs to. A service has one place in the engine,
    /// with the number of its shard.
    pub(crate) groups: Vec<(PlaceId, u32)>,
    pub(crate) endpoints: Vec<EndpointChange>,
    /// Nodes that receive no further attempts.
    pub(crate) leaving: Vec<NodeId>,
    pub(crate) entries: Vec<NodeEntry>,
}

impl NodeTable {
    pub(crate) fn new(heartbeat_interval: Nanos, zones: ZoneIds) -> NodeTable {
        NodeTable {
            directory: NodeDirectory::new(heartbeat_interval, NodeDirectoryLimits::default()),
            engine_nodes: HashMap::new(),
            next_node_id: 0,
            zones,
        }
    }

    /// Returns the records that other processes have reported.
    pub(crate) fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    /// Number of incarnations that the engine knows.
    pub(crate) fn engine_node_count(&self) -> usize {
        self.engine_nodes.values().map(BTreeMap::len).sum()
    }

    /// Applies reported records. Returns the known records that have a different state or sequence number than before:
    /// only these are forwarded, so that no record circulates between relays for ever.
    pub(crate) fn apply_updates(&mut self, now: Nanos, records: &[NodeRecord]) -> Vec<NodeRecord> {
        let versions_before: Vec<_> = records.iter().map(|record| self.version(&record.id)).collect();
        self.directory.apply_updates(now, records);
        let changed = records.iter().zip(versions_before);
        let changed = changed.filter(|(record, before)| self.version(&record.id) != *before);
        changed.filter_map(|(record, _)| self.directory.get(&record.id).cloned()).collect()
    }

    fn version(&self, incarnation: &str) -> Option<(NodeState, u64)> {
        self.directory.get(incarnation).map(|record| (record.state, record.sequence))
    }

    /// Completes a snapshot: all records of the subscription have been reported since `watermark`, which the directory
    /// returned when the snapshot began.
    pub(crate) fn finish_snapshot(&mut self, watermark: u64, subscription: &Subscription) {
        let services = match subscription {
            Subscription::All => None,
            Subscription::Services(names) => Some(&names[..]),
        };
        self.directory.finish_snapshot(watermark, services);
    }

    /// Records a heartbeat with a lease from a source of updates: a controller in contact with a majority has sent or
    /// confirmed it.
    pub(crate) fn record_source_heartbeat(&mut self, now: Nanos) {
        self.directory.record_source_heartbeat(now);
    }

    /// Removes incarnations that healthy sources have omitted for too long, and records of stopped ones that are kept
    /// no longer; see [`NodeDirectory::expire`].
    pub(crate) fn expire(&mut self, now: Nanos) {
        self.directory.expire(now);
    }

    /// Marks an incarnation as lost after another one has answered at its address. Returns whether it is listed.
    pub(crate) fn mark_lost(&mut self, now: Nanos, incarnation: &str) -> bool {
        let Some(record) = self.directory.get(incarnation).cloned() else { return false };
        self.directory.apply_updates(now, &[NodeRecord { state: NodeState::Lost, ..record }]);
        true
    }

    /// Returns the changes that the engine has not been given, in all services.
    pub(crate) fn all_changes(&mut self, ids: &mut EngineIds) -> NodeChanges {
        let services: Vec<String> = self.directory.services().map(str::to_string).collect();
        self.changes_of(services, ids)
    }

    /// Returns the changes that the engine has not been given, in the services whose records have changed since the
    /// last call.
    pub(crate) fn recent_changes(&mut self, ids: &mut EngineIds) -> NodeChanges {
        let services = self.directory.take_changed_services();
        self.changes_of(services, ids)
    }

    /// Clears the set of changed services. Before the engine starts, the set is not needed: all nodes are passed to the
    /// engine when it starts.
    pub(crate) fn skip_recent_changes(&mut self) {
        let _ = self.directory.take_changed_services();
    }

    fn changes_of(&mut self, services: impl IntoIterator<Item = String>, ids: &mut EngineIds) -> NodeChanges {
        let mut changes = NodeChanges::default();
        for service in services {
            let shard = ids.shard(&service);
            changes.groups.push((PlaceId(shard.0), ids.group(shard)));
            self.add_reported_changes(&service, shard, &mut changes);
            self.add_dropped_nodes(&service, shard, &mut changes);
        }
        changes
    }

    fn add_reported_changes(&mut self, service: &str, shard: ShardId, changes: &mut NodeChanges) {
        let engine_nodes = self.engine_nodes.entry(shard).or_default();
        for record in self.directory.nodes_of(service) {
            let health = health_of(record.state);
            let known = engine_nodes.get(&record.id).copied();
            let is_unchanged = known.map_or(health == Health::Gone, |known| known.health == health);
            if is_unchanged {
                continue;
            }
            let node = known.map_or(NodeId(self.next_node_id), |known| known.id);
            self.next_node_id = self.next_node_id.max(node.0 + 1);
            if record.state == NodeState::Gone {
                engine_nodes.remove(&record.id);
            } else {
                engine_nodes.insert(record.id.clone(), EngineNode { id: node, health });
            }
            changes.endpoints.push(match health {
                Health::Gone => EndpointChange::Remove { node },
                _ => EndpointChange::Add { node, incarnation: record.id.clone(), addr: record.addr },
            });
            if health != Health::Running {
                changes.leaving.push(node);
            }
            let zone = Some(self.zones.id(&record.zone));
            let place = PlaceId(shard.0);
            changes.entries.push(NodeEntry { node, place, zone, health, started_at: Nanos(0) });
        }
    }

    /// Adds the removal of nodes that the directory has dropped without a report that they are gone: no source reports
    /// them any more, so no further attempts may be sent to them.
    fn add_dropped_nodes(&mut self, service: &str, shard: ShardId, changes: &mut NodeChanges) {
        let Some(engine_nodes) = self.engine_nodes.get_mut(&shard) else { return };
        let directory = &self.directory;
        let is_listed = |id: &str| directory.get(id).is_some_and(|record| record.service == service);
        let dropped = engine_nodes.extract_if(.., |id, _| !is_listed(id)).map(|(_, node)| node);
        for node in dropped.filter(|node| node.health != Health::Gone) {
            changes.endpoints.push(EndpointChange::Remove { node: node.id });
            changes.leaving.push(node.id);
            changes.entries.push(NodeEntry {
                node: node.id,
                place: PlaceId(shard.0),
                zone: None,
                health: Health::Gone,
                started_at: Nanos(0),
            });
        }
        if engine_nodes.is_empty() {
            self.engine_nodes.remove(&shard);
        }
    }
}

fn health_of(state: NodeState) -> Health {
    match state {
        NodeState::Ready => Health::Running,
        NodeState::Draining => Health::Draining,
        NodeState::Lost | NodeState::Gone => Health::Gone,
    }
}

//! The nodes that are known, as other processes report them and as the engine was told of them.

use crate::engine_ids::EngineIds;
use crate::settings::ZoneIds;
use fernknot::interface::*;
use fernknot_registry::{NodeDirectory, NodeDirectoryLimits, NodeRecord, NodeState};
use fernknot_rpc::Subscription;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// The nodes of all services.
pub(crate) struct NodeTable {
    directory: NodeDirectory,
    /// What the engine was told of the incarnations of each service.
    engine_nodes: HashMap<ShardId, BTreeMap<String, EngineNode>>,
    next_node_id: u32,
    zones: ZoneIds,
}

#[derive(Clone, Copy)]
struct EngineNode {
    id: NodeId,
    health: Health,
}

/// An address that attempts may be sent to.
pub(crate) enum EndpointChange {
    Add { node: NodeId, incarnation: String, addr: SocketAddrV4 },
    Remove { node: NodeId },
}

/// What has changed since the engine was told last.
#[derive(Default)]
pub(crate) struct NodeChanges {
    /// The group of each service that was looked at.
    pub(crate) groups: Vec<(PlaceId, u32)>,
    pub(crate) endpoints: Vec<EndpointChange>,
    /// Nodes that get no further attempts.
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

    /// What other processes have reported.
    pub(crate) fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    /// How many incarnations the engine knows.
    pub(crate) fn engine_node_count(&self) -> usize {
        self.engine_nodes.values().map(BTreeMap::len).sum()
    }

    /// Takes reported records. Returns those that say something new: only these are forwarded, so that no record is
    /// forwarded in a circle.
    pub(crate) fn apply_updates(&mut self, now: Nanos, records: &[NodeRecord]) -> Vec<NodeRecord> {
        let is_new = |record: &&NodeRecord| {
            let known = self.directory.get(&record.id);
            known.is_none_or(|known| known.state != record.state || known.sequence < record.sequence)
        };
        let new = records.iter().filter(is_new).cloned().collect();
        self.directory.apply_updates(now, records);
        new
    }

    /// All records of a subscription have been reported since the watermark.
    pub(crate) fn finish_snapshot(&mut self, watermark: u64, subscription: &Subscription) {
        let services = match subscription {
            Subscription::All => None,
            Subscription::Services(names) => Some(&names[..]),
        };
        self.directory.finish_snapshot(watermark, services);
    }

    /// A source of updates is in touch with the controllers.
    pub(crate) fn record_source_heartbeat(&mut self, now: Nanos) {
        self.directory.record_source_heartbeat(now);
    }

    /// Drops records that no source has named for long.
    pub(crate) fn expire(&mut self, now: Nanos) {
        self.directory.expire(now);
    }

    /// Another incarnation has answered at the address of this one, which is gone then. Returns whether it is listed.
    pub(crate) fn mark_lost(&mut self, now: Nanos, incarnation: &str) -> bool {
        let Some(record) = self.directory.get(incarnation).cloned() else { return false };
        self.directory.apply_updates(now, &[NodeRecord { state: NodeState::Lost, ..record }]);
        true
    }

    /// What differs from what the engine was told, in all services.
    pub(crate) fn all_changes(&mut self, ids: &mut EngineIds) -> NodeChanges {
        let services: Vec<String> = self.directory.services().map(str::to_string).collect();
        self.changes_of(services, ids)
    }

    /// The same in services that have changed since the last call.
    pub(crate) fn recent_changes(&mut self, ids: &mut EngineIds) -> NodeChanges {
        let services = self.directory.take_changed_services();
        self.changes_of(services, ids)
    }

    /// Forgets which services have changed: there is no engine yet, and it is told of all nodes once there is one.
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

    /// Nodes that the directory has dropped without a report that they are gone: no source names them, and nothing
    /// further may be sent to them.
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

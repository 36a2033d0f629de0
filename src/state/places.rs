//! Index of nodes by place.

use crate::interface::{NodeId, PlaceId};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// Position of a node in the order in which a router prefers the replicas of a place: whether it is in another zone, and a
/// number that differs between nodes.
pub type ReplicaRank = (bool, u64);

/// Running nodes of a place, by rank.
#[derive(Clone, Debug, Default)]
struct RunningNodes {
    ranks: Vec<ReplicaRank>,
    nodes: Vec<NodeId>,
}

impl RunningNodes {
    fn insert(&mut self, rank: ReplicaRank, node: NodeId) {
        let index = self.ranks.partition_point(|known| *known < rank);
        self.ranks.insert(index, rank);
        self.nodes.insert(index, node);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(index) = self.nodes.iter().position(|known| *known == node) {
            self.ranks.remove(index);
            self.nodes.remove(index);
        }
    }
}

/// Numbers of the nodes at each place.
#[derive(Clone, Debug, Default)]
pub struct NodesByPlace {
    all: BTreeMap<PlaceId, BTreeSet<NodeId>>,
    running: BTreeMap<PlaceId, RunningNodes>,
}

impl NodesByPlace {
    /// Moves a node from one place to another; adds it if it is new. It doesn't run until [`Self::set_running`].
    pub fn move_node(&mut self, node: NodeId, from: PlaceId, to: PlaceId) {
        if let Some(previous) = self.all.get_mut(&from) {
            previous.remove(&node);
        }
        if let Some(previous) = self.running.get_mut(&from) {
            previous.remove(node);
        }
        self.all.entry(to).or_default().insert(node);
    }

    /// Records that a node at a place runs, with its rank among the nodes there.
    pub fn set_running(&mut self, node: NodeId, place: PlaceId, rank: ReplicaRank) {
        let running = self.running.entry(place).or_default();
        running.remove(node);
        running.insert(rank, node);
    }

    /// Records that no node runs.
    pub fn clear_running(&mut self) {
        self.running.clear();
    }

    /// Keeps only matching nodes, and drops places without any.
    pub fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        self.all.values_mut().for_each(|nodes| nodes.retain(&is_kept));
        self.all.retain(|_, nodes| !nodes.is_empty());
        self.running.retain(|place, _| self.all.contains_key(place));
    }

    /// Number of places with nodes.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether the place has nodes, or had any since the last [`retain`](Self::retain).
    pub fn contains(&self, place: PlaceId) -> bool {
        self.all.contains_key(&place)
    }

    /// Returns the running nodes at any of these places, without duplicates: those of a single place by rank, those of
    /// several by number.
    pub fn running_at(&self, places: impl ExactSizeIterator<Item = PlaceId>) -> Cow<'_, [NodeId]> {
        let is_single = places.len() == 1;
        let mut found = places.filter_map(|place| self.running.get(&place)).map(|running| &running.nodes[..]);
        if is_single {
            return Cow::Borrowed(found.next().unwrap_or_default());
        }
        let mut nodes: Vec<NodeId> = found.flatten().copied().collect();
        nodes.sort();
        nodes.dedup();
        Cow::Owned(nodes)
    }
}

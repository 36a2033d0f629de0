//! Index of nodes by place.

use crate::interface::{NodeId, PlaceId};
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of the nodes at each place.
#[derive(Clone, Debug, Default)]
pub struct NodesByPlace(BTreeMap<PlaceId, BTreeSet<NodeId>>);

impl NodesByPlace {
    /// Moves a node from one place to another; adds it if it is new.
    pub fn move_node(&mut self, node: NodeId, from: PlaceId, to: PlaceId) {
        if let Some(previous) = self.0.get_mut(&from) {
            previous.remove(&node);
        }
        self.0.entry(to).or_default().insert(node);
    }

    /// Keeps only matching nodes, and drops places without any.
    pub fn retain(&mut self, is_kept: impl Fn(&NodeId) -> bool) {
        self.0.values_mut().for_each(|nodes| nodes.retain(&is_kept));
        self.0.retain(|_, nodes| !nodes.is_empty());
    }

    /// Number of places with nodes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the place has nodes, or had any since the last [`retain`](Self::retain).
    pub fn contains(&self, place: PlaceId) -> bool {
        self.0.contains_key(&place)
    }

    /// Returns the matching nodes at any of these places, sorted and without duplicates.
    pub fn nodes_at(
        &self,
        places: impl Iterator<Item = PlaceId>,
        matches: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = places
            .filter_map(|place| self.0.get(&place))
            .flatten()
            .filter(|id| matches(id))
            .copied()
            .collect();
        nodes.sort();
        nodes.dedup();
        nodes
    }
}

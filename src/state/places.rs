//! Which nodes stand at which place.

use crate::interface::{NodeId, PlaceId};
use std::collections::{BTreeMap, BTreeSet};

/// Which nodes stand at which place.
#[derive(Clone, Debug, Default)]
pub struct NodesByPlace(BTreeMap<PlaceId, BTreeSet<NodeId>>);

impl NodesByPlace {
    /// Moves a node from one place to another.
    pub fn put(&mut self, node: NodeId, from: PlaceId, to: PlaceId) {
        if let Some(left) = self.0.get_mut(&from) {
            left.remove(&node);
        }
        self.0.entry(to).or_default().insert(node);
    }

    /// Forgets all other nodes, and places with none.
    pub fn keep(&mut self, keeps: impl Fn(&NodeId) -> bool) {
        self.0.values_mut().for_each(|nodes| nodes.retain(&keeps));
        self.0.retain(|_, nodes| !nodes.is_empty());
    }

    /// How many places have nodes.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Any node stands there.
    pub fn has(&self, place: PlaceId) -> bool {
        self.0.contains_key(&place)
    }

    /// The nodes at any of these places that are wanted, in order.
    pub fn all_in(
        &self,
        places: impl Iterator<Item = PlaceId>,
        wanted: impl Fn(&NodeId) -> bool,
    ) -> Vec<NodeId> {
        let mut nodes: Vec<NodeId> = places
            .filter_map(|place| self.0.get(&place))
            .flatten()
            .filter(|id| wanted(id))
            .copied()
            .collect();
        nodes.sort();
        nodes.dedup();
        nodes
    }
}

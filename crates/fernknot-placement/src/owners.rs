//! Sets of nodes that own a range.

use fernknot::interface::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Nodes that own a range, in ascending order and without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owners(Vec<u32>);

impl Owners {
    /// Creates a set from nodes in any order; duplicates are dropped.
    pub fn new(nodes: impl IntoIterator<Item = NodeId>) -> Owners {
        let nodes: BTreeSet<u32> = nodes.into_iter().map(|node| node.0).collect();
        Owners(nodes.into_iter().collect())
    }

    /// Nodes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.iter().map(|node| NodeId(*node))
    }

    /// Whether the node is in the set.
    pub fn contains(&self, node: NodeId) -> bool {
        self.0.binary_search(&node.0).is_ok()
    }

    /// Whether the set has no nodes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

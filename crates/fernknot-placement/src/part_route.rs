//! Route of one part of a query from owner to owner: its next hop and its end. A part is the portion of the query for
//! one range of keys; a node redirects it if it does not own all of them.

use crate::change::{Epoch, OwnershipChange};
use crate::key_range::KeyRange;
use crate::placement_map::{PlacementMap, Segment};
use fernknot::interface::NodeId;

/// Next step for a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// Forward the part, to more than one target if its keys have been split among owners.
    Forward(Vec<ForwardTarget>),
    /// Reject the part: for some of its keys no owner is known that has not redirected the part already. No node
    /// executed any of it.
    NoOwner,
    /// Reject the part: it was redirected more often than allowed. No node executed any of it.
    HopLimit,
}

/// Keys to request, and the nodes that may be asked for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Keys to request.
    pub range: KeyRange,
    /// Candidate nodes, at least one; any of them may be asked.
    pub nodes: Vec<NodeId>,
}

/// Route of one part. A node that redirected keys is not asked for them again at the same epoch, and the route ends
/// when there are more than `max_hops` redirects, whatever nodes report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartRoute {
    range: KeyRange,
    hops: u32,
    max_hops: u32,
    redirects: Vec<Redirect>,
}

/// Report that a node does not own these keys as of this epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Redirect {
    node: NodeId,
    range: KeyRange,
    epoch: Epoch,
}

impl PartRoute {
    /// Creates the route of a part that may be redirected up to `max_hops` times.
    pub fn new(range: KeyRange, max_hops: u32) -> PartRoute {
        PartRoute { range, hops: 0, max_hops, redirects: Vec::new() }
    }

    /// Keys of the part.
    pub fn range(&self) -> KeyRange {
        self.range
    }

    /// Number of redirects so far.
    pub fn hops(&self) -> u32 {
        self.hops
    }

    /// Returns the first step for the part.
    pub fn first_hop(&self, map: &PlacementMap) -> NextHop {
        self.next_hop(map)
    }

    /// Records that a node redirected the part, and returns the next step. `map` must already include the reported
    /// changes. A redirect proves that the node executed nothing of the part.
    ///
    /// The node is asked again for the keys that it still owns by its own report. For the others it is asked only at an
    /// epoch later than those now in the map and in the report. This avoids a redirect loop at a node that redirects
    /// keys it owns, or between two nodes that redirect to each other.
    pub fn record_redirect(
        &mut self,
        map: &PlacementMap,
        by: NodeId,
        changes: &[OwnershipChange],
    ) -> NextHop {
        self.hops += 1;
        let reported_epoch = changes.iter().map(|change| change.epoch).max();
        for range in self.disowned_ranges(by, changes) {
            let known_epochs = map.segments(range).into_iter().filter_map(|segment| segment.epoch);
            let epoch = known_epochs.chain(reported_epoch).max().unwrap_or_default();
            self.redirects.push(Redirect { node: by, range, epoch });
        }
        if self.hops > self.max_hops {
            return NextHop::HopLimit;
        }
        self.next_hop(map)
    }

    /// Returns the ranges that the node does not own by its own report. A node that reports owning all of them, or
    /// reports none, had no reason to redirect and counts as owning nothing of the part.
    fn disowned_ranges(&self, by: NodeId, changes: &[OwnershipChange]) -> Vec<KeyRange> {
        let is_about_part = |change: &&OwnershipChange| change.range.intersection(&self.range).is_some();
        let (owned, disowned): (Vec<&OwnershipChange>, Vec<&OwnershipChange>) =
            changes.iter().filter(is_about_part).partition(|change| change.owners.contains(by));
        if disowned.is_empty() || owned.is_empty() {
            return vec![self.range];
        }
        disowned.into_iter().map(|change| change.range).collect()
    }

    /// Returns the route of a subrange, with the same number of redirects so far.
    pub fn split_off(&self, range: KeyRange) -> PartRoute {
        PartRoute { range, ..self.clone() }
    }

    fn next_hop(&self, map: &PlacementMap) -> NextHop {
        let mut targets = Vec::new();
        for segment in map.segments(self.range) {
            let may_ask =
                |node: &NodeId| !self.redirects.iter().any(|redirect| redirect.excludes(*node, &segment));
            let nodes: Vec<NodeId> = segment.candidates.iter().filter(may_ask).collect();
            if nodes.is_empty() {
                return NextHop::NoOwner;
            }
            targets.push(ForwardTarget { range: segment.range, nodes });
        }
        NextHop::Forward(targets)
    }
}

impl Redirect {
    /// Whether the redirect excludes the node from the candidates of the segment.
    fn excludes(&self, node: NodeId, segment: &Segment) -> bool {
        self.node == node
            && self.range.intersection(&segment.range).is_some()
            && segment.epoch.is_none_or(|epoch| self.epoch >= epoch)
    }
}

//! The route of one part of a query from owner to owner: where it goes next, and when it ends.

use crate::change::{Epoch, OwnershipChange};
use crate::key_range::KeyRange;
use crate::placement_map::{PlacementMap, Segment};
use fernknot::interface::NodeId;

/// What is to become of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextHop {
    /// It is forwarded; to more than one target where its keys have been split among owners.
    Forward(Vec<ForwardTarget>),
    /// Of some keys no owner is known, or only such as have redirected the part. It is rejected; nothing of it ran.
    NoOwner,
    /// It was redirected as often as allowed. It is rejected; nothing of it ran.
    HopLimit,
}

/// Keys to ask for, and the nodes of which any may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// The keys.
    pub range: KeyRange,
    /// The nodes, at least one.
    pub nodes: Vec<NodeId>,
}

/// The route of one part. A node that redirected keys is not asked for them again at that epoch, and the route ends
/// after a stated number of hops, whatever nodes report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartRoute {
    range: KeyRange,
    hops: u32,
    max_hops: u32,
    redirects: Vec<Redirect>,
}

/// A node does not own these keys, as of this epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Redirect {
    node: NodeId,
    range: KeyRange,
    epoch: Epoch,
}

impl PartRoute {
    /// A part for these keys that may be redirected so often.
    pub fn new(range: KeyRange, max_hops: u32) -> PartRoute {
        PartRoute { range, hops: 0, max_hops, redirects: Vec::new() }
    }

    /// The keys of the part.
    pub fn range(&self) -> KeyRange {
        self.range
    }

    /// How often the part was redirected.
    pub fn hops(&self) -> u32 {
        self.hops
    }

    /// Where the part goes first.
    pub fn first_hop(&self, map: &PlacementMap) -> NextHop {
        self.next_hop(map)
    }

    /// A node redirected the part and reported who owns what; `map` has these changes already. A redirect proves that
    /// nothing of the part ran there. The node is asked again for what it still owns by its own report, and for the
    /// rest only once a later epoch is known than the map and the report have now. So a node that redirects what it
    /// owns, and two nodes that redirect to each other, do not keep the part going round.
    pub fn redirected(&mut self, map: &PlacementMap, by: NodeId, changes: &[OwnershipChange]) -> NextHop {
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

    /// The ranges that the node does not own by its own report. One that owns all of them, or reports none, had no
    /// cause to redirect the part, and counts as owning nothing of it.
    fn disowned_ranges(&self, by: NodeId, changes: &[OwnershipChange]) -> Vec<KeyRange> {
        let is_about_part = |change: &&OwnershipChange| change.range.intersection(&self.range).is_some();
        let (owned, disowned): (Vec<&OwnershipChange>, Vec<&OwnershipChange>) =
            changes.iter().filter(is_about_part).partition(|change| change.owners.contains(by));
        if disowned.is_empty() || owned.is_empty() {
            return vec![self.range];
        }
        disowned.into_iter().map(|change| change.range).collect()
    }

    /// The route of some of its keys, split off; it has as many hops as this one.
    pub fn split_off(&self, range: KeyRange) -> PartRoute {
        PartRoute { range, ..self.clone() }
    }

    fn next_hop(&self, map: &PlacementMap) -> NextHop {
        let mut targets = Vec::new();
        for segment in map.segments(self.range) {
            let may_ask =
                |node: &NodeId| !self.redirects.iter().any(|redirect| redirect.bars(*node, &segment));
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
    /// Whether the node is not to be asked for the segment.
    fn bars(&self, node: NodeId, segment: &Segment) -> bool {
        self.node == node
            && self.range.intersection(&segment.range).is_some()
            && segment.epoch.is_none_or(|epoch| self.epoch >= epoch)
    }
}

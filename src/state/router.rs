//! State of a router.

use super::budget::{RetryBudgetUse, TokenBucket};
use super::first_sends::FirstSends;
use super::groups::Groups;
use super::histogram::Histogram;
use super::node::Node;
use super::places::{NodesByPlace, ReplicaRank};
use super::query::Multiget;
use super::random::{Mwc, splitmix64};
use super::statistics::{LinearTrend, RunningMean};
use super::use_case::UseCase;
use crate::interface::*;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// State of a router; its decisions are in [`decide`](crate::decide).
#[derive(Default)]
pub struct Router {
    pub(crate) use_cases: Vec<UseCase>,
    pub(crate) value_by_work: bool,
    pub(crate) has_unmarked_retries: bool,
    pub(crate) rejections_cost_value: bool,
    /// Seed of the order in which this router prefers replicas, different for each router.
    pub(crate) seed: u64,
    pub(crate) zone: Option<ZoneId>,
    /// Number of routers that share customers' quotas, this one included.
    pub(crate) router_count: f64,
    /// This router's share of each customer's quota; a token is one multiget.
    pub(crate) customer_quotas: Vec<TokenBucket>,
    pub(crate) tick: Nanos,
    /// Shortest latency target of the current use cases.
    pub(crate) shortest_target: Nanos,
    /// Lower bound of `shortest_target`.
    pub(crate) min_target: Nanos,
    /// Empty histogram that all others are copied from.
    pub(crate) empty_bins: Histogram,
    pub(crate) slow_start: SlowStartSettings,
    /// Work that a fully busy warm replica could answer to this router, in sizes of parts per nanosecond.
    pub(crate) warm_capacity: RunningMean,
    /// Share of their capacity that warm replicas use, from 0 to 1.
    pub(crate) warm_busy_share: f64,
    pub(crate) retry_budget: Option<RetryBudgetSettings>,
    pub(crate) places: u32,
    pub(crate) places_per_shard: u32,
    pub(crate) cancellation: bool,
    pub(crate) hedging: bool,
    pub(crate) max_attempts: usize,
    pub(crate) max_retry_after: Nanos,
    /// Time of the next request for changes of the node list, if they must be requested.
    pub(crate) list_request_at: Option<Nanos>,
    pub(crate) list_changes_on_request: bool,
    /// Mean wait after the last failed request for the list, in replanning intervals; 0 after a success.
    pub(crate) list_wait: f64,
    pub(crate) peer_updates: bool,
    /// Updates to be sent to the peers.
    pub(crate) updates: Vec<(NodeId, Update)>,
    /// Time at which to send `updates`; `None` if there are none.
    pub(crate) notify_at: Option<Nanos>,
    pub(crate) random: Mwc,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) nodes_by_place: NodesByPlace,
    pub(crate) multigets: BTreeMap<MultigetId, Multiget>,
    /// Statistics over replicas with similar work.
    pub(crate) groups: Groups,
    /// Trend of the logarithm of latency over the logarithm of expected work.
    pub(crate) effort_trend: LinearTrend,
    /// Number of replicas that each part is sent to at once, by shard and use case, where it is more than one.
    pub(crate) planned_copies: BTreeMap<(ShardId, UseCaseId), usize>,
    /// Number of first attempts since copies were last planned.
    pub(crate) sends_since_replan: BTreeMap<(ShardId, UseCaseId), f64>,
    /// Number of first attempts by shard, from a random start, which rotates equal replicas.
    pub(crate) rotations: BTreeMap<ShardId, usize>,
    pub(crate) replan_at: Nanos,
    /// Mean number of replicas that a part is planned to be sent to at once; 1 without copies.
    pub(crate) mean_copies: f64,
    /// First attempts with their times, by shard if replicas are chosen from subsets.
    pub(crate) first_sends: FirstSends,
    pub(crate) budget_use: RetryBudgetUse,
    /// Mean ratio of a multiget's expected delay to its latency target; longer delays count as 1.
    pub(crate) delay_share: RunningMean,
    /// Work reserved for second phases of multigets in their first phase, in sizes of parts.
    pub(crate) reserved_work: f64,
    /// Time at which admission last ended a multiget, because the expected delay of a phase was too long.
    pub(crate) rejected_at: Option<Nanos>,
    /// Multigets to review because of an input. A review makes the decisions due for one multiget.
    pub(crate) review_queue: VecDeque<MultigetId>,
    /// Times of scheduled reviews, each with its multiget.
    pub(crate) reviews: BTreeSet<(Nanos, MultigetId)>,
    /// Time for which the last [`Decision::Wake`] scheduled a poll.
    pub(crate) wake_at: Option<Nanos>,
    /// Decisions that have been made, but not returned to the host yet.
    pub(crate) decisions: VecDeque<Decision>,
}

impl Router {
    /// Sets [`RetryBudgetSettings::free_retries`] to this router's share of them; does nothing without a retry budget.
    pub fn set_free_retries(&mut self, free: f64) {
        self.retry_budget.iter_mut().for_each(|budget| budget.free_retries = free);
    }

    /// Puts a place in a group of places with similar work, whose replicas share statistics. Separate groups keep the
    /// measurements of one service from being applied to another that has none yet.
    pub fn set_group(&mut self, place: PlaceId, group: u32) {
        self.groups.assign(place, group);
    }
}

impl Router {
    /// Adds a use case at the next free id, or replaces one, also for multigets in flight; does nothing for a higher
    /// id. The measurements of a replaced one stay if only its times, values and limit of attempts change and it has
    /// not been removed.
    pub fn set_use_case(&mut self, _now: Nanos, id: UseCaseId, settings: &UseCaseSettings) {
        let mut case = UseCase::new(settings, &self.empty_bins);
        let work =
            |case: &UseCase| (case.is_live, case.effect, case.complete_share, case.quorum, case.two_phase);
        if let Some(previous) = self.use_cases.get_mut(id.0) {
            if work(previous) == work(&case) {
                (case.part_size, case.total_size) = (previous.part_size, previous.total_size);
                case.latencies = std::mem::take(&mut previous.latencies);
            } else {
                self.nodes.values_mut().for_each(|node| node.failures_by_kind.retain(|kind, _| kind.0 != id));
            }
            *previous = case;
        } else if id.0 == self.use_cases.len() {
            self.use_cases.push(case);
        }
        self.update_shortest_target();
    }

    /// Removes a use case that gets no more arrivals; its id may be used again once none of its multigets is in
    /// flight.
    pub fn remove_use_case(&mut self, id: UseCaseId) {
        self.use_cases.get_mut(id.0).into_iter().for_each(|case| case.is_live = false);
        self.nodes.values_mut().for_each(|node| node.failures_by_kind.retain(|kind, _| kind.0 != id));
        self.update_shortest_target();
    }

    fn update_shortest_target(&mut self) {
        let targets = self.use_cases.iter().filter(|case| case.is_live).map(|case| case.latency_target);
        self.shortest_target = targets.min().unwrap_or(self.shortest_target).max(self.min_target);
    }

    /// First of the places that hold a shard.
    pub(crate) fn place_of(&self, shard: ShardId) -> PlaceId {
        PlaceId(shard.0 % self.places)
    }

    /// All places that hold a shard.
    pub(crate) fn places_of(&self, shard: ShardId) -> impl ExactSizeIterator<Item = PlaceId> {
        let places = u64::from(self.places);
        (0..self.places_per_shard)
            .map(move |step| PlaceId(((u64::from(shard.0) + u64::from(step)) % places) as u32))
    }

    /// Sets the time at which the request of an attempt was written. Until then the attempt counts as sent when that was
    /// decided, although the host may have had other work to do before.
    pub fn attempt_written(&mut self, now: Nanos, id: PartId, number: AttemptNumber) {
        let part = self.multigets.get_mut(&id.multiget).and_then(|multiget| multiget.parts.get_mut(id.index));
        let index = number.0 as usize;
        let Some(attempt) = part.and_then(|part| part.attempts.get_mut(index)) else { return };
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        if let Some(load) = node.in_flight.remove(&(attempt.sent_at, id, index)) {
            attempt.sent_at = now;
            node.in_flight.insert((now, id, index), load);
        }
    }

    /// Returns the running replicas of a shard, the only ones that take turns in the rotation.
    pub(crate) fn running_replicas(&self, shard: ShardId) -> Cow<'_, [NodeId]> {
        self.nodes_by_place.running_at(self.places_of(shard))
    }

    /// Records that all nodes are gone.
    pub(crate) fn set_all_gone(&mut self) {
        self.nodes.values_mut().for_each(|node| node.health = Health::Gone);
        self.nodes_by_place.clear_running();
    }

    /// Adds a node to the running replicas of its place if it runs; it was removed from them before.
    pub(crate) fn set_running(&mut self, entry: &NodeEntry) {
        if entry.health == Health::Running {
            let rank = self.replica_rank(entry);
            self.nodes_by_place.set_running(entry.node, entry.place, rank);
        }
    }

    /// Returns the position of a node in the order in which this router prefers the replicas of a place. Without subsets,
    /// that is the order of their numbers; with them it differs between routers, so that they share the replicas evenly.
    fn replica_rank(&self, entry: &NodeEntry) -> ReplicaRank {
        let number = u64::from(entry.node.0);
        match self.first_sends.counts_shards() {
            true => (self.zone.is_some() && entry.zone != self.zone, splitmix64(self.seed ^ number)),
            false => (false, number),
        }
    }

    /// Returns the number of first attempts at a shard, from a random start, which rotates equal replicas.
    pub(crate) fn rotation(&self, shard: ShardId) -> usize {
        self.rotations.get(&shard).copied().unwrap_or(0)
    }

    /// Whether a node is in another zone than this router, if zones matter.
    pub(crate) fn is_remote(&self, id: &NodeId) -> bool {
        self.zone.is_some() && self.nodes[id].zone != self.zone
    }

    /// Drops stopped nodes without recent measurements, the state of places and shards without nodes, and counts older
    /// than `longest`. Bounds the memory of a router that runs for days while shards come and go.
    pub(crate) fn forget_unused(&mut self, now: Nanos, longest: Nanos) {
        self.nodes.retain(|_, node| node.health != Health::Gone || !node.is_forgotten());
        self.nodes_by_place.retain(|id| self.nodes.contains_key(id));
        self.first_sends.forget(now, longest);
        self.budget_use.forget(now, longest);
        let mut rotations = std::mem::take(&mut self.rotations);
        rotations.retain(|shard, _| self.places_of(*shard).any(|place| self.nodes_by_place.contains(place)));
        self.rotations = rotations;
        self.groups.retain(|place| self.nodes_by_place.contains(*place));
    }
}

/// Numbers of entries that a router keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedCounts {
    /// Number of multigets without a final answer or with attempts in flight.
    pub multigets: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of places with nodes.
    pub places: usize,
    /// Number of shards with a rotation of their replicas.
    pub rotations: usize,
    /// Number of shards with a retry budget of their own.
    pub shard_budgets: usize,
}

impl Router {
    /// Returns the numbers of entries kept, to check that memory is bounded.
    pub fn retained_counts(&self) -> RetainedCounts {
        RetainedCounts {
            multigets: self.multigets.len(),
            nodes: self.nodes.len(),
            places: self.nodes_by_place.len(),
            rotations: self.rotations.len(),
            shard_budgets: self.budget_use.shard_count(),
        }
    }
}

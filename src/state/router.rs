//! All that one router knows.

use super::budget::{RetryBudgetUse, SlidingCount, TokenBucket};
use super::groups::Groups;
use super::histogram::Histogram;
use super::node::Node;
use super::places::NodesByPlace;
use super::query::Multiget;
use super::random::Mwc;
use super::statistics::{LinearTrend, RunningMean};
use super::use_case::UseCase;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// All that a router knows; what it makes of it is in `decide`.
#[derive(Default)]
pub struct Router {
    pub(crate) use_cases: Vec<UseCase>,
    pub(crate) by_work: bool,
    pub(crate) unmarked: bool,
    pub(crate) refusals_cost: bool,
    pub(crate) zone: Option<ZoneId>,
    /// Among how many routers limits are shared.
    pub(crate) router_count: f64,
    /// Multigets within each customer's share at this router.
    pub(crate) shares: Vec<TokenBucket>,
    pub(crate) tick: Nanos,
    pub(crate) shortest_goal: Nanos,
    /// What that never falls under, and the empty histogram that all are made from.
    pub(crate) least_goal: Nanos,
    pub(crate) bins: Histogram,
    pub(crate) warmup: SlowStartSettings,
    /// What a warm replica could answer to this router, in sizes a nanosecond.
    pub(crate) bears: RunningMean,
    /// How busy warm replicas are.
    pub(crate) busy_all: f64,
    pub(crate) budget: Option<RetryBudgetSettings>,
    pub(crate) places: u32,
    pub(crate) width: u32,
    pub(crate) cancel: bool,
    pub(crate) hedging: bool,
    pub(crate) max_attempts: usize,
    pub(crate) max_retry_after: Nanos,
    /// When to ask to be told of changes of the list, where that must be asked.
    pub(crate) ask_at: Option<Nanos>,
    pub(crate) must_ask: bool,
    pub(crate) ask_wait: f64,
    /// What the other routers are to be told, where they may be, and when.
    pub(crate) peers: bool,
    pub(crate) updates: Vec<(NodeId, Update)>,
    pub(crate) notify_at: Option<Nanos>,
    pub(crate) random: Mwc,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) by_place: NodesByPlace,
    pub(crate) open: BTreeMap<MultigetId, Multiget>,
    /// What all replicas showed whose work is alike.
    pub(crate) groups: Groups,
    /// Hints of work against latencies, as logarithms.
    pub(crate) hints: LinearTrend,
    /// Planned copies, and first attempts of the running period.
    pub(crate) plan: BTreeMap<(ShardId, UseCaseId), usize>,
    pub(crate) sends: BTreeMap<(ShardId, UseCaseId), f64>,
    pub(crate) turns: BTreeMap<ShardId, usize>,
    pub(crate) replan_at: Nanos,
    pub(crate) mean_copies: f64,
    pub(crate) first_sends: SlidingCount,
    pub(crate) budget_use: RetryBudgetUse,
    /// The share of the target that the expected delay of multigets fills.
    pub(crate) met: RunningMean,
    /// Sizes promised to second phases of multigets whose first one runs.
    pub(crate) promised: f64,
    /// When a multiget was last rejected for the delay it would meet.
    pub(crate) rejected_at: Option<Nanos>,
    pub(crate) touched: VecDeque<MultigetId>,
    pub(crate) due: BTreeSet<(Nanos, MultigetId)>,
    pub(crate) wake_at: Option<Nanos>,
    pub(crate) ready: VecDeque<Decision>,
}

impl Router {
    /// This router's part of the retries that are free, from now on.
    pub fn set_free_attempts(&mut self, free: f64) {
        self.budget.iter_mut().for_each(|budget| budget.free = free);
    }

    /// From now on the work of this place is alike to that of all others in this group, and its replicas are
    /// averaged with theirs. Guards what is unheard of one service against passing for another's.
    pub fn set_group(&mut self, place: PlaceId, group: u32) {
        self.groups.put(place, group);
    }
}

impl Router {
    /// Adds a use case at the next free id, or replaces one, also for what is open. What was measured of it
    /// stays if only its times, worth and limit of attempts changed and it has not been taken away.
    pub fn set_use_case(&mut self, _now: Nanos, id: UseCaseId, settings: &UseCaseSettings) {
        let mut case = UseCase::new(settings, &self.bins);
        let work = |case: &UseCase| (case.live, case.effect, case.required, case.quorum, case.two_phase);
        if let Some(old) = self.use_cases.get_mut(id.0) {
            if work(old) == work(&case) {
                (case.size, case.work) = (old.size, old.work);
                case.latencies = std::mem::take(&mut old.latencies);
            } else {
                self.nodes.values_mut().for_each(|node| node.kinds.retain(|kind, _| kind.0 != id));
            }
            *old = case;
        } else if id.0 == self.use_cases.len() {
            self.use_cases.push(case);
        }
        self.set_shortest();
    }

    /// Takes a use case away, of which nothing new comes; its id may be used again once nothing is open.
    pub fn remove_use_case(&mut self, id: UseCaseId) {
        self.use_cases.get_mut(id.0).into_iter().for_each(|case| case.live = false);
        self.nodes.values_mut().for_each(|node| node.kinds.retain(|kind, _| kind.0 != id));
        self.set_shortest();
    }

    fn set_shortest(&mut self) {
        let goals = self.use_cases.iter().filter(|case| case.live).map(|case| case.latency_target);
        self.shortest_goal = goals.min().unwrap_or(self.shortest_goal).max(self.least_goal);
    }

    /// The first of the places that hold a shard.
    pub(crate) fn place_of(&self, shard: ShardId) -> PlaceId {
        PlaceId(shard.0 % self.places)
    }

    /// All places that hold a shard.
    pub(crate) fn places_of(&self, shard: ShardId) -> impl Iterator<Item = PlaceId> {
        let places = u64::from(self.places);
        (0..self.width).map(move |step| PlaceId(((u64::from(shard.0) + u64::from(step)) % places) as u32))
    }

    /// Drops nodes, places and shards that are gone and of which nothing is known, and counts older than `longest`.
    /// Guards the memory of a router that runs for days against shards that came and went.
    pub(crate) fn forget_unused(&mut self, now: Nanos, longest: Nanos) {
        self.nodes.retain(|_, node| node.health != Health::Gone || !node.is_forgotten());
        self.by_place.keep(|id| self.nodes.contains_key(id));
        self.first_sends.forget(now, longest);
        self.budget_use.forget(now, longest);
        let mut turns = std::mem::take(&mut self.turns);
        turns.retain(|shard, _| self.places_of(*shard).any(|place| self.by_place.has(place)));
        self.turns = turns;
        self.groups.keep(|place| self.by_place.has(*place));
    }
}

/// How much a router holds, to be watched over days.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedCounts {
    /// Queries in flight.
    pub multigets: usize,
    /// Nodes known.
    pub nodes: usize,
    /// Places with nodes.
    pub places: usize,
    /// Shards with a turn, and those with spending of their own.
    pub turns: usize,
    /// Shards with spending of their own.
    pub spending: usize,
}

impl Router {
    /// Counts what is kept, to show that it is bounded.
    pub fn retained(&self) -> RetainedCounts {
        RetainedCounts {
            multigets: self.open.len(),
            nodes: self.nodes.len(),
            places: self.by_place.len(),
            turns: self.turns.len(),
            spending: self.budget_use.shard_count(),
        }
    }
}

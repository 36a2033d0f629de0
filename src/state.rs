//! Plain containers for what a router knows. Nothing here decides anything.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Multiply-with-carry.
#[derive(Clone, Debug, Default)]
pub struct Mwc(u64);

impl Mwc {
    pub fn new(seed: u64) -> Mwc {
        let mixed = seed ^ (seed >> 32);
        Mwc((mixed & 0xffff_ffff) | (1 << 32))
    }

    /// A whole number under `bound`.
    pub fn under(&mut self, bound: u32) -> u32 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (((self.0 & 0xffff_ffff) * u64::from(bound)) >> 32) as u32
    }

    /// A number from 0 to under 1.
    pub fn share(&mut self) -> f64 {
        f64::from(self.under(1 << 16)) / f64::from(1 << 16)
    }
}

/// Spans in coarse bins, each wider than the one before by the same ratio; misses lie past all.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    first: f64,
    ratio: f64,
    bins: Vec<f64>,
    misses: f64,
}

impl Histogram {
    pub fn new(first: f64, ratio: f64, bins: usize) -> Histogram {
        Histogram { first, ratio, bins: vec![0.0; bins], misses: 0.0 }
    }

    fn upper(&self, bin: usize) -> f64 {
        self.first * self.ratio.powi(bin as i32)
    }

    fn middle(&self, bin: usize) -> f64 {
        let lower = if bin == 0 { 0.0 } else { self.upper(bin - 1) };
        (lower + self.upper(bin)) / 2.0
    }

    pub fn add(&mut self, value: f64) {
        match (0..self.bins.len()).find(|&bin| value <= self.upper(bin)) {
            Some(bin) => self.bins[bin] += 1.0,
            None => self.misses += 1.0,
        }
    }

    pub fn add_miss(&mut self) {
        self.misses += 1.0;
    }

    pub fn take_miss(&mut self) {
        self.misses = (self.misses - 1.0).max(0.0);
    }

    pub fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2.0);
        self.misses /= 2.0;
    }

    pub fn total(&self) -> f64 {
        self.bins.iter().sum::<f64>() + self.misses
    }

    /// How many lie under `value`, evenly spread within a bin.
    pub fn under(&self, value: f64) -> f64 {
        let mut sum = 0.0;
        let mut lower = 0.0;
        for (bin, count) in self.bins.iter().enumerate() {
            let upper = self.upper(bin);
            if value < upper {
                return sum + count * ((value - lower) / (upper - lower)).max(0.0);
            }
            sum += count;
            lower = upper;
        }
        sum
    }

    /// Mean and squared coefficient of variation of the fastest `share`; misses count as the top.
    pub fn fastest(&self, share: f64) -> Option<(f64, f64)> {
        let mut left = self.total() * share;
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        let past = (self.middle(self.bins.len()), self.misses);
        let filled = self.bins.iter().enumerate().map(|(bin, n)| (self.middle(bin), *n));
        for (value, n) in filled.chain([past]) {
            let n = n.min(left);
            left -= n;
            count += n;
            sum += n * value;
            squares += n * value * value;
        }
        (count > 0.0).then(|| {
            let mean = sum / count;
            (mean, (squares / count / (mean * mean) - 1.0).max(0.0))
        })
    }
}

/// Amounts of the last while, kept to the instant.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount {
    held: VecDeque<(Nanos, f64)>,
}

impl SlidingCount {
    pub fn add(&mut self, at: Nanos, amount: f64) {
        self.held.push_back((at, amount));
    }

    /// The sum of what came less than `span` ago.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        let recent = self.held.iter().rev().take_while(|(at, _)| now - *at < span);
        recent.map(|(_, amount)| amount).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        while self.held.front().is_some_and(|(at, _)| now - *at > span) {
            self.held.pop_front();
        }
    }
}

/// Parts taken, and hand-offs past the first of each.
#[derive(Clone, Debug, Default)]
pub struct Spent {
    pub taken: SlidingCount,
    pub further: SlidingCount,
}

impl Spent {
    fn forget(&mut self, now: Nanos, span: Nanos) -> bool {
        self.taken.forget(now, span);
        self.further.forget(now, span);
        self.taken.is_empty() && self.further.is_empty()
    }
}

/// What all shards spent together, multigets counted as taken too, and where wanted each shard alone.
#[derive(Clone, Debug, Default)]
pub struct Spending {
    pub all: Spent,
    each: Option<BTreeMap<ShardId, Spent>>,
}

impl Spending {
    pub fn new(each_shard: bool) -> Spending {
        Spending { all: Spent::default(), each: each_shard.then(BTreeMap::new) }
    }

    /// That of the shard or, where those are not kept apart, of all.
    pub fn of(&self, shard: ShardId) -> Option<&Spent> {
        self.each.as_ref().map_or(Some(&self.all), |each| each.get(&shard))
    }

    pub fn take(&mut self, now: Nanos, shard: ShardId) {
        self.all.taken.add(now, 1.0);
        let own = self.each.as_mut().map(|each| each.entry(shard).or_default());
        own.into_iter().for_each(|own| own.taken.add(now, 1.0));
    }

    pub fn send_further(&mut self, now: Nanos, shard: ShardId) {
        self.all.further.add(now, 1.0);
        let own = self.each.as_mut().map(|each| each.entry(shard).or_default());
        own.into_iter().for_each(|own| own.further.add(now, 1.0));
    }

    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.all.forget(now, span);
        self.each.iter_mut().for_each(|each| each.retain(|_, own| !own.forget(now, span)));
    }
}

/// A fill of so much a second, up to a limit, from which takings are drawn.
#[derive(Clone, Debug)]
pub struct Allowance {
    pub rate: f64,
    limit: f64,
    left: f64,
    since: Nanos,
}

impl Allowance {
    pub fn new(rate: f64, limit: f64, now: Nanos) -> Allowance {
        Allowance { rate, limit, left: limit, since: now }
    }

    /// A rate so many times as high from now on.
    pub fn scale(&mut self, now: Nanos, factor: f64) {
        self.fill(now);
        self.rate *= factor;
        self.limit = (self.limit * factor).max(1.0);
        self.left = self.left.min(self.limit);
    }

    fn fill(&mut self, now: Nanos) {
        self.left = (self.left + self.rate * (now - self.since).0 as f64 / 1e9).min(self.limit);
        self.since = now;
    }

    /// What there is now.
    pub fn left(&mut self, now: Nanos) -> f64 {
        self.fill(now);
        self.left
    }

    /// When there will be so much, up to its limit; a little later, so that rounding leaves nothing out.
    pub fn reaches(&self, wanted: f64) -> Nanos {
        let missing = (wanted - self.left).max(0.0) / self.rate;
        self.since + Nanos((missing * 1e9) as u64 + 1000)
    }

    /// Draws one, if there is one.
    pub fn draw(&mut self, now: Nanos) -> bool {
        self.fill(now);
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// A mean that gives each new figure the same weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean(Option<f64>);

impl RunningMean {
    pub fn add(&mut self, value: f64, gain: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + gain * (value - mean)));
    }

    /// The same, from a figure that stands for what came before the first.
    pub fn add_from(&mut self, prior: Option<f64>, value: f64, gain: f64) {
        self.0 = self.0.or(prior);
        self.add(value, gain);
    }

    pub fn scale(&mut self, factor: f64) {
        self.0 = self.0.map(|mean| mean * factor);
    }

    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// Which nodes stand at which place.
#[derive(Clone, Debug, Default)]
pub struct Places(BTreeMap<PlaceId, BTreeSet<NodeId>>);

impl Places {
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

/// How many of so many failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    failed: f64,
    all: f64,
}

impl Tally {
    pub fn add(&mut self, failed: bool) {
        self.failed += if failed { 1.0 } else { 0.0 };
        self.all += 1.0;
    }

    pub fn take_failure(&mut self) {
        self.failed = (self.failed - 1.0).max(0.0);
        self.all = (self.all - 1.0).max(self.failed);
    }

    pub fn halve(&mut self) {
        self.failed /= 2.0;
        self.all /= 2.0;
    }

    /// The share that failed, with `prior` counted as seen `weight` times.
    pub fn share(&self, prior: f64, weight: f64) -> f64 {
        (self.failed + prior * weight) / (self.all + weight)
    }
}

/// Running means of two figures, and how the second moves with the first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trend {
    pub x: RunningMean,
    pub y: RunningMean,
    spread: f64,
    joint: f64,
}

impl Trend {
    pub fn add(&mut self, x: f64, y: f64, gain: f64) {
        let dx = x - self.x.get().unwrap_or(x);
        let dy = y - self.y.get().unwrap_or(y);
        self.x.add(x, gain);
        self.y.add(y, gain);
        self.spread += gain * (dx * dx - self.spread);
        self.joint += gain * (dx * dy - self.joint);
    }

    /// The slope, with `prior` counted as seen at a spread of `weight`.
    pub fn slope(&self, prior: f64, weight: f64) -> f64 {
        (self.joint + prior * weight) / (self.spread + weight)
    }
}

#[derive(Clone, Debug)]
pub struct HandOff {
    pub node: NodeId,
    pub sent: Nanos,
    pub expected: Nanos,
    /// The work in hand at its node when it was sent, itself included.
    pub ahead: f64,
    pub outcome: Option<Outcome>,
    pub called_off: bool,
    /// It has been counted as a miss of its node while still out.
    pub missed: bool,
}

/// Sizes of work by node.
pub type Loads = BTreeMap<NodeId, f64>;

impl HandOff {
    pub fn new(offer: &Offer, sent: Nanos, ahead: f64) -> HandOff {
        HandOff {
            node: offer.node,
            sent,
            expected: offer.delay,
            ahead,
            outcome: None,
            called_off: false,
            missed: false,
        }
    }
}

/// A use case, and whether it is the second of its two phases.
pub type Kind = (UseCaseId, bool);

#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: ShardId,
    pub weight: f64,
    pub size: f64,
    /// Logarithm of the work hinted at.
    pub hint: Option<f64>,
    pub effect: Effect,
    pub kind: Kind,
    pub hand_offs: Vec<HandOff>,
    pub answered: bool,
    pub given_up: bool,
}

impl Part {
    /// One that may be repeated, of a first phase, with no hint.
    pub fn new(arrival: &PartArrival, use_case: UseCaseId, size: f64) -> Part {
        Part {
            id: arrival.part,
            shard: arrival.shard,
            weight: arrival.weight,
            size,
            hint: None,
            effect: Effect::Replayable,
            kind: (use_case, false),
            hand_offs: Vec::new(),
            answered: false,
            given_up: false,
        }
    }

    pub fn out(&self) -> impl Iterator<Item = &HandOff> {
        self.hand_offs.iter().filter(|sent| sent.outcome.is_none())
    }
}

#[derive(Clone, Debug)]
pub struct Multiget {
    pub use_case: UseCaseId,
    pub customer: CustomerId,
    /// When to have answered: the goal time, or sooner where clients leave sooner.
    pub aim_end: Nanos,
    /// When nothing more can be earned.
    pub until: Nanos,
    /// Both, as they are for the multiget as a whole while its first phase has less.
    pub whole_ends: (Nanos, Nanos),
    pub client_end: Nanos,
    /// Of its second phase, while the first one runs, and the work counted as promised to it.
    pub second: Option<SecondFacts>,
    pub promised: f64,
    /// Its second phase, once that is open.
    pub opened: Option<SecondStep>,
    pub parts: Vec<Part>,
    /// Where the parts of the present step begin.
    pub step_from: usize,
    /// No part of the present step has been looked at yet.
    pub fresh: bool,
    /// Its other parts wait for the first one's answer.
    pub scouting: bool,
    pub first_whole: bool,
    /// When it is to be looked at without news.
    pub look_at: Nanos,
    /// It has had its final answer; kept only for what is still out.
    pub ended: bool,
}

impl Multiget {
    pub fn new(arrival: &Arrival, aim_end: Nanos, until: Nanos) -> Multiget {
        Multiget {
            use_case: arrival.use_case,
            customer: arrival.customer,
            aim_end,
            until,
            whole_ends: (aim_end, until),
            client_end: arrival.client_end,
            second: None,
            promised: 0.0,
            opened: None,
            parts: Vec::new(),
            step_from: 0,
            fresh: true,
            scouting: false,
            first_whole: true,
            look_at: Nanos(0),
            ended: false,
        }
    }

    pub fn step(&self) -> &[Part] {
        &self.parts[self.step_from..]
    }
}

/// What is known of a use case.
#[derive(Clone, Debug, Default)]
pub struct UseCase {
    /// It has not been taken away.
    pub live: bool,
    pub goal: Nanos,
    pub hard_limit: Nanos,
    /// The longest that a client has been seen to stay for one try.
    pub stay: Nanos,
    pub late_share: f64,
    pub squared: bool,
    pub earnings: f64,
    pub effect: Effect,
    pub stretch: f64,
    pub need: f64,
    pub floor: f64,
    pub second_step: bool,
    pub most_hand_offs: Option<u32>,
    /// Latencies at all replicas, to tell how heavy its parts are beside others.
    pub latencies: Histogram,
    /// Mean size of a part, and of all parts of a multiget.
    pub size: RunningMean,
    pub work: RunningMean,
}

impl UseCase {
    /// As the settings have it, with nothing measured.
    pub fn new(facts: &UseCaseFacts, bins: &Histogram) -> UseCase {
        UseCase {
            live: true,
            goal: facts.goal,
            hard_limit: facts.hard_limit,
            late_share: facts.late_share,
            squared: facts.squared,
            earnings: facts.earnings,
            effect: facts.effect,
            stretch: facts.stretch,
            need: facts.need,
            floor: facts.floor,
            second_step: facts.second_step,
            most_hand_offs: facts.most_hand_offs,
            latencies: bins.clone(),
            ..UseCase::default()
        }
    }
}

/// What is known of a data node.
#[derive(Clone, Debug)]
pub struct Node {
    pub place: PlaceId,
    pub zone: Option<ZoneId>,
    pub health: Health,
    pub since: Nanos,
    /// Latencies over sizes, misses among them.
    pub latencies: Histogram,
    /// Failures, all and by kind of work.
    pub failures: Tally,
    pub kinds: BTreeMap<Kind, Tally>,
    /// Time that a part took for each size of work in hand when it was sent.
    pub pace: RunningMean,
    /// Hand-offs that are out: their sizes, and whether they are overdue.
    pub out: BTreeMap<(Nanos, PartId, usize), (f64, bool)>,
    /// Hand-offs of other routers, as they told: by whom, when, and the work in hand then.
    pub others: Vec<(PeerId, Nanos, f64)>,
    /// When the latest of the hand-offs that it has answered was sent.
    pub answered_to: Nanos,
    /// When its measurements were last halved.
    pub halved_at: Nanos,
    pub busy_share: Option<f64>,
    /// What may be sent to it while it is cold, less what was, and when that was reckoned.
    pub cold_room: (f64, Nanos),
    /// Sizes answered.
    pub served: SlidingCount,
}

impl Node {
    pub fn new(entry: &NodeEntry, bins: &Histogram) -> Node {
        Node {
            place: entry.place,
            zone: entry.zone,
            health: entry.health,
            since: entry.since,
            latencies: bins.clone(),
            failures: Tally::default(),
            kinds: BTreeMap::new(),
            pace: RunningMean::default(),
            out: BTreeMap::new(),
            others: Vec::new(),
            answered_to: Nanos(0),
            halved_at: Nanos(0),
            busy_share: None,
            cold_room: (0.0, Nanos(0)),
            served: SlidingCount::default(),
        }
    }

    /// Nothing is out and nothing that it did still counts.
    pub fn is_forgotten(&self) -> bool {
        self.out.is_empty() && self.latencies.total() < 1.0
    }

    /// When the first of the overdue hand-offs was sent after which nothing has been answered.
    pub fn stuck_since(&self) -> Option<Nanos> {
        let overdue =
            self.out.iter().find(|((sent, _, _), (_, overdue))| *overdue && *sent >= self.answered_to);
        overdue.map(|((sent, _, _), _)| *sent)
    }

    /// Sizes of work that it has of ours and of others', for all that is known. What is overdue counts as
    /// lost if it was sent before `lost_before`, or before something that has been answered.
    pub fn holds(&self, lost_before: Nanos) -> f64 {
        let ours = lost_before.max(self.answered_to);
        let held = self.out.iter().filter(|((sent, _, _), (_, overdue))| !overdue || *sent >= ours);
        let others = self.others.iter().filter(|(_, sent, _)| *sent >= lost_before).count();
        held.map(|(_, (size, _))| size).sum::<f64>() + others as f64
    }
}

/// What the replicas of some places showed together.
#[derive(Clone, Default)]
pub struct Group {
    /// Over sizes, misses among them, and as they were.
    pub latencies: Histogram,
    pub raw_latencies: Histogram,
    pub failures: Tally,
    pub pace: RunningMean,
}

/// Places by the group whose work is alike; those that nobody put in one share the first.
#[derive(Default)]
pub struct Groups {
    blank: Group,
    of: BTreeMap<u32, Group>,
    by_place: BTreeMap<PlaceId, u32>,
}

impl Groups {
    pub fn new(bins: &Histogram) -> Groups {
        let blank = Group { latencies: bins.clone(), raw_latencies: bins.clone(), ..Group::default() };
        Groups { blank, ..Groups::default() }
    }

    pub fn put(&mut self, place: PlaceId, group: u32) {
        self.by_place.insert(place, group);
    }

    fn number(&self, place: PlaceId) -> u32 {
        self.by_place.get(&place).copied().unwrap_or(0)
    }

    pub fn get(&self, place: PlaceId) -> &Group {
        self.of.get(&self.number(place)).unwrap_or(&self.blank)
    }

    pub fn get_mut(&mut self, place: PlaceId) -> &mut Group {
        let blank = &self.blank;
        self.of.entry(self.number(place)).or_insert_with(|| blank.clone())
    }

    /// Ages what is measured.
    pub fn halve(&mut self) {
        for group in self.of.values_mut() {
            group.latencies.halve();
            group.raw_latencies.halve();
            group.failures.halve();
        }
    }

    /// Forgets places, and groups that are left without any.
    pub fn keep(&mut self, keeps: impl Fn(&PlaceId) -> bool) {
        self.by_place.retain(|place, _| keeps(place));
        let named: BTreeSet<u32> = self.by_place.values().copied().chain([0]).collect();
        self.of.retain(|group, _| named.contains(group));
    }
}

/// What is expected of a part at a node; `phi` is the chance of an answer in time.
#[derive(Clone, Copy)]
pub struct Offer {
    pub node: NodeId,
    pub delay: Nanos,
    pub phi: f64,
}

/// All that a router knows; what it makes of it is in `decide`.
#[derive(Default)]
pub struct Router {
    pub(crate) use_cases: Vec<UseCase>,
    pub(crate) by_work: bool,
    pub(crate) unmarked: bool,
    pub(crate) refusals_cost: bool,
    pub(crate) zone: Option<ZoneId>,
    /// Among how many routers limits are shared.
    pub(crate) sharers: f64,
    /// Multigets within each customer's share at this router.
    pub(crate) shares: Vec<Allowance>,
    pub(crate) tick: Nanos,
    pub(crate) shortest_goal: Nanos,
    /// What that never falls under, and the empty histogram that all are made from.
    pub(crate) least_goal: Nanos,
    pub(crate) bins: Histogram,
    pub(crate) cold: ColdFacts,
    /// What a warm replica could answer to this router, in sizes a nanosecond.
    pub(crate) bears: RunningMean,
    /// How busy warm replicas are.
    pub(crate) busy_all: f64,
    pub(crate) budget: Option<BudgetFacts>,
    pub(crate) places: u32,
    pub(crate) width: u32,
    pub(crate) cancel: bool,
    pub(crate) second_copies: bool,
    pub(crate) most_hand_offs: usize,
    pub(crate) longest_wait: Nanos,
    /// When to ask to be told of changes of the list, where that must be asked.
    pub(crate) ask_at: Option<Nanos>,
    pub(crate) must_ask: bool,
    pub(crate) ask_wait: f64,
    /// What the other routers are to be told, where they may be, and when.
    pub(crate) peers: bool,
    pub(crate) news: Vec<(NodeId, News)>,
    pub(crate) tell_at: Option<Nanos>,
    pub(crate) chance: Mwc,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) by_place: Places,
    pub(crate) open: BTreeMap<MultigetId, Multiget>,
    /// What all replicas showed whose work is alike.
    pub(crate) groups: Groups,
    /// Hints of work against latencies, as logarithms.
    pub(crate) hints: Trend,
    /// Planned copies, and first hand-offs of the running period.
    pub(crate) plan: BTreeMap<(ShardId, UseCaseId), usize>,
    pub(crate) sends: BTreeMap<(ShardId, UseCaseId), f64>,
    pub(crate) turns: BTreeMap<ShardId, usize>,
    pub(crate) replan_at: Nanos,
    pub(crate) mean_copies: f64,
    pub(crate) first_sends: SlidingCount,
    pub(crate) spent: Spending,
    /// The share of the goal time that the expected delay of multigets fills.
    pub(crate) met: RunningMean,
    /// Sizes promised to second phases of multigets whose first one runs.
    pub(crate) promised: f64,
    /// When a multiget was last dismissed for the delay it would meet.
    pub(crate) shed_at: Option<Nanos>,
    pub(crate) touched: VecDeque<MultigetId>,
    pub(crate) due: BTreeSet<(Nanos, MultigetId)>,
    pub(crate) wake_at: Option<Nanos>,
    pub(crate) ready: VecDeque<Decision>,
}

impl Router {
    /// This router's part of the further hand-offs that are free, from now on.
    pub fn slack(&mut self, free: f64) {
        self.budget.iter_mut().for_each(|budget| budget.free = free);
    }

    /// From now on the work of this place is alike to that of all others in this group, and its replicas are
    /// averaged with theirs. Guards what is unheard of one service against passing for another's.
    pub fn group(&mut self, place: PlaceId, group: u32) {
        self.groups.put(place, group);
    }
}

/// How much a router holds, to be watched over days.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldCounts {
    pub multigets: usize,
    pub nodes: usize,
    pub places: usize,
    /// Shards with a turn, and those with spending of their own.
    pub turns: usize,
    pub spending: usize,
}

impl Router {
    pub fn held(&self) -> HeldCounts {
        HeldCounts {
            multigets: self.open.len(),
            nodes: self.nodes.len(),
            places: self.by_place.0.len(),
            turns: self.turns.len(),
            spending: self.spent.each.as_ref().map_or(0, BTreeMap::len),
        }
    }
}

//! Every decision of a fernknot query router.
//!
//! A host makes one [`Router`] a process start and tells it what it learns (`list`, `take`,
//! `take_part`, `ended`, ...); these calls only update what is known. After each batch of news it
//! calls `next` until that returns `None` and carries out each decision. A `Wake` asks the host to
//! call `next` again later, even without news. Ids, times, settings and decisions are in
//! `interface.rs`, plain containers in `state.rs`; the reasons are in `docs/design.md`.

use crate::interface::*;
use crate::state::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The level that the estimate must reach; the least number of copies that does is taken.
const TARGET: f64 = 0.99;
/// No number of copies is taken that would keep its replicas this busy.
const BUSIEST: f64 = 0.9;
/// Extra copies stay under this share of the parts.
const COPY_SHARE: f64 = 0.1;
/// Service time and its spread are read from this share of the latencies, the fastest ones.
const FASTEST: f64 = 0.7;
/// How often copies are planned anew and measurements halved.
const RECOMPUTE: Nanos = Nanos(2_000_000_000);
/// Replicas whose share of answers in time differs by less are equal.
const PHI_STEP: f64 = 0.05;
/// Bins of a latency histogram: the first ends at this share of the shortest goal time.
const FIRST_BIN: f64 = 1.0 / 48.0;
const BIN_RATIO: f64 = 1.5;
const BINS: usize = 14;
/// The weight, in answers, of the average replica in a replica's own record.
const PRIOR: f64 = 3.0;
/// Weight of one answer in the running estimate of how fast a replica works off what it holds.
const PACE_GAIN: f64 = 0.15;
/// Replicas whose expected delays lie within this share of the goal time are equal.
const DELAY_STEP: f64 = 1.0 / 24.0;
/// A hand-off is overdue after so many times its expected delay, and this share of its goal time.
const OVERDUE: f64 = 2.5;
const OVERDUE_GOAL: f64 = 0.3;
/// Without a budget in the settings, further hand-offs keep to this share of the parts.
const EXTRA_SHARE: f64 = 0.15;
/// The share of a goal time that the expected delay of a multiget may fill, for the best
/// earnings by work, and for the least.
const FILL_BEST: f64 = 1.0;
const FILL_LEAST: f64 = 0.75;
/// The same for a customer beyond its share.
const FILL_BEYOND: f64 = 0.3;
/// Weight of one early leaver in the running estimate of what clients bear, its growth at each
/// recomputation without any, and the share of it that is counted on.
const BORNE_GAIN: f64 = 0.2;
const BORNE_GROWTH: f64 = 1.1;
const BORNE_SURE: f64 = 0.8;
/// A cold replica gets this part of what the rule would allow.
const COLD_CARE: f64 = 0.6;
/// A share counts as reached when it falls short by no more than rounding.
const ROUNDING: f64 = 0.00005;

/// The figures of a use case that decisions need.
struct UseCase {
    goal: Nanos,
    /// How long clients have been seen to wait, up to the goal time.
    borne: Nanos,
    late_share: f64,
    earnings: f64,
    effect: Effect,
    stretch: f64,
    need: f64,
    floor: f64,
    second_step: bool,
    /// Latencies at all replicas, to tell how heavy its parts are beside others.
    latencies: Histogram,
    /// Mean of the effort told with its parts, if any is.
    effort: f64,
    /// Mean work of a whole multiget, in sizes.
    work: f64,
}

struct Node {
    place: PlaceId,
    health: Health,
    since: Nanos,
    /// Latencies over sizes, misses among them.
    latencies: Histogram,
    /// Time it takes for each size of work in hand here.
    pace: Option<f64>,
    in_hand: f64,
    /// Sizes called off, and when they would be worked off.
    called_off: Vec<(Nanos, f64)>,
    out: BTreeSet<(Nanos, PartId, usize)>,
    last_answer: Nanos,
    busy_share: Option<f64>,
    /// Sizes sent while cold, and sizes answered.
    sent: SlidingCount,
    served: SlidingCount,
}

/// What a router expects of a part at a node.
#[derive(Clone, Copy)]
struct Offer {
    node: NodeId,
    delay: Nanos,
}

/// Copies planned for a shard and use case, until the next recomputation.
struct CopyPlan {
    copies: usize,
}

pub struct Router {
    use_cases: Vec<UseCase>,
    /// Multigets a second for each customer at this router.
    shares: Vec<f64>,
    tokens: Vec<(f64, Nanos)>,
    tick: Nanos,
    shortest_goal: Nanos,
    cold: ColdFacts,
    budget: BudgetFacts,
    places: u32,
    width: u32,
    cancel: bool,
    second_copies: bool,
    most_hand_offs: usize,
    longest_wait: Nanos,
    must_ask: bool,
    ask_at: Option<Nanos>,
    chance: Mwc,
    nodes: BTreeMap<NodeId, Node>,
    open: BTreeMap<MultigetId, Multiget>,
    /// At all replicas: over sizes, misses among them, and as they were.
    latencies: Histogram,
    raw_latencies: Histogram,
    effort: f64,
    pace: Option<f64>,
    plan: BTreeMap<(ShardId, UseCaseId), CopyPlan>,
    /// First hand-offs of the running period, for each shard and use case.
    sends: BTreeMap<(ShardId, UseCaseId), f64>,
    turns: BTreeMap<ShardId, usize>,
    replan_at: Nanos,
    mean_copies: f64,
    taken: SlidingCount,
    first_sends: SlidingCount,
    further: SlidingCount,
    copies: SlidingCount,
    touched: VecDeque<MultigetId>,
    due: BTreeSet<(Nanos, MultigetId)>,
    wake_at: Option<Nanos>,
    ready: VecDeque<Decision>,
}

/// The estimate of the paper, section 4.3: the chance that one of the copies answers in time.
pub fn service_level(phis: &[f64]) -> f64 {
    let mut missed = 1.0;
    let mut level = 0.0;
    for phi in phis {
        level += phi * missed;
        missed *= 1.0 - phi;
    }
    level
}

/// The paper's target cut by M/G/1 queuing and the network.
pub fn cut_target(target: f64, mean: f64, cv2: f64, busy: f64, network: f64) -> f64 {
    if busy >= 1.0 {
        return 0.0;
    }
    (target - (1.0 + cv2) / 2.0 * busy / (1.0 - busy) * mean - network).max(0.0)
}

impl Node {
    fn new(entry: &NodeEntry, bins: &Histogram) -> Node {
        Node {
            place: entry.place,
            health: entry.health,
            since: entry.since,
            latencies: bins.clone(),
            pace: None,
            in_hand: 0.0,
            called_off: Vec::new(),
            out: BTreeSet::new(),
            last_answer: Nanos(0),
            busy_share: None,
            sent: SlidingCount::default(),
            served: SlidingCount::default(),
        }
    }
}

impl Node {
    /// Sizes of work that it has of ours, for all that is known.
    fn holds(&self, now: Nanos) -> f64 {
        let called_off = self.called_off.iter().filter(|(until, _)| *until > now);
        self.in_hand + called_off.map(|(_, size)| size).sum::<f64>()
    }
}

impl Router {
    pub fn new(seed: u64, facts: SiteFacts, now: Nanos) -> Router {
        let goals = facts.use_cases.iter().map(|case| case.goal);
        let shortest_goal = goals.min().unwrap_or(RECOMPUTE).max(facts.tick);
        let bins = Histogram::new(shortest_goal.0 as f64 * FIRST_BIN, BIN_RATIO, BINS);
        let use_cases = facts.use_cases.iter().map(|case| UseCase {
            goal: case.goal,
            borne: case.goal,
            late_share: case.late_share,
            earnings: case.earnings,
            effect: case.effect,
            stretch: case.stretch,
            need: case.need,
            floor: case.floor,
            second_step: case.second_step,
            latencies: bins.clone(),
            effort: 0.0,
            work: 0.0,
        });
        let routers = facts.routers.max(1) as f64;
        let shares: Vec<f64> = facts.customers.iter().map(|rate| rate / routers).collect();
        let own = BudgetFacts { free: 1.0, share: EXTRA_SHARE, window: RECOMPUTE.times(4.0) };
        Router {
            use_cases: use_cases.collect(),
            tokens: shares.iter().map(|rate| (*rate, now)).collect(),
            shares,
            tick: facts.tick,
            shortest_goal,
            cold: facts.cold,
            budget: facts.budget.unwrap_or(own),
            places: facts.places.max(1),
            width: facts.width.max(1),
            cancel: facts.cancel,
            second_copies: facts.second_copies,
            most_hand_offs: facts.most_hand_offs as usize,
            longest_wait: facts.longest_wait.unwrap_or_default(),
            must_ask: facts.must_ask,
            ask_at: facts.must_ask.then_some(now),
            chance: Mwc::new(seed),
            nodes: BTreeMap::new(),
            open: BTreeMap::new(),
            latencies: bins.clone(),
            raw_latencies: bins,
            effort: 0.0,
            pace: None,
            plan: BTreeMap::new(),
            sends: BTreeMap::new(),
            turns: BTreeMap::new(),
            replan_at: now + RECOMPUTE,
            mean_copies: 1.0,
            taken: SlidingCount::default(),
            first_sends: SlidingCount::default(),
            further: SlidingCount::default(),
            copies: SlidingCount::default(),
            touched: VecDeque::new(),
            due: BTreeSet::new(),
            wake_at: None,
            ready: VecDeque::new(),
        }
    }

    // ---- What is learned -------------------------------------------------------------------

    /// News of the list. A node that a full list leaves out is gone; one that started anew is
    /// another replica as far as measurements go, so it counts as average and cold.
    pub fn list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Full {
            self.nodes.values_mut().for_each(|node| node.health = Health::Gone);
        }
        let bins = Histogram::new(self.first_bin(), BIN_RATIO, BINS);
        for entry in entries {
            let node = self.nodes.entry(entry.node).or_insert_with(|| Node::new(entry, &bins));
            if node.since != entry.since {
                node.latencies = bins.clone();
                node.pace = None;
            }
            node.place = entry.place;
            node.health = entry.health;
            node.since = entry.since;
        }
    }

    /// The list's subscription broke or a call for it failed.
    pub fn list_lost(&mut self, now: Nanos) {
        if self.must_ask {
            self.ask_at = Some(now + RECOMPUTE.times(0.25));
        }
    }

    pub fn take(&mut self, now: Nanos, arrival: &Arrival) {
        let Some(case) = self.use_cases.get(arrival.use_case.0) else { return };
        let effort = arrival.effort.unwrap_or_default().times(case.stretch);
        let within_share = match self.tokens.get_mut(arrival.customer.0) {
            Some((tokens, since)) => {
                let rate = self.shares[arrival.customer.0];
                *tokens = (*tokens + rate * (now - *since).0 as f64 / 1e9).min(rate.max(1.0) * 2.0);
                *since = now;
                let within = *tokens >= 1.0;
                *tokens -= if within { 1.0 } else { 0.0 };
                within
            }
            None => true,
        };
        let multiget = Multiget {
            use_case: arrival.use_case,
            customer: arrival.customer,
            taken_at: now,
            goal_end: (now + case.goal + effort).min(arrival.client_end),
            aim_end: (now + case.aim() + effort).min(arrival.client_end),
            client_end: arrival.client_end,
            within_share,
            parts: Vec::new(),
            step_from: 0,
            fresh: true,
            first_whole: true,
            look_at: Nanos(0),
            ended: false,
        };
        self.open.insert(arrival.multiget, multiget);
        self.taken.add(now, 1.0);
        self.touched.push_back(arrival.multiget);
    }

    pub fn take_part(&mut self, now: Nanos, arrival: &PartArrival) {
        let Some(multiget) = self.open.get_mut(&arrival.part.of) else { return };
        let case = &mut self.use_cases[multiget.use_case.0];
        let size = match arrival.effort {
            Some(effort) => {
                let effort = effort.0 as f64;
                let toward = |mean: f64| if mean > 0.0 { mean + 0.02 * (effort - mean) } else { effort };
                case.effort = toward(case.effort);
                self.effort = toward(self.effort);
                (effort / self.effort).clamp(0.1, 10.0)
            }
            None => case.size(&self.raw_latencies),
        };
        multiget.parts.push(Part {
            shard: arrival.shard,
            weight: arrival.weight,
            size,
            hand_offs: Vec::new(),
            answered: false,
            given_up: false,
        });
        self.taken.add(now, 1.0);
        if multiget.parts.len() == multiget.step_from + 1 {
            self.touched.push_back(arrival.part.of);
        }
    }

    pub fn ended(&mut self, now: Nanos, ending: &Ending) {
        if let Some(node) = self.nodes.get_mut(&ending.node) {
            node.busy_share = ending.report.busy_share.or(node.busy_share);
        }
        let Some(multiget) = self.open.get_mut(&ending.part.of) else { return };
        let Some(part) = multiget.parts.get_mut(ending.part.index) else { return };
        let Some(sent) = part.hand_offs.get_mut(ending.no.0 as usize) else { return };
        if sent.outcome.is_some() {
            return;
        }
        sent.outcome = Some(ending.outcome);
        let sent = sent.clone();
        part.answered |= ending.outcome == Outcome::Answered && !part.given_up && !multiget.ended;
        let size = part.size;
        self.touched.push_back(ending.part.of);
        let Some(node) = self.nodes.get_mut(&sent.node) else { return };
        node.out.remove(&(sent.sent, ending.part, ending.no.0 as usize));
        node.in_hand = if node.out.is_empty() { 0.0 } else { (node.in_hand - sent.size).max(0.0) };
        match ending.outcome {
            Outcome::Answered => {
                node.last_answer = now;
                node.served.add(now, size);
                let took = ending.took.0 as f64;
                // Late is not never: an answer takes back the miss counted while it was awaited.
                for latencies in [&mut node.latencies, &mut self.latencies] {
                    if sent.missed {
                        latencies.take_miss();
                    }
                    latencies.add(took / size);
                }
                self.raw_latencies.add(took);
                self.use_cases[multiget.use_case.0].latencies.add(took);
                let pace = took / sent.ahead;
                let toward = |mean: &mut Option<f64>| {
                    *mean = Some(mean.map_or(pace, |mean| mean + PACE_GAIN * (pace - mean)))
                };
                toward(&mut node.pace);
                toward(&mut self.pace);
            }
            Outcome::CalledOff | Outcome::NeverSent => {}
            // A replica that fails fast would look quick if only answers were measured.
            _ if !sent.missed => {
                node.latencies.add_miss();
                self.latencies.add_miss();
            }
            _ => {}
        }
    }

    pub fn probed(&mut self, _now: Nanos, node: NodeId, _outcome: Outcome, report: LoadReport) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.busy_share = report.busy_share.or(node.busy_share);
        }
    }

    /// The client has gone; nothing more is owed. Guards against clients that leave long before
    /// their time is up, for any reason: what they bear takes the place of the goal time.
    pub fn lapsed(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id).filter(|held| !held.ended) else { return };
        let case = &mut self.use_cases[multiget.use_case.0];
        let borne = now - multiget.taken_at;
        if borne < case.goal && now + self.tick.times(4.0) < multiget.client_end {
            let step = borne.0 as f64 - case.borne.0 as f64;
            case.borne = Nanos((case.borne.0 as f64 + step * BORNE_GAIN) as u64);
        }
        self.end(id);
    }

    // ---- What is decided -------------------------------------------------------------------

    pub fn next(&mut self, now: Nanos) -> Option<Decision> {
        loop {
            if let Some(decision) = self.ready.pop_front() {
                return Some(decision);
            }
            if self.ask_at.is_some_and(|at| at <= now) {
                self.ask_at = None;
                return Some(Decision::FollowList);
            }
            if now >= self.replan_at {
                self.replan(now);
            } else if let Some(multiget) = self.touched.pop_front() {
                self.consider(now, multiget);
            } else if let Some(first) = self.due.first().copied().filter(|(at, _)| *at <= now) {
                self.due.remove(&first);
                self.touched.push_back(first.1);
            } else {
                return self.wake(now);
            }
        }
    }

    fn wake(&mut self, now: Nanos) -> Option<Decision> {
        let mut at = self.due.first().map_or(self.replan_at, |(at, _)| *at).min(self.replan_at);
        at = self.ask_at.map_or(at, |ask| ask.min(at));
        if self.wake_at.is_some_and(|set| set > now && set <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(Decision::Wake { after: at - now })
    }

    /// All that is decided of one multiget, in the order in which it matters.
    fn consider(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id).filter(|held| !held.ended) else {
            if self.open.get(&id).is_some_and(|held| held.parts.iter().all(|part| part.out() == 0)) {
                self.open.remove(&id);
            }
            return;
        };
        let case = &self.use_cases[multiget.use_case.0];
        let (need, floor, late_share) = (case.need, case.floor, case.late_share);
        let margin = self.tick.times(2.0);
        let (goal_end, client_end) = (multiget.goal_end - margin, multiget.client_end - margin);
        let aim_end = multiget.aim_end - margin;
        let step = &multiget.parts[multiget.step_from..];
        if step.is_empty() && now < client_end {
            self.look_again(id, client_end);
            return;
        }
        if multiget.fresh {
            if !self.admit(now, id) {
                return;
            }
        } else {
            self.mend(now, id);
        }
        let Some(multiget) = self.open.get(&id) else { return };
        let step = &multiget.parts[multiget.step_from..];
        let second = multiget.step_from > 0;
        let weigh = |keep: &dyn Fn(&Part) -> bool| -> f64 {
            step.iter().filter(|part| keep(part)).map(|part| part.weight).sum::<f64>() + ROUNDING
        };
        let (whole, least) = if second && floor >= need { (1.0, 1.0) } else { (need, floor) };
        let whole = if second { 1.0 } else { whole };
        let answered = weigh(&|part| part.answered);
        let reachable = weigh(&|part| part.answered || !part.given_up);
        let partial = answered >= least && least < whole;
        if answered >= whole {
            self.settle(now, id, !second || multiget.first_whole);
        } else if partial && (now >= aim_end || reachable < whole && reachable <= answered) {
            self.settle(now, id, false);
        } else if now >= client_end || reachable < least || now >= goal_end && late_share <= 0.0 {
            self.give_up(now, id);
        } else {
            let next = [aim_end, goal_end, client_end].into_iter().find(|at| now < *at).unwrap_or(client_end);
            let checks = step.iter().filter(|part| !part.answered && !part.given_up);
            let soonest = checks.filter_map(|part| self.check_at(now, part)).min();
            let at = soonest.map_or(next, |at| at.min(next));
            self.look_again(id, at);
        }
    }

    fn look_again(&mut self, id: MultigetId, at: Nanos) {
        if let Some(multiget) = self.open.get_mut(&id) {
            self.due.remove(&(multiget.look_at, id));
            multiget.look_at = at;
            self.due.insert((at, id));
        }
    }

    /// When a part that is not answered must be looked at again.
    fn check_at(&self, now: Nanos, part: &Part) -> Option<Nanos> {
        let out = part.hand_offs.iter().filter(|sent| sent.outcome.is_none());
        match out.map(|sent| sent.sent + self.patience(sent)).min() {
            Some(at) if at > now => Some(at),
            _ => Some(now + self.shortest_goal.times(DELAY_STEP)),
        }
    }

    fn patience(&self, sent: &HandOff) -> Nanos {
        sent.expected.times(OVERDUE).max(self.shortest_goal.times(OVERDUE_GOAL))
    }

    /// The first look at a multiget: where its parts would go and how long they would take.
    fn admit(&mut self, now: Nanos, id: MultigetId) -> bool {
        let Some(multiget) = self.open.get(&id) else { return false };
        let (use_case, goal_end, client_end) = (multiget.use_case, multiget.goal_end, multiget.client_end);
        let aim_end = multiget.aim_end;
        let (within, step_from) = (multiget.within_share, multiget.step_from);
        let parts: Vec<(ShardId, f64, f64)> =
            multiget.parts[step_from..].iter().map(|part| (part.shard, part.size, part.weight)).collect();
        let work: f64 = parts.iter().map(|(_, size, _)| size).sum();
        let case = &mut self.use_cases[use_case.0];
        case.work = if case.work > 0.0 { case.work + 0.05 * (work - case.work) } else { work };
        let best = self.use_cases.iter().filter(|case| case.work > 0.0);
        let best = best.map(|case| case.earnings / case.work).fold(0.0, f64::max);
        let case = &self.use_cases[use_case.0];
        let rank = (case.earnings / case.work / best.max(f64::MIN_POSITIVE)).min(1.0);
        let (least, earlier) = (case.floor, step_from > 0);
        let mut delays = Vec::new();
        for (index, (shard, size, weight)) in parts.iter().enumerate() {
            let part = PartId { of: id, index: step_from + index };
            if let Some(offer) = self.choose(now, *shard, *size, aim_end - now, &[], true) {
                delays.push((offer.delay, *weight));
                // Counted at once, so that the next part sees it; taken back if dismissed.
                self.note_hand_off(now, part, &offer, 1.0);
            } else {
                delays.push((Nanos(u64::MAX / 2), *weight));
            }
        }
        // The delay by which enough of the parts would be in for an answer.
        delays.sort_by_key(|(delay, _)| *delay);
        let mut reached = ROUNDING;
        let sure = delays.iter().find(|(_, weight)| {
            reached += weight;
            reached >= least
        });
        let delay = sure.or(delays.last()).map_or(Nanos(0), |(delay, _)| *delay);
        let fill = if within { FILL_LEAST + (FILL_BEST - FILL_LEAST) * rank } else { FILL_BEYOND };
        let room = (aim_end - now).times(fill);
        if !earlier && delay > room {
            let multiget = self.open.get_mut(&id);
            let sent: Vec<(usize, HandOff)> = multiget.map_or(Vec::new(), |multiget| {
                let parts = multiget.parts.iter_mut().enumerate();
                parts.flat_map(|(index, part)| part.hand_offs.drain(..).map(move |s| (index, s))).collect()
            });
            for (index, sent) in sent {
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.out.remove(&(sent.sent, PartId { of: id, index }, 0));
                    node.in_hand -= sent.size;
                }
            }
            let wait = (delay - room).min(self.longest_wait).max(self.longest_wait.times(0.5));
            self.ready.push_back(Decision::Dismiss { multiget: id, wait });
            self.end(id);
            return false;
        }
        let late = self.use_cases[use_case.0].late_share > 0.0;
        let stop_at = if late { client_end } else { goal_end };
        let Some(multiget) = self.open.get_mut(&id) else { return false };
        multiget.fresh = false;
        let mut sent = Vec::new();
        for (index, part) in multiget.parts.iter().enumerate().skip(step_from) {
            if let Some(hand_off) = part.hand_offs.first() {
                sent.push((PartId { of: id, index }, part.shard, part.size, hand_off.node));
            }
        }
        for (part, shard, size, node) in sent {
            self.ready.push_back(Decision::HandOff { part, node, stop_at });
            self.note_sent(now, node, size);
            self.first_sends.add(now, 1.0);
            *self.sends.entry((shard, use_case)).or_insert(0.0) += 1.0;
            let chance = &mut self.chance;
            *self.turns.entry(shard).or_insert_with(|| chance.under(1 << 16) as usize) += 1;
            self.copy(now, part, shard, use_case, stop_at);
        }
        true
    }

    /// The planned copies of a part that has just been handed off, as the design has it.
    fn copy(&mut self, now: Nanos, id: PartId, shard: ShardId, use_case: UseCaseId, stop_at: Nanos) {
        let planned = self.plan.get(&(shard, use_case)).map_or(1, |plan| plan.copies);
        let safe = self.use_cases[use_case.0].effect == Effect::Replayable;
        if planned < 2 || !safe || !self.second_copies {
            return;
        }
        let span = RECOMPUTE.times(2.0);
        for _ in 1..planned {
            if self.copies.within(now, span) + 1.0 >= COPY_SHARE * self.first_sends.within(now, span) {
                return;
            }
            let Some(multiget) = self.open.get(&id.of) else { return };
            let part = &multiget.parts[id.index];
            let left = multiget.aim_end - now;
            let tried: Vec<NodeId> = part.hand_offs.iter().map(|sent| sent.node).collect();
            let Some(offer) = self.choose(now, shard, part.size, left, &tried, false) else { return };
            // Copies must not feed a jam in which all replicas slow together.
            if offer.delay > left.times(0.5) || !self.may_send_further(now, id) {
                return;
            }
            self.hand_off_again(now, id, &offer, stop_at);
            self.copies.add(now, 1.0);
        }
    }

    /// Looks after the parts that are not answered: overdue and failed hand-offs, parts for which
    /// no replica could be had, and twins of answered parts.
    fn mend(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let case = &self.use_cases[multiget.use_case.0];
        let late = case.late_share > 0.0;
        let until = if late { multiget.client_end } else { multiget.goal_end };
        let left = until - now;
        for index in multiget.step_from..multiget.parts.len() {
            let part_id = PartId { of: id, index };
            let part = &self.open[&id].parts[index];
            if part.answered {
                self.call_off_rest(part_id);
                continue;
            }
            if part.given_up {
                continue;
            }
            let (shard, size, out) = (part.shard, part.size, part.out());
            let mut overdue = out > 0;
            let mut oldest = Nanos(0);
            for no in 0..part.hand_offs.len() {
                let sent = &self.open[&id].parts[index].hand_offs[no];
                if sent.outcome.is_some() {
                    continue;
                }
                let age = now - sent.sent;
                oldest = oldest.max(age);
                if age < self.patience(sent) {
                    overdue = false;
                } else if !sent.missed {
                    // A replica that takes parts and answers nothing never shows a latency.
                    let node = sent.node;
                    if let Some(node) = self.nodes.get_mut(&node) {
                        node.latencies.add_miss();
                    }
                    self.latencies.add_miss();
                    if let Some(multiget) = self.open.get_mut(&id) {
                        multiget.parts[index].hand_offs[no].missed = true;
                    }
                }
            }
            if out > 0 && (!overdue || out > 1 || !self.second_copies) {
                continue;
            }
            let part = &self.open[&id].parts[index];
            let first = part.hand_offs.is_empty();
            let allowed = first || self.may_repeat(now, part, id) && self.may_send_further(now, part_id);
            let tried: Vec<NodeId> = part.hand_offs.iter().map(|sent| sent.node).collect();
            let goal_left = self.open[&id].aim_end - now;
            let aim = if goal_left.0 > 0 { goal_left } else { left };
            let offer = self.choose(now, shard, size, aim, &tried, first);
            let offer = offer.filter(|offer| offer.delay < left && (out == 0 || offer.delay < oldest));
            match offer {
                Some(offer) if allowed && first => {
                    self.note_hand_off(now, part_id, &offer, 1.0);
                    self.note_sent(now, offer.node, size);
                    self.first_sends.add(now, 1.0);
                    let node = offer.node;
                    self.ready.push_back(Decision::HandOff { part: part_id, node, stop_at: until });
                }
                Some(offer) if allowed => self.hand_off_again(now, part_id, &offer, until),
                _ if out == 0 && !first => {
                    if let Some(multiget) = self.open.get_mut(&id) {
                        multiget.parts[index].given_up = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether the effect of a part allows another hand-off now.
    fn may_repeat(&self, now: Nanos, part: &Part, id: MultigetId) -> bool {
        let Some(multiget) = self.open.get(&id) else { return false };
        let ran = part.hand_offs.iter().filter(|sent| may_have_run(sent));
        let first_run = ran.map(|sent| sent.sent).min();
        match (self.use_cases[multiget.use_case.0].effect, first_run) {
            (Effect::Replayable, _) | (_, None) => true,
            (Effect::Referenced(window), Some(first)) => now < first + window - self.tick,
            (Effect::SingleUse, Some(_)) => false,
        }
    }

    /// The ration of further hand-offs, and the limit for one part.
    fn may_send_further(&self, now: Nanos, id: PartId) -> bool {
        let sends = self.open.get(&id.of).map_or(0, |held| held.parts[id.index].hand_offs.len());
        if sends >= self.most_hand_offs {
            return false;
        }
        let window = self.budget.window;
        // Counted a little unkindly at both edges of the window.
        let taken = self.taken.within(now, window - self.tick);
        let sent = self.further.within(now, window + self.tick);
        sent + 1.0 <= self.budget.free + self.budget.share * taken
    }

    fn hand_off_again(&mut self, now: Nanos, part: PartId, offer: &Offer, stop_at: Nanos) {
        let size = self.open[&part.of].parts[part.index].size;
        self.note_hand_off(now, part, offer, 1.0);
        self.note_sent(now, offer.node, size);
        self.further.add(now, 1.0);
        self.ready.push_back(Decision::HandOff { part, node: offer.node, stop_at });
    }

    fn note_hand_off(&mut self, now: Nanos, id: PartId, offer: &Offer, share: f64) {
        let Some(part) = self.open.get_mut(&id.of).and_then(|held| held.parts.get_mut(id.index)) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(&offer.node) else { return };
        let size = part.size * share;
        node.out.insert((now, id, part.hand_offs.len()));
        node.in_hand += size;
        node.called_off.retain(|(until, _)| *until > now);
        part.hand_offs.push(HandOff {
            node: offer.node,
            sent: now,
            expected: offer.delay,
            size,
            ahead: node.holds(now),
            outcome: None,
            missed: false,
        });
    }

    fn note_sent(&mut self, now: Nanos, node: NodeId, size: f64) {
        let cold = self.is_cold(now, &self.nodes[&node]);
        let window = self.cold.window;
        if let Some(node) = self.nodes.get_mut(&node).filter(|_| cold) {
            node.sent.forget(now, window);
            node.sent.add(now, size);
        }
    }

    fn call_off_rest(&mut self, part: PartId) {
        let Some(multiget) = self.open.get_mut(&part.of).filter(|_| self.cancel) else { return };
        for (no, sent) in multiget.parts[part.index].hand_offs.iter_mut().enumerate() {
            if sent.outcome.is_none() && sent.size > 0.0 {
                self.ready.push_back(Decision::CallOff { part, no: HandOffNo(no as u32) });
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.in_hand = (node.in_hand - sent.size).max(0.0);
                    node.out.remove(&(sent.sent, part, no));
                    // Guards against taking a replica for idle that goes on with what was called off.
                    node.called_off.push((sent.sent + sent.expected, sent.size));
                }
                sent.size = 0.0;
            }
        }
    }

    fn settle(&mut self, now: Nanos, id: MultigetId, whole: bool) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        let last = !self.use_cases[multiget.use_case.0].second_step || multiget.step_from > 0;
        self.ready.push_back(Decision::Settle { multiget: id, whole, last });
        if !last {
            multiget.step_from = multiget.parts.len();
            multiget.first_whole = whole;
            multiget.fresh = true;
            let until = multiget.client_end - self.tick.times(2.0);
            self.look_again(id, until.max(now + self.tick));
            for index in 0..self.open[&id].parts.len() {
                self.call_off_rest(PartId { of: id, index });
            }
            return;
        }
        self.end(id);
    }

    /// What cannot be answered any more gets its final answer at once. A dismissal tells the
    /// client that asking again is harmless, so nothing may have run that must not run twice.
    fn give_up(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let replayable = self.use_cases[multiget.use_case.0].effect == Effect::Replayable;
        let ran = multiget.parts.iter().any(|part| part.hand_offs.iter().any(may_have_run));
        let timely = now < multiget.client_end;
        self.ready.push_back(if timely && (replayable || !ran) {
            Decision::Dismiss { multiget: id, wait: self.longest_wait }
        } else {
            Decision::BreakOff { multiget: id }
        });
        self.end(id);
    }

    fn end(&mut self, id: MultigetId) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        multiget.ended = true;
        self.due.remove(&(multiget.look_at, id));
        for index in 0..multiget.parts.len() {
            self.call_off_rest(PartId { of: id, index });
        }
        self.touched.push_back(id);
    }

    // ---- Where a part goes -----------------------------------------------------------------

    fn first_bin(&self) -> f64 {
        self.shortest_goal.0 as f64 * FIRST_BIN
    }

    /// The share of answers that the average replica gives within `target`, over sizes.
    fn phi_of_all(&self, target: f64) -> f64 {
        (self.latencies.under(target) + 1.0) / (self.latencies.total() + 1.0)
    }

    /// The same for one replica; one not yet heard from counts as average.
    fn phi(&self, node: &Node, target: f64) -> f64 {
        let prior = PRIOR * self.phi_of_all(target);
        (node.latencies.under(target) + prior) / (node.latencies.total() + PRIOR)
    }

    /// How long a part of this size would take at a replica, by what it holds of ours.
    fn delay(&self, now: Nanos, node: &Node, size: f64) -> f64 {
        let usual = self.pace.unwrap_or(self.shortest_goal.0 as f64 * DELAY_STEP * 2.0);
        let drain = node.pace.unwrap_or(usual) * (node.holds(now) + size);
        drain + self.silence(now, node)
    }

    /// How long a replica has kept its oldest hand-off past what was expected, if it has
    /// answered nothing else meanwhile.
    fn silence(&self, now: Nanos, node: &Node) -> f64 {
        let Some((sent, id, no)) = node.out.first() else { return 0.0 };
        let held = self.open.get(&id.of).and_then(|multiget| multiget.parts.get(id.index));
        let Some(hand_off) = held.and_then(|part| part.hand_offs.get(*no)) else { return 0.0 };
        let overdue = now - *sent - hand_off.expected;
        overdue.min(now - node.last_answer).0 as f64
    }

    /// The replica for a part: the highest share of answers within what is left of the goal
    /// time, cut by the delay that its work in hand adds; equals in turn.
    fn choose(
        &self,
        now: Nanos,
        shard: ShardId,
        size: f64,
        left: Nanos,
        tried: &[NodeId],
        first: bool,
    ) -> Option<Offer> {
        let holders: Vec<NodeId> = self.holders(shard).collect();
        let turn = self.turns.get(&shard).copied().unwrap_or(0);
        let step = self.shortest_goal.0 as f64 * DELAY_STEP;
        let offers = holders.iter().enumerate().filter_map(|(index, id)| {
            let node = &self.nodes[id];
            if node.health != Health::Running || tried.contains(id) || !self.cold_room(now, node, size) {
                return None;
            }
            let delay = self.delay(now, node, size);
            let usual = node.latencies.fastest(1.0).map_or(0.0, |(mean, _)| mean) * size;
            let target = left.0 as f64 - (delay - usual).max(0.0);
            let phi = self.phi(node, target.max(0.0) / size);
            let rank = Reverse((phi / PHI_STEP) as u64);
            let order = (index + holders.len() - turn % holders.len()) % holders.len();
            let key = (rank, (delay / step) as u64, if first { order } else { index });
            Some((key, Offer { node: *id, delay: Nanos(delay as u64) }))
        });
        offers.min_by_key(|(key, _)| *key).map(|(_, offer)| offer)
    }

    fn holders(&self, shard: ShardId) -> impl Iterator<Item = NodeId> + '_ {
        let held = move |place: PlaceId| {
            let start = shard.0 % self.places;
            (place.0 + self.places - start) % self.places < self.width
        };
        self.nodes.iter().filter(move |(_, node)| held(node.place)).map(|(id, _)| *id)
    }

    fn is_cold(&self, now: Nanos, node: &Node) -> bool {
        node.since.0 > 0 && now - node.since < self.cold.warm_after + self.cold.window
    }

    /// A cold replica takes no more than this router's part of the budget. Its capacity is
    /// guessed from what warm replicas answer to this router, which is its share of the whole.
    fn cold_room(&self, now: Nanos, node: &Node, size: f64) -> bool {
        if !self.is_cold(now, node) {
            return true;
        }
        let sent = node.sent.within(now, self.cold.window + self.tick);
        if sent <= 0.0 {
            return true;
        }
        let grown = (now - node.since).0 as f64 / self.cold.warm_after.0.max(1) as f64;
        let share = (self.cold.from + (1.0 - self.cold.from) * grown).min(1.0);
        let span = self.cold.window.times(3.0);
        let warm: Vec<f64> = self
            .nodes
            .values()
            .filter(|other| other.health == Health::Running && !self.is_cold(now, other))
            .map(|other| other.served.within(now, span) / 3.0)
            .collect();
        let capacity = warm.iter().sum::<f64>() / (warm.len().max(1) as f64);
        sent + size <= COLD_CARE * self.cold.multiple * share * capacity
    }

    // ---- How many copies -------------------------------------------------------------------

    /// Takes the least number of copies for each shard and use case, as the design has it, the
    /// shards with the lowest estimate first, and ages what is measured.
    fn replan(&mut self, now: Nanos) {
        self.replan_at = now + RECOMPUTE;
        let sends = std::mem::take(&mut self.sends);
        let all: f64 = sends.values().sum();
        let mut wanted = Vec::new();
        for ((shard, use_case), sent) in &sends {
            if self.use_cases[use_case.0].effect == Effect::Replayable {
                let (alone, copies) = self.least_copies(*shard, *use_case);
                wanted.push((alone, *shard, *use_case, copies, *sent));
            }
        }
        wanted.sort_by(|one, other| one.0.total_cmp(&other.0).then((one.1, one.2).cmp(&(other.1, other.2))));
        self.plan.clear();
        let mut left = all * COPY_SHARE;
        let mut extra = 0.0;
        for (_, shard, use_case, copies, sent) in wanted {
            if copies > 1 && left > 0.0 {
                let more = (copies - 1) as f64 * sent;
                extra += more.min(left);
                left -= more;
                self.plan.insert((shard, use_case), CopyPlan { copies });
            }
        }
        self.mean_copies = if all > 0.0 { 1.0 + extra / all } else { 1.0 };
        self.latencies.halve();
        self.raw_latencies.halve();
        for case in &mut self.use_cases {
            case.latencies.halve();
            case.borne = case.borne.times(BORNE_GROWTH).min(case.goal);
        }
        let span = self.cold.window.times(3.0);
        for node in self.nodes.values_mut() {
            node.latencies.halve();
            node.served.forget(now, span);
        }
        let longest = self.budget.window.max(RECOMPUTE) + RECOMPUTE;
        for count in [&mut self.first_sends, &mut self.copies, &mut self.further, &mut self.taken] {
            count.forget(now, longest);
        }
    }

    /// The estimate for one copy, and the least number whose estimate reaches the target.
    fn least_copies(&self, shard: ShardId, use_case: UseCaseId) -> (f64, usize) {
        let case = &self.use_cases[use_case.0];
        let size = case.size(&self.raw_latencies);
        let mut nodes: Vec<&Node> = self.holders(shard).map(|id| &self.nodes[&id]).collect();
        nodes.retain(|node| node.health == Health::Running);
        let goal = case.goal.0 as f64 / size;
        nodes.sort_by(|one, other| self.phi(other, goal).total_cmp(&self.phi(one, goal)));
        let mut alone = 0.0;
        for copies in 1..=nodes.len() {
            let mut phis = Vec::new();
            let mut busiest = 0.0f64;
            for node in &nodes[..copies] {
                let fastest = node.latencies.fastest(FASTEST).or(self.latencies.fastest(FASTEST));
                let all = node.latencies.fastest(1.0).or(self.latencies.fastest(1.0));
                let (Some((mean, cv2)), Some((whole, _))) = (fastest, all) else { return (1.0, 1) };
                let busy = node.busy_share.unwrap_or(1.0 - mean / whole);
                let busy = busy * copies as f64 / self.mean_copies;
                busiest = busiest.max(busy);
                let network = self.tick.0 as f64 / size;
                phis.push(self.phi(node, cut_target(goal, mean, cv2, busy, network)));
            }
            let level = service_level(&phis);
            if copies == 1 {
                alone = level;
            } else if busiest >= BUSIEST {
                return (alone, copies - 1);
            }
            if level >= TARGET || copies == nodes.len() {
                return (alone, copies);
            }
        }
        (alone, 1)
    }
}

impl UseCase {
    /// The time in which to answer.
    fn aim(&self) -> Nanos {
        if self.borne < self.goal { self.borne.times(BORNE_SURE) } else { self.goal }
    }

    /// How heavy a part is beside the average one, by the fastest answers of its use case.
    fn size(&self, all: &Histogram) -> f64 {
        match (self.latencies.fastest(FASTEST), all.fastest(FASTEST)) {
            (Some((own, _)), Some((mean, _))) if self.latencies.total() >= 4.0 => {
                (own / mean).clamp(0.25, 4.0)
            }
            _ => 1.0,
        }
    }
}

/// A hand-off that is out, or ended in any way that does not prove otherwise, may have run.
fn may_have_run(sent: &HandOff) -> bool {
    !matches!(sent.outcome, Some(Outcome::TurnedAway | Outcome::Unreachable | Outcome::NeverSent))
}

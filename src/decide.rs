//! Every decision of a fernknot query router.
//!
//! A host makes one [`Router`] a process start and tells it what it learns (`list`, `take`, `ended`, ...);
//! this only updates what is known. After each batch of news it calls `next` until that returns `None` and
//! carries out each decision; a `Wake` asks for `next` later, even without news. Ids, times, settings and
//! decisions are in `interface.rs`, plain containers in `state.rs`; the reasons are in `docs/design.md`.

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The level that the estimate must reach; the least number of copies that does is taken.
const TARGET: f64 = 0.95;
/// No number of copies is taken that would keep its replicas this busy.
const BUSIEST: f64 = 0.9;
/// Extra copies stay under this share of the parts.
const COPY_SHARE: f64 = 0.1;
/// Late ones are sent only while all copies are under this share.
const LATE_SHARE: f64 = 0.05;
/// Service time and its spread are read from this share of the latencies, the fastest ones.
const FASTEST: f64 = 0.7;
/// How often copies are planned anew and measurements halved; its own, once of so many answers or age.
const RECOMPUTE: Nanos = Nanos(2_000_000_000);
const ENOUGH: f64 = 6.0;
const KEPT: f64 = 3.0;
/// Replicas whose share of answers in time differs by less are equal.
const PHI_STEP: f64 = 0.08;
/// Bins of a latency histogram: the first ends at this share of the shortest goal time.
const FIRST_BIN: f64 = 1.0 / 48.0;
const BIN_RATIO: f64 = 1.5;
const BINS: usize = 14;
/// The weight, in answers, of the average replica in a replica's own record.
const PRIOR: f64 = 3.0;
/// Weight of one answer in the running estimate of how fast a replica works off what it holds.
const PACE_GAIN: f64 = 0.2;
/// Replicas whose expected delays lie within this share of the goal time are equal.
const DELAY_STEP: f64 = 1.0 / 24.0;
/// A hand-off is overdue after so many times its expected delay, and this share of its goal time.
const OVERDUE: f64 = 2.5;
const OVERDUE_GOAL: f64 = 0.3;
/// A late copy goes out if it raises the chance of an answer in time by this much.
const LATE_GAIN: f64 = 0.75;
/// The share of a goal time that the delay may fill: at the best earnings, the least, beyond a share.
const FILL_BEST: f64 = 0.65;
const FILL_LEAST: f64 = 0.5;
const FILL_BEYOND: f64 = 0.33;
/// A cold replica gets this part of what the rule would allow.
const COLD_CARE: f64 = 0.8;
/// What warm replicas bear is measured over so many windows of the cold rule.
const COLD_SPANS: f64 = 3.0;
/// Weight of one recomputation in that measure, and how busy replicas are held to be at the least.
const BEARS_GAIN: f64 = 0.2;
const LEAST_BUSY: f64 = 0.2;
/// Seconds of its share that a customer may use at once.
const SHARE_SPAN: f64 = 2.0;
/// Weight of one part in the running means of sizes, and the widest ratio of sizes believed.
const SIZE_GAIN: f64 = 0.02;
const WIDEST: f64 = 8.0;
/// How far hints are believed at first, and the spread of hints at which that weighs as much.
const HINT_TRUST: f64 = 0.5;
const HINT_PRIOR: f64 = 0.1;
/// What one message to the other routers may hold.
const MOST_NEWS: usize = 80;
/// A multiget that would touch more than this share of the nodes at once is tried with one part first
/// while the delay so made fills less than this share of its goal time.
const WIDE: f64 = 0.5;
const EASY: f64 = 0.4;
/// The waits after calls for the list that failed, the first and the longest, in recomputations.
const ASK_WAIT: f64 = 0.25;
const ASK_MOST: f64 = 0.5;
/// How long before an end the last answer is given, in ticks of the host.
const END_TICKS: f64 = 4.0;
/// While the delay that multigets meet fills more than this share of the goal time in the mean, and that of
/// a second phase as much of what is left, its estimate over all parts must reach the target.
const CROWDED: f64 = 0.2;
/// At any other time a second phase is refused only if it is likelier to fail than not.
const LIKELY: f64 = 0.5;
/// The part of the ration of further hand-offs that copies in the first of two phases may use.
const FIRST_RATION: f64 = 0.5;
/// A share counts as reached when it falls short by no more than rounding.
const ROUNDING: f64 = 0.00005;

/// What is expected of a part at a node; `phi` is the chance of an answer in time.
#[derive(Clone, Copy)]
struct Offer {
    node: NodeId,
    delay: Nanos,
    phi: f64,
}

#[derive(Default)]
pub struct Router {
    use_cases: Vec<UseCase>,
    by_work: bool,
    unmarked: bool,
    zone: Option<ZoneId>,
    /// Among how many routers limits are shared.
    sharers: f64,
    /// Multigets within each customer's share at this router.
    shares: Vec<Allowance>,
    tick: Nanos,
    shortest_goal: Nanos,
    cold: ColdFacts,
    /// What a warm replica could answer to this router, in sizes a nanosecond.
    bears: RunningMean,
    /// How busy warm replicas are.
    busy_all: f64,
    budget: Option<BudgetFacts>,
    places: u32,
    width: u32,
    cancel: bool,
    second_copies: bool,
    most_hand_offs: usize,
    longest_wait: Nanos,
    /// When to ask to be told of changes of the list, where that must be asked.
    ask_at: Option<Nanos>,
    must_ask: bool,
    ask_wait: f64,
    /// What the other routers are to be told, where they may be, and when.
    peers: bool,
    news: Vec<(NodeId, News)>,
    tell_at: Option<Nanos>,
    chance: Mwc,
    nodes: BTreeMap<NodeId, Node>,
    by_place: Places,
    open: BTreeMap<MultigetId, Multiget>,
    /// At all replicas: over sizes, misses among them, and as they were.
    latencies: Histogram,
    raw_latencies: Histogram,
    failures: Tally,
    /// Hints of work against latencies, as logarithms.
    hints: Trend,
    pace: RunningMean,
    /// Planned copies, and first hand-offs of the running period.
    plan: BTreeMap<(ShardId, UseCaseId), usize>,
    sends: BTreeMap<(ShardId, UseCaseId), f64>,
    turns: BTreeMap<ShardId, usize>,
    replan_at: Nanos,
    mean_copies: f64,
    /// Multigets and parts taken; hand-offs: first ones, and all past the first.
    taken: SlidingCount,
    first_sends: SlidingCount,
    further: SlidingCount,
    /// The share of the goal time that the expected delay of multigets fills.
    met: RunningMean,
    /// Sizes promised to second phases of multigets whose first one runs.
    promised: f64,
    /// When a multiget was last dismissed for the delay it would meet.
    shed_at: Option<Nanos>,
    touched: VecDeque<MultigetId>,
    due: BTreeSet<(Nanos, MultigetId)>,
    wake_at: Option<Nanos>,
    ready: VecDeque<Decision>,
}

/// The estimate of the paper, section 4.3: the chance that one of the copies answers in time.
pub fn service_level(phis: &[f64]) -> f64 {
    let add = |(level, missed): (f64, f64), phi: &f64| (level + phi * missed, missed * (1.0 - phi));
    phis.iter().fold((0.0, 1.0), add).0
}

/// The paper's target cut by M/G/1 queuing and the network.
pub fn cut_target(target: f64, mean: f64, cv2: f64, busy: f64, network: f64) -> f64 {
    if busy >= 1.0 {
        return 0.0;
    }
    (target - (1.0 + cv2) / 2.0 * busy / (1.0 - busy) * mean - network).max(0.0)
}

impl Router {
    pub fn new(seed: u64, facts: SiteFacts, now: Nanos) -> Router {
        let goal = facts.use_cases.iter().map(|case| case.goal).min();
        let shortest_goal = goal.unwrap_or(RECOMPUTE).max(facts.tick);
        let bins = Histogram::new(shortest_goal.0 as f64 * FIRST_BIN, BIN_RATIO, BINS);
        let use_cases = facts.use_cases.iter().map(|case| UseCase::new(case, &bins));
        let own_share = |rate: &f64| {
            let rate = rate / facts.routers.max(1) as f64;
            Allowance::new(rate, rate.max(1.0) * SHARE_SPAN, now)
        };
        Router {
            use_cases: use_cases.collect(),
            sharers: facts.routers.max(1) as f64,
            shares: facts.customers.iter().map(own_share).collect(),
            tick: facts.tick,
            shortest_goal,
            cold: facts.cold,
            budget: facts.budget,
            places: facts.places.max(1),
            width: facts.width.max(1),
            cancel: facts.cancel,
            second_copies: facts.second_copies,
            most_hand_offs: facts.most_hand_offs as usize,
            longest_wait: facts.longest_wait.unwrap_or_default(),
            ask_at: facts.must_ask.then_some(now),
            must_ask: facts.must_ask,
            peers: facts.peers && facts.routers > 1,
            by_work: facts.by_work,
            zone: facts.zone,
            unmarked: !facts.marks_repeats,
            chance: Mwc::new(seed),
            latencies: bins.clone(),
            raw_latencies: bins,
            replan_at: now + RECOMPUTE,
            mean_copies: 1.0,
            busy_all: 1.0,
            ..Router::default()
        }
    }

    // ---- What is learned -------------------------------------------------------------------

    /// News of the list. What a full list leaves out is gone; what started anew is measured anew, and cold.
    pub fn list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Full {
            self.nodes.values_mut().for_each(|node| node.health = Health::Gone);
        }
        self.ask_wait = 0.0;
        let bins = Histogram::new(self.shortest_goal.0 as f64 * FIRST_BIN, BIN_RATIO, BINS);
        for entry in entries {
            let chance = &mut self.chance;
            let mut fresh = || {
                let started = entry.since.0 > 0;
                let wait = if started { chance.share() } else { 0.0 };
                Node { cold_room: (-wait, entry.since), ..Node::new(entry, &bins) }
            };
            let node = self.nodes.entry(entry.node).or_insert_with(&mut fresh);
            if node.since != entry.since {
                *node = Node { out: std::mem::take(&mut node.out), ..fresh() };
            }
            self.by_place.put(entry.node, node.place, entry.place);
            (node.place, node.health, node.since) = (entry.place, entry.health, entry.since);
            node.zone = entry.zone;
        }
    }

    /// The list's subscription broke or a call for it failed. Guards the list's service against a fleet that
    /// starts together: waits grow, and differ from router to router.
    pub fn list_lost(&mut self, now: Nanos) {
        let spread = 0.5 + self.chance.share();
        self.ask_wait = (self.ask_wait * 2.0).clamp(ASK_WAIT, ASK_MOST);
        self.ask_at = self.must_ask.then_some(now + RECOMPUTE.times(self.ask_wait * spread));
    }

    pub fn take(&mut self, now: Nanos, arrival: &Arrival) {
        let Some(case) = self.use_cases.get_mut(arrival.use_case.0) else { return };
        let stretch = arrival.effort.unwrap_or_default().times(case.stretch);
        // The goal time of a repeat runs from the first try, which shows in what is left of its hard limit;
        // unmarked repeats show by that alone. Guards fresh work against repeats that are too late.
        let stay = arrival.client_end - now;
        case.stay = case.stay.max(stay);
        let cut = (arrival.repeat || self.unmarked) && stay + self.tick.times(4.0) < case.stay;
        let asked = if cut { now.min(arrival.client_end - case.hard_limit) } else { now };
        let end = |after: Nanos| (asked + after + stretch).min(arrival.client_end).max(now);
        let until = if case.late_share > 0.0 { arrival.client_end } else { end(case.goal) };
        let multiget = Multiget {
            use_case: arrival.use_case,
            customer: arrival.customer,
            aim_end: end(case.goal),
            until,
            whole_ends: (end(case.goal), until),
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
        };
        self.open.insert(arrival.multiget, multiget);
        self.taken.add(now, 1.0);
        self.touched.push_back(arrival.multiget);
        arrival.second.iter().for_each(|facts| self.expect(arrival.multiget, *facts));
    }

    /// What is known by now of a second phase. The first has the goal time less what the second is likely
    /// to need, and ends at once when the second can for certain not be in time any more.
    pub fn expect(&mut self, id: MultigetId, facts: SecondFacts) {
        let Some(multiget) = self.open.get_mut(&id).filter(|held| held.step_from == 0) else { return };
        let (aim_end, until) = multiget.whole_ends;
        (multiget.aim_end, multiget.until) = (aim_end - facts.needs, until - facts.needs_least);
        multiget.second = Some(facts);
        self.touched.push_back(id);
    }

    /// Opens the second phase of a multiget whose first one was settled; its parts follow.
    pub fn second(&mut self, id: MultigetId, step: SecondStep) {
        let Some(multiget) = self.open.get_mut(&id).filter(|held| held.step_from > 0) else { return };
        (multiget.opened, multiget.first_whole) = (Some(step), step.whole);
        self.touched.push_back(id);
    }

    /// How heavy a part is beside the average one.
    fn size_of(&self, case: &UseCase, hint: Option<f64>) -> f64 {
        // By its hint, as far as hints have told latencies lately, or by the fastest answers of its use case.
        // Guards against taking heavy parts for a slow replica, and against hints that are rough or untrue.
        let measured = (case.latencies.fastest(FASTEST), self.raw_latencies.fastest(FASTEST));
        let size = match (hint, measured) {
            (Some(hint), _) => {
                let trust = self.hints.slope(HINT_TRUST, HINT_PRIOR).clamp(0.0, 1.0);
                (trust * (hint - self.hints.x.get().unwrap_or(hint))).exp()
            }
            (None, (Some((own, _)), Some((all, _)))) => own / all,
            _ => 1.0,
        };
        size.clamp(1.0 / WIDEST, WIDEST)
    }

    pub fn take_part(&mut self, now: Nanos, arrival: &PartArrival) {
        let Some(use_case) = self.open.get(&arrival.part.of).map(|held| held.use_case) else { return };
        let hint = arrival.effort.map(|effort| (effort.0.max(1) as f64).ln());
        let size = self.size_of(&self.use_cases[use_case.0], hint);
        let case = &mut self.use_cases[use_case.0];
        case.size.add(size, SIZE_GAIN);
        let Some(multiget) = self.open.get_mut(&arrival.part.of) else { return };
        // A first phase only asks.
        let effect = if multiget.second.is_some() { Effect::Replayable } else { case.effect };
        let kind = (use_case, multiget.opened.is_some());
        multiget.parts.push(Part {
            id: arrival.part,
            shard: arrival.shard,
            weight: arrival.weight,
            size,
            hint,
            effect,
            kind,
            hand_offs: Vec::new(),
            answered: false,
            given_up: false,
        });
        self.taken.add(now, 1.0);
        if multiget.step().len() == 1 {
            self.touched.push_back(arrival.part.of);
        }
    }

    pub fn ended(&mut self, now: Nanos, ending: &Ending) {
        self.reported(ending.node, ending.report);
        let Some(multiget) = self.open.get_mut(&ending.part.of) else { return };
        let Some(part) = multiget.parts.get_mut(ending.part.index) else { return };
        let Some(sent) = part.hand_offs.get_mut(ending.no.0 as usize) else { return };
        if sent.outcome.replace(ending.outcome).is_some() {
            return;
        }
        let sent = sent.clone();
        part.answered |= ending.outcome == Outcome::Answered && !part.given_up && !multiget.ended;
        self.touched.push_back(ending.part.of);
        let Some(node) = self.nodes.get_mut(&sent.node) else { return };
        node.out.remove(&(sent.sent, ending.part, ending.no.0 as usize));
        let failed = ending.outcome != Outcome::Answered;
        if !matches!(ending.outcome, Outcome::CalledOff | Outcome::NeverSent) {
            // A replica that fails fast would look quick if only answers were measured; one that
            // fails some kind of work alone would look well if all kinds were counted together.
            let kind = node.kinds.entry(part.kind).or_default();
            // Late is not never here either.
            if sent.missed && part.kind.1 && !failed {
                kind.take_failure();
            }
            kind.add(failed);
            node.failures.add(failed);
            self.failures.add(failed);
        }
        if !failed {
            let took = ending.took.0 as f64;
            node.answered_to = node.answered_to.max(sent.sent);
            node.served.add(now, part.size);
            // Late is not never: an answer takes back the miss counted while it was awaited.
            for latencies in [&mut node.latencies, &mut self.latencies] {
                if sent.missed {
                    latencies.take_miss();
                }
                latencies.add(took / part.size);
            }
            self.raw_latencies.add(took);
            if let Some(hint) = part.hint {
                self.hints.add(hint, took.max(1.0).ln(), SIZE_GAIN);
            }
            self.use_cases[multiget.use_case.0].latencies.add(took);
            self.pace.add(took / sent.ahead, PACE_GAIN);
            node.pace.add_from(self.pace.get(), took / sent.ahead, PACE_GAIN);
        }
        if !matches!(ending.outcome, Outcome::CalledOff | Outcome::NeverSent) {
            self.tell(now, sent.node, if failed { News::Failed } else { News::Answered(ending.took) });
        }
    }

    /// A node's own account of its load, with an outcome or a probe's result.
    pub fn reported(&mut self, node: NodeId, report: LoadReport) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.busy_share = report.busy_share.or(node.busy_share);
        }
    }

    /// What another router tells of its hand-offs: as good as our own for how a replica does and
    /// how much it holds. Guards routers that each see little of a node against sending it too much.
    pub fn told(&mut self, now: Nanos, from: PeerId, news: &[(NodeId, News)]) {
        let lost_before = now - self.shortest_goal;
        for (id, what) in news {
            let Some(node) = self.nodes.get_mut(id) else { continue };
            node.others.retain(|(_, sent, _)| *sent >= lost_before);
            let ahead = node.holds(lost_before) + 1.0;
            let sent = node.others.iter().position(|(by, _, _)| *by == from);
            match (*what, sent) {
                (News::Sent, _) => node.others.push((from, now, ahead)),
                // Late is not lost: it stays work in hand until it has been out a goal time.
                (News::Overdue, _) => node.latencies.add_miss(),
                (_, sent) => {
                    let sent = sent.map(|index| node.others.remove(index));
                    node.failures.add(*what == News::Failed);
                    if let News::Answered(took) = *what {
                        node.latencies.add(took.0 as f64);
                        let pace = sent.map(|(_, _, ahead)| took.0 as f64 / ahead);
                        pace.iter().for_each(|pace| node.pace.add_from(self.pace.get(), *pace, PACE_GAIN));
                    }
                }
            }
        }
    }

    /// Among how many routers limits are shared from now on.
    pub fn shared_by(&mut self, now: Nanos, routers: usize) {
        let grown = self.sharers / routers.max(1) as f64;
        self.sharers = routers.max(1) as f64;
        self.shares.iter_mut().for_each(|share| share.scale(now, grown));
        // What fewer routers were answered is more than the part of each of many. Guards cold replicas
        // against routers that come back; where some are lost, what others are answered grows by itself.
        self.bears.scale(grown.min(1.0));
    }

    fn tell(&mut self, now: Nanos, node: NodeId, what: News) {
        if self.peers {
            self.news.push((node, what));
            let wait = self.shortest_goal.times(if what == News::Sent { 0.0 } else { DELAY_STEP });
            self.tell_at = Some(self.tell_at.map_or(now + wait, |at| at.min(now + wait)));
        }
    }

    /// The client has gone; nothing more is owed.
    pub fn lapsed(&mut self, id: MultigetId) {
        if self.open.get(&id).is_some_and(|held| !held.ended) {
            self.end(id);
        }
    }

    // ---- What is decided of a multiget -----------------------------------------------------

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
            } else if self.tell_at.is_some_and(|at| at <= now) {
                let news = self.news.drain(..self.news.len().min(MOST_NEWS)).collect();
                self.tell_at = self.tell_at.filter(|_| !self.news.is_empty());
                return Some(Decision::Tell { news });
            } else {
                let due = self.due.first().map(|(at, _)| *at);
                let at =
                    due.into_iter().chain(self.ask_at).chain(self.tell_at).fold(self.replan_at, Nanos::min);
                if self.wake_at.is_some_and(|set| set > now && set <= at) {
                    return None;
                }
                self.wake_at = Some(at);
                return Some(Decision::Wake { after: at - now });
            }
        }
    }

    /// All that is decided of one multiget, in the order in which it matters.
    fn consider(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        if multiget.ended {
            if multiget.parts.iter().all(|part| part.out().next().is_none()) {
                self.open.remove(&id);
            }
            return;
        }
        if !multiget.step().is_empty() {
            if multiget.fresh && !self.admit(now, id) {
                return;
            }
            self.mend(now, id);
        }
        let Some(multiget) = self.open.get(&id).filter(|held| !held.ended) else { return };
        let case = &self.use_cases[multiget.use_case.0];
        // An answer has to reach the client, which asked up to a tick before it was heard, and the
        // host looks only once a tick. Guards against partial answers a moment too late.
        let ends = [multiget.aim_end, multiget.until, multiget.client_end];
        let ends @ [aim_end, until, client_end] = ends.map(|end| end - self.tick.times(END_TICKS));
        let second = multiget.step_from > 0;
        let whole = if second || multiget.second.is_some() { 1.0 } else { case.need };
        let least = if second && case.floor >= case.need { 1.0 } else { case.floor };
        let least = multiget.second.map_or(least, |facts| facts.least);
        let weigh = |keep: fn(&Part) -> bool| -> f64 {
            let weights = multiget.step().iter().filter(|part| keep(part)).map(|part| part.weight);
            weights.sum::<f64>() + multiget.opened.map_or(0.0, |step| step.base) + ROUNDING
        };
        let waits = multiget.step().is_empty();
        let answered = weigh(|part| part.answered);
        let reachable = weigh(|part| part.answered || !part.given_up);
        if answered >= whole {
            self.settle(now, id, !second || multiget.first_whole);
        } else if answered >= least && (now >= aim_end || reachable <= answered) {
            self.settle(now, id, false);
        } else if now >= client_end || !waits && (reachable < least || now >= until) {
            self.give_up(now, id);
        } else {
            // Guards against a final answer that comes too late, whatever else is awaited.
            let end = ends.into_iter().find(|at| now < *at).unwrap_or(client_end);
            let pending = multiget.step().iter().filter(|part| !part.answered && !part.given_up);
            let checks = pending.map(|part| self.check_at(now, part));
            self.look_again(id, checks.fold(end, Nanos::min));
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
    fn check_at(&self, now: Nanos, part: &Part) -> Nanos {
        let overdue = part.out().map(|sent| sent.sent + self.patience(sent)).min();
        overdue.filter(|at| *at > now).unwrap_or(now + self.shortest_goal.times(DELAY_STEP))
    }

    fn patience(&self, sent: &HandOff) -> Nanos {
        sent.expected.times(OVERDUE).max(self.shortest_goal.times(OVERDUE_GOAL))
    }

    /// The first look at a multiget: where its parts would go and how long they take. What cannot be in time
    /// is dismissed before any is sent, sooner where it earns little or its customer is beyond its share.
    fn admit(&mut self, now: Nanos, id: MultigetId) -> bool {
        let Some(multiget) = self.open.get_mut(&id) else { return false };
        multiget.fresh = false;
        let (use_case, customer, second) = (multiget.use_case, multiget.customer, multiget.step_from > 0);
        let left = multiget.aim_end - now;
        let (facts, opened, rest) = (multiget.second, multiget.opened, multiget.until - now);
        let parts = multiget.step().to_vec();
        self.use_cases[use_case.0].work.add(parts.iter().map(|part| part.size).sum(), SIZE_GAIN);
        let mut planned = BTreeMap::new();
        let mut offers = Vec::new();
        for part in &parts {
            let offer = self.choose(now, part, left, &planned);
            if let Some(offer) = offer {
                *planned.entry(offer.node).or_insert(0.0) += part.size;
            }
            offers.push((offer.map_or(Nanos(u64::MAX), |offer| offer.delay), offer, part));
        }
        offers.sort_by_key(|(delay, _, part)| (*delay, part.id));
        let case = &self.use_cases[use_case.0];
        // The delay by which enough of the parts would be in for an answer.
        let mut reached = opened.map_or(0.0, |step| step.base) + ROUNDING;
        let enough = offers.iter().position(|(_, _, part)| {
            reached += part.weight;
            reached >= case.floor
        });
        let enough = &offers[..enough.map_or(offers.len(), |last| last + 1)];
        let delay = enough.last().map_or(Nanos(0), |(delay, _, _)| *delay);
        // Guards against a second phase that is likelier late than not, and where all is slow against one
        // that is not likely enough in time: it is refused before any of it is sent.
        let chance: f64 = enough.iter().map(|(_, offer, _)| offer.map_or(0.0, |offer| offer.phi)).product();
        let crowded = self.met.get() > Some(CROWDED) && delay > rest.times(CROWDED);
        let level = if crowded { TARGET } else { LIKELY };
        let needs = opened.and_then(|step| step.needs);
        if needs.is_some_and(|needs| delay.max(needs) > rest || chance < level) {
            self.shed_at = Some(now);
            self.give_up(now, id);
            return false;
        }
        // What second phases were promised stands before all that is new. Guards against cheap first phases.
        let own = facts.map_or(0.0, |facts| {
            facts.parts * self.size_of(case, facts.effort.map(|effort| (effort.0.max(1) as f64).ln()))
        });
        let usual = self.pace.get().unwrap_or_default();
        let ahead = Nanos((usual * self.promised / self.nodes.len().max(1) as f64) as u64);
        let delay = if second { delay } else { delay + ahead };
        let by_work = self.by_work.then_some(1.0);
        let yields = |case: &UseCase| by_work.or(case.work.get()).map_or(0.0, |work| case.earnings / work);
        let best = self.use_cases.iter().map(yields).fold(f64::MIN_POSITIVE, f64::max);
        let fill = FILL_LEAST + (FILL_BEST - FILL_LEAST) * yields(case) / best;
        // What is dismissed draws nothing from its customer's share. Guards repeats from passing for a flood.
        let share = self.shares.get_mut(customer.0).filter(|_| !second);
        // A client that is short of time by its own doing is refused only what is past hope.
        let aim = case.goal;
        let room = |fill: f64| aim.times(fill).min(left);
        if !second {
            self.met.add(delay.min(aim).0 as f64 / aim.0.max(1) as f64, SIZE_GAIN);
        }
        let within = share.is_none_or(|share| delay <= room(fill) && share.draw(now));
        let room = room(if within { fill } else { fill.min(FILL_BEYOND) });
        if !second && delay > room {
            let wait = self.longest_wait;
            self.ready.push_back(Decision::Dismiss { multiget: id, wait });
            self.shed_at = Some(now);
            self.end(id);
            return false;
        }
        self.promise(id, own);
        // Guards all routers together against multigets that touch most nodes and then fail: while there
        // is time, the quickest part goes first, and the others once it has answered.
        offers.retain(|(_, offer, _)| offer.is_some());
        let first = offers.first().map_or(Nanos(0), |(delay, _, _)| *delay);
        let wide = offers.len() as f64 > WIDE * self.nodes.len() as f64;
        let scouting = !second && offers.len() > 1 && wide && delay + first <= aim.times(EASY);
        offers.truncate(if scouting { 1 } else { offers.len() });
        self.open.get_mut(&id).into_iter().for_each(|multiget| multiget.scouting = scouting);
        let offered = offers.iter().filter_map(|(_, offer, part)| offer.as_ref().map(|offer| (offer, part)));
        offered.for_each(|(offer, part)| self.hand_off(now, part.id, offer));
        offers.iter().for_each(|(_, _, part)| self.copy(now, part.id));
        true
    }

    /// Counts so much work as promised to the second phase of a multiget.
    fn promise(&mut self, id: MultigetId, work: f64) {
        if let Some(multiget) = self.open.get_mut(&id) {
            self.promised = (self.promised + work - std::mem::replace(&mut multiget.promised, work)).max(0.0);
        }
    }

    /// The planned copies of a part that has just been handed off, as the design has it.
    fn copy(&mut self, now: Nanos, id: PartId) {
        let Some(multiget) = self.open.get(&id.of) else { return };
        let planned = self.plan.get(&(multiget.parts[id.index].shard, multiget.use_case));
        for _ in 1..planned.copied().unwrap_or(1) {
            let multiget = &self.open[&id.of];
            let part = &multiget.parts[id.index];
            let offer = self.choose(now, part, multiget.aim_end - now, &BTreeMap::new());
            let may = self.may_copy(now, COPY_SHARE) && self.may_send_further(now, part);
            let Some(offer) = offer.filter(|_| may && !self.is_shedding(now)) else { return };
            self.hand_off(now, id, &offer);
        }
    }

    /// Whether one more copy keeps all further hand-offs under this share of the parts.
    fn may_copy(&self, now: Nanos, share: f64) -> bool {
        let span = RECOMPUTE.times(2.0);
        self.further.within(now, span) + 1.0 < share * self.first_sends.within(now, span)
    }

    /// Looks after parts not answered, overdue, failed or without a replica, and twins of answered ones.
    fn mend(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let until = multiget.until;
        let left = if multiget.aim_end > now { multiget.aim_end } else { until } - now;
        let mut sent = multiget.step().iter().flat_map(|part| &part.hand_offs);
        let scouting = multiget.scouting && sent.all(|sent| !sent.missed && sent.outcome.is_none());
        for index in multiget.step_from..multiget.parts.len() {
            let part = &self.open[&id].parts[index];
            if part.answered {
                self.call_off(part.id);
                continue;
            }
            let late = |sent: &HandOff| now - sent.sent >= self.patience(sent);
            let (out, overdue) = (part.out().count(), part.out().filter(|sent| late(sent)).count());
            if part.given_up || out > overdue && overdue == 0 {
                continue;
            }
            let part = part.clone();
            self.count_misses(now, &part);
            // A part that fails at one replica goes to another at once, but then has to wait. Guards a
            // multiget of many parts against ending with all of them for a few that were turned away.
            let lately = part.hand_offs.iter().skip(1).any(|sent| self.is_fresh(now, sent));
            let waits = out == 0 && lately && self.may_yet(now, &part);
            let held = scouting && part.hand_offs.is_empty() || out > overdue || waits;
            if held || out > 0 && (out > 1 || !self.second_copies || self.is_shedding(now)) {
                continue;
            }
            // Guards against failures and silence: another is tried if in time, beside the first if likelier.
            let missed: f64 = part.out().map(|sent| 1.0 - self.still(now, &part, sent, left)).product();
            let offer = self.choose(now, &part, left, &BTreeMap::new()).filter(|offer| {
                let gains = missed * offer.phi >= LATE_GAIN && self.may_copy(now, LATE_SHARE);
                now + offer.delay < until && (out == 0 || gains)
            });
            match offer {
                Some(offer) if part.hand_offs.is_empty() => {
                    self.hand_off(now, part.id, &offer);
                    self.copy(now, part.id);
                }
                Some(offer) if self.may_send_further(now, &part) => {
                    self.hand_off(now, part.id, &offer);
                }
                _ if out == 0 && !part.hand_offs.is_empty() && !self.may_yet(now, &part) => {
                    if let Some(multiget) = self.open.get_mut(&id) {
                        multiget.parts[index].given_up = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Guards a jam, in which all replicas slow together, against second copies.
    fn is_shedding(&self, now: Nanos) -> bool {
        self.shed_at.is_some_and(|at| now - at < self.shortest_goal.times(OVERDUE_GOAL))
    }

    /// The chance that a hand-off still out is answered within `left`, by all answers that took as
    /// long. Guards a jam against being fed with copies, and what is late against passing for lost.
    fn still(&self, now: Nanos, part: &Part, sent: &HandOff, left: Nanos) -> f64 {
        let waited = (now - sent.sent).0 as f64 / part.size;
        let before = self.latencies.under(waited);
        let by_then = self.latencies.under(waited + left.0 as f64 / part.size) - before;
        by_then / (self.latencies.total() - before).max(ROUNDING)
    }

    /// A silent replica shows no latency, so what is overdue counts as a miss while it is still out.
    fn count_misses(&mut self, now: Nanos, part: &Part) {
        for (no, sent) in part.hand_offs.iter().enumerate() {
            if sent.outcome.is_none() && !sent.missed && now - sent.sent >= self.patience(sent) {
                self.latencies.add_miss();
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.latencies.add_miss();
                    // Guards against a store that answers what matches and stalls on what is fetched.
                    if part.kind.1 {
                        node.kinds.entry(part.kind).or_default().add(true);
                    }
                    if let Some((_, overdue)) = node.out.get_mut(&(sent.sent, part.id, no)) {
                        *overdue = true;
                    }
                }
                if let Some(multiget) = self.open.get_mut(&part.id.of) {
                    multiget.parts[part.id.index].hand_offs[no].missed = true;
                }
                // Guards a sound node against a connection that has fallen silent.
                self.ready.push_back(Decision::Renew { node: sent.node });
                self.tell(now, sent.node, News::Overdue);
            }
        }
    }

    /// Whether a part may be handed off again now: by its effect, its limit and the ration.
    fn may_send_further(&self, now: Nanos, part: &Part) -> bool {
        let Some(multiget) = self.open.get(&part.id.of) else { return false };
        let out = part.out().next().is_some();
        // Guards second phases against copies made in first ones.
        let share = if out && multiget.second.is_some() { FIRST_RATION } else { 1.0 };
        let rationed = self.budget.as_ref().is_some_and(|budget| {
            // Counted a little unkindly at both edges of the window.
            let taken = self.taken.within(now, budget.window - self.tick);
            let sent = self.further.within(now, budget.window + self.tick);
            sent + 1.0 > share * (budget.free + budget.share * taken)
        });
        !rationed && (!out || self.second_copies) && self.may_yet(now, part)
    }

    /// Whether a part may still be handed off at all: by its effect and its limit.
    fn may_yet(&self, now: Nanos, part: &Part) -> bool {
        let first_run = part.hand_offs.iter().filter(|sent| may_have_run(sent)).map(|sent| sent.sent).min();
        let allowed = match (part.effect, first_run) {
            (Effect::Replayable, _) | (_, None) => true,
            (Effect::Referenced(window), Some(first)) => now + self.tick < first + window,
            (Effect::SingleUse, Some(_)) => false,
        };
        allowed && part.hand_offs.len() < self.most_hand_offs && !self.holders(part.shard).is_empty()
    }

    fn hand_off(&mut self, now: Nanos, id: PartId, offer: &Offer) {
        let cold = self.nodes.get(&offer.node).filter(|node| self.is_cold(now, node));
        let room = cold.and_then(|node| self.cold_room(now, node));
        let Some(multiget) = self.open.get_mut(&id.of) else { return };
        let (use_case, stop_at) = (multiget.use_case, multiget.until);
        let part = &mut multiget.parts[id.index];
        let Some(node) = self.nodes.get_mut(&offer.node) else { return };
        node.out.insert((now, id, part.hand_offs.len()), (part.size, false));
        if let Some((room, _)) = room {
            node.cold_room = (room - part.size, now);
        }
        if part.hand_offs.is_empty() {
            self.first_sends.add(now, 1.0);
            *self.sends.entry((part.shard, use_case)).or_insert(0.0) += 1.0;
            let chance = &mut self.chance;
            *self.turns.entry(part.shard).or_insert_with(|| chance.under(1 << 16) as usize) += 1;
        } else {
            self.further.add(now, 1.0);
        }
        part.hand_offs.push(HandOff {
            node: offer.node,
            sent: now,
            expected: offer.delay,
            ahead: node.holds(now - self.shortest_goal),
            outcome: None,
            called_off: false,
            missed: false,
        });
        self.ready.push_back(Decision::HandOff { part: id, node: offer.node, stop_at });
        self.tell(now, offer.node, News::Sent);
    }

    fn call_off(&mut self, part: PartId) {
        let Some(multiget) = self.open.get_mut(&part.of).filter(|_| self.cancel) else { return };
        for (no, sent) in multiget.parts[part.index].hand_offs.iter_mut().enumerate() {
            if sent.outcome.is_none() && !sent.called_off {
                sent.called_off = true;
                self.ready.push_back(Decision::CallOff { part, no: HandOffNo(no as u32) });
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.out.remove(&(sent.sent, part, no));
                }
            }
        }
    }

    fn settle(&mut self, now: Nanos, id: MultigetId, whole: bool) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        let case = &mut self.use_cases[multiget.use_case.0];
        let last = multiget.step_from > 0 || !case.second_step && multiget.second.is_none();
        self.ready.push_back(Decision::Settle { multiget: id, whole, last });
        if last {
            return self.end(id);
        }
        let from = multiget.step_from..multiget.parts.len();
        (multiget.step_from, multiget.first_whole, multiget.fresh) = (from.end, whole, true);
        (multiget.aim_end, multiget.until) = multiget.whole_ends;
        multiget.second = None;
        let until = multiget.client_end - self.tick.times(END_TICKS);
        self.promise(id, 0.0);
        from.for_each(|index| self.call_off(PartId { of: id, index }));
        self.look_again(id, until.max(now + self.tick));
    }

    /// What cannot be answered any more gets its final answer at once. A dismissal says that asking again is
    /// harmless, so nothing may have run that must not run twice.
    fn give_up(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let lasts = |part: &&Part| part.effect != Effect::Replayable;
        let ran = multiget.parts.iter().filter(lasts).any(|part| part.hand_offs.iter().any(may_have_run));
        self.ready.push_back(if now < multiget.client_end && !ran {
            Decision::Dismiss { multiget: id, wait: self.longest_wait }
        } else {
            Decision::BreakOff { multiget: id }
        });
        self.end(id);
    }

    fn end(&mut self, id: MultigetId) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        multiget.ended = true;
        self.promised -= std::mem::take(&mut multiget.promised);
        self.due.remove(&(multiget.look_at, id));
        (0..multiget.parts.len()).for_each(|index| self.call_off(PartId { of: id, index }));
        self.touched.push_back(id);
    }

    // ---- Where a part goes -----------------------------------------------------------------

    /// The share of a replica's answers within `target`, over sizes; one not heard from counts as average.
    fn phi(&self, node: &Node, kind: Kind, target: f64) -> f64 {
        let average = (self.latencies.under(target) + 1.0) / (self.latencies.total() + 1.0);
        let in_time = (node.latencies.under(target) + PRIOR * average) / (node.latencies.total() + PRIOR);
        let failures = node.failures.share(self.failures.share(0.0, 1.0), PRIOR);
        let kind = node.kinds.get(&kind).copied().unwrap_or_default();
        in_time * (1.0 - kind.share(failures, PRIOR))
    }

    /// How long a part would take at a replica, by what it holds for all that is known.
    fn delay(&self, now: Nanos, node: &Node, more: f64) -> f64 {
        let usual = self.pace.get().unwrap_or(self.shortest_goal.0 as f64 * DELAY_STEP * 2.0);
        // Guards a replica that has just started against the work of one that is warm.
        let unheard = usual / self.warmth(now, node);
        // What is overdue there has waited so long already; the next one would not be quicker.
        let stuck = node.stuck_since().map_or(0.0, |sent| (now - sent).0 as f64);
        (node.pace.get().unwrap_or(unheard) * (node.holds(now - self.shortest_goal) + more)).max(stuck)
    }

    /// The replica for a part: the highest share of answers within what is left of the goal time, cut by the
    /// delay that its work in hand adds to the usual; equals by delay, zone and turn.
    fn choose(&self, now: Nanos, part: &Part, left: Nanos, planned: &BTreeMap<NodeId, f64>) -> Option<Offer> {
        let holders = self.holders(part.shard);
        let first = part.hand_offs.is_empty();
        let turn = self.turns.get(&part.shard).filter(|_| first).copied().unwrap_or(0);
        let step = self.shortest_goal.0 as f64 * DELAY_STEP;
        let offer = |(index, id): (usize, &NodeId)| {
            let node = &self.nodes[id];
            let more = part.size + planned.get(id).copied().unwrap_or(0.0);
            let tried =
                |sent: &HandOff| sent.node == *id && (sent.outcome.is_none() || self.is_fresh(now, sent));
            if part.hand_offs.iter().any(tried) || !self.has_cold_room(now, node) {
                return None;
            }
            let delay = self.delay(now, node, more);
            let usual = node.latencies.fastest(1.0).map_or(0.0, |(mean, _)| mean) * part.size;
            let target = left.0 as f64 - (delay - usual).max(0.0);
            let phi = self.phi(node, part.kind, target.max(0.0) / part.size);
            let order = (index + holders.len() - turn % holders.len()) % holders.len();
            let far = self.zone.is_some() && node.zone != self.zone;
            let key = ((delay / step) as u64, far, order);
            Some((phi, key, Offer { node: *id, delay: Nanos(delay as u64), phi }))
        };
        let offers: Vec<_> = holders.iter().enumerate().filter_map(offer).collect();
        let best = offers.iter().map(|(phi, _, _)| *phi).fold(0.0, f64::max);
        let equal = offers.into_iter().filter(|(phi, _, _)| *phi >= best - PHI_STEP);
        equal.min_by_key(|(_, key, _)| *key).map(|(_, _, offer)| offer)
    }

    /// What failed so lately would fail again.
    fn is_fresh(&self, now: Nanos, sent: &HandOff) -> bool {
        now - sent.sent < self.shortest_goal.times(OVERDUE_GOAL)
    }

    /// Those that run. Guards them against taking the turns of one that drains or is gone.
    fn holders(&self, shard: ShardId) -> Vec<NodeId> {
        let places = (0..self.width).map(|step| PlaceId((shard.0 % self.places + step) % self.places));
        self.by_place.all_in(places, |id| self.nodes[id].health == Health::Running)
    }

    fn is_cold(&self, now: Nanos, node: &Node) -> bool {
        node.since.0 > 0 && now - node.since < self.cold.warm_after + self.cold.window
    }

    /// The share of its capacity that a replica has at least.
    fn warmth(&self, now: Nanos, node: &Node) -> f64 {
        let grown = (now - node.since).0 as f64 / self.cold.warm_after.0.max(1) as f64;
        if node.since.0 > 0 { (self.cold.from + (1.0 - self.cold.from) * grown).min(1.0) } else { 1.0 }
    }

    /// A cold replica takes this router's part of what the rule allows, by what warm ones answer to it and
    /// how busy they are. Where nothing is known of those, it takes one part at a time.
    fn has_cold_room(&self, now: Nanos, node: &Node) -> bool {
        if !self.is_cold(now, node) {
            return true;
        }
        let Some((room, most)) = self.cold_room(now, node) else { return node.out.is_empty() };
        // Guards against routers whose part is under one each, all of which could send one at once: it
        // is open for as much of the time as they together may send of what is usually sent.
        let share = COLD_CARE * self.cold.multiple * self.warmth(now, node) / self.busy_all;
        room >= 0.0 && (most >= 1.0 || room < share.max(most))
    }

    /// The sizes that a cold replica may be sent now, and those that one window allows. The first part
    /// waits for a random while, as all routers hear of a start at once.
    fn cold_room(&self, now: Nanos, node: &Node) -> Option<(f64, f64)> {
        let rate = COLD_CARE * self.cold.multiple * self.warmth(now, node) * self.bears.get()?;
        let most = rate * self.cold.window.0 as f64;
        let (left, at) = node.cold_room;
        let room = left + rate * (now - at.max(node.since)).0 as f64;
        Some((if most >= 1.0 { room.min(most) } else { room - room.floor().max(0.0) }, most))
    }

    // ---- How many copies -------------------------------------------------------------------

    /// Takes the least number of copies, where the estimate is lowest first, and ages what is measured.
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
                self.plan.insert((shard, use_case), copies);
            }
        }
        self.mean_copies = if all > 0.0 { 1.0 + extra / all } else { 1.0 };
        self.latencies.halve();
        self.raw_latencies.halve();
        self.failures.halve();
        for case in &mut self.use_cases {
            case.latencies.halve();
        }
        let span = self.cold.window.times(COLD_SPANS);
        let warm =
            self.nodes.values().filter(|node| node.health == Health::Running && !self.is_cold(now, node));
        // Weighed by all other answers: a mean over replicas would sink with those of which nothing is asked.
        let (mut count, mut served, mut others, mut busy) = (0.0, 0.0, 0.0, 0.0);
        for node in warm {
            let own = node.served.within(now, span);
            count += 1.0;
            served += own;
            others += own * (own - 1.0).max(0.0);
            busy += own * self.busy(node).max(LEAST_BUSY);
        }
        if served > 0.0 {
            self.busy_all = busy / served;
            let usual = (others / served).max(served / count);
            self.bears.add(usual / self.busy_all / span.0 as f64, BEARS_GAIN);
        }
        for node in self.nodes.values_mut() {
            // Guards a router that hears little against forgetting a bad replica before it is seen twice.
            if node.latencies.total() >= ENOUGH || now - node.halved_at >= RECOMPUTE.times(KEPT) {
                node.halved_at = now;
                node.latencies.halve();
                node.failures.halve();
                node.kinds.values_mut().for_each(Tally::halve);
            }
            node.served.forget(now, span);
        }
        self.nodes.retain(|_, node| node.health != Health::Gone || !node.is_forgotten());
        self.by_place.keep(|id| self.nodes.contains_key(id));
        let window = self.budget.as_ref().map_or(RECOMPUTE, |budget| budget.window);
        let longest = window.max(RECOMPUTE) + RECOMPUTE;
        for count in [&mut self.first_sends, &mut self.further, &mut self.taken] {
            count.forget(now, longest);
        }
    }

    /// How busy a replica is: its own report or, failing that, what its latencies say.
    fn busy(&self, node: &Node) -> f64 {
        let read = |share| node.latencies.fastest(share).or(self.latencies.fastest(share));
        let usual = read(FASTEST).zip(read(1.0)).map(|((mean, _), (whole, _))| 1.0 - mean / whole);
        node.busy_share.or(usual).unwrap_or(1.0)
    }

    /// The estimate for one copy, and the least number whose estimate reaches the target.
    fn least_copies(&self, shard: ShardId, use_case: UseCaseId) -> (f64, usize) {
        let case = &self.use_cases[use_case.0];
        let size = case.size.get().unwrap_or(1.0);
        let mut nodes: Vec<&Node> = self.holders(shard).iter().map(|id| &self.nodes[id]).collect();
        let goal = case.goal.0 as f64 / size;
        let kind = (use_case, false);
        nodes.sort_by(|one, other| self.phi(other, kind, goal).total_cmp(&self.phi(one, kind, goal)));
        let mut alone = 0.0;
        for copies in 1..=nodes.len() {
            let mut phis = Vec::new();
            let mut busiest = 0.0f64;
            for node in &nodes[..copies] {
                let fastest = node.latencies.fastest(FASTEST).or(self.latencies.fastest(FASTEST));
                let all = node.latencies.fastest(1.0).or(self.latencies.fastest(1.0));
                let (Some((mean, cv2)), Some(_)) = (fastest, all) else { return (1.0, 1) };
                let busy = self.busy(node) * copies as f64 / self.mean_copies;
                busiest = busiest.max(busy);
                let network = self.tick.0 as f64 / size;
                phis.push(self.phi(node, kind, cut_target(goal, mean, cv2, busy, network)));
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

/// A hand-off that is out, or ended in any way that does not prove otherwise, may have run.
fn may_have_run(sent: &HandOff) -> bool {
    !matches!(sent.outcome, Some(Outcome::TurnedAway | Outcome::Unreachable | Outcome::NeverSent))
}

//! The pull loop, and the carrying out of the module's decisions as far as that needs no socket.

use crate::counters::Counters;
use crate::table::{AskerId, HandOffState, Held, PartOf, PartState, Table};
use fernknot::decide::Router;
use fernknot::interface::*;
use fernknot_protocol::matches;
use fernknot_protocol::multiget::{Asked, AskedPart, AskedSecond, BlockState};
use fernknot_router_config::PhaseFacts;
use fernknot_two_phase::{Block, Phases, Query, print_of};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The final answer to a multiget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Settled {
        whole: bool,
        /// The value of each part that is in.
        found: Vec<(ShardId, String)>,
        /// The index of each part that is in, and the hand-off that answered it.
        found_by: Vec<(usize, HandOffNo)>,
        /// What is said of each block of a query in two phases.
        blocks: Option<Vec<(ShardId, BlockState)>>,
    },
    /// Asking again is harmless, after this wait where there is one.
    Dismissed {
        wait: Option<Nanos>,
    },
    BrokenOff,
}

/// Where a multiget stood when it got its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Plain,
    FirstPhase,
    /// In the second, before or after a part of it was handed off.
    SecondPhase {
        ran: bool,
    },
}

/// What the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Puts a hand-off on its way.
    Send {
        part: PartId,
        no: HandOffNo,
        node: NodeId,
    },
    /// Stops waiting for a hand-off. The host tells its end: this outcome, or that it was never sent.
    Abandon {
        part: PartId,
        no: HandOffNo,
        outcome: Outcome,
    },
    Answer {
        asker: AskerId,
        verdict: Verdict,
        ended: Ended,
    },
    FollowList,
    Renew {
        node: NodeId,
    },
    Tell {
        news: Vec<(NodeId, News)>,
    },
}

pub struct Engine {
    module: Router,
    phases: Phases,
    pub table: Table,
    pub counters: Counters,
    endings: VecDeque<Ending>,
    /// When hand-offs that are out are no longer waited for.
    stops: BTreeSet<(Nanos, PartId, HandOffNo)>,
    wake: Option<Nanos>,
    /// Ends are told to the module before a pull, not amid one.
    pulling: bool,
    /// Something was taken or has lapsed since the last pull began.
    fresh: bool,
}

impl Engine {
    /// `phases` says which use cases may be asked in two phases; their summaries of blocks take at most
    /// `sketch_bytes`.
    pub fn new(
        seed: u64,
        site: SiteFacts,
        phases: &[Option<PhaseFacts>],
        sketch_bytes: usize,
        now: Nanos,
    ) -> Engine {
        Engine {
            module: Router::new(seed, site, now),
            phases: Phases::new(now, phases, sketch_bytes),
            table: Table::default(),
            counters: Counters::default(),
            endings: VecDeque::new(),
            stops: BTreeSet::new(),
            wake: None,
            pulling: false,
            fresh: false,
        }
    }

    // ---- What is learned -------------------------------------------------------------------

    pub fn list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        self.module.list(kind, entries);
    }

    pub fn list_lost(&mut self, now: Nanos) {
        self.module.list_lost(now);
    }

    /// Adds a use case at the next free id, or replaces one; see [`Router::use_case`].
    pub fn use_case(&mut self, now: Nanos, id: UseCaseId, facts: &UseCaseFacts) {
        self.module.use_case(now, id, facts);
    }

    /// Takes a use case away; its id may be used again once nothing of it is open.
    pub fn retire(&mut self, id: UseCaseId) {
        self.module.retire(id);
    }

    /// This router's part of the further hand-offs that are free, from now on.
    pub fn slack(&mut self, free: f64) {
        self.module.slack(free);
    }

    /// From now on the work of this place is alike to that of all others in this group.
    pub fn group(&mut self, place: PlaceId, group: u32) {
        self.module.group(place, group);
    }

    /// Among how many routers limits are shared from now on.
    pub fn shared_by(&mut self, now: Nanos, routers: usize) {
        self.module.shared_by(now, routers);
    }

    pub fn told(&mut self, now: Nanos, from: PeerId, news: &[(NodeId, News)]) {
        self.module.told(now, from, news);
    }

    /// Takes a multiget whose client waits until `client_end`.
    pub fn take(&mut self, now: Nanos, asker: AskerId, client_end: Nanos, mut asked: Asked) -> MultigetId {
        let multiget = self.table.take(asker, client_end, &mut asked);
        self.counters.multigets_taken += 1;
        self.counters.multigets_repeated += u64::from(asked.repeat);
        self.counters.parts_taken += asked.parts.len() as u64;
        let second = asked.second.take().map(|second| self.begin(now, multiget, &mut asked, second));
        // A guess at the whole work is one only if there is one for each part.
        let add = |sum: Option<Nanos>, part: &AskedPart| Some(sum? + part.effort?);
        let arrival = Arrival {
            multiget,
            use_case: asked.use_case,
            customer: CustomerId(0),
            client_end,
            repeat: asked.repeat,
            effort: asked.parts.iter().fold(Some(Nanos(0)), add),
            second: second.flatten(),
        };
        self.module.take(now, &arrival);
        self.take_parts(now, multiget, 0, asked.parts.iter());
        self.fresh = true;
        multiget
    }

    fn take_parts<'a>(
        &mut self,
        now: Nanos,
        of: MultigetId,
        from: usize,
        parts: impl Iterator<Item = &'a AskedPart>,
    ) {
        for (index, part) in parts.enumerate() {
            let part = PartArrival {
                part: PartId { of, index: from + index },
                shard: part.shard,
                weight: part.weight,
                effort: part.effort,
            };
            self.module.take_part(now, &part);
        }
    }

    /// Begins the first of two phases; what the module is to know of the second comes back.
    fn begin(
        &mut self,
        now: Nanos,
        id: MultigetId,
        asked: &mut Asked,
        second: AskedSecond,
    ) -> Option<SecondFacts> {
        self.counters.phased_taken += 1;
        let block = |part: AskedPart| Block { shard: part.shard, weight: part.weight, effort: part.effort };
        let query = Query {
            use_case: asked.use_case,
            wait: asked.wait,
            asked: asked.parts.iter().map(|part| part.shard).collect(),
            blocks: second.parts.into_iter().map(block).collect(),
            terms: second.terms.iter().map(|term| print_of(term)).collect(),
        };
        let order = self.phases.begin(now, id, query);
        let place: HashMap<ShardId, usize> =
            order.into_iter().enumerate().map(|(place, shard)| (shard, place)).collect();
        asked.parts.sort_by_key(|part| place.get(&part.shard).copied());
        self.table.sort_parts(id, |part| place.get(&part.shard).copied());
        self.phases.expectation(now, id)
    }

    /// The client has gone; nothing more is owed.
    pub fn lapsed(&mut self, now: Nanos, multiget: MultigetId) {
        self.counters.lapsed += 1;
        self.fresh = true;
        self.module.lapsed(multiget);
        if let Some(held) = self.table.get(multiget).filter(|held| held.is_phased() && !held.over) {
            match held.is_opened() {
                false => self.counters.first_phase_lapsed += 1,
                true => self.counters.second_phase_lapsed += 1,
            }
            self.phases.over(now, multiget, held.second_ran());
        }
        self.table.over(multiget);
    }

    /// A node answered a hand-off with a value; empty where the host keeps values itself.
    pub fn answered(&mut self, now: Nanos, part: PartId, no: HandOffNo, value: String, report: LoadReport) {
        let is_out = self.table.is_out(part, no);
        let Some(state) = self.table.part_mut(part).filter(|_| is_out) else { return };
        let outcome = match state.of {
            PartOf::Match => self.matched(now, part, &value),
            PartOf::Plain | PartOf::Fetch => {
                state.answer(no, value);
                Outcome::Answered
            }
        };
        self.ended(now, part, no, outcome, report);
    }

    /// Takes a block's answer of a first phase. Guards against a fetch that is silently smaller: a value
    /// that cannot be read, or names what it may not, is a failed hand-off that may have run.
    fn matched(&mut self, now: Nanos, part: PartId, value: &str) -> Outcome {
        let Some(shard) = self.table.part(part).map(|part| part.shard) else { return Outcome::Error };
        let Ok(answer) = matches::read(value) else {
            self.counters.match_values_bad += 1;
            return Outcome::Error;
        };
        match self.phases.matched(part.of, shard, answer) {
            Ok(true) => {
                if let Some(facts) = self.phases.expectation(now, part.of) {
                    self.module.expect(part.of, facts);
                }
                Outcome::Answered
            }
            Ok(false) => {
                self.counters.match_answers_late += 1;
                Outcome::Answered
            }
            Err(_) => {
                self.counters.match_values_bad += 1;
                Outcome::Error
            }
        }
    }

    /// A hand-off ended in any other way. How it ended first counts.
    pub fn ended(&mut self, now: Nanos, part: PartId, no: HandOffNo, outcome: Outcome, report: LoadReport) {
        let Some(hand_off) = self.table.hand_off_mut(part, no).filter(|hand_off| !hand_off.over) else {
            return;
        };
        hand_off.over = true;
        let (node, sent, stop_at) = (hand_off.node, hand_off.sent, hand_off.stop_at);
        self.stops.remove(&(stop_at, part, no));
        if let Some(held) = self.table.get_mut(part.of) {
            held.out -= 1;
        }
        let count = match outcome {
            Outcome::Answered => &mut self.counters.outcome_answered,
            Outcome::Error => &mut self.counters.outcome_error,
            Outcome::TurnedAway => &mut self.counters.outcome_turned_away,
            Outcome::TimedOut => &mut self.counters.outcome_timed_out,
            Outcome::Unreachable => &mut self.counters.outcome_unreachable,
            Outcome::Broken => &mut self.counters.outcome_broken,
            Outcome::CalledOff => &mut self.counters.outcome_called_off,
            Outcome::NeverSent => &mut self.counters.outcome_never_sent,
        };
        *count += 1;
        self.endings.push_back(Ending { part, no, node, outcome, took: now - sent, report });
    }

    // ---- What is known ---------------------------------------------------------------------

    pub fn phases(&self) -> &Phases {
        &self.phases
    }

    // ---- What is to be done ----------------------------------------------------------------

    /// Whether there is something that the module has not been asked about.
    pub fn has_news(&self) -> bool {
        self.fresh || !self.endings.is_empty()
    }

    /// When to pull again without news.
    pub fn due(&self) -> Option<Nanos> {
        self.stops.first().map(|(at, _, _)| *at).into_iter().chain(self.wake).min()
    }

    /// The next order, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Order> {
        while !self.pulling {
            if let Some((at, part, no)) = self.stops.first().copied().filter(|(at, _, _)| *at <= now) {
                self.stops.remove(&(at, part, no));
                return Some(Order::Abandon { part, no, outcome: Outcome::TimedOut });
            }
            (self.pulling, self.fresh) = (true, false);
            self.wake = self.wake.filter(|at| *at > now);
            while let Some(ending) = self.endings.pop_front() {
                self.module.ended(now, &ending);
                self.table.forget(ending.part.of);
            }
        }
        while let Some(decision) = self.module.next(now) {
            if let Some(order) = self.carry_out(now, decision) {
                return Some(order);
            }
        }
        self.pulling = false;
        None
    }

    /// Carries out one decision; what is left of it for the host comes back.
    fn carry_out(&mut self, now: Nanos, decision: Decision) -> Option<Order> {
        match decision {
            Decision::HandOff { part, node, stop_at } => self.hand_off(now, part, node, stop_at),
            Decision::CallOff { part, no } => {
                self.counters.hand_offs_called_off += 1;
                Some(Order::Abandon { part, no, outcome: Outcome::CalledOff })
            }
            Decision::Settle { multiget, last: false, .. } => {
                self.open(now, multiget);
                None
            }
            Decision::Settle { multiget, whole, .. } => {
                let held = self.table.get(multiget)?;
                let found = held.parts.iter().filter_map(|part| Some((part.shard, part.value.clone()?)));
                let found: Vec<(ShardId, String)> = found.collect();
                let by = |(index, part): (usize, &PartState)| Some((index, part.answered_by?));
                let found_by = held.parts.iter().enumerate().filter_map(by).collect();
                let is_in = |shard| found.iter().any(|(found, _)| *found == shard);
                let blocks =
                    held.is_phased().then(|| self.phases.account(multiget, is_in).unwrap_or_default());
                self.end(now, multiget, Verdict::Settled { whole, found, found_by, blocks })
            }
            Decision::Dismiss { multiget, wait } => {
                self.end(now, multiget, Verdict::Dismissed { wait: Some(wait).filter(|wait| wait.0 > 0) })
            }
            Decision::BreakOff { multiget } => self.end(now, multiget, Verdict::BrokenOff),
            Decision::FollowList => Some(Order::FollowList),
            Decision::Renew { node } => Some(Order::Renew { node }),
            Decision::Tell { news } => Some(Order::Tell { news }),
            Decision::Wake { after } => {
                let at = now + after;
                self.wake = Some(self.wake.map_or(at, |set| set.min(at)));
                None
            }
        }
    }

    fn hand_off(&mut self, now: Nanos, part: PartId, node: NodeId, stop_at: Nanos) -> Option<Order> {
        let held = self.table.get_mut(part.of)?;
        let stop_at = if stop_at.0 == 0 { held.client_end } else { stop_at.min(held.client_end) };
        let hand_offs = &mut held.parts[part.index].hand_offs;
        let no = HandOffNo(hand_offs.len() as u32);
        hand_offs.push(HandOffState { node, sent: now, stop_at, over: false });
        held.out += 1;
        self.counters.hand_offs += 1;
        self.counters.hand_offs_further += u64::from(no.0 > 0);
        if stop_at <= now {
            self.ended(now, part, no, Outcome::NeverSent, LoadReport::default());
            return None;
        }
        self.stops.insert((stop_at, part, no));
        Some(Order::Send { part, no, node })
    }

    /// Opens the second phase with the blocks that the first one left, if any.
    fn open(&mut self, now: Nanos, multiget: MultigetId) {
        let Some(fetch) = self.phases.open(now, multiget) else { return };
        let Some(held) = self.table.get_mut(multiget) else { return };
        let from = held.open(fetch.blocks.iter().map(|block| block.shard));
        self.counters.phased_opened += 1;
        self.module.second(multiget, fetch.step);
        let part =
            |block: Block| AskedPart { shard: block.shard, weight: block.weight, effort: block.effort };
        let parts: Vec<AskedPart> = fetch.blocks.into_iter().map(part).collect();
        self.take_parts(now, multiget, from, parts.iter());
    }

    /// Gives the final answer, if one is still owed.
    fn end(&mut self, now: Nanos, multiget: MultigetId, verdict: Verdict) -> Option<Order> {
        let held = self.table.get(multiget).filter(|held| !held.over)?;
        let (asker, ended) = (held.asker, Engine::stage(held));
        if ended != Ended::Plain {
            self.count(&verdict, ended);
            self.phases.over(now, multiget, ended == Ended::SecondPhase { ran: true });
        }
        self.table.over(multiget);
        Some(Order::Answer { asker, verdict, ended })
    }

    fn stage(held: &Held) -> Ended {
        match (held.is_phased(), held.is_opened()) {
            (false, _) => Ended::Plain,
            (true, false) => Ended::FirstPhase,
            (true, true) => Ended::SecondPhase { ran: held.second_ran() },
        }
    }

    fn count(&mut self, verdict: &Verdict, ended: Ended) {
        let counters = &mut self.counters;
        match (verdict, ended) {
            (Verdict::Settled { whole, blocks, .. }, _) => {
                for (_, said) in blocks.iter().flatten() {
                    match said {
                        BlockState::Fetched => counters.blocks_fetched += 1,
                        BlockState::Pruned => counters.blocks_pruned += 1,
                        BlockState::Missing | BlockState::Unasked => counters.blocks_unasked += 1,
                    }
                }
                match whole {
                    true => counters.phased_whole += 1,
                    false => counters.phased_in_part += 1,
                }
            }
            (_, Ended::SecondPhase { ran: false }) => counters.second_phase_refused += 1,
            (_, Ended::SecondPhase { ran: true }) => counters.second_phase_failed += 1,
            _ => counters.first_phase_refused += 1,
        }
    }
}

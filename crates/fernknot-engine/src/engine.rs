//! The pull loop, and the carrying out of the module's decisions as far as that needs no socket.

use crate::counters::Counters;
use crate::table::{AskerId, HandOffState, Table};
use fernknot::decide::Router;
use fernknot::interface::*;
use fernknot_protocol::multiget::{Asked, AskedPart};
use std::collections::{BTreeSet, VecDeque};

/// The final answer to a multiget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Settled {
        whole: bool,
        /// The value of each part that is in.
        found: Vec<(ShardId, String)>,
    },
    /// Asking again is harmless, after this wait where there is one.
    Dismissed {
        wait: Option<Nanos>,
    },
    BrokenOff,
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
    },
    FollowList,
    HangUp {
        node: NodeId,
    },
    Renew {
        node: NodeId,
    },
    Tell {
        news: Vec<(NodeId, News)>,
    },
}

pub struct Engine {
    module: Router,
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
    pub fn new(seed: u64, site: SiteFacts, now: Nanos) -> Engine {
        Engine {
            module: Router::new(seed, site, now),
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

    pub fn told(&mut self, now: Nanos, from: PeerId, news: &[(NodeId, News)]) {
        self.module.told(now, from, news);
    }

    /// Takes a multiget whose client waits until `client_end`.
    pub fn take(&mut self, now: Nanos, asker: AskerId, client_end: Nanos, mut asked: Asked) -> MultigetId {
        let multiget = self.table.take(asker, client_end, &mut asked);
        self.counters.multigets_taken += 1;
        self.counters.multigets_repeated += u64::from(asked.repeat);
        self.counters.parts_taken += asked.parts.len() as u64;
        // A guess at the whole work is one only if there is one for each part.
        let add = |sum: Option<Nanos>, part: &AskedPart| Some(sum? + part.effort?);
        let arrival = Arrival {
            multiget,
            use_case: asked.use_case,
            customer: CustomerId(0),
            client_end,
            repeat: asked.repeat,
            effort: asked.parts.iter().fold(Some(Nanos(0)), add),
        };
        self.module.take(now, &arrival);
        for (index, part) in asked.parts.iter().enumerate() {
            let id = PartId { of: multiget, index };
            let arrival =
                PartArrival { part: id, shard: part.shard, weight: part.weight, effort: part.effort };
            self.module.take_part(now, &arrival);
        }
        self.fresh = true;
        multiget
    }

    /// The client has gone; nothing more is owed.
    pub fn lapsed(&mut self, now: Nanos, multiget: MultigetId) {
        self.counters.lapsed += 1;
        self.fresh = true;
        self.module.lapsed(now, multiget);
        self.table.over(multiget);
    }

    /// A node answered a hand-off with a value.
    pub fn answered(&mut self, now: Nanos, part: PartId, no: HandOffNo, value: String, report: LoadReport) {
        if let Some(held) = self.table.get_mut(part.of) {
            held.parts[part.index].value.get_or_insert(value);
        }
        self.ended(now, part, no, Outcome::Answered, report);
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
            Decision::Settle { multiget, whole, .. } => {
                let held = self.table.get(multiget)?;
                let found = held.parts.iter().filter_map(|part| Some((part.shard, part.value.clone()?)));
                let verdict = Verdict::Settled { whole, found: found.collect() };
                self.end(multiget, verdict)
            }
            Decision::Dismiss { multiget, wait } => {
                self.end(multiget, Verdict::Dismissed { wait: Some(wait).filter(|wait| wait.0 > 0) })
            }
            Decision::BreakOff { multiget } => self.end(multiget, Verdict::BrokenOff),
            Decision::FollowList => Some(Order::FollowList),
            Decision::HangUp { node } => Some(Order::HangUp { node }),
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

    /// Gives the final answer, if one is still owed.
    fn end(&mut self, multiget: MultigetId, verdict: Verdict) -> Option<Order> {
        let asker = self.table.get(multiget)?.asker;
        self.table.over(multiget).then_some(Order::Answer { asker, verdict })
    }
}

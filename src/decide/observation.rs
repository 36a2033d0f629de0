//! What is learned of nodes, attempts and other routers from what the host observes.

use super::*;

/// The widest ratio of sizes believed.
const WIDEST: f64 = 8.0;
/// How far hints are believed at first, and the spread of hints at which that weighs as much.
const HINT_TRUST: f64 = 0.5;
const HINT_PRIOR: f64 = 0.1;
/// Weight of one answer in the running estimate of how fast a replica works off what it holds.
const PACE_GAIN: f64 = 0.2;
/// The waits after calls for the list that failed, the first and the longest, in recomputations.
const ASK_WAIT: f64 = 0.25;
const ASK_MOST: f64 = 0.5;

impl Router {
    /// News of the list. What a full list leaves out is gone; what started anew is measured anew, and cold.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Full {
            self.nodes.values_mut().for_each(|node| node.health = Health::Gone);
        }
        self.ask_wait = 0.0;
        for entry in entries {
            let chance = &mut self.random;
            let mut fresh = || {
                let started = entry.since.0 > 0;
                let wait = if started { chance.share() } else { 0.0 };
                Node { cold_room: (-wait, entry.since), ..Node::new(entry, &self.bins) }
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
    pub fn list_failed(&mut self, now: Nanos) {
        let spread = 0.5 + self.random.share();
        self.ask_wait = (self.ask_wait * 2.0).clamp(ASK_WAIT, ASK_MOST);
        self.ask_at = self.must_ask.then_some(now + RECOMPUTE.times(self.ask_wait * spread));
    }

    /// A client asks for a multiget; its parts follow.
    pub fn multiget_arrived(&mut self, now: Nanos, arrival: &Arrival) {
        let Some(case) = self.use_cases.get_mut(arrival.use_case.0) else { return };
        let stretch = arrival.effort.unwrap_or_default().times(case.stretch);
        // The target of a repeat runs from the first try, which shows in what is left of its hard limit;
        // unmarked repeats show by that alone. Guards fresh work against repeats that are too late.
        let stay = arrival.client_end - now;
        case.stay = case.stay.max(stay);
        let cut = (arrival.repeat || self.unmarked) && stay + self.tick.times(4.0) < case.stay;
        let asked = if cut { now.min(arrival.client_end - case.hard_limit) } else { now };
        let end = |after: Nanos| (asked + after + stretch).min(arrival.client_end).max(now);
        let until = if case.late_share > 0.0 { arrival.client_end } else { end(case.latency_target) };
        let multiget = Multiget::new(arrival, end(case.latency_target), until);
        self.open.insert(arrival.multiget, multiget);
        self.budget_use.all.accepted.add(now, 1.0);
        self.touched.push_back(arrival.multiget);
        arrival.second.iter().for_each(|estimate| self.expect_second_phase(arrival.multiget, *estimate));
    }

    /// What is known by now of a second phase. The first has the target less what the second is likely
    /// to need, and ends at once when the second can for certain not be in time any more.
    pub fn expect_second_phase(&mut self, id: MultigetId, estimate: SecondPhaseEstimate) {
        let Some(multiget) = self.open.get_mut(&id).filter(|held| held.step_from == 0) else { return };
        let (aim_end, until) = multiget.whole_ends;
        (multiget.target_end, multiget.until) = (aim_end - estimate.needs, until - estimate.needs_least);
        multiget.second = Some(estimate);
        self.touched.push_back(id);
    }

    /// Opens the second phase of a multiget whose first one was settled; its parts follow.
    pub fn begin_second_phase(&mut self, id: MultigetId, step: SecondPhaseStart) {
        let Some(multiget) = self.open.get_mut(&id).filter(|held| held.step_from > 0) else { return };
        (multiget.opened, multiget.first_whole) = (Some(step), step.whole);
        self.touched.push_back(id);
    }

    /// How heavy a part is beside the average one.
    pub(super) fn size_of(&self, case: &UseCase, at: PlaceId, hint: Option<f64>) -> f64 {
        // By its hint, as far as hints have told latencies lately, or by the fastest answers of its use case.
        // Guards against taking heavy parts for a slow replica, and against hints that are rough or untrue.
        let measured = (case.latencies.fastest(FASTEST), self.groups.get(at).raw_latencies.fastest(FASTEST));
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

    /// One part of a multiget that has arrived, or of its second phase.
    pub fn part_arrived(&mut self, now: Nanos, arrival: &PartArrival) {
        let Some(use_case) = self.open.get(&arrival.part.multiget).map(|held| held.use_case) else { return };
        let hint = arrival.effort.map(|effort| (effort.0.max(1) as f64).ln());
        let size = self.size_of(&self.use_cases[use_case.0], self.place_of(arrival.shard), hint);
        let case = &mut self.use_cases[use_case.0];
        case.size.add(size, SIZE_GAIN);
        let Some(multiget) = self.open.get_mut(&arrival.part.multiget) else { return };
        // A first phase only asks.
        let effect = if multiget.second.is_some() { Effect::Idempotent } else { case.effect };
        let kind = (use_case, multiget.opened.is_some());
        multiget.parts.push(Part { hint, effect, kind, ..Part::new(arrival, use_case, size) });
        self.budget_use.accept(now, arrival.shard);
        if multiget.step().len() == 1 {
            self.touched.push_back(arrival.part.multiget);
        }
    }

    /// An attempt has ended; what comes of it later is ignored.
    pub fn attempt_ended(&mut self, now: Nanos, ending: &Ending) {
        self.load_reported(ending.node, ending.report);
        let Some(multiget) = self.open.get_mut(&ending.part.multiget) else { return };
        let Some(part) = multiget.parts.get_mut(ending.part.index) else { return };
        let Some(sent) = part.attempts.get_mut(ending.number.0 as usize) else { return };
        if sent.outcome.replace(ending.outcome).is_some() {
            return;
        }
        let sent = sent.clone();
        part.answered |= ending.outcome == Outcome::Answered && !part.given_up && !multiget.ended;
        self.touched.push_back(ending.part.multiget);
        let Some(node) = self.nodes.get_mut(&sent.node) else { return };
        node.out.remove(&(sent.sent, ending.part, ending.number.0 as usize));
        let group = self.groups.get_mut(node.place);
        let failed = ending.outcome != Outcome::Answered;
        if !matches!(ending.outcome, Outcome::Cancelled | Outcome::NeverSent) {
            // A replica that fails fast would look quick if only answers were measured; one that
            // fails some kind of work alone would look well if all kinds were counted together.
            let kind = node.kinds.entry(part.kind).or_default();
            // Late is not never here either.
            if sent.missed && part.kind.1 && !failed {
                kind.take_failure();
            }
            kind.add(failed);
            node.failures.add(failed);
            group.failures.add(failed);
        }
        if !failed {
            let took = ending.took.0 as f64;
            node.answered_to = node.answered_to.max(sent.sent);
            node.served.add(now, part.size);
            // Late is not never: an answer takes back the miss counted while it was awaited.
            for latencies in [&mut node.latencies, &mut group.latencies] {
                if sent.missed {
                    latencies.take_miss();
                }
                latencies.add(took / part.size);
            }
            group.raw_latencies.add(took);
            if let Some(hint) = part.hint {
                self.hints.add(hint, took.max(1.0).ln(), SIZE_GAIN);
            }
            self.use_cases[multiget.use_case.0].latencies.add(took);
            group.pace.add(took / sent.queue_ahead, PACE_GAIN);
            node.pace.add_from(group.pace.get(), took / sent.queue_ahead, PACE_GAIN);
        }
        if !matches!(ending.outcome, Outcome::Cancelled | Outcome::NeverSent) {
            self.notify(now, sent.node, if failed { Update::Failed } else { Update::Answered(ending.took) });
        }
    }

    /// A node's own account of its load, with an outcome or a probe's result.
    pub fn load_reported(&mut self, node: NodeId, report: LoadReport) {
        let node = self.nodes.get_mut(&node).into_iter();
        node.for_each(|node| node.busy_share = report.busy_share.or(node.busy_share));
    }

    /// What another router tells of its attempts: as good as our own for how a replica does and
    /// how much it holds. Guards routers that each see little of a node against sending it too much.
    pub fn apply_updates(&mut self, now: Nanos, from: PeerId, updates: &[(NodeId, Update)]) {
        let lost_before = now - self.shortest_goal;
        for (id, what) in updates {
            let Some(node) = self.nodes.get_mut(id) else { continue };
            node.others.retain(|(_, sent, _)| *sent >= lost_before);
            let ahead = node.holds(lost_before) + 1.0;
            let sent = node.others.iter().position(|(by, _, _)| *by == from);
            match (*what, sent) {
                (Update::Sent, _) => node.others.push((from, now, ahead)),
                // Late is not lost: it stays work in flight until it has been out a target.
                (Update::Overdue, _) => node.latencies.add_miss(),
                (_, sent) => {
                    let sent = sent.map(|index| node.others.remove(index));
                    node.failures.add(*what == Update::Failed);
                    if let Update::Answered(took) = *what {
                        node.latencies.add(took.0 as f64);
                        let pace = sent.map(|(_, _, ahead)| took.0 as f64 / ahead);
                        let usual = self.groups.get(node.place).pace.get();
                        pace.iter().for_each(|pace| node.pace.add_from(usual, *pace, PACE_GAIN));
                    }
                }
            }
        }
    }

    /// Among how many routers limits are shared from now on.
    pub fn set_router_count(&mut self, now: Nanos, routers: usize) {
        let grown = self.router_count / routers.max(1) as f64;
        self.router_count = routers.max(1) as f64;
        self.shares.iter_mut().for_each(|share| share.scale(now, grown));
        // What fewer routers were answered is more than the part of each of many. Guards cold replicas
        // against routers that come back; where some are lost, what others are answered grows by itself.
        self.bears.scale(grown.min(1.0));
    }

    pub(super) fn notify(&mut self, now: Nanos, node: NodeId, what: Update) {
        if self.peers {
            self.updates.push((node, what));
            let wait = self.shortest_goal.times(if what == Update::Sent { 0.0 } else { DELAY_STEP });
            self.notify_at = Some(self.notify_at.map_or(now + wait, |at| at.min(now + wait)));
        }
    }

    /// The client has gone; nothing more is owed.
    pub fn client_gone(&mut self, id: MultigetId) {
        if self.open.get(&id).is_some_and(|held| !held.ended) {
            self.end(id);
        }
    }
}

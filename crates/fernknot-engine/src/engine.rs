//! The pull loop, and the carrying out of the decision module's decisions as far as that needs no socket.

use crate::action::{Action, Verdict};
use crate::counters::Counters;
use crate::multiget::RequesterId;
use crate::part::{AttemptState, PartState, Phase};
use crate::table::MultigetTable;
use fernknot::decide::Router;
use fernknot::interface::{
    Arrival, AttemptEnd, AttemptNumber, CustomerId, Decision, ListKind, LoadReport, MultigetId, Nanos,
    NodeEntry, NodeId, Outcome, PartArrival, PartId, PeerId, PlaceId, SiteSettings, Update, UseCaseId,
    UseCaseSettings,
};
use fernknot_protocol::multiget::{MultigetRequest, RequestedPart};
use fernknot_router_config::TwoPhaseSettings;
use fernknot_two_phase::TwoPhasePlanner;
use std::collections::{BTreeSet, VecDeque};

/// One query router without sockets or a clock.
pub struct Engine {
    pub(crate) decisions: Router,
    pub(crate) phases: TwoPhasePlanner,
    /// The multigets in flight.
    pub table: MultigetTable,
    /// What has been done since the start.
    pub counters: Counters,
    /// Attempts that ended, which the decision module has not been given yet.
    endings: VecDeque<AttemptEnd>,
    /// When attempts in flight are no longer waited for.
    attempt_deadlines: BTreeSet<(Nanos, PartId, AttemptNumber)>,
    wake_at: Option<Nanos>,
    /// Ends are given to the decision module before a pull, not amid one.
    is_pulling: bool,
    /// A multiget was taken or has lapsed since the last pull began.
    has_input: bool,
}

impl Engine {
    /// `phases` says which use cases may be asked in two phases; their summaries of blocks take at most
    /// `sketch_bytes`.
    pub fn new(
        seed: u64,
        site: SiteSettings,
        phases: &[Option<TwoPhaseSettings>],
        sketch_bytes: usize,
        now: Nanos,
    ) -> Engine {
        Engine {
            decisions: Router::new(seed, site, now),
            phases: TwoPhasePlanner::new(now, phases, sketch_bytes),
            table: MultigetTable::default(),
            counters: Counters::default(),
            endings: VecDeque::new(),
            attempt_deadlines: BTreeSet::new(),
            wake_at: None,
            is_pulling: false,
            has_input: false,
        }
    }

    // ---- Inputs on nodes, peers and the configuration --------------------------------------

    /// A list of nodes, or changes to it.
    pub fn list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        self.decisions.apply_list(kind, entries);
    }

    /// The list of nodes can no longer be followed.
    pub fn list_lost(&mut self, now: Nanos) {
        self.decisions.list_failed(now);
    }

    /// Adds a use case at the next free id, or replaces one; see [`Router::set_use_case`].
    pub fn use_case(&mut self, now: Nanos, id: UseCaseId, settings: &UseCaseSettings) {
        self.decisions.set_use_case(now, id, settings);
    }

    /// Removes a use case; its id may be used again once nothing of it is open.
    pub fn retire(&mut self, id: UseCaseId) {
        self.decisions.remove_use_case(id);
    }

    /// This router's part of the retries that are free, from now on.
    pub fn set_free_retries(&mut self, free: f64) {
        self.decisions.set_free_retries(free);
    }

    /// From now on the work of this place is alike to that of all others in this group.
    pub fn group(&mut self, place: PlaceId, group: u32) {
        self.decisions.set_group(place, group);
    }

    /// Among how many routers limits are shared from now on.
    pub fn set_sharing_routers(&mut self, now: Nanos, routers: usize) {
        self.decisions.set_router_count(now, routers);
    }

    /// What a peer reports of its attempts, by their nodes.
    pub fn apply_peer_updates(&mut self, now: Nanos, from: PeerId, updates: &[(NodeId, Update)]) {
        self.decisions.apply_updates(now, from, updates);
    }

    // ---- Inputs on multigets ---------------------------------------------------------------

    /// Takes a multiget whose client waits until `client_end`.
    pub fn take(
        &mut self,
        now: Nanos,
        asker: RequesterId,
        client_end: Nanos,
        mut asked: MultigetRequest,
    ) -> MultigetId {
        let multiget = self.table.take(asker, client_end, &mut asked);
        self.counters.multigets_taken += 1;
        self.counters.multigets_repeated += u64::from(asked.is_retry);
        self.counters.parts_taken += asked.parts.len() as u64;
        let second = asked.second.take();
        let second = second.and_then(|second| self.begin_phases(now, multiget, &mut asked, second));
        let arrival = Arrival {
            multiget,
            use_case: asked.use_case,
            customer: CustomerId(0),
            client_deadline: client_end,
            is_retry: asked.is_retry,
            effort: total_effort(&asked.parts),
            second_phase: second,
        };
        self.decisions.multiget_arrived(now, &arrival);
        self.take_parts(now, multiget, 0, asked.parts.iter());
        self.has_input = true;
        multiget
    }

    pub(crate) fn take_parts<'a>(
        &mut self,
        now: Nanos,
        of: MultigetId,
        first_index: usize,
        parts: impl Iterator<Item = &'a RequestedPart>,
    ) {
        for (index, part) in parts.enumerate() {
            let part = PartArrival {
                part: PartId { multiget: of, index: first_index + index },
                shard: part.shard,
                weight: part.weight,
                effort: part.effort,
            };
            self.decisions.part_arrived(now, &part);
        }
    }

    /// The client has gone; nothing more is owed.
    pub fn client_gone(&mut self, now: Nanos, multiget: MultigetId) {
        self.counters.lapsed += 1;
        self.has_input = true;
        self.decisions.client_gone(multiget);
        self.phases_lapsed(now, multiget);
        self.table.over(multiget);
    }

    /// A node answered an attempt with a value; empty where the host keeps values itself.
    pub fn answered(
        &mut self,
        now: Nanos,
        part: PartId,
        no: AttemptNumber,
        value: String,
        report: LoadReport,
    ) {
        let is_out = self.table.is_out(part, no);
        let Some(state) = self.table.part_mut(part).filter(|_| is_out) else { return };
        let outcome = match state.phase {
            Phase::Match => self.matched(now, part, &value),
            Phase::Plain | Phase::Fetch => {
                state.answer(no, value);
                Outcome::Answered
            }
        };
        self.ended(now, part, no, outcome, report);
    }

    /// An attempt ended in any other way. How it ended first counts.
    pub fn ended(
        &mut self,
        now: Nanos,
        part: PartId,
        no: AttemptNumber,
        outcome: Outcome,
        report: LoadReport,
    ) {
        let Some(attempt) = self.table.attempt_mut(part, no).filter(|attempt| !attempt.is_over) else {
            return;
        };
        attempt.is_over = true;
        let (node, sent, stop_at) = (attempt.node, attempt.sent, attempt.stop_at);
        self.attempt_deadlines.remove(&(stop_at, part, no));
        if let Some(multiget) = self.table.get_mut(part.multiget) {
            multiget.in_flight -= 1;
        }
        *self.outcome_counter(outcome) += 1;
        self.endings.push_back(AttemptEnd { part, number: no, node, outcome, duration: now - sent, report });
    }

    fn outcome_counter(&mut self, outcome: Outcome) -> &mut u64 {
        let counters = &mut self.counters;
        match outcome {
            Outcome::Answered => &mut counters.outcome_answered,
            Outcome::Error => &mut counters.outcome_error,
            Outcome::Rejected => &mut counters.outcome_turned_away,
            Outcome::TimedOut => &mut counters.outcome_timed_out,
            Outcome::Unreachable => &mut counters.outcome_unreachable,
            Outcome::Invalid => &mut counters.outcome_broken,
            Outcome::Cancelled => &mut counters.outcome_called_off,
            Outcome::NeverSent => &mut counters.outcome_never_sent,
        }
    }

    // ---- State -----------------------------------------------------------------------------

    /// The queries in two phases.
    pub fn phases(&self) -> &TwoPhasePlanner {
        &self.phases
    }

    /// Whether there is an input that the decision module has not been asked about.
    pub fn has_input(&self) -> bool {
        self.has_input || !self.endings.is_empty()
    }

    /// When to pull again without an input.
    pub fn next_due(&self) -> Option<Nanos> {
        let deadline = self.attempt_deadlines.first().map(|(at, _, _)| *at);
        deadline.into_iter().chain(self.wake_at).min()
    }

    // ---- Actions ---------------------------------------------------------------------------

    /// The next action, until there is none.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if !self.is_pulling {
            if let Some(action) = self.next_timeout(now) {
                return Some(action);
            }
            self.begin_pull(now);
        }
        while let Some(decision) = self.decisions.poll_decision(now) {
            if let Some(action) = self.carry_out(now, decision) {
                return Some(action);
            }
        }
        self.is_pulling = false;
        None
    }

    fn next_timeout(&mut self, now: Nanos) -> Option<Action> {
        let (at, part, no) = self.attempt_deadlines.first().copied().filter(|(at, _, _)| *at <= now)?;
        self.attempt_deadlines.remove(&(at, part, no));
        Some(Action::Cancel { part, no, outcome: Outcome::TimedOut })
    }

    fn begin_pull(&mut self, now: Nanos) {
        (self.is_pulling, self.has_input) = (true, false);
        self.wake_at = self.wake_at.filter(|at| *at > now);
        while let Some(ending) = self.endings.pop_front() {
            self.decisions.attempt_ended(now, &ending);
            self.table.forget(ending.part.multiget);
        }
    }

    /// Carries out one decision; what is left of it for the host comes back.
    fn carry_out(&mut self, now: Nanos, decision: Decision) -> Option<Action> {
        match decision {
            Decision::SendAttempt { part, node, stop_at } => self.start_attempt(now, part, node, stop_at),
            Decision::CancelAttempt { part, number: no } => {
                self.counters.hand_offs_called_off += 1;
                Some(Action::Cancel { part, no, outcome: Outcome::Cancelled })
            }
            Decision::Complete { multiget, is_final: false, .. } => {
                self.open_second_phase(now, multiget);
                None
            }
            Decision::Complete { multiget, is_complete: whole, .. } => {
                let verdict = self.found(multiget, whole)?;
                self.answer(now, multiget, verdict)
            }
            Decision::Reject { multiget, retry_after: wait } => {
                let wait = Some(wait).filter(|wait| wait.0 > 0);
                self.answer(now, multiget, Verdict::Rejected { retry_after: wait })
            }
            Decision::Abort { multiget } => self.answer(now, multiget, Verdict::Failed),
            Decision::RequestList => Some(Action::FollowList),
            Decision::RenewConnections { node } => Some(Action::RenewConnections { node }),
            Decision::NotifyPeers { updates } => Some(Action::NotifyPeers { updates }),
            Decision::Wake { after } => {
                let at = now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
                None
            }
        }
    }

    fn start_attempt(&mut self, now: Nanos, part: PartId, node: NodeId, stop_at: Nanos) -> Option<Action> {
        let multiget = self.table.get_mut(part.multiget)?;
        let stop_at = if stop_at.0 == 0 { multiget.client_end } else { stop_at.min(multiget.client_end) };
        let attempts = &mut multiget.parts[part.index].attempts;
        let no = AttemptNumber(attempts.len() as u32);
        attempts.push(AttemptState { node, sent: now, stop_at, is_over: false });
        multiget.in_flight += 1;
        self.counters.hand_offs += 1;
        self.counters.hand_offs_further += u64::from(no.0 > 0);
        if stop_at <= now {
            self.ended(now, part, no, Outcome::NeverSent, LoadReport::default());
            return None;
        }
        self.attempt_deadlines.insert((stop_at, part, no));
        Some(Action::Send { part, no, node })
    }

    /// The answer from the parts that are in.
    fn found(&self, id: MultigetId, whole: bool) -> Option<Verdict> {
        let multiget = self.table.get(id)?;
        let found = multiget.parts.iter().filter_map(|part| Some((part.shard, part.value.clone()?)));
        let found: Vec<_> = found.collect();
        let answered_by = |(index, part): (usize, &PartState)| Some((index, part.answered_by?));
        let found_by = multiget.parts.iter().enumerate().filter_map(answered_by).collect();
        let is_found = |shard| found.iter().any(|(found, _)| *found == shard);
        let blocks =
            multiget.is_phased().then(|| self.phases.block_outcomes(id, is_found).unwrap_or_default());
        Some(Verdict::Completed { is_complete: whole, found, found_by, blocks })
    }

    /// Gives the final answer, if one is still owed.
    fn answer(&mut self, now: Nanos, multiget: MultigetId, verdict: Verdict) -> Option<Action> {
        let state = self.table.get(multiget).filter(|state| !state.is_over)?;
        let (asker, ended) = (state.asker, state.stage());
        if state.is_phased() {
            self.phases_answered(now, multiget, &verdict, ended);
        }
        self.table.over(multiget);
        Some(Action::Answer { asker, verdict, ended })
    }
}

/// The work of all parts; none if it is unknown for any, as a guess at the whole is one only if there is one for each.
fn total_effort(parts: &[RequestedPart]) -> Option<Nanos> {
    parts.iter().try_fold(Nanos(0), |sum, part| Some(sum + part.effort?))
}

//! Inputs to the decision module, and the execution of its decisions as far as that needs no socket.

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
    pub(crate) planner: TwoPhasePlanner,
    /// Multigets in flight.
    pub table: MultigetTable,
    /// Counters since the start.
    pub counters: Counters,
    /// Ended attempts that have not been reported to the decision module yet; the next poll reports them.
    endings: VecDeque<AttemptEnd>,
    /// Deadlines of the attempts in flight, earliest first. Those whose time-out was returned as an action are left
    /// out.
    attempt_deadlines: BTreeSet<(Nanos, PartId, AttemptNumber)>,
    wake_at: Option<Nanos>,
    /// Whether a poll has begun and not yet returned `None`. Ended attempts are reported to the decision module before
    /// a poll begins, not during one.
    is_polling: bool,
    /// Whether a multiget was submitted or its client has gone since the last poll began.
    has_input: bool,
}

impl Engine {
    /// Returns an engine without nodes. `two_phase_settings` has one entry for each use case, `None` where its queries
    /// run in one phase. The cached term filters, each the approximate set of the terms in a block, take at most
    /// `max_filter_bytes`.
    pub fn new(
        seed: u64,
        site: SiteSettings,
        two_phase_settings: &[Option<TwoPhaseSettings>],
        max_filter_bytes: usize,
        now: Nanos,
    ) -> Engine {
        Engine {
            decisions: Router::new(seed, site, now),
            planner: TwoPhasePlanner::new(now, two_phase_settings, max_filter_bytes),
            table: MultigetTable::default(),
            counters: Counters::default(),
            endings: VecDeque::new(),
            attempt_deadlines: BTreeSet::new(),
            wake_at: None,
            is_polling: false,
            has_input: false,
        }
    }

    // ---- Inputs on nodes, peers and the configuration --------------------------------------

    /// Applies a list of nodes, or changes to it.
    pub fn apply_node_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        self.decisions.apply_list(kind, entries);
    }

    /// Reports that changes of the node list can no longer be received. If changes have to be requested
    /// (`SiteSettings::list_changes_on_request`), an [`Action::SubscribeToNodeList`] follows after a random wait.
    pub fn node_list_lost(&mut self, now: Nanos) {
        self.decisions.list_failed(now);
    }

    /// Adds a use case at the next free id, or replaces one; see [`Router::set_use_case`].
    pub fn set_use_case(&mut self, now: Nanos, id: UseCaseId, settings: &UseCaseSettings) {
        self.decisions.set_use_case(now, id, settings);
    }

    /// Removes a use case. Its id may be reused once no multiget of the use case is in flight.
    pub fn remove_use_case(&mut self, id: UseCaseId) {
        self.decisions.remove_use_case(id);
    }

    /// Sets this router's share of the free retries, those that the retry budget allows without any accepted part.
    pub fn set_free_retries(&mut self, free: f64) {
        self.decisions.set_free_retries(free);
    }

    /// Assigns a place (a set of replicas of the same shards) to a group of places with similar work per part, which
    /// share statistics.
    pub fn set_place_group(&mut self, place: PlaceId, group: u32) {
        self.decisions.set_group(place, group);
    }

    /// Sets the number of routers that share the customers' quotas, this one included.
    pub fn set_sharing_routers(&mut self, now: Nanos, routers: usize) {
        self.decisions.set_router_count(now, routers);
    }

    /// Applies the updates of a peer, another router, on its attempts: nodes, and what happened to an attempt there.
    pub fn apply_peer_updates(&mut self, now: Nanos, from: PeerId, updates: &[(NodeId, Update)]) {
        self.decisions.apply_updates(now, from, updates);
    }

    // ---- Inputs on multigets ---------------------------------------------------------------

    /// Accepts a multiget whose client waits until `client_deadline`.
    pub fn submit(
        &mut self,
        now: Nanos,
        requester: RequesterId,
        client_deadline: Nanos,
        mut request: MultigetRequest,
    ) -> MultigetId {
        let multiget = self.table.insert(requester, client_deadline, &mut request);
        self.counters.multigets_taken += 1;
        self.counters.multigets_repeated += u64::from(request.is_retry);
        self.counters.parts_taken += request.parts.len() as u64;
        let second = request.second_phase.take();
        let second = second.and_then(|second| self.begin_first_phase(now, multiget, &mut request, second));
        let arrival = Arrival {
            multiget,
            use_case: request.use_case,
            customer: CustomerId(0),
            client_deadline,
            is_retry: request.is_retry,
            effort: total_effort(&request.parts),
            second_phase: second,
        };
        self.decisions.multiget_arrived(now, &arrival);
        self.add_parts(now, multiget, 0, request.parts.iter());
        self.has_input = true;
        multiget
    }

    pub(crate) fn add_parts<'a>(
        &mut self,
        now: Nanos,
        multiget: MultigetId,
        first_index: usize,
        parts: impl Iterator<Item = &'a RequestedPart>,
    ) {
        for (index, part) in parts.enumerate() {
            let part = PartArrival {
                part: PartId { multiget, index: first_index + index },
                shard: part.shard,
                weight: part.weight,
                effort: part.effort,
            };
            self.decisions.part_arrived(now, &part);
        }
    }

    /// Reports that the client of a multiget has gone, so that no answer is sent.
    pub fn client_gone(&mut self, now: Nanos, multiget: MultigetId) {
        self.counters.lapsed += 1;
        self.has_input = true;
        self.decisions.client_gone(multiget);
        self.finish_abandoned_query(now, multiget);
        self.table.mark_over(multiget);
    }

    /// Reports that the request of an attempt in flight was written, or its connection started, only now: the time since
    /// the decision to send it is the host's, not the node's.
    pub fn attempt_written(&mut self, now: Nanos, part: PartId, number: AttemptNumber) {
        let attempt = self.table.attempt_mut(part, number).filter(|attempt| !attempt.is_over);
        if let Some(attempt) = attempt {
            attempt.sent_at = now;
            self.decisions.attempt_written(now, part, number);
        }
    }

    /// Reports the answer of a node to an attempt; it is ignored if the attempt is unknown or has ended. The value is
    /// empty where the host keeps values itself.
    pub fn attempt_answered(
        &mut self,
        now: Nanos,
        part: PartId,
        number: AttemptNumber,
        value: String,
        report: LoadReport,
    ) {
        let is_in_flight = self.table.is_attempt_in_flight(part, number);
        let Some(state) = self.table.part_mut(part).filter(|_| is_in_flight) else { return };
        let outcome = match state.phase {
            Phase::Match => self.record_match_answer(now, part, &value),
            Phase::Plain | Phase::Fetch => {
                state.record_answer(number, value);
                Outcome::Answered
            }
        };
        self.attempt_ended(now, part, number, outcome, report);
    }

    /// Reports the end of an attempt, for a host mostly one without an answer. Later reports on the same attempt are
    /// ignored.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        part: PartId,
        number: AttemptNumber,
        outcome: Outcome,
        report: LoadReport,
    ) {
        let Some(attempt) = self.table.attempt_mut(part, number).filter(|attempt| !attempt.is_over) else {
            return;
        };
        attempt.is_over = true;
        let (node, sent_at, deadline) = (attempt.node, attempt.sent_at, attempt.deadline);
        self.attempt_deadlines.remove(&(deadline, part, number));
        if let Some(multiget) = self.table.get_mut(part.multiget) {
            multiget.in_flight -= 1;
        }
        *self.outcome_counter(outcome) += 1;
        self.endings.push_back(AttemptEnd { part, number, node, outcome, duration: now - sent_at, report });
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

    /// Returns the planner of queries in two phases.
    pub fn two_phase_planner(&self) -> &TwoPhasePlanner {
        &self.planner
    }

    /// Whether a multiget was submitted, its client has gone or an attempt has ended since the last poll began, so
    /// that actions may be due. Other inputs don't count.
    pub fn has_input(&self) -> bool {
        self.has_input || !self.endings.is_empty()
    }

    /// Returns the time at which to poll again if there is no input before.
    pub fn next_due(&self) -> Option<Nanos> {
        let deadline = self.attempt_deadlines.first().map(|(at, _, _)| *at);
        deadline.into_iter().chain(self.wake_at).min()
    }

    // ---- Actions ---------------------------------------------------------------------------

    /// Returns the next action; `None` once there is nothing left to do.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if !self.is_polling {
            if let Some(action) = self.next_timeout(now) {
                return Some(action);
            }
            self.begin_poll(now);
        }
        while let Some(decision) = self.decisions.poll_decision(now) {
            if let Some(action) = self.carry_out(now, decision) {
                return Some(action);
            }
        }
        self.is_polling = false;
        None
    }

    /// Returns the action that cancels an attempt whose deadline has passed, if any.
    fn next_timeout(&mut self, now: Nanos) -> Option<Action> {
        let (at, part, number) = self.attempt_deadlines.first().copied().filter(|(at, _, _)| *at <= now)?;
        self.attempt_deadlines.remove(&(at, part, number));
        Some(Action::Cancel { part, number, outcome: Outcome::TimedOut })
    }

    fn begin_poll(&mut self, now: Nanos) {
        (self.is_polling, self.has_input) = (true, false);
        self.wake_at = self.wake_at.filter(|at| *at > now);
        while let Some(ending) = self.endings.pop_front() {
            self.decisions.attempt_ended(now, &ending);
            self.table.remove_if_done(ending.part.multiget);
        }
    }

    /// Carries out a decision. Returns the action that is left to the host, if any.
    fn carry_out(&mut self, now: Nanos, decision: Decision) -> Option<Action> {
        match decision {
            Decision::SendAttempt { part, node, stop_at } => self.start_attempt(now, part, node, stop_at),
            Decision::CancelAttempt { part, number } => {
                self.counters.hand_offs_called_off += 1;
                Some(Action::Cancel { part, number, outcome: Outcome::Cancelled })
            }
            Decision::Complete { multiget, is_final: false, .. } => {
                self.open_second_phase(now, multiget);
                None
            }
            Decision::Complete { multiget, is_complete, .. } => {
                let verdict = self.completed_verdict(multiget, is_complete)?;
                self.answer(now, multiget, verdict)
            }
            Decision::Reject { multiget, retry_after } => {
                let retry_after = Some(retry_after).filter(|wait| wait.0 > 0);
                self.answer(now, multiget, Verdict::Rejected { retry_after })
            }
            Decision::Abort { multiget } => self.answer(now, multiget, Verdict::Failed),
            Decision::RequestList => Some(Action::SubscribeToNodeList),
            Decision::RenewConnections { node } => Some(Action::RenewConnections { node }),
            Decision::NotifyPeers { updates } => Some(Action::NotifyPeers { updates }),
            Decision::Wake { after } => {
                let at = now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
                None
            }
        }
    }

    /// Starts an attempt. A `stop_at` of 0 stands for the client's deadline. An attempt whose deadline has passed ends at
    /// once as never sent.
    fn start_attempt(&mut self, now: Nanos, part: PartId, node: NodeId, stop_at: Nanos) -> Option<Action> {
        let multiget = self.table.get_mut(part.multiget)?;
        let deadline =
            if stop_at.0 == 0 { multiget.client_deadline } else { stop_at.min(multiget.client_deadline) };
        let attempts = &mut multiget.parts[part.index].attempts;
        let number = AttemptNumber(attempts.len() as u32);
        attempts.push(AttemptState { node, sent_at: now, deadline, is_over: false });
        multiget.in_flight += 1;
        self.counters.hand_offs += 1;
        self.counters.hand_offs_further += u64::from(number.0 > 0);
        if deadline <= now {
            self.attempt_ended(now, part, number, Outcome::NeverSent, LoadReport::default());
            return None;
        }
        self.attempt_deadlines.insert((deadline, part, number));
        Some(Action::Send { part, number, node })
    }

    /// Returns the final answer that consists of the answered parts; `None` if the multiget is unknown.
    fn completed_verdict(&self, id: MultigetId, is_complete: bool) -> Option<Verdict> {
        let multiget = self.table.get(id)?;
        let values = multiget.parts.iter().filter_map(|part| Some((part.shard, part.value.clone()?)));
        let values: Vec<_> = values.collect();
        let attempt_of = |(index, part): (usize, &PartState)| Some((index, part.answered_by?));
        let answered_by = multiget.parts.iter().enumerate().filter_map(attempt_of).collect();
        let has_value = |shard| values.iter().any(|(answered, _)| *answered == shard);
        let blocks =
            multiget.is_two_phase().then(|| self.planner.block_outcomes(id, has_value).unwrap_or_default());
        Some(Verdict::Completed { is_complete, values, answered_by, blocks })
    }

    /// Returns the action that sends the final answer; `None` if the multiget has one already or its client has gone.
    fn answer(&mut self, now: Nanos, multiget: MultigetId, verdict: Verdict) -> Option<Action> {
        let state = self.table.get(multiget).filter(|state| !state.is_over)?;
        let (requester, stage) = (state.requester, state.stage());
        if state.is_two_phase() {
            self.finish_answered_query(now, multiget, &verdict, stage);
        }
        self.table.mark_over(multiget);
        Some(Action::Answer { requester, verdict, stage })
    }
}

/// Sum of the expected work of all parts; `None` if that of any part is unknown, because the sum would be too small.
fn total_effort(parts: &[RequestedPart]) -> Option<Nanos> {
    parts.iter().try_fold(Nanos(0), |sum, part| Some(sum + part.effort?))
}

//! How a view is changed: who belongs to the next, and the ballots among those who vote on it.
//! Stop: a majority of the last view's voters promises and tells what it holds. Trim: the newest
//! state that any of them holds, or what may have been chosen before. Install: first on the disks
//! of those who join, then on those of the voters.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, MAX_MEMBERS, MAX_VIEW_STARTS, Peer, is_member, is_same_member, voters};

/// Candidates for the next view that are weighed, at most.
const MAX_CANDIDATES: usize = 12;

/// What a next view would be and begin with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NextView {
    chosen: ChosenView,
    revision: Revision,
    state: Arc<[u8]>,
    /// Taken over from another ballot: it may have been chosen.
    adopted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Prepare,
    /// On the disks of those who join, before anybody's vote binds: else a view could be chosen
    /// that too few have.
    Join,
    Accept,
}

/// An attempt of this member to change the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewChangeAttempt {
    proposal: ProposalNumber,
    phase: Phase,
    phase_started_at: Nanos,
    retry_at: Nanos,
    backoff: Nanos,
    majority_reached_at: Option<Nanos>,
    /// By place among the voters: who answered, and the newest it holds.
    prepared: BTreeMap<usize, (Member, Option<Revision>)>,
    latest_state: Option<(Revision, Arc<[u8]>)>,
    highest_accepted: Option<(ProposalNumber, NextView)>,
    next_view: Option<NextView>,
    accepted: BTreeMap<MemberId, Member>,
    chosen_at: Option<Nanos>,
    former_members_asked: bool,
    straggler_timeout: Nanos,
}

impl ViewChangeAttempt {
    pub(crate) fn next_deadline(&self) -> Nanos {
        let grace = self
            .majority_reached_at
            .map(|at| at + self.straggler_timeout)
            .filter(|_| self.phase == Phase::Prepare);
        grace.map_or(self.retry_at, |at| at.min(self.retry_at))
    }
}

fn voter_index(view: &View, who: &Member) -> Option<usize> {
    voters(view).position(|seat| is_same_member(view.number, seat, who))
}

impl Consensus {
    // Who belongs to the next view.

    /// Well and in touch, so that a view with it could take changes.
    fn is_eligible(&self, peer: &Peer) -> bool {
        self.is_reachable(peer)
            && peer.heartbeat.disk_healthy
            && peer.excluded_until <= self.now
            && !self.recovers_too_long(peer)
            && !self.is_replaced(&peer.heartbeat.sender)
    }

    /// The largest set that has this member in it and in which all are in touch with all. `from`:
    /// of the last view only those, where given.
    fn plan_members(&self, from: Option<&BTreeSet<MemberId>>) -> Vec<Member> {
        let view = &self.persistent.chosen.view;
        let mut inside: Vec<&Peer> = Vec::new();
        let mut joining: Vec<&Peer> = Vec::new();
        for (id, peer) in &self.peers {
            let votes = voter_index(view, &peer.heartbeat.sender).is_some();
            if !self.is_eligible(peer) || (votes && from.is_some_and(|from| !from.contains(id))) {
                continue;
            }
            if is_member(view, &peer.heartbeat.sender) {
                inside.push(peer);
            } else if view.number > ViewNumber(0) {
                joining.push(peer);
            }
        }
        let insiders = inside.len();
        let mut all = inside;
        all.append(&mut joining);
        all.truncate(MAX_CANDIDATES);
        let linked = |a: usize, b: usize| {
            let (one, two) = (&all[a].heartbeat, &all[b].heartbeat);
            if a < insiders && b < insiders {
                return !one.suspected.contains(&two.sender.id) && !two.suspected.contains(&one.sender.id);
            }
            one.reachable.contains(&two.sender.id) && two.reachable.contains(&one.sender.id)
        };
        let links: Vec<u32> = (0..all.len())
            .map(|a| (0..all.len()).filter(|b| *b == a || linked(a, *b)).fold(0, |mask, b| mask | (1 << b)))
            .collect();
        let mut best = 0u32;
        let full = (1u32 << all.len()) - 1;
        let inner = (1u32 << insiders.min(all.len())) - 1;
        let worth = |set: u32| (set.count_ones(), (set & inner).count_ones(), !set);
        for set in (0..=full).rev() {
            let whole = (0..all.len()).all(|a| set & (1 << a) == 0 || links[a] & set == set);
            if whole && set.count_ones() < MAX_MEMBERS as u32 && (best == 0 || worth(set) > worth(best)) {
                best = set;
                if set == full {
                    break;
                }
            }
        }
        let mut members: Vec<Member> = (0..all.len())
            .filter(|a| best & (1 << a) != 0)
            .map(|a| all[a].heartbeat.sender.clone())
            .collect();
        members.push(self.settings.me.clone());
        // Who was first stays first, so that the sequencer changes only where it must.
        members.sort_by_key(|member| {
            let place = view.members.iter().position(|seat| is_same_member(view.number, seat, member));
            (place.unwrap_or(usize::MAX), member.id)
        });
        members
    }

    /// The next view with these members. Dropped ones keep their vote while the members are few.
    fn plan_next_view(&self, members: Vec<Member>, no: Revision) -> ChosenView {
        let base = &self.persistent.chosen;
        let number = ViewNumber(base.view.number.0.saturating_add(1));
        let mut absent: Vec<Member> = Vec::new();
        let seats = self.settings.fault_tolerance.saturating_mul(2).saturating_add(1);
        for member in voters(&base.view) {
            let out = base.view.number > ViewNumber(0) && members.iter().all(|other| other.id != member.id);
            if out && !self.is_replaced(member) && members.len() + absent.len() < seats.min(MAX_MEMBERS) {
                absent.push(member.clone());
            }
        }
        let mut floors = base.view_starts.clone();
        floors.push((number, no));
        if floors.len() > MAX_VIEW_STARTS {
            floors.remove(0);
        }
        ChosenView { view: View { number: number, members, former_voters: absent }, view_starts: floors }
    }

    /// Members of the next view, at least: those that a change needs. The first view may have fewer where fewer founders
    /// were named: it takes no change, and lets the others in. Guards a large system with few seeds against never being
    /// founded.
    fn min_members(&self) -> usize {
        let view = &self.persistent.chosen.view;
        let needed = self.settings.fault_tolerance.saturating_add(1);
        if view.number == ViewNumber(0) { needed.min(view.members.len()).max(1) } else { needed }
    }

    // When.

    /// Begins to change the view where it must be, and can be, changed.
    pub(crate) fn start_attempt_when_due(&mut self) {
        let wait = self.attempt_due_at();
        let Some(wait) = wait else {
            self.scheduled_attempt = None;
            return;
        };
        let (since, delay) = match self.scheduled_attempt {
            Some(reason) => reason,
            None => {
                let delay = self.start_delay();
                self.scheduled_attempt = Some((self.now, delay));
                (self.now, delay)
            }
        };
        if self.now >= (since + delay).max(wait).max(self.backoff_until) {
            self.scheduled_attempt = None;
            self.start_attempt();
        }
    }

    /// Those first in the view begin first, so that ballots seldom meet.
    fn start_delay(&mut self) -> Nanos {
        let view = &self.persistent.chosen.view;
        let before =
            view.members.iter().take_while(|seat| !is_same_member(view.number, seat, &self.settings.me));
        let rank = before.filter(|member| self.is_eligible_member(member)).count();
        if rank == 0 {
            return Nanos(0);
        }
        let pulse = self.settings.heartbeat_interval;
        pulse.times(rank as f64) + self.random_part_of(pulse.times(0.5))
    }

    fn is_eligible_member(&self, seat: &Member) -> bool {
        let view = self.persistent.chosen.view.number;
        let fit = |peer: &Peer| self.is_eligible(peer) && is_same_member(view, seat, &peer.heartbeat.sender);
        self.peers.values().any(fit)
    }

    /// The time from which the view is to be changed; none: it can't or needn't be.
    fn attempt_due_at(&self) -> Option<Nanos> {
        let base = &self.persistent.chosen;
        let view = &base.view;
        if self.attempt.is_some()
            || !self.recovery.complete
            || !self.disk_healthy()
            || !is_member(view, &self.settings.me)
        {
            return None;
        }
        let settled = self.view_active && !self.is_changing_view();
        let headless = self.view_active
            && view.members.first().is_some_and(|first| first.id == self.member_id())
            && !self.is_leader();
        let lost = view.members.iter().any(|member| self.is_lost(member));
        let heard_stopped = view.members.iter().any(|member| {
            self.peers
                .get(&member.id)
                .is_some_and(|peer| peer.heartbeat.view == view.number && peer.heartbeat.stopped)
        });
        let knocked = self
            .peers
            .values()
            .any(|peer| !is_member(view, &peer.heartbeat.sender) && self.is_eligible(peer));
        if settled && !headless && !lost && !heard_stopped && !knocked {
            return None;
        }
        let plan = self.plan_members(None);
        let empty = |seat: &Member| {
            self.seeded_bug == Some(SeededBug::EmptyDiskVotes)
                && self
                    .peers
                    .values()
                    .any(|peer| peer.heartbeat.sender.addr == seat.addr && self.is_eligible(peer))
        };
        let voting = voters(view).filter(|seat| {
            is_same_member(view.number, seat, &self.settings.me)
                || self.is_eligible_member(seat)
                || empty(seat)
        });
        if plan.len() < self.min_members() || voting.count() <= voters(view).count() / 2 {
            return None;
        }
        let patience = self.settings.suspicion_timeout;
        let in_plan = |seat: &Member| plan.iter().any(|member| is_same_member(view.number, seat, member));
        if settled && !headless {
            let grown = plan.len() > view.members.len() && view.members.iter().all(in_plan);
            if lost || grown {
                return Some(self.now);
            }
            // Another has stopped, and the ballot that it stopped for has not come here.
            let seen = self.scheduled_attempt.map_or(self.now, |(since, _)| since);
            return heard_stopped.then(|| seen + patience.times(0.5));
        }
        // While another's ballot is under way, its turn.
        let turn = self.competing_proposal_at.map_or(Nanos(0), |at| at + patience.times(0.5));
        // Nobody is left out who may only not have been heard yet.
        let all_known = view.members.iter().all(|seat| in_plan(seat) || self.is_lost(seat));
        // A first member that may sequence waits for all to have the view on disk; the others wait
        // for the first.
        let first = view.members.first();
        let first_at_it = match first {
            Some(first) if is_same_member(view.number, first, &self.settings.me) => self.may_lead(),
            Some(first) => self.is_eligible_member(first),
            None => false,
        };
        let at_once = all_known && (self.is_changing_view() || !first_at_it);
        Some(turn.max(if at_once { self.now } else { self.unstable_since + patience }))
    }

    fn is_lost(&self, seat: &Member) -> bool {
        if seat.id == self.member_id() {
            return false;
        }
        let unfit = |peer: &Peer| {
            !peer.heartbeat.disk_healthy || peer.excluded_until > self.now || self.recovers_too_long(peer)
        };
        self.is_suspected(seat) || self.peers.get(&seat.id).is_some_and(unfit)
    }

    // Ballots: the proposer.

    fn start_attempt(&mut self) {
        let round = self.persistent.prepared.term.max(self.highest_term).saturating_add(1);
        let ballot = ProposalNumber { term: round, proposer: self.member_id() };
        self.highest_term = round;
        if !self.is_changing_view() {
            self.unstable_since = self.now;
        }
        self.persistent.prepared = ballot;
        self.mark_dirty();
        let pulse = self.settings.heartbeat_interval;
        self.attempt = Some(ViewChangeAttempt {
            proposal: ballot,
            phase: Phase::Prepare,
            phase_started_at: self.now,
            retry_at: self.now + pulse,
            backoff: pulse,
            majority_reached_at: None,
            prepared: BTreeMap::new(),
            latest_state: None,
            highest_accepted: None,
            next_view: None,
            accepted: BTreeMap::new(),
            chosen_at: None,
            former_members_asked: false,
            straggler_timeout: pulse,
        });
        // Nobody hears of the ballot before it is on disk: after a restart its number must not be
        // given out again.
        self.send_phase_requests();
    }

    /// Where the voter at this seat listens now.
    fn voter_address(&self, seat: &Member) -> SocketAddrV4 {
        if seat.id == MemberId(0) { seat.addr } else { self.address_of(seat) }
    }

    /// Sends the words of the step that the run is in to those who have not answered.
    fn send_phase_requests(&mut self) {
        let Some(run) = self.attempt.clone() else { return };
        let base = self.persistent.chosen.clone();
        let mine = self.has_view_state().then_some(self.persistent.revision);
        match run.phase {
            Phase::Prepare => {
                for (place, seat) in voters(&base.view).enumerate() {
                    if !run.prepared.contains_key(&place) {
                        let word = Message::Prepare {
                            proposal: run.proposal,
                            current: base.clone(),
                            revision: mine,
                        };
                        self.send_when_durable(self.voter_address(seat), word);
                    }
                }
            }
            Phase::Join | Phase::Accept => {
                let Some(value) = &run.next_view else { return };
                let next = &value.chosen.view;
                let inside = |who: &Member| next.members.iter().any(|member| member.id == who.id);
                let mut to: Vec<Member> = next.members.clone();
                let mut answered = BTreeMap::new();
                for (who, holds) in run.prepared.values() {
                    answered.insert(who.id, *holds);
                    // Those who will not be in the view are asked last: the state is to be on the
                    // disks of those who will.
                    if !inside(who) && (self.all_members_accepted(&run) || self.phase_exceeds(&run, 0.5)) {
                        to.push(who.clone());
                    }
                }
                for member in to {
                    let votes = voter_index(&base.view, &member).is_some();
                    if run.accepted.contains_key(&member.id) || (run.phase == Phase::Join && votes) {
                        continue;
                    }
                    let has = answered.get(&member.id).is_some_and(|holds| *holds == Some(value.revision));
                    let word = Message::Accept {
                        proposal: run.proposal,
                        current: base.clone(),
                        next: value.chosen.clone(),
                        revision: value.revision,
                        state: (!has).then(|| value.state.clone()),
                    };
                    let to = self.address_of(&member);
                    self.send(to, word);
                }
            }
        }
    }

    fn phase_exceeds(&self, run: &ViewChangeAttempt, times: f64) -> bool {
        self.now - run.phase_started_at > self.settings.suspicion_timeout.times(times)
    }

    fn all_members_accepted(&self, run: &ViewChangeAttempt) -> bool {
        run.next_view.as_ref().is_some_and(|value| {
            value.chosen.view.members.iter().all(|member| run.accepted.contains_key(&member.id))
        })
    }

    pub(crate) fn handle_prepared(
        &mut self,
        who: Member,
        ballot: ProposalNumber,
        base: ViewNumber,
        holds: Option<Revision>,
        state: Option<Arc<[u8]>>,
        vouched: Option<AcceptedView>,
    ) {
        let held = holds.map_or_else(Default::default, |no| (base, no));
        self.record_progress(
            who.id,
            DurableProgress { prepared: (base, ballot), state: held, ..DurableProgress::default() },
        );
        if base != self.persistent.chosen.view.number {
            return;
        }
        let mine = self.has_view_state().then(|| (self.persistent.revision, self.persistent.state.clone()));
        let place = self.voter_index_of(&who);
        let Some(run) = &mut self.attempt else { return };
        let Some(place) = place else { return };
        if run.proposal != ballot || run.phase != Phase::Prepare {
            return;
        }
        let same_as_mine =
            |no: Revision| mine.as_ref().filter(|(held, _)| *held == no).map(|(_, state)| state.clone());
        let tail = match holds {
            Some(no) if run.latest_state.as_ref().is_some_and(|(held, _)| *held >= no) => None,
            Some(no) => match state.or_else(|| same_as_mine(no)) {
                Some(state) => Some((no, state)),
                // Less than mine, which comes with my own answer.
                None if mine.as_ref().is_some_and(|(held, _)| *held >= no) => None,
                None => return,
            },
            None => None,
        };
        let vouched = match vouched {
            Some(vouched) => {
                let Some(state) = vouched.state.clone().or_else(|| same_as_mine(vouched.revision)) else {
                    return;
                };
                Some((
                    vouched.proposal,
                    NextView { chosen: vouched.next, revision: vouched.revision, state, adopted: true },
                ))
            }
            None => None,
        };
        if tail.is_some() {
            run.latest_state = tail;
        }
        if let Some((ballot, value)) = vouched
            && run.highest_accepted.as_ref().is_none_or(|(best, _)| *best < ballot)
        {
            run.highest_accepted = Some((ballot, value));
        }
        run.prepared.insert(place, (who, holds));
        self.finish_prepare();
    }

    fn voter_index_of(&self, who: &Member) -> Option<usize> {
        let view = &self.persistent.chosen.view;
        let empty = || voters(view).position(|seat| seat.addr == who.addr);
        voter_index(view, who)
            .or_else(|| (self.seeded_bug == Some(SeededBug::EmptyDiskVotes)).then(empty).flatten())
    }

    /// Once enough have stopped: what the next view is, and what it begins with.
    fn finish_prepare(&mut self) {
        let view = &self.persistent.chosen.view;
        let Some(run) = &self.attempt else { return };
        if run.phase != Phase::Prepare {
            return;
        }
        let majority = run.prepared.len() > voters(view).count() / 2;
        // All that was taken is with every member, so one member that holds is enough to know it.
        let mut known = run.prepared.values().any(|(_, holds)| holds.is_some());
        known |= run.highest_accepted.is_some() || self.seeded_bug == Some(SeededBug::EmptyDiskVotes);
        if !majority || !known {
            return;
        }
        let at = run.majority_reached_at.unwrap_or(self.now);
        let waits = voters(view)
            .enumerate()
            .any(|(place, seat)| !run.prepared.contains_key(&place) && self.is_eligible_member(seat));
        let in_time = self.now < at + run.straggler_timeout;
        if let Some(run) = &mut self.attempt {
            run.majority_reached_at = Some(at);
        }
        if waits && in_time {
            return;
        }
        let Some(run) = &self.attempt else { return };
        let best =
            run.highest_accepted.clone().filter(|_| self.seeded_bug != Some(SeededBug::ForgetAcceptedView));
        let value = match best {
            Some((_, value)) => value,
            None => {
                let answered: BTreeSet<MemberId> = run.prepared.values().map(|(who, _)| who.id).collect();
                let members = self.plan_members(Some(&answered));
                let Some((no, state)) = run.latest_state.clone() else { return self.abandon_attempt() };
                if members.len() < self.min_members() {
                    return self.abandon_attempt();
                }
                NextView { chosen: self.plan_next_view(members, no), revision: no, state, adopted: false }
            }
        };
        let joining = value
            .chosen
            .view
            .members
            .iter()
            .any(|member| voter_index(&self.persistent.chosen.view, member).is_none());
        let (now, pulse) = (self.now, self.settings.heartbeat_interval);
        if let Some(run) = &mut self.attempt {
            run.phase = if joining { Phase::Join } else { Phase::Accept };
            run.next_view = Some(value);
            (run.phase_started_at, run.retry_at, run.backoff) = (now, now + pulse, pulse);
        }
        self.send_phase_requests();
    }

    /// Ends the attempt; the next one comes after a random while, for two may be at it.
    fn abandon_attempt(&mut self) {
        self.attempt = None;
        let pulse = self.settings.heartbeat_interval;
        self.backoff_until =
            self.now + pulse + self.random_part_of(self.settings.suspicion_timeout.times(0.5));
    }

    pub(crate) fn handle_rejected(&mut self, base: ViewNumber, promise: ProposalNumber) {
        if base != self.persistent.chosen.view.number {
            return;
        }
        self.highest_term = self.highest_term.max(promise.term);
        if self.attempt.as_ref().is_some_and(|run| run.proposal < promise) {
            self.competing_proposal_at = Some(self.now);
            self.abandon_attempt();
        }
    }

    pub(crate) fn handle_accepted(&mut self, who: Member, ballot: ProposalNumber, base: ViewNumber) {
        self.record_progress(
            who.id,
            DurableProgress {
                prepared: (base, ballot),
                accepted: (base, ballot),
                ..DurableProgress::default()
            },
        );
        let here = base == self.persistent.chosen.view.number;
        let Some(run) = &mut self.attempt else { return };
        if !here || run.proposal != ballot || run.phase == Phase::Prepare {
            return;
        }
        run.accepted.insert(who.id, who);
        self.advance_accept();
    }

    /// Goes on to the vote once those who join have the state, and ends once the view is chosen.
    fn advance_accept(&mut self) {
        let Some(run) = &self.attempt else { return };
        let Some(value) = &run.next_view else { return };
        let view = self.persistent.chosen.view.clone();
        let next = &value.chosen.view;
        let primed = next
            .members
            .iter()
            .all(|member| voter_index(&view, member).is_some() || run.accepted.contains_key(&member.id));
        let primed = primed || self.seeded_bug == Some(SeededBug::JoinerCountsWithoutState);
        let late = self.phase_exceeds(run, 0.5);
        if run.phase == Phase::Join {
            let go_on = primed || (value.adopted && late);
            if go_on {
                let (now, pulse) = (self.now, self.settings.heartbeat_interval);
                if let Some(run) = &mut self.attempt {
                    run.phase = Phase::Accept;
                    (run.phase_started_at, run.retry_at, run.backoff) = (now, now + pulse, pulse);
                }
                self.send_phase_requests();
            }
            return;
        }
        let votes: BTreeSet<usize> =
            run.accepted.values().filter_map(|who| self.voter_index_of(who)).collect();
        let majority = votes.len() > voters(&view).count() / 2;
        let all =
            self.all_members_accepted(run) || self.seeded_bug == Some(SeededBug::JoinerCountsWithoutState);
        if !majority {
            // Now those who will not be in the view; after that at the pace of asking again.
            if all && !run.former_members_asked {
                if let Some(run) = &mut self.attempt {
                    run.former_members_asked = true;
                }
                self.send_phase_requests();
            }
            return;
        }
        let chosen_at = run.chosen_at.unwrap_or(self.now);
        let missing = next.members.iter().filter(|member| !run.accepted.contains_key(&member.id));
        let hopeless = missing.clone().all(|member| self.is_suspected(member));
        let patience = self.settings.suspicion_timeout.times(0.5);
        if !all && !hopeless && self.now - chosen_at <= patience {
            if let Some(run) = &mut self.attempt {
                run.chosen_at = Some(chosen_at);
            }
            return;
        }
        let word = Message::Chosen { proposal: run.proposal, view: view.number, view_active: all };
        let mut to: BTreeSet<SocketAddrV4> =
            next.members.iter().map(|member| self.address_of(member)).collect();
        to.extend(voters(&view).map(|seat| self.voter_address(seat)));
        to.insert(self.settings.me.addr);
        self.attempt = None;
        for to in to {
            self.send(to, word.clone());
        }
    }

    /// Asks again what got no answer, and gives up what has no end in sight.
    pub(crate) fn tick_attempt(&mut self) {
        let Some(run) = &self.attempt else { return };
        let step = run.phase;
        match step {
            Phase::Prepare => self.finish_prepare(),
            Phase::Join | Phase::Accept => self.advance_accept(),
        }
        let Some(run) = &self.attempt else { return };
        if run.phase == step && self.phase_exceeds(run, if step == Phase::Accept { 2.0 } else { 1.0 }) {
            // One that can't be reached to join is left out for a while.
            if let (Phase::Join, Some(value)) = (step, &run.next_view) {
                let until = self.now + self.settings.suspicion_timeout.times(2.0);
                let view = self.persistent.chosen.view.clone();
                let slow: Vec<MemberId> = value
                    .chosen
                    .view
                    .members
                    .iter()
                    .filter(|member| {
                        voter_index(&view, member).is_none() && !run.accepted.contains_key(&member.id)
                    })
                    .map(|member| member.id)
                    .collect();
                for id in slow {
                    if let Some(peer) = self.peers.get_mut(&id) {
                        peer.excluded_until = until;
                    }
                }
            }
            return self.abandon_attempt();
        }
        if self.now >= run.retry_at {
            let (now, limit) = (self.now, self.settings.suspicion_timeout);
            if let Some(run) = &mut self.attempt {
                run.backoff = run.backoff.times(2.0).min(limit);
                run.retry_at = now + run.backoff;
            }
            self.send_phase_requests();
        }
    }

    // Ballots: those who vote, and those who join.

    /// Takes part in the change of `base` only if it is the last view that this member knows.
    fn is_at_view(&mut self, from: SocketAddrV4, base: &ChosenView) -> bool {
        if base.view.number < self.persistent.chosen.view.number {
            let base = self.persistent.chosen.clone();
            if self.may_announce_view() {
                self.send(from, Message::NewerView { chosen: base });
            }
            return false;
        }
        if base.view.number > self.persistent.chosen.view.number {
            self.adopt_view(base.clone());
        }
        *base == self.persistent.chosen
    }

    /// Whether the ballot may go on here; a higher one ends what this member was at itself.
    fn prepare_for(&mut self, from: SocketAddrV4, ballot: ProposalNumber) -> bool {
        if ballot < self.persistent.prepared {
            let (base, promise) = (self.persistent.chosen.view.number, self.persistent.prepared);
            self.send(from, Message::Rejected { view: base, prepared: promise });
            return false;
        }
        self.highest_term = self.highest_term.max(ballot.term);
        if ballot.proposer != self.member_id() {
            self.competing_proposal_at = Some(self.now);
            if self.attempt.is_some() {
                self.abandon_attempt();
            }
        }
        if ballot > self.persistent.prepared {
            if !self.is_changing_view() {
                self.unstable_since = self.now;
            }
            self.persistent.prepared = ballot;
            self.mark_dirty();
        }
        true
    }

    pub(crate) fn handle_prepare(
        &mut self,
        from: SocketAddrV4,
        ballot: ProposalNumber,
        base: ChosenView,
        no: Option<Revision>,
    ) {
        if self.seeded_bug == Some(SeededBug::EmptyDiskVotes)
            && self.persistent.chosen == ChosenView::default()
        {
            self.persistent.chosen = base.clone();
        }
        if !self.is_at_view(from, &base) || self.voter_index_of(&self.settings.me.clone()).is_none() {
            return;
        }
        if !self.prepare_for(from, ballot) {
            return;
        }
        let holds = self.has_view_state().then_some(self.persistent.revision);
        let state =
            holds.filter(|mine| no.is_none_or(|no| no < *mine)).map(|_| self.persistent.state.clone());
        let vouched = self.persistent.accepted.clone().map(|mut vouched| {
            if no != Some(vouched.revision) && vouched.state.is_none() {
                vouched.state = Some(self.persistent.state.clone());
            }
            vouched
        });
        let who = self.settings.me.clone();
        self.send_when_durable(
            from,
            Message::Prepared {
                sender: who,
                proposal: ballot,
                view: base.view.number,
                revision: holds,
                state,
                accepted: vouched,
            },
        );
    }

    pub(crate) fn handle_accept(
        &mut self,
        from: SocketAddrV4,
        ballot: ProposalNumber,
        base: ChosenView,
        next: ChosenView,
        no: Revision,
        state: Option<Arc<[u8]>>,
    ) {
        let follows = next.view.number.0 == base.view.number.0.saturating_add(1);
        if !follows || !self.is_at_view(from, &base) {
            return;
        }
        let known = self.persistent.state_view == base.view.number && self.persistent.revision == no;
        if (!known && state.is_none()) || !self.prepare_for(from, ballot) {
            return;
        }
        let vouched =
            AcceptedView { proposal: ballot, next, revision: no, state: if known { None } else { state } };
        if self.persistent.accepted.as_ref() != Some(&vouched) {
            self.persistent.accepted = Some(vouched);
            self.mark_dirty();
        }
        let who = self.settings.me.clone();
        self.send_when_durable(
            from,
            Message::Accepted { sender: who, proposal: ballot, view: base.view.number },
        );
    }

    pub(crate) fn handle_chosen(&mut self, ballot: ProposalNumber, base: ViewNumber, force: bool) {
        let vouched = self.persistent.accepted.as_ref().filter(|vouched| vouched.proposal == ballot);
        if base == self.persistent.chosen.view.number
            && let Some(vouched) = vouched
        {
            let next = vouched.next.clone();
            self.adopt_view(next);
        } else if base.0.saturating_add(1) != self.persistent.chosen.view.number.0 {
            return;
        }
        if force && !self.is_changing_view() {
            self.activate_view();
        }
    }
}

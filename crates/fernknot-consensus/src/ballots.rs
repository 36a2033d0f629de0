//! How a view is changed: who belongs to the next, and the ballots among those who vote on it.
//! Stop: a majority of the last view's voters promises and tells what it holds. Trim: the newest
//! state that any of them holds, or what may have been chosen before. Install: first on the disks
//! of those who join, then on those of the voters.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::types::*;
use crate::views::{Consensus, MOST_FLOORS, MOST_MEMBERS, Peer, is_member, same, voters};

/// Candidates for the next view that are weighed, at most.
const MOST_CANDIDATES: usize = 12;

/// What a next view would be and begin with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NextView {
    next: ChosenView,
    no: Revision,
    state: Arc<[u8]>,
    /// Taken over from another ballot: it may have been chosen.
    adopted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Stop,
    /// On the disks of those who join, before anybody's vote binds: else a view could be chosen
    /// that too few have.
    Prime,
    Vote,
}

/// An attempt of this member to change the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewChangeAttempt {
    ballot: ProposalNumber,
    step: Phase,
    since: Nanos,
    resend_at: Nanos,
    pause: Nanos,
    majority_at: Option<Nanos>,
    /// By place among the voters: who answered, and the newest it holds.
    answers: BTreeMap<usize, (Member, Option<Revision>)>,
    tail: Option<(Revision, Arc<[u8]>)>,
    best: Option<(ProposalNumber, NextView)>,
    value: Option<NextView>,
    installed: BTreeMap<MemberId, Member>,
    chosen_at: Option<Nanos>,
    outer_asked: bool,
    grace: Nanos,
}

impl ViewChangeAttempt {
    pub(crate) fn due(&self) -> Nanos {
        let grace = self.majority_at.map(|at| at + self.grace).filter(|_| self.step == Phase::Stop);
        grace.map_or(self.resend_at, |at| at.min(self.resend_at))
    }
}

fn seat(view: &View, who: &Member) -> Option<usize> {
    voters(view).position(|seat| same(view.number, seat, who))
}

impl Consensus {
    // Who belongs to the next view.

    /// Well and in touch, so that a view with it could take changes.
    fn fit(&self, peer: &Peer) -> bool {
        self.fresh(peer)
            && peer.told.well
            && peer.slow_until <= self.now
            && !self.asks_long(peer)
            && !self.replaced(&peer.told.who)
    }

    /// The largest set that has this member in it and in which all are in touch with all. `from`:
    /// of the last view only those, where given.
    fn plan(&self, from: Option<&BTreeSet<MemberId>>) -> Vec<Member> {
        let view = &self.cur.base.view;
        let mut inside: Vec<&Peer> = Vec::new();
        let mut joining: Vec<&Peer> = Vec::new();
        for (id, peer) in &self.peers {
            let votes = seat(view, &peer.told.who).is_some();
            if !self.fit(peer) || (votes && from.is_some_and(|from| !from.contains(id))) {
                continue;
            }
            if is_member(view, &peer.told.who) {
                inside.push(peer);
            } else if view.number > ViewNumber(0) {
                joining.push(peer);
            }
        }
        let insiders = inside.len();
        let mut all = inside;
        all.append(&mut joining);
        all.truncate(MOST_CANDIDATES);
        let linked = |a: usize, b: usize| {
            let (one, two) = (&all[a].told, &all[b].told);
            if a < insiders && b < insiders {
                return !one.deaf.contains(&two.who.id) && !two.deaf.contains(&one.who.id);
            }
            one.hears.contains(&two.who.id) && two.hears.contains(&one.who.id)
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
            if whole && set.count_ones() < MOST_MEMBERS as u32 && (best == 0 || worth(set) > worth(best)) {
                best = set;
                if set == full {
                    break;
                }
            }
        }
        let mut members: Vec<Member> =
            (0..all.len()).filter(|a| best & (1 << a) != 0).map(|a| all[a].told.who.clone()).collect();
        members.push(self.facts.me.clone());
        // Who was first stays first, so that the sequencer changes only where it must.
        members.sort_by_key(|member| {
            let place = view.members.iter().position(|seat| same(view.number, seat, member));
            (place.unwrap_or(usize::MAX), member.id)
        });
        members
    }

    /// The next view with these members. Dropped ones keep their vote while the members are few.
    fn next_base(&self, members: Vec<Member>, no: Revision) -> ChosenView {
        let base = &self.cur.base;
        let number = ViewNumber(base.view.number.0.saturating_add(1));
        let mut absent: Vec<Member> = Vec::new();
        let seats = self.facts.losses.saturating_mul(2).saturating_add(1);
        for member in voters(&base.view) {
            let out = base.view.number > ViewNumber(0) && members.iter().all(|other| other.id != member.id);
            if out && !self.replaced(member) && members.len() + absent.len() < seats.min(MOST_MEMBERS) {
                absent.push(member.clone());
            }
        }
        let mut floors = base.floors.clone();
        floors.push((number, no));
        if floors.len() > MOST_FLOORS {
            floors.remove(0);
        }
        ChosenView { view: View { number: number, members, absent }, floors }
    }

    /// Members of the next view, at least: those that a change needs. The first view may have fewer where fewer founders
    /// were named: it takes no change, and lets the others in. Guards a large system with few seeds against never being
    /// founded.
    fn fewest(&self) -> usize {
        let view = &self.cur.base.view;
        let needed = self.facts.losses.saturating_add(1);
        if view.number == ViewNumber(0) { needed.min(view.members.len()).max(1) } else { needed }
    }

    // When.

    /// Begins to change the view where it must be, and can be, changed.
    pub(crate) fn consider(&mut self) {
        let wait = self.wanted();
        let Some(wait) = wait else {
            self.reason = None;
            return;
        };
        let (since, delay) = match self.reason {
            Some(reason) => reason,
            None => {
                let delay = self.delay();
                self.reason = Some((self.now, delay));
                (self.now, delay)
            }
        };
        if self.now >= (since + delay).max(wait).max(self.backoff_until) {
            self.reason = None;
            self.start_run();
        }
    }

    /// Those first in the view begin first, so that ballots seldom meet.
    fn delay(&mut self) -> Nanos {
        let view = &self.cur.base.view;
        let before = view.members.iter().take_while(|seat| !same(view.number, seat, &self.facts.me));
        let rank = before.filter(|member| self.in_touch(member)).count();
        if rank == 0 {
            return Nanos(0);
        }
        let pulse = self.facts.pulse_every;
        pulse.times(rank as f64) + self.part_of(pulse.times(0.5))
    }

    fn in_touch(&self, seat: &Member) -> bool {
        let view = self.cur.base.view.number;
        let fit = |peer: &Peer| self.fit(peer) && same(view, seat, &peer.told.who);
        self.peers.values().any(fit)
    }

    /// The time from which the view is to be changed; none: it can't or needn't be.
    fn wanted(&self) -> Option<Nanos> {
        let base = &self.cur.base;
        let view = &base.view;
        if self.run.is_some() || !self.past.proven || !self.well() || !is_member(view, &self.facts.me) {
            return None;
        }
        let settled = self.force && !self.stopped();
        let headless = self.force
            && view.members.first().is_some_and(|first| first.id == self.me())
            && !self.is_sequencer();
        let lost = view.members.iter().any(|member| self.lost(member));
        let heard_stopped = view.members.iter().any(|member| {
            self.peers.get(&member.id).is_some_and(|peer| peer.told.view == view.number && peer.told.stopped)
        });
        let knocked = self.peers.values().any(|peer| !is_member(view, &peer.told.who) && self.fit(peer));
        if settled && !headless && !lost && !heard_stopped && !knocked {
            return None;
        }
        let plan = self.plan(None);
        let empty = |seat: &Member| {
            self.plant == Some(SeededBug::EmptyVotes)
                && self.peers.values().any(|peer| peer.told.who.addr == seat.addr && self.fit(peer))
        };
        let voting = voters(view)
            .filter(|seat| same(view.number, seat, &self.facts.me) || self.in_touch(seat) || empty(seat));
        if plan.len() < self.fewest() || voting.count() <= voters(view).count() / 2 {
            return None;
        }
        let patience = self.facts.suspect_after;
        let in_plan = |seat: &Member| plan.iter().any(|member| same(view.number, seat, member));
        if settled && !headless {
            let grown = plan.len() > view.members.len() && view.members.iter().all(in_plan);
            if lost || grown {
                return Some(self.now);
            }
            // Another has stopped, and the ballot that it stopped for has not come here.
            let seen = self.reason.map_or(self.now, |(since, _)| since);
            return heard_stopped.then(|| seen + patience.times(0.5));
        }
        // While another's ballot is under way, its turn.
        let turn = self.ballot_heard.map_or(Nanos(0), |at| at + patience.times(0.5));
        // Nobody is left out who may only not have been heard yet.
        let all_known = view.members.iter().all(|seat| in_plan(seat) || self.lost(seat));
        // A first member that may sequence waits for all to have the view on disk; the others wait
        // for the first.
        let first = view.members.first();
        let first_at_it = match first {
            Some(first) if same(view.number, first, &self.facts.me) => self.leads(),
            Some(first) => self.in_touch(first),
            None => false,
        };
        let at_once = all_known && (self.stopped() || !first_at_it);
        Some(turn.max(if at_once { self.now } else { self.unsettled + patience }))
    }

    fn lost(&self, seat: &Member) -> bool {
        if seat.id == self.me() {
            return false;
        }
        let unfit = |peer: &Peer| !peer.told.well || peer.slow_until > self.now || self.asks_long(peer);
        self.suspected(seat) || self.peers.get(&seat.id).is_some_and(unfit)
    }

    // Ballots: the proposer.

    fn start_run(&mut self) {
        let round = self.cur.promise.round.max(self.seen_round).saturating_add(1);
        let ballot = ProposalNumber { round, id: self.me() };
        self.seen_round = round;
        if !self.stopped() {
            self.unsettled = self.now;
        }
        self.cur.promise = ballot;
        self.touch();
        let pulse = self.facts.pulse_every;
        self.run = Some(ViewChangeAttempt {
            ballot,
            step: Phase::Stop,
            since: self.now,
            resend_at: self.now + pulse,
            pause: pulse,
            majority_at: None,
            answers: BTreeMap::new(),
            tail: None,
            best: None,
            value: None,
            installed: BTreeMap::new(),
            chosen_at: None,
            outer_asked: false,
            grace: pulse,
        });
        // Nobody hears of the ballot before it is on disk: after a restart its number must not be
        // given out again.
        self.ask();
    }

    /// Where the voter at this seat listens now.
    fn seat_addr(&self, seat: &Member) -> SocketAddrV4 {
        if seat.id == MemberId(0) { seat.addr } else { self.addr(seat) }
    }

    /// Sends the words of the step that the run is in to those who have not answered.
    fn ask(&mut self) {
        let Some(run) = self.run.clone() else { return };
        let base = self.cur.base.clone();
        let mine = self.holds().then_some(self.cur.no);
        match run.step {
            Phase::Stop => {
                for (place, seat) in voters(&base.view).enumerate() {
                    if !run.answers.contains_key(&place) {
                        let word = Message::Stop { ballot: run.ballot, base: base.clone(), no: mine };
                        self.say_safely(self.seat_addr(seat), word);
                    }
                }
            }
            Phase::Prime | Phase::Vote => {
                let Some(value) = &run.value else { return };
                let next = &value.next.view;
                let inside = |who: &Member| next.members.iter().any(|member| member.id == who.id);
                let mut to: Vec<Member> = next.members.clone();
                let mut answered = BTreeMap::new();
                for (who, holds) in run.answers.values() {
                    answered.insert(who.id, *holds);
                    // Those who will not be in the view are asked last: the state is to be on the
                    // disks of those who will.
                    if !inside(who) && (self.inner_installed(&run) || self.late(&run, 0.5)) {
                        to.push(who.clone());
                    }
                }
                for member in to {
                    let votes = seat(&base.view, &member).is_some();
                    if run.installed.contains_key(&member.id) || (run.step == Phase::Prime && votes) {
                        continue;
                    }
                    let has = answered.get(&member.id).is_some_and(|holds| *holds == Some(value.no));
                    let word = Message::Install {
                        ballot: run.ballot,
                        base: base.clone(),
                        next: value.next.clone(),
                        no: value.no,
                        state: (!has).then(|| value.state.clone()),
                    };
                    let to = self.addr(&member);
                    self.say(to, word);
                }
            }
        }
    }

    fn late(&self, run: &ViewChangeAttempt, times: f64) -> bool {
        self.now - run.since > self.facts.suspect_after.times(times)
    }

    fn inner_installed(&self, run: &ViewChangeAttempt) -> bool {
        run.value.as_ref().is_some_and(|value| {
            value.next.view.members.iter().all(|member| run.installed.contains_key(&member.id))
        })
    }

    pub(crate) fn hear_stopped(
        &mut self,
        who: Member,
        ballot: ProposalNumber,
        base: ViewNumber,
        holds: Option<Revision>,
        state: Option<Arc<[u8]>>,
        vouched: Option<AcceptedView>,
    ) {
        let held = holds.map_or_else(Default::default, |no| (base, no));
        self.note_mark(
            who.id,
            DurableProgress { promise: (base, ballot), held, ..DurableProgress::default() },
        );
        if base != self.cur.base.view.number {
            return;
        }
        let mine = self.holds().then(|| (self.cur.no, self.cur.state.clone()));
        let place = self.seat_of(&who);
        let Some(run) = &mut self.run else { return };
        let Some(place) = place else { return };
        if run.ballot != ballot || run.step != Phase::Stop {
            return;
        }
        let same_as_mine =
            |no: Revision| mine.as_ref().filter(|(held, _)| *held == no).map(|(_, state)| state.clone());
        let tail = match holds {
            Some(no) if run.tail.as_ref().is_some_and(|(held, _)| *held >= no) => None,
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
                let Some(state) = vouched.state.clone().or_else(|| same_as_mine(vouched.no)) else { return };
                Some((vouched.ballot, NextView { next: vouched.next, no: vouched.no, state, adopted: true }))
            }
            None => None,
        };
        if tail.is_some() {
            run.tail = tail;
        }
        if let Some((ballot, value)) = vouched
            && run.best.as_ref().is_none_or(|(best, _)| *best < ballot)
        {
            run.best = Some((ballot, value));
        }
        run.answers.insert(place, (who, holds));
        self.trim();
    }

    fn seat_of(&self, who: &Member) -> Option<usize> {
        let view = &self.cur.base.view;
        let empty = || voters(view).position(|seat| seat.addr == who.addr);
        seat(view, who).or_else(|| (self.plant == Some(SeededBug::EmptyVotes)).then(empty).flatten())
    }

    /// Once enough have stopped: what the next view is, and what it begins with.
    fn trim(&mut self) {
        let view = &self.cur.base.view;
        let Some(run) = &self.run else { return };
        if run.step != Phase::Stop {
            return;
        }
        let majority = run.answers.len() > voters(view).count() / 2;
        // All that was taken is with every member, so one member that holds is enough to know it.
        let mut known = run.answers.values().any(|(_, holds)| holds.is_some());
        known |= run.best.is_some() || self.plant == Some(SeededBug::EmptyVotes);
        if !majority || !known {
            return;
        }
        let at = run.majority_at.unwrap_or(self.now);
        let waits = voters(view)
            .enumerate()
            .any(|(place, seat)| !run.answers.contains_key(&place) && self.in_touch(seat));
        let in_time = self.now < at + run.grace;
        if let Some(run) = &mut self.run {
            run.majority_at = Some(at);
        }
        if waits && in_time {
            return;
        }
        let Some(run) = &self.run else { return };
        let best = run.best.clone().filter(|_| self.plant != Some(SeededBug::ForgetVouched));
        let value = match best {
            Some((_, value)) => value,
            None => {
                let answered: BTreeSet<MemberId> = run.answers.values().map(|(who, _)| who.id).collect();
                let members = self.plan(Some(&answered));
                let Some((no, state)) = run.tail.clone() else { return self.give_up() };
                if members.len() < self.fewest() {
                    return self.give_up();
                }
                NextView { next: self.next_base(members, no), no, state, adopted: false }
            }
        };
        let joining =
            value.next.view.members.iter().any(|member| seat(&self.cur.base.view, member).is_none());
        let (now, pulse) = (self.now, self.facts.pulse_every);
        if let Some(run) = &mut self.run {
            run.step = if joining { Phase::Prime } else { Phase::Vote };
            run.value = Some(value);
            (run.since, run.resend_at, run.pause) = (now, now + pulse, pulse);
        }
        self.ask();
    }

    /// Ends the attempt; the next one comes after a random while, for two may be at it.
    fn give_up(&mut self) {
        self.run = None;
        let pulse = self.facts.pulse_every;
        self.backoff_until = self.now + pulse + self.part_of(self.facts.suspect_after.times(0.5));
    }

    pub(crate) fn hear_outdone(&mut self, base: ViewNumber, promise: ProposalNumber) {
        if base != self.cur.base.view.number {
            return;
        }
        self.seen_round = self.seen_round.max(promise.round);
        if self.run.as_ref().is_some_and(|run| run.ballot < promise) {
            self.ballot_heard = Some(self.now);
            self.give_up();
        }
    }

    pub(crate) fn hear_installed(&mut self, who: Member, ballot: ProposalNumber, base: ViewNumber) {
        self.note_mark(
            who.id,
            DurableProgress {
                promise: (base, ballot),
                vouched: (base, ballot),
                ..DurableProgress::default()
            },
        );
        let here = base == self.cur.base.view.number;
        let Some(run) = &mut self.run else { return };
        if !here || run.ballot != ballot || run.step == Phase::Stop {
            return;
        }
        run.installed.insert(who.id, who);
        self.count();
    }

    /// Goes on to the vote once those who join have the state, and ends once the view is chosen.
    fn count(&mut self) {
        let Some(run) = &self.run else { return };
        let Some(value) = &run.value else { return };
        let view = self.cur.base.view.clone();
        let next = &value.next.view;
        let primed = next
            .members
            .iter()
            .all(|member| seat(&view, member).is_some() || run.installed.contains_key(&member.id));
        let primed = primed || self.plant == Some(SeededBug::JoinerCounts);
        let late = self.late(run, 0.5);
        if run.step == Phase::Prime {
            let go_on = primed || (value.adopted && late);
            if go_on {
                let (now, pulse) = (self.now, self.facts.pulse_every);
                if let Some(run) = &mut self.run {
                    run.step = Phase::Vote;
                    (run.since, run.resend_at, run.pause) = (now, now + pulse, pulse);
                }
                self.ask();
            }
            return;
        }
        let votes: BTreeSet<usize> = run.installed.values().filter_map(|who| self.seat_of(who)).collect();
        let majority = votes.len() > voters(&view).count() / 2;
        let all = self.inner_installed(run) || self.plant == Some(SeededBug::JoinerCounts);
        if !majority {
            // Now those who will not be in the view; after that at the pace of asking again.
            if all && !run.outer_asked {
                if let Some(run) = &mut self.run {
                    run.outer_asked = true;
                }
                self.ask();
            }
            return;
        }
        let chosen_at = run.chosen_at.unwrap_or(self.now);
        let missing = next.members.iter().filter(|member| !run.installed.contains_key(&member.id));
        let hopeless = missing.clone().all(|member| self.suspected(member));
        let patience = self.facts.suspect_after.times(0.5);
        if !all && !hopeless && self.now - chosen_at <= patience {
            if let Some(run) = &mut self.run {
                run.chosen_at = Some(chosen_at);
            }
            return;
        }
        let word = Message::Chosen { ballot: run.ballot, base: view.number, force: all };
        let mut to: BTreeSet<SocketAddrV4> = next.members.iter().map(|member| self.addr(member)).collect();
        to.extend(voters(&view).map(|seat| self.seat_addr(seat)));
        to.insert(self.facts.me.addr);
        self.run = None;
        for to in to {
            self.say(to, word.clone());
        }
    }

    /// Asks again what got no answer, and gives up what has no end in sight.
    pub(crate) fn tick_run(&mut self) {
        let Some(run) = &self.run else { return };
        let step = run.step;
        match step {
            Phase::Stop => self.trim(),
            Phase::Prime | Phase::Vote => self.count(),
        }
        let Some(run) = &self.run else { return };
        if run.step == step && self.late(run, if step == Phase::Vote { 2.0 } else { 1.0 }) {
            // One that can't be reached to join is left out for a while.
            if let (Phase::Prime, Some(value)) = (step, &run.value) {
                let until = self.now + self.facts.suspect_after.times(2.0);
                let view = self.cur.base.view.clone();
                let slow: Vec<MemberId> = value
                    .next
                    .view
                    .members
                    .iter()
                    .filter(|member| seat(&view, member).is_none() && !run.installed.contains_key(&member.id))
                    .map(|member| member.id)
                    .collect();
                for id in slow {
                    if let Some(peer) = self.peers.get_mut(&id) {
                        peer.slow_until = until;
                    }
                }
            }
            return self.give_up();
        }
        if self.now >= run.resend_at {
            let (now, limit) = (self.now, self.facts.suspect_after);
            if let Some(run) = &mut self.run {
                run.pause = run.pause.times(2.0).min(limit);
                run.resend_at = now + run.pause;
            }
            self.ask();
        }
    }

    // Ballots: those who vote, and those who join.

    /// Takes part in the change of `base` only if it is the last view that this member knows.
    fn at_base(&mut self, from: SocketAddrV4, base: &ChosenView) -> bool {
        if base.view.number < self.cur.base.view.number {
            let base = self.cur.base.clone();
            if self.may_tell() {
                self.say(from, Message::Told { base });
            }
            return false;
        }
        if base.view.number > self.cur.base.view.number {
            self.move_to(base.clone());
        }
        *base == self.cur.base
    }

    /// Whether the ballot may go on here; a higher one ends what this member was at itself.
    fn bow_to(&mut self, from: SocketAddrV4, ballot: ProposalNumber) -> bool {
        if ballot < self.cur.promise {
            let (base, promise) = (self.cur.base.view.number, self.cur.promise);
            self.say(from, Message::Outdone { base, promise });
            return false;
        }
        self.seen_round = self.seen_round.max(ballot.round);
        if ballot.id != self.me() {
            self.ballot_heard = Some(self.now);
            if self.run.is_some() {
                self.give_up();
            }
        }
        if ballot > self.cur.promise {
            if !self.stopped() {
                self.unsettled = self.now;
            }
            self.cur.promise = ballot;
            self.touch();
        }
        true
    }

    pub(crate) fn hear_stop(
        &mut self,
        from: SocketAddrV4,
        ballot: ProposalNumber,
        base: ChosenView,
        no: Option<Revision>,
    ) {
        if self.plant == Some(SeededBug::EmptyVotes) && self.cur.base == ChosenView::default() {
            self.cur.base = base.clone();
        }
        if !self.at_base(from, &base) || self.seat_of(&self.facts.me.clone()).is_none() {
            return;
        }
        if !self.bow_to(from, ballot) {
            return;
        }
        let holds = self.holds().then_some(self.cur.no);
        let state = holds.filter(|mine| no.is_none_or(|no| no < *mine)).map(|_| self.cur.state.clone());
        let vouched = self.cur.vouched.clone().map(|mut vouched| {
            if no != Some(vouched.no) && vouched.state.is_none() {
                vouched.state = Some(self.cur.state.clone());
            }
            vouched
        });
        let who = self.facts.me.clone();
        self.say_safely(
            from,
            Message::Stopped { who, ballot, base: base.view.number, holds, state, vouched },
        );
    }

    pub(crate) fn hear_install(
        &mut self,
        from: SocketAddrV4,
        ballot: ProposalNumber,
        base: ChosenView,
        next: ChosenView,
        no: Revision,
        state: Option<Arc<[u8]>>,
    ) {
        let follows = next.view.number.0 == base.view.number.0.saturating_add(1);
        if !follows || !self.at_base(from, &base) {
            return;
        }
        let known = self.cur.held == base.view.number && self.cur.no == no;
        if (!known && state.is_none()) || !self.bow_to(from, ballot) {
            return;
        }
        let vouched = AcceptedView { ballot, next, no, state: if known { None } else { state } };
        if self.cur.vouched.as_ref() != Some(&vouched) {
            self.cur.vouched = Some(vouched);
            self.touch();
        }
        let who = self.facts.me.clone();
        self.say_safely(from, Message::Installed { who, ballot, base: base.view.number });
    }

    pub(crate) fn hear_chosen(&mut self, ballot: ProposalNumber, base: ViewNumber, force: bool) {
        let vouched = self.cur.vouched.as_ref().filter(|vouched| vouched.ballot == ballot);
        if base == self.cur.base.view.number
            && let Some(vouched) = vouched
        {
            let next = vouched.next.clone();
            self.move_to(next);
        } else if base.0.saturating_add(1) != self.cur.base.view.number.0 {
            return;
        }
        if force && !self.stopped() {
            self.go_in_force();
        }
    }
}

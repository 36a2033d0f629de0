//! The register itself: what is heard and stored, what lies on disk, pulses, changes and commits.
//! How a view is changed: `ballots`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::ballots::ViewChangeAttempt;
use crate::confirm::ReadIndexState;
use crate::forced::era;
use crate::past::DiskRecovery;
use crate::types::*;

/// Members of a view, at most.
pub(crate) const MOST_MEMBERS: usize = 9;
/// Peers and addresses that are remembered, at most.
pub(crate) const MOST_PEERS: usize = 32;
/// Proposals in hand at the sequencer, at most.
const MOST_PROPOSALS: usize = 8;
/// Words that wait for the disk, at most; the oldest are dropped, their askers ask again.
const MOST_WAITING: usize = 64;
/// Floors of earlier views that are remembered.
pub(crate) const MOST_FLOORS: usize = 32;
/// Letters in the name of a zone, at most.
const LONGEST_ZONE: usize = 256;

/// What is known of another registrar.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub told: PeerHeartbeat,
    pub heard: Nanos,
    /// When the newest of my pulses left that it has answered to.
    pub echoed: Option<Nanos>,
    /// What it has on disk, in `told.held`; `Have` may be ahead of pulses.
    pub held: ViewNumber,
    pub no: Revision,
    /// Until then it is left out of the next view: it did not store in time.
    pub slow_until: Nanos,
    whole_at: Option<Nanos>,
    /// Since when it asks what its disk had vouched for.
    asks_since: Option<Nanos>,
}

/// One registrar's part in the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    pub(crate) facts: ConsensusSettings,
    pub(crate) plant: Option<SeededBug>,
    chance: u64,
    pub(crate) life: u64,
    pub(crate) now: Nanos,
    pub(crate) started: Nanos,
    /// Nobody is suspected before this and `suspect_after` are over: the start, or a sleep.
    listen_from: Nanos,
    pub(crate) past: DiskRecovery,
    /// What is to be on disk, and what of it is.
    pub(crate) cur: PersistentState,
    pub(crate) safe: (ViewNumber, ViewNumber, Revision),
    pub(crate) dirty: bool,
    pub(crate) writing: Option<PendingWrite>,
    waiting: VecDeque<(SocketAddrV4, Message)>,
    pub(crate) tickets: u64,
    pub(crate) host_well: bool,
    pub(crate) failed: Option<Nanos>,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) addrs: BTreeSet<SocketAddrV4>,
    /// The view of `cur.base` is in force, as far as this member knows.
    pub(crate) force: bool,
    pub(crate) entered: Option<View>,
    /// In views up to this one, this life must not sequence: an earlier one may have.
    barred: ViewNumber,
    pub(crate) commit: Revision,
    delivered: Option<(Revision, Arc<[u8]>)>,
    flight: Option<PendingChange>,
    pub(crate) queue: VecDeque<(u64, Arc<[u8]>)>,
    unclear: Vec<(u64, ViewNumber, Revision)>,
    pub(crate) run: Option<ViewChangeAttempt>,
    pub(crate) seen_round: u64,
    pub(crate) backoff_until: Nanos,
    /// Since when the view is not in force, or is stopped.
    pub(crate) unsettled: Nanos,
    pub(crate) ballot_heard: Option<Nanos>,
    pub(crate) reason: Option<(Nanos, Nanos)>,
    pulse_at: Nanos,
    pulsed: Nanos,
    pub(crate) pulse_soon: bool,
    pub(crate) inquiries: ReadIndexState,
    inner: VecDeque<Message>,
    pub(crate) actions: VecDeque<Action>,
    wake: Option<Nanos>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    ticket: WriteId,
    since: Nanos,
    pub(crate) safe: (ViewNumber, ViewNumber, Revision),
    pub(crate) mark: DurableProgress,
    pub(crate) words: VecDeque<(SocketAddrV4, Message)>,
}

/// The sequencer's change that is not yet on all disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingChange {
    proposal: u64,
    no: Revision,
    since: Nanos,
    resend_at: Nanos,
    pause: Nanos,
}

impl Consensus {
    /// `seed` must differ from start to start. `saved` is what the host last wrote, or none where
    /// the disk is empty; what another life of the disk wrote is not trusted.
    pub fn new(seed: u64, facts: ConsensusSettings, saved: Option<PersistentState>, now: Nanos) -> Consensus {
        Consensus::planted(seed, facts, saved, now, None)
    }

    #[doc(hidden)]
    pub fn planted(
        seed: u64,
        facts: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
        plant: Option<SeededBug>,
    ) -> Consensus {
        let mut facts = facts;
        facts.pulse_every = facts.pulse_every.max(Nanos(1));
        facts.suspect_after = facts.suspect_after.max(Nanos(2));
        let me = facts.me.clone();
        let saved = saved.filter(|saved| saved.me == me.id);
        let fresh = saved.is_none();
        let mut cur = saved.unwrap_or_else(|| PersistentState {
            me: me.id,
            base: ChosenView::default(),
            promise: ProposalNumber::default(),
            vouched: None,
            held: ViewNumber(0),
            no: Revision(0),
            state: Arc::from([]),
            marks: Vec::new(),
        });
        if fresh && facts.bootstrap && facts.founders.contains(&me.addr) {
            // Ballots before view 1 are among addresses: ids of empty disks are not known yet.
            let founders: BTreeSet<SocketAddrV4> = facts.founders.iter().copied().collect();
            cur.base.view.members = founders
                .into_iter()
                .take(MOST_MEMBERS)
                .map(|addr| Member { id: MemberId(0), addr, zone: String::new() })
                .collect();
        }
        let mut addrs: BTreeSet<SocketAddrV4> = facts.founders.iter().copied().collect();
        addrs.extend(voters(&cur.base.view).map(|member| member.addr));
        if let Some(vouched) = &cur.vouched {
            addrs.extend(voters(&vouched.next.view).map(|member| member.addr));
        }
        addrs.remove(&me.addr);
        let vouched_no = cur.vouched.as_ref().map_or(ViewNumber(0), |vouched| vouched.next.view.number);
        let barred = match plant {
            Some(SeededBug::SequenceAgain) => ViewNumber(0),
            _ => cur.base.view.number.max(vouched_no),
        };
        let safe = (cur.base.view.number, cur.held, cur.no);
        let seen_round = cur.promise.round;
        let commit = floor(&cur.base);
        let past = DiskRecovery::new(&cur, fresh || plant == Some(SeededBug::OldCopyVotes));
        let mut views = Consensus {
            facts,
            plant,
            chance: seed,
            life: 0,
            now,
            started: now,
            listen_from: now,
            past,
            cur,
            safe,
            dirty: false,
            writing: None,
            waiting: VecDeque::new(),
            tickets: 0,
            host_well: true,
            failed: None,
            peers: BTreeMap::new(),
            addrs,
            force: false,
            entered: None,
            barred,
            commit,
            delivered: None,
            flight: None,
            queue: VecDeque::new(),
            unclear: Vec::new(),
            run: None,
            seen_round,
            backoff_until: now,
            unsettled: now,
            ballot_heard: None,
            reason: None,
            pulse_at: now,
            pulsed: now,
            pulse_soon: false,
            inquiries: ReadIndexState::default(),
            inner: VecDeque::new(),
            actions: VecDeque::new(),
            wake: None,
        };
        views.life = views.draw();
        views
    }

    /// A word from the registrar that listens at `from`.
    pub fn heard(&mut self, now: Nanos, from: SocketAddrV4, word: Message) {
        self.listen(now);
        if sound(&word) {
            self.hear(from, word);
        }
        self.settle();
    }

    /// The end of the write with this ticket; not `ok`: what is on disk is not known.
    pub fn stored(&mut self, now: Nanos, ticket: WriteId, ok: bool) {
        self.listen(now);
        if self.writing.as_ref().is_some_and(|writing| writing.ticket == ticket)
            && let Some(mut writing) = self.writing.take()
        {
            if ok {
                self.failed = None;
                self.pulse_soon |= (self.safe.0, self.safe.1) != (writing.safe.0, writing.safe.1);
                self.safe = writing.safe;
                self.past.safe = writing.mark;
                for (to, word) in writing.words {
                    self.say(to, word);
                }
                self.take();
            } else {
                self.failed = Some(now);
                self.dirty = true;
                self.pulse_soon = true;
                writing.words.append(&mut self.waiting);
                self.waiting = writing.words;
            }
        }
        self.settle();
    }

    /// The host's word on the disk: hanging or full, or well again.
    pub fn disk_ok(&mut self, now: Nanos, ok: bool) {
        self.listen(now);
        self.pulse_soon |= self.host_well != ok;
        self.host_well = ok;
        if ok {
            self.failed = None;
        }
        self.settle();
    }

    /// Another registrar's address for words like these, learnt from outside.
    pub fn know(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.listen(now);
        if self.learn(addr) {
            self.pulse_soon = true;
        }
        self.settle();
    }

    /// There is a way to a registrar that there was not before: what was said to it until now is lost, so the next
    /// pulse goes out soon. Guards the return of all at once, when a pulse's time is most of the wait.
    pub fn reached(&mut self, now: Nanos) {
        self.listen(now);
        self.pulse_soon = true;
        self.settle();
    }

    /// The next state after `base`. Only the sequencer takes it; `base` must be the last number
    /// given out, proposals in hand counted.
    pub fn propose(&mut self, now: Nanos, proposal: u64, base: Revision, state: Vec<u8>) {
        self.listen(now);
        let last = Revision(self.cur.no.0.saturating_add(self.queue.len() as u64));
        if self.is_sequencer() && self.well() && base == last && self.queue.len() < MOST_PROPOSALS {
            self.queue.push_back((proposal, Arc::from(state)));
            self.start_change();
        } else {
            self.actions.push_back(Action::Refused { proposal });
        }
        self.settle();
    }

    /// What is to be done; none: nothing more until an input or the last `Wake`.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() {
            self.listen(now);
            self.tick();
            self.settle();
        }
        if let Some(order) = self.actions.pop_front() {
            return Some(order);
        }
        let due = self.due();
        if self.wake == Some(due) {
            return None;
        }
        self.wake = Some(due);
        Some(Action::Wake { after: due - now })
    }

    /// The view that is in force, as far as this member knows, if it is in one.
    pub fn view(&self) -> Option<&View> {
        self.entered.as_ref()
    }

    /// Whether proposals are taken here.
    pub fn is_sequencer(&self) -> bool {
        self.force && !self.stopped() && self.leads()
    }

    pub fn sequencer(&self) -> Option<&Member> {
        self.entered.as_ref().and_then(|view| view.members.first())
    }

    /// Whether a majority has vouched within `lease` that the view stands, and no change older than
    /// that is in doubt: what is delivered here is no older than `lease`.
    pub fn holds_lease(&self, now: Nanos) -> bool {
        if !self.force || self.stopped() || self.entered.is_none() {
            return false;
        }
        let view = &self.cur.base.view;
        let recent = |at: Nanos| now - at <= self.facts.lease;
        let vouching = voters(view).filter(|member| {
            member.id == self.facts.me.id
                || self.peers.get(&member.id).is_some_and(|peer| {
                    peer.told.view == view.number
                        && !peer.told.stopped
                        && !peer.told.asks
                        && peer.echoed.is_some_and(recent)
                })
        });
        let Some((delivered, _)) = &self.delivered else { return false };
        // What is delivered may be from before this member was left out, while it holds a change under way.
        if *delivered < floor(&self.cur.base) {
            return false;
        }
        let in_doubt = *delivered < self.cur.no;
        vouching.count() > voters(view).count() / 2 && (!in_doubt || recent(self.unsettled))
    }

    /// The newest state that was delivered, and its place in the order.
    pub fn delivered(&self) -> Option<(Revision, &[u8])> {
        self.delivered.as_ref().map(|(no, state)| (*no, &state[..]))
    }

    // What others ask of: small questions.

    pub(crate) fn me(&self) -> MemberId {
        self.facts.me.id
    }

    pub(crate) fn stopped(&self) -> bool {
        self.cur.promise != ProposalNumber::default()
    }

    /// First of the view, and nothing of an earlier life can be on its way.
    pub(crate) fn leads(&self) -> bool {
        let view = &self.cur.base.view;
        view.number > self.barred && view.members.first().is_some_and(|member| member.id == self.me())
    }

    /// Has the whole of what the view began with, and is to store what follows.
    pub(crate) fn holds(&self) -> bool {
        self.cur.held == self.cur.base.view.number && is_member(&self.cur.base.view, &self.facts.me)
    }

    pub(crate) fn well(&self) -> bool {
        let slow = |writing: &PendingWrite| self.now - writing.since > self.facts.suspect_after.times(0.5);
        self.host_well && self.failed.is_none() && !self.writing.as_ref().is_some_and(slow)
    }

    /// In touch both ways.
    pub(crate) fn fresh(&self, peer: &Peer) -> bool {
        let limit = self.facts.suspect_after;
        self.now - peer.heard <= limit && peer.echoed.is_some_and(|at| self.now - at <= limit)
    }

    /// Another life of a disk has been heard from the member's address since.
    pub(crate) fn replaced(&self, member: &Member) -> bool {
        if member.id == MemberId(0) || member.id == self.me() {
            return false;
        }
        let known = self.peers.get(&member.id);
        let addr = known.map_or(member.addr, |peer| peer.told.who.addr);
        let heard = known.map(|peer| peer.heard);
        addr == self.facts.me.addr
            || self.peers.values().any(|other| {
                other.told.who.id != member.id && other.told.who.addr == addr && Some(other.heard) > heard
            })
    }

    pub(crate) fn is_me(&self, member: &Member) -> bool {
        member.id == self.me()
    }

    /// Whether silence means something by now: neither a start nor a sleep was just before.
    pub(crate) fn has_listened(&self, now: Nanos) -> bool {
        now - self.listen_from > self.facts.suspect_after
    }

    pub(crate) fn order(&mut self, order: Action) {
        self.actions.push_back(order);
    }

    /// Listened for long enough, and not in touch.
    pub(crate) fn suspected(&self, member: &Member) -> bool {
        if member.id == self.me() {
            return false;
        }
        let fresh = self.peers.get(&member.id).is_some_and(|peer| self.fresh(peer));
        self.replaced(member) || (!fresh && self.has_listened(self.now))
    }

    /// Where a member listens now.
    pub(crate) fn addr(&self, member: &Member) -> SocketAddrV4 {
        self.peers.get(&member.id).map_or(member.addr, |peer| peer.told.who.addr)
    }

    /// The next of the seeded chance (splitmix64).
    pub(crate) fn draw(&mut self) -> u64 {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.chance;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A random part of a span.
    pub(crate) fn part_of(&mut self, span: Nanos) -> Nanos {
        span.times((self.draw() >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Asks what its disk had vouched for, and for so long that nobody waits for it.
    pub(crate) fn asks_long(&self, peer: &Peer) -> bool {
        peer.asks_since.is_some_and(|since| self.now - since > self.facts.suspect_after.times(2.0))
    }

    fn learn(&mut self, addr: SocketAddrV4) -> bool {
        addr != self.facts.me.addr && self.addrs.len() < 2 * MOST_PEERS && self.addrs.insert(addr)
    }

    // Words out.

    pub(crate) fn say(&mut self, to: SocketAddrV4, word: Message) {
        if to == self.facts.me.addr {
            self.inner.push_back(word);
        } else {
            self.actions.push_back(Action::Say { to, word });
        }
    }

    /// Says it once all that is known now is on disk.
    pub(crate) fn say_safely(&mut self, to: SocketAddrV4, word: Message) {
        if self.plant == Some(SeededBug::WordBeforeDisk) {
            return self.say(to, word);
        }
        if self.dirty {
            if self.waiting.len() >= MOST_WAITING {
                self.waiting.pop_front();
            }
            self.waiting.push_back((to, word));
            return;
        }
        match &mut self.writing {
            Some(writing) if writing.words.len() < MOST_WAITING => writing.words.push_back((to, word)),
            Some(_) => {}
            None => self.say(to, word),
        }
    }

    /// What is to be on disk has changed.
    pub(crate) fn touch(&mut self) {
        self.dirty = true;
    }

    fn write(&mut self) {
        let again = self.failed.is_none_or(|at| self.now - at >= self.facts.suspect_after.times(0.5));
        if !self.dirty || self.writing.is_some() || !self.host_well || !again {
            return;
        }
        self.tickets += 1;
        let ticket = WriteId(self.tickets);
        self.dirty = false;
        self.cur.marks = self.marks_to_keep();
        self.writing = Some(PendingWrite {
            ticket,
            since: self.now,
            safe: (self.cur.base.view.number, self.cur.held, self.cur.no),
            mark: self.cur.mark(),
            words: std::mem::take(&mut self.waiting),
        });
        self.actions.push_back(Action::Store { ticket, saved: self.cur.clone() });
    }

    // Time.

    pub(crate) fn listen(&mut self, now: Nanos) {
        let now = now.max(self.now);
        // One that has slept knows nothing of the others: it listens before it suspects anybody.
        if now - self.now > self.facts.suspect_after.times(0.5) {
            self.listen_from = now;
        }
        self.now = now;
    }

    pub(crate) fn settle(&mut self) {
        self.prove();
        while let Some(word) = self.inner.pop_front() {
            self.hear(self.facts.me.addr, word);
        }
        let least = self.facts.pulse_every.times(0.25);
        if self.pulse_soon && self.now - self.pulsed >= least {
            self.pulse();
        }
        self.confirm();
        self.write();
    }

    fn tick(&mut self) {
        if self.now >= self.pulse_at {
            self.pulse();
        }
        self.resend_change();
        self.tick_run();
        self.consider();
    }

    fn due(&self) -> Nanos {
        let mut due = self.pulse_at;
        let mut sooner = |at: Nanos| {
            if at > self.now && at < due {
                due = at;
            }
        };
        if self.pulse_soon {
            sooner(self.pulsed + self.facts.pulse_every.times(0.25));
        }
        if let Some(run) = &self.run {
            sooner(run.due());
        }
        if let Some((since, delay)) = self.reason {
            sooner(since + delay);
        }
        sooner(self.backoff_until);
        let just_over = Nanos(self.facts.suspect_after.0.saturating_add(1));
        for member in &self.cur.base.view.members {
            if let Some(peer) = self.peers.get(&member.id) {
                sooner(peer.heard + just_over);
            }
        }
        due
    }

    fn pulse(&mut self) {
        self.pulse_soon = false;
        self.pulsed = self.now;
        self.pulse_at = self.now + self.facts.pulse_every;
        let view = &self.cur.base.view;
        let mut hears: Vec<MemberId> = Vec::new();
        let mut to: BTreeMap<SocketAddrV4, (u64, u64)> = BTreeMap::new();
        for (id, peer) in &self.peers {
            if self.fresh(peer) {
                hears.push(*id);
            }
            if self.now - peer.heard <= self.facts.suspect_after {
                to.insert(peer.told.who.addr, (peer.told.life, peer.told.at));
            }
        }
        let deaf = view.members.iter().filter(|member| self.suspected(member)).map(|member| member.id);
        let deaf = deaf.collect();
        let next = self.cur.vouched.iter().flat_map(|vouched| &vouched.next.view.members);
        for member in view.members.iter().chain(next) {
            to.entry(self.addr(member)).or_default();
        }
        // One who is alone asks everywhere: those it knew may all be gone.
        let in_touch = voters(view).filter(|member| !self.suspected(member)).count();
        // Those whom a forced view has closed out may be content with each other, and hear of it only so.
        let closes_out =
            era(view.number) > 0 && view.members.first().is_some_and(|first| first.id == self.me());
        if closes_out
            || !self.force
            || in_touch <= voters(view).count() / 2
            || !is_member(view, &self.facts.me)
        {
            for addr in &self.addrs {
                to.entry(*addr).or_default();
            }
        }
        to.remove(&self.facts.me.addr);
        let pulse = PeerHeartbeat {
            who: self.facts.me.clone(),
            view: self.safe.0,
            held: self.safe.1,
            no: self.safe.2,
            promise: self.past.safe.promise.1,
            vouched: self.past.safe.vouched.1,
            asks: !self.past.proven,
            commit: self.commit,
            force: self.force && self.safe.0 == view.number,
            stopped: self.stopped(),
            well: self.well() && !self.past.condemned,
            life: self.life,
            at: self.now.0,
            echo: (0, 0),
            hears,
            deaf,
        };
        for (to, echo) in to {
            self.say(to, Message::Pulse(PeerHeartbeat { echo, ..pulse.clone() }));
        }
        // Words may be lost, and the view may have changed since they were asked.
        self.ask_voters();
    }

    // Words in.

    pub(crate) fn hear(&mut self, from: SocketAddrV4, word: Message) {
        let Some(word) = self.admit(from, word) else { return };
        match word {
            Message::Pulse(pulse) => self.hear_pulse(from, pulse),
            Message::Recall { who, of, life, mark } => self.hear_recall(who, of, life, mark),
            Message::Told { base } => {
                if base.view.number > self.cur.base.view.number {
                    self.move_to(base);
                    self.pulse_soon = true;
                }
            }
            Message::Whole { base, no, state } => self.hear_whole(base, no, state),
            Message::Change { view, no, state } => self.hear_change(from, view, no, state),
            Message::Have { who, view, no } => {
                self.note_mark(who, DurableProgress { held: (view, no), ..DurableProgress::default() });
                if let Some(peer) = self.peers.get_mut(&who)
                    && (view, no) > (peer.held, peer.no)
                {
                    (peer.held, peer.no) = (view, no);
                }
                self.take();
            }
            Message::Commit { view, no } => {
                if view == self.cur.base.view.number && self.holds() && !self.leads() {
                    self.commit = self.commit.max(no);
                    self.go_in_force();
                }
            }
            Message::Stop { ballot, base, no } => self.hear_stop(from, ballot, base, no),
            Message::Stopped { who, ballot, base, holds, state, vouched } => {
                self.hear_stopped(who, ballot, base, holds, state, vouched);
            }
            Message::Outdone { base, promise } => self.hear_outdone(base, promise),
            Message::Install { ballot, base, next, no, state } => {
                self.hear_install(from, ballot, base, next, no, state);
            }
            Message::Installed { who, ballot, base } => self.hear_installed(who, ballot, base),
            Message::Chosen { ballot, base, force } => self.hear_chosen(ballot, base, force),
            Message::Confirm { view, life, round } => self.hear_confirm(from, view, life, round),
            Message::Confirmed { who, view, life, round } => self.hear_confirmed(who, view, life, round),
        }
    }

    fn hear_pulse(&mut self, from: SocketAddrV4, told: PeerHeartbeat) {
        let id = told.who.id;
        if id == self.me() || id == MemberId(0) {
            return;
        }
        self.learn(from);
        if !self.peers.contains_key(&id) && self.peers.len() >= MOST_PEERS {
            let base = &self.cur.base.view;
            let stalest = self.peers.iter().filter(|(id, _)| voters(base).all(|member| member.id != **id));
            match stalest.min_by_key(|(_, peer)| peer.heard).map(|(id, _)| *id) {
                Some(stalest) => self.peers.remove(&stalest),
                None => return,
            };
        }
        let was = self.peers.get(&id).is_some_and(|peer| self.fresh(peer));
        let away = self.peers.get(&id).is_none_or(|peer| {
            self.now - peer.heard > self.facts.suspect_after || peer.told.life != told.life
        });
        if let Some(peer) = self.peers.get(&id)
            && peer.told.life == told.life
            && peer.told.at >= told.at
        {
            return; // doubled or overtaken
        }
        let now = self.now;
        let peer = self.peers.entry(id).or_insert_with(|| Peer {
            told: told.clone(),
            heard: now,
            echoed: None,
            held: told.held,
            no: told.no,
            slow_until: Nanos(0),
            whole_at: None,
            asks_since: None,
        });
        peer.heard = now;
        if told.echo.0 == self.life && told.echo.1 <= now.0 {
            peer.echoed = peer.echoed.max(Some(Nanos(told.echo.1)));
        }
        if (told.held, told.no) > (peer.held, peer.no) {
            (peer.held, peer.no) = (told.held, told.no);
        }
        peer.asks_since = told.asks.then(|| peer.asks_since.unwrap_or(now));
        peer.told = told.clone();
        let is = self.peers.get(&id).is_some_and(|peer| self.fresh(peer));
        self.pulse_soon |= is != was || away || told.view > self.cur.base.view.number;
        self.recall(from, &told);
        self.give_up_copy(&told);
        self.catch_up(from, &told);
        self.heed(&told);
        self.force_when_all_hold();
        self.take();
    }

    /// What the sequencer's pulse says of the view and of what is taken in it.
    pub(crate) fn heed(&mut self, told: &PeerHeartbeat) {
        let id = told.who.id;
        let view = &self.cur.base.view;
        if told.view == view.number
            && told.force
            && !self.force
            && self.holds()
            && !self.stopped()
            && !self.leads()
        {
            let sequencer = view.members.first().map(|member| member.id);
            if sequencer != Some(self.me()) && sequencer == Some(id) {
                self.commit = self.commit.max(told.commit);
                self.go_in_force();
            }
        } else if told.view == view.number && self.force && !self.leads() {
            self.commit = self.commit.max(told.commit);
            self.deliver();
        }
    }

    /// Gives one that is behind what it lacks: the state if it is in the view, else word of it.
    fn catch_up(&mut self, from: SocketAddrV4, told: &PeerHeartbeat) {
        let view = &self.cur.base.view;
        let behind = told.view < view.number;
        if (!behind && (told.view > view.number || told.held >= view.number)) || !self.may_tell() {
            return;
        }
        let inside =
            view.number > ViewNumber(0) && view.members.iter().any(|member| member.id == told.who.id);
        let first = view.members.first();
        let first_does = first.is_some_and(|first| {
            first.id != self.me()
                && first.id != told.who.id
                && self.peers.get(&first.id).is_some_and(|peer| {
                    self.fresh(peer) && peer.told.view == view.number && peer.told.held == view.number
                })
        });
        if !inside || !self.holds() {
            if behind {
                let base = self.cur.base.clone();
                self.say(from, Message::Told { base });
            }
            return;
        }
        if first_does {
            return;
        }
        let (now, pause) = (self.now, self.facts.pulse_every);
        if let Some(peer) = self.peers.get_mut(&told.who.id)
            && peer.whole_at.is_none_or(|at| now - at >= pause)
        {
            peer.whole_at = Some(now);
            let (base, no, state) = (self.cur.base.clone(), self.cur.no, self.cur.state.clone());
            self.say(from, Message::Whole { base, no, state });
        }
    }

    fn hear_whole(&mut self, base: ChosenView, no: Revision, state: Arc<[u8]>) {
        if base.view.number > self.cur.base.view.number {
            self.move_to(base.clone());
        }
        let newer = self.cur.held < base.view.number || self.cur.no < no;
        let mine = base == self.cur.base && is_member(&base.view, &self.facts.me);
        if mine && newer && !self.stopped() && !(self.leads() && self.holds()) {
            // In the same view a later number means that all before it are taken.
            if self.holds() && self.cur.no < no {
                self.commit = self.commit.max(Revision(no.0.saturating_sub(1)));
                self.deliver();
            }
            (self.cur.held, self.cur.no, self.cur.state) = (base.view.number, no, state);
            self.touch();
        }
    }

    /// Takes over a view that is known to be chosen. Its state comes along only if it is the one
    /// that this member vouched for; else the newest state only remembers until `Whole` comes.
    pub(crate) fn move_to(&mut self, base: ChosenView) {
        if base.view.number <= self.cur.base.view.number {
            return;
        }
        if self.closed_out(&base) && self.plant != Some(SeededBug::UnfencedForce) {
            return self.renew();
        }
        if era(base.view.number) > era(self.cur.base.view.number) {
            // An operator has vouched for this disk, whatever is missing on it.
            (self.past.proven, self.past.condemned) = (true, false);
        }
        let vouched = self.cur.vouched.take().filter(|vouched| vouched.next == base);
        if let Some(vouched) = vouched {
            if let Some(state) = vouched.state {
                self.cur.state = state;
            }
            (self.cur.held, self.cur.no) = (base.view.number, vouched.no);
        }
        for member in voters(&base.view) {
            if member.addr != self.facts.me.addr && self.addrs.len() < 2 * MOST_PEERS {
                self.addrs.insert(member.addr);
            }
        }
        let was = self.cur.base.view.number;
        self.cur.promise = ProposalNumber::default();
        self.seen_round = 0;
        self.commit = floor(&base);
        self.cur.base = base;
        self.reindex();
        self.force = false;
        self.run = None;
        self.reason = None;
        self.ballot_heard = None;
        self.unsettled = self.now;
        self.touch();
        if let Some(flight) = self.flight.take() {
            self.unclear.push((flight.proposal, was, flight.no));
        }
        for (proposal, _) in std::mem::take(&mut self.queue) {
            self.actions.push_back(Action::Refused { proposal });
        }
        self.clear_up();
        if !is_member(&self.cur.base.view, &self.facts.me) && self.entered.take().is_some() {
            self.actions.push_back(Action::Left);
        }
    }

    /// What became of proposals that were on their way when their view ended: taken if the next
    /// view began at their number or above.
    fn clear_up(&mut self) {
        let base = self.cur.base.clone();
        let force = self.force;
        let guesses = self.plant == Some(SeededBug::FloorGuessed);
        let orders = &mut self.actions;
        self.unclear.retain(|(proposal, view, no)| {
            let next = ViewNumber(view.0.saturating_add(1));
            let Some((_, floor)) = base.floors.iter().find(|(view, _)| *view == next) else {
                if guesses {
                    orders.push_back(Action::Refused { proposal: *proposal });
                }
                return base.floors.first().is_some_and(|(oldest, _)| *oldest <= next);
            };
            if floor < no {
                orders.push_back(Action::Refused { proposal: *proposal });
            } else if force || base.view.number > next {
                orders.push_back(Action::Taken { proposal: *proposal, no: *no });
            } else {
                return true; // chosen, but perhaps not yet on all disks
            }
            false
        });
    }

    pub(crate) fn go_in_force(&mut self) {
        if !self.past.proven || !self.holds() || self.cur.base.view.number == ViewNumber(0) {
            return;
        }
        if !self.force {
            self.force = true;
            self.pulse_soon = true;
            self.reason = None;
            let view = self.cur.base.view.clone();
            if self.entered.as_ref() != Some(&view) {
                self.actions.push_back(Action::Entered { view: view.clone() });
                self.entered = Some(view);
            }
            self.clear_up();
        }
        self.deliver();
    }

    /// The sequencer of a view that was chosen before all had it on disk waits until they have.
    fn force_when_all_hold(&mut self) {
        let view = &self.cur.base.view;
        if self.force || self.stopped() || !self.leads() || !self.holds() || self.run.is_some() {
            return;
        }
        let all = view.members.iter().all(|member| {
            if member.id == self.me() {
                return self.safe.0 == view.number && self.safe.1 == view.number;
            }
            self.peers.get(&member.id).is_some_and(|peer| {
                peer.told.view == view.number && peer.told.held == view.number && !peer.told.stopped
            })
        });
        if all && view.members.len() > self.facts.losses {
            self.go_in_force();
        }
    }

    fn deliver(&mut self) {
        let newer = self.delivered.as_ref().is_none_or(|(no, _)| *no < self.cur.no);
        if self.force && self.holds() && self.commit >= self.cur.no && newer {
            let (no, state) = (self.cur.no, self.cur.state.clone());
            self.delivered = Some((no, state.clone()));
            self.actions.push_back(Action::Deliver { view: self.cur.base.view.number, no, state });
        }
    }

    // Changes.

    fn others(&self) -> Vec<SocketAddrV4> {
        let members = self.cur.base.view.members.iter().filter(|member| member.id != self.me());
        members.map(|member| self.addr(member)).collect()
    }

    fn start_change(&mut self) {
        if self.flight.is_some() || !self.is_sequencer() {
            return;
        }
        let Some((proposal, state)) = self.queue.pop_front() else { return };
        self.cur.no = Revision(self.cur.no.0.saturating_add(1));
        self.cur.state = state;
        self.touch();
        self.unsettled = self.now;
        let (view, no) = (self.cur.base.view.number, self.cur.no);
        let pause = self.facts.pulse_every;
        self.flight =
            Some(PendingChange { proposal, no, since: self.now, resend_at: self.now + pause, pause });
        for to in self.others() {
            self.say(to, Message::Change { view, no, state: self.cur.state.clone() });
        }
        self.take();
    }

    fn has(&self, member: &Member, no: Revision) -> bool {
        let view = self.cur.base.view.number;
        if member.id == self.me() {
            return self.safe.1 == view && self.safe.2 >= no;
        }
        self.plant == Some(SeededBug::OneDisk)
            || self.peers.get(&member.id).is_some_and(|peer| peer.held == view && peer.no >= no)
    }

    /// The change is taken once it is on the disk of every member, and on enough disks at all.
    fn take(&mut self) {
        let Some(flight) = &self.flight else { return };
        let (proposal, no) = (flight.proposal, flight.no);
        let view = &self.cur.base.view;
        if view.members.len() <= self.facts.losses || !view.members.iter().all(|member| self.has(member, no))
        {
            return;
        }
        let view = view.number;
        self.flight = None;
        self.commit = no;
        self.actions.push_back(Action::Taken { proposal, no });
        for to in self.others() {
            self.say(to, Message::Commit { view, no });
        }
        self.deliver();
        self.start_change();
    }

    fn resend_change(&mut self) {
        let (now, limit) = (self.now, self.facts.suspect_after);
        let Some(flight) = &self.flight else { return };
        let (no, late) = (flight.no, now - flight.since > limit.times(2.0));
        if now < flight.resend_at {
            return;
        }
        let members: Vec<Member> = self.cur.base.view.members.clone();
        let view = self.cur.base.view.number;
        for member in &members {
            if member.id == self.me() || self.has(member, no) {
                continue;
            }
            let to = self.addr(member);
            self.say(to, Message::Change { view, no, state: self.cur.state.clone() });
            if late && let Some(peer) = self.peers.get_mut(&member.id) {
                peer.slow_until = now + limit.times(2.0);
            }
        }
        if let Some(flight) = &mut self.flight {
            flight.pause = flight.pause.times(2.0).min(limit);
            flight.resend_at = now + flight.pause;
        }
    }

    fn hear_change(&mut self, from: SocketAddrV4, view: ViewNumber, no: Revision, state: Arc<[u8]>) {
        if view != self.cur.base.view.number || !self.holds() || self.leads() {
            self.pulse_soon |= view > self.cur.base.view.number;
            return;
        }
        let next = Revision(self.cur.no.0.saturating_add(1));
        if no == next && !self.stopped() {
            // The sequencer goes on only when the last change is on all disks, and in force.
            self.commit = self.commit.max(self.cur.no);
            self.go_in_force();
            (self.cur.no, self.cur.state) = (no, state);
            self.unsettled = self.now;
            self.touch();
        }
        if no <= self.cur.no {
            let who = self.me();
            self.say_safely(from, Message::Have { who, view, no });
        }
    }
}

/// All who vote on what follows a view.
pub(crate) fn voters(view: &View) -> impl Iterator<Item = &Member> {
    view.members.iter().chain(&view.absent)
}

/// Before view 1 members are known by address, later only by the life of their disk.
pub(crate) fn same(view: ViewNumber, seat: &Member, who: &Member) -> bool {
    if view == ViewNumber(0) { seat.addr == who.addr } else { seat.id == who.id }
}

pub(crate) fn is_member(view: &View, who: &Member) -> bool {
    view.members.iter().any(|seat| same(view.number, seat, who))
}

/// Where the view began.
pub(crate) fn floor(base: &ChosenView) -> Revision {
    base.floors.last().map_or(Revision(0), |(_, no)| *no)
}

fn sound_member(member: &Member) -> bool {
    member.zone.len() <= LONGEST_ZONE
}

fn sound_base(base: &ChosenView) -> bool {
    base.view.members.len() <= MOST_MEMBERS
        && base.view.absent.len() <= MOST_MEMBERS
        && base.floors.len() <= MOST_FLOORS
        && voters(&base.view).all(sound_member)
}

/// Words beyond all bounds are dropped whole.
fn sound(word: &Message) -> bool {
    match word {
        Message::Pulse(pulse) => {
            sound_member(&pulse.who) && pulse.hears.len() <= MOST_PEERS && pulse.deaf.len() <= MOST_PEERS
        }
        Message::Told { base } | Message::Whole { base, .. } | Message::Stop { base, .. } => sound_base(base),
        Message::Stopped { who, vouched, .. } => {
            sound_member(who) && vouched.as_ref().is_none_or(|vouched| sound_base(&vouched.next))
        }
        Message::Install { base, next, .. } => sound_base(base) && sound_base(next),
        Message::Installed { who, .. } | Message::Recall { who, .. } => sound_member(who),
        Message::Have { .. }
        | Message::Change { .. }
        | Message::Commit { .. }
        | Message::Outdone { .. }
        | Message::Chosen { .. }
        | Message::Confirm { .. }
        | Message::Confirmed { .. } => true,
    }
}

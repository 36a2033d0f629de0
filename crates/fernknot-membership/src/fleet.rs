//! One router's view of its fleet: whom to probe, whom to doubt, what to pass on.

use crate::facts::{DOUBTERS, FleetFacts, HELPERS, LATEST, LOST_TURN, SPLIT_SHARE, Variant};
use crate::member::{Cause, Incarnation, LinkState, Member, Path, RouterId, Standing, Verdict};
use crate::message::{Body, Message, Refused, Rumour, VERSION};
use crate::probe::{Helped, Pace, Probe};
use crate::report::state;
use crate::rumours::Rumours;
use fernknot::interface::Nanos;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Replies that wait for their turn, and rumours put into one message before it is cut to size.
const WAITING: usize = 64;
const RUMOURS: usize = 18;
/// Datagrams that news leaves for answers.
const NEWS_SPARE: f64 = 2.0;
/// Periods within which a second failed probe follows the first.
const SECOND_TRY: f64 = 6.0;
/// How often the time of a doubt is doubled at the most.
const MOST_DOUBLINGS: u32 = 3;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// To the router of this id. It may get lost.
    Send { to: RouterId, bytes: Vec<u8> },
    /// The word for a router has changed.
    Changed { of: RouterId, from: &'static str, to: &'static str, incarnation: Incarnation, cause: Cause },
    /// Another process goes by this router's name; the one started later yields.
    Twice { other: RouterId, yields: bool },
    /// This router shows itself by a higher incarnation, as it was held for doubted or lost by this one.
    Refuted { by: RouterId, incarnation: Incarnation },
}

pub struct Fleet {
    facts: FleetFacts,
    own: RouterId,
    name: u32,
    started: u64,
    incarnation: Incarnation,
    left: bool,
    yielded: bool,
    members: BTreeMap<RouterId, Member>,
    doubted: BTreeSet<RouterId>,
    lives: usize,
    lost: usize,
    rumours: Rumours,
    waiting: VecDeque<(RouterId, Body)>,
    steps: VecDeque<Step>,
    /// All others, from this router's own place in the ring of ids, and the part of a period by which its turns
    /// are early.
    order: Vec<RouterId>,
    phase: Nanos,
    turn: u64,
    /// One that others doubt, to be probed next.
    next_of: Option<RouterId>,
    probe: Option<Probe>,
    helped: Helped,
    next_no: u32,
    next_probe: Nanos,
    next_news: Nanos,
    pace: Pace,
    /// Own lateness, from nothing to `LATEST`.
    late: u32,
    began: Nanos,
    heard_any: Nanos,
    /// Nobody is accused before this time.
    listens_until: Nanos,
    woke_at: Nanos,
    due_at: Nanos,
    shown_at: Option<Nanos>,
    chance: ChaCha8Rng,
}

impl Fleet {
    /// `others`: the other routers of the list. `started`: the wall clock at the start, in milliseconds.
    pub fn new(
        seed: u64,
        facts: FleetFacts,
        own: RouterId,
        name: u32,
        started: u64,
        others: impl IntoIterator<Item = RouterId>,
        now: Nanos,
    ) -> Fleet {
        let mut chance = ChaCha8Rng::seed_from_u64(seed ^ u64::from(own.0));
        // Guards a fleet that starts together against probing in step.
        let first = now + facts.period.times(chance.random());
        let mut fleet = Fleet {
            pace: Pace::new(facts.datagrams_per_s, now),
            facts,
            own,
            name,
            started,
            incarnation: Incarnation(started.max(1)),
            left: false,
            yielded: false,
            members: BTreeMap::new(),
            doubted: BTreeSet::new(),
            lives: 0,
            lost: 0,
            rumours: Rumours::default(),
            waiting: VecDeque::new(),
            steps: VecDeque::new(),
            order: Vec::new(),
            phase: Nanos(facts.period.0 - first.0 % facts.period.0.max(1)),
            turn: 0,
            next_of: None,
            probe: None,
            helped: Helped::default(),
            next_no: 0,
            next_probe: first,
            next_news: first,
            late: 0,
            began: now,
            heard_any: now,
            listens_until: now,
            woke_at: now,
            due_at: first,
            shown_at: None,
            chance,
        };
        fleet.list(now, others);
        fleet
    }

    // ---- What is learned -------------------------------------------------------------------

    /// A list of the fleet, from the start or a changed configuration.
    pub fn list(&mut self, now: Nanos, others: impl IntoIterator<Item = RouterId>) {
        let listed: BTreeSet<RouterId> = others.into_iter().filter(|id| *id != self.own).collect();
        let gone: Vec<RouterId> = self.members.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in gone {
            self.members.remove(&id);
            self.doubted.remove(&id);
            self.rumours.remove(id);
        }
        for id in listed {
            self.members.entry(id).or_insert_with(|| Member::new(id, now));
        }
        let after = self.members.range(self.own..).chain(self.members.range(..self.own));
        self.order = after.map(|(id, _)| *id).collect();
        self.recount();
    }

    /// A turn of the host's loop begins. One that comes late saw nothing meanwhile: it accuses nobody of
    /// what it missed, and listens first.
    pub fn woke(&mut self, now: Nanos) {
        let late = now - self.due_at.max(self.woke_at);
        self.woke_at = now;
        if self.facts.variant == Variant::Plain || late < self.facts.period.times(0.5) {
            return;
        }
        self.add_late(1);
        self.probe = None;
        self.listens_until = self.listens_until.max(now + self.facts.period.times(2.0));
        self.next_probe = self.next_turn(now);
        for id in &self.doubted {
            if let Some(member) = self.members.get_mut(id) {
                member.doubted_at = now;
            }
        }
    }

    /// A datagram of another router. `None`: its sender is on no list.
    pub fn heard(&mut self, now: Nanos, from: Option<RouterId>, bytes: &[u8]) -> Result<(), Refused> {
        let Some(from) = from.filter(|id| self.members.contains_key(id)) else {
            return Err(Refused::Stranger);
        };
        let message = Message::read(bytes)?;
        self.heard_any = now;
        let own_word = Standing { incarnation: message.incarnation, verdict: Verdict::Alive };
        if let Some(member) = self.members.get_mut(&from) {
            member.heard = Some(now);
            if member.started != message.started {
                member.came = Some(now);
            }
            member.started = message.started;
            member.said = message.incarnation;
        }
        if message.name == self.name && !self.yielded {
            self.claimed(now, from, message.started);
        }
        self.learn(now, from, own_word, Cause { by: from, at: now, path: Path::Itself });
        self.vouch(now, from);
        for rumour in &message.rumours {
            self.rumour(now, from, rumour);
        }
        self.answer(now, from, message.body);
        Ok(())
    }

    fn answer(&mut self, now: Nanos, from: RouterId, body: Body) {
        match body {
            Body::Probe { no } => self.say(from, Body::Answer { no }),
            Body::Answer { no } => {
                if self.probe.take_if(|probe| probe.of == from && probe.no == no).is_some() {
                    self.late = self.late.saturating_sub(1);
                    self.link(from, LinkState::Both);
                }
            }
            Body::Ask { no, of } => {
                self.say(from, Body::Trying { no });
                if self.members.contains_key(&of) {
                    let own = self.number();
                    self.helped.add(own, from, no);
                    self.say(of, Body::ProbeFor { no: own, by: from });
                }
            }
            Body::ProbeFor { no, by } => {
                let since = now - self.facts.period.times(2.0);
                let heard = self.members.get(&by).and_then(|member| member.heard);
                self.say(from, Body::AnswerFor { no, by, hears: heard.is_some_and(|at| at >= since) });
            }
            Body::AnswerFor { no, hears, .. } => {
                if let Some((asker, no)) = self.helped.take(no) {
                    self.say(asker, Body::Vouch { no, hears });
                }
            }
            Body::Vouch { no, hears } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.no == no) {
                    probe.vouched = Some(hears || probe.vouched == Some(true));
                }
            }
            Body::Trying { no } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.no == no) {
                    probe.trying += 1;
                }
            }
            // It cannot know that it is held for lost unless it is told.
            Body::News => {
                if self.members.get(&from).is_some_and(|member| member.standing.verdict == Verdict::Lost) {
                    self.say(from, Body::News);
                }
            }
        }
    }

    fn rumour(&mut self, now: Nanos, from: RouterId, rumour: &Rumour) {
        if rumour.of == self.own {
            return self.refute(rumour.standing, rumour.by.unwrap_or(from));
        }
        let by = rumour.by.unwrap_or(rumour.of);
        let path = if rumour.is_own_word() && rumour.of == from { Path::Itself } else { Path::Told(from) };
        self.learn(now, rumour.of, rumour.standing, Cause { by, at: now, path });
    }

    /// Goes past what others hold of this router, once for each word: an older one finds it past already.
    fn refute(&mut self, told: Standing, by: RouterId) {
        let own = Standing { incarnation: self.incarnation, verdict: Verdict::Alive };
        if self.left || told <= own {
            return;
        }
        self.incarnation = Incarnation(told.incarnation.0 + 1);
        self.rumours.add(self.own);
        if told.verdict != Verdict::Alive {
            self.add_late(1);
        }
        self.steps.push_back(Step::Refuted { by, incarnation: self.incarnation });
    }

    /// Another process says the same name. The one that started later yields; of two of one moment, the one
    /// of the higher address.
    fn claimed(&mut self, now: Nanos, other: RouterId, started: u64) {
        let yields = (self.started, self.own) > (started, other);
        self.steps.push_back(Step::Twice { other, yields });
        if yields {
            self.yielded = true;
            self.leave(now);
        }
    }

    /// Takes a word on another router, if it goes before what is known.
    fn learn(&mut self, now: Nanos, of: RouterId, told: Standing, cause: Cause) {
        let routers = self.members.len() + 1;
        let Some(member) = self.members.get_mut(&of) else { return };
        let before = member.standing;
        // A verdict of others is a doubt here, with all the doubters that shorten it: it may have been refuted
        // where they come from. Guards the two sides of a healed split against what each held of the other.
        let hearsay = self.facts.variant == Variant::Fleet
            && matches!(cause.path, Path::Told(_))
            && told.verdict == Verdict::Lost
            && member.standing.lives()
            && told.incarnation >= member.standing.incarnation;
        if hearsay && told.incarnation == member.standing.incarnation && member.is_doubted() {
            member.doubters.resize(DOUBTERS, cause.by);
            return;
        }
        let told = if hearsay { Standing { verdict: Verdict::Doubted { round: 0 }, ..told } } else { told };
        let changed = member.standing.join(told);
        if !changed {
            // One more who doubts it shortens the doubt, and others are to know.
            let more = told == member.standing
                && member.is_doubted()
                && member.doubters.len() < DOUBTERS
                && !member.doubters.contains(&cause.by);
            if more && self.facts.variant == Variant::Fleet {
                member.doubters.push(cause.by);
                self.rumours.add(of);
            }
            return;
        }
        // Guards the news against a fleet that starts together, of which each member would be passed on by all.
        if before.incarnation.0 == 0 && member.standing.verdict == Verdict::Alive {
            self.rumours.add_low(of, routers);
        } else {
            self.rumours.add(of);
        }
        let doubted = member.is_doubted();
        if doubted {
            member.doubters = vec![cause.by; if hearsay { DOUBTERS } else { 1 }];
            member.doubted_at = now;
            self.doubted.insert(of);
        } else {
            self.doubted.remove(&of);
            member.doubters.clear();
        }
        // A start is no refutation: what was doubted before it may well have been dead.
        let was = matches!(before.verdict, Verdict::Doubted { .. } | Verdict::Lost);
        let newly = member.came.is_some_and(|at| now - at < self.facts.period);
        if was && member.standing.verdict == Verdict::Alive && before.incarnation.0 > 0 && !newly {
            member.refuted = (member.refuted_lately(now, self.facts.young()) + 1, now);
        }
        let (from, to) = (state(before), state(member.standing));
        if from == to {
            return;
        }
        let returned = before.verdict == Verdict::Lost;
        member.changes += u32::from(returned || member.standing.verdict == Verdict::Lost);
        member.cause = cause;
        let incarnation = member.standing.incarnation;
        self.lives = self.lives + usize::from(member.standing.lives()) - usize::from(before.lives());
        let lost = |standing: Standing| usize::from(standing.verdict == Verdict::Lost);
        let lost_before = self.lost;
        self.lost = self.lost + lost(member.standing) - lost(before);
        self.steps.push_back(Step::Changed { of, from, to, incarnation, cause });
        let chance = (2.0 * DOUBTERS as f64 / routers as f64).min(1.0);
        if doubted && self.facts.variant == Variant::Fleet && self.chance.random_bool(chance) {
            self.next_of = Some(of);
        }
        if returned && lost_before as f64 >= SPLIT_SHARE * routers as f64 {
            self.show(now);
        }
    }

    /// One of many that were held for lost is back: the fleet was split, and the other side holds this
    /// router for lost as well. Showing itself spares it to be told by each.
    fn show(&mut self, now: Nanos) {
        let lately = now - self.facts.young();
        if !self.left && self.shown_at.is_none_or(|at| at < lately) {
            self.shown_at = Some(now);
            self.incarnation.0 += 1;
            self.rumours.add(self.own);
        }
    }

    /// A doubted router was heard here: the doubt begins anew everywhere.
    fn vouch(&mut self, now: Nanos, of: RouterId) {
        let Some(member) = self.members.get_mut(&of) else { return };
        let Verdict::Doubted { round } = member.standing.verdict else { return };
        let rested = now - member.doubted_at >= self.facts.period;
        if self.facts.variant == Variant::Fleet && rested && round < u8::MAX {
            let told = Standing { verdict: Verdict::Doubted { round: round + 1 }, ..member.standing };
            self.learn(now, of, told, Cause { by: self.own, at: now, path: Path::Own });
        }
    }

    fn link(&mut self, of: RouterId, link: LinkState) {
        self.members.get_mut(&of).into_iter().for_each(|member| member.note_link(link));
    }

    fn add_late(&mut self, more: u32) {
        if self.facts.variant == Variant::Fleet {
            self.late = (self.late + more).min(LATEST);
        }
    }

    fn recount(&mut self) {
        self.lives = self.members.values().filter(|member| member.standing.lives()).count();
        let lost = |member: &&Member| member.standing.verdict == Verdict::Lost;
        self.lost = self.members.values().filter(lost).count();
    }

    /// This router goes, and says so.
    pub fn leave(&mut self, now: Nanos) {
        if self.left {
            return;
        }
        self.left = true;
        self.probe = None;
        self.rumours.add(self.own);
        let mut living: Vec<RouterId> = self.living_members().collect();
        living.shuffle(&mut self.chance);
        living.truncate(HELPERS);
        living.into_iter().for_each(|id| self.say(id, Body::News));
        self.next_news = now;
    }

    // ---- What is known ---------------------------------------------------------------------

    pub fn own(&self) -> (RouterId, Incarnation) {
        (self.own, self.incarnation)
    }

    pub fn has_yielded(&self) -> bool {
        self.yielded
    }

    pub fn has_left(&self) -> bool {
        self.left
    }

    /// Own lateness, from 0 to 8.
    pub fn lateness(&self) -> u32 {
        self.late
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn member(&self, id: RouterId) -> Option<&Member> {
        self.members.get(&id)
    }

    fn living_members(&self) -> impl Iterator<Item = RouterId> {
        self.members.values().filter(|member| member.standing.lives()).map(|member| member.id)
    }

    /// Routers that are held to run, this one among them, and all of the list.
    pub fn count(&self) -> (usize, usize) {
        (self.lives + usize::from(!self.left), self.members.len() + 1)
    }

    /// Nobody was heard for longer than own lateness explains.
    pub fn is_alone(&self, now: Nanos) -> bool {
        !self.members.is_empty() && now - self.heard_any > self.patience(self.facts.deaf())
    }

    /// Over half of the configured fleet runs and is within reach of this router.
    pub fn has_majority(&self, now: Nanos) -> bool {
        let (lives, all) = self.count();
        2 * lives > all && !self.is_alone(now)
    }

    /// The view has not had the time to be trusted, after a start or a pause.
    pub fn is_young(&self, now: Nanos) -> bool {
        now < self.began + self.facts.young() || now < self.listens_until
    }

    /// How many routers to share limits with: those that live. In the minority, or with a young view, the
    /// whole fleet. Guards limits of all routers together against two sides that each take the whole.
    pub fn sharers(&self, now: Nanos) -> usize {
        let (lives, all) = self.count();
        if self.is_young(now) || !self.has_majority(now) { all } else { lives.max(1) }
    }

    // ---- What is to be done ----------------------------------------------------------------

    /// When to ask again without news.
    pub fn due(&self) -> Nanos {
        let may = self.pace.due(0.0);
        let mut due = match &self.probe {
            Some(probe) if probe.asked == 0 => self.asks_at(probe).max(may),
            Some(probe) => self.ends_at(probe),
            None if self.left => Nanos(u64::MAX),
            None => self.next_probe.max(may),
        };
        if self.rumours.has_fresh() {
            due = due.min(self.next_news.max(self.pace.due(NEWS_SPARE)));
        }
        if !self.waiting.is_empty() {
            due = due.min(may);
        }
        let ripe = self.doubted.iter().filter_map(|id| self.members.get(id)).map(|one| self.ripe_at(one));
        ripe.fold(due, Nanos::min).max(self.woke_at + Nanos(1))
    }

    /// The next step, until there is none.
    pub fn next(&mut self, now: Nanos) -> Option<Step> {
        loop {
            if let Some(step) = self.steps.pop_front() {
                return Some(step);
            }
            if !self.waiting.is_empty() && self.pace.may(now, 0.0) {
                // Guards those that wait for an answer against all that others ask to be done.
                let answer = self.waiting.iter().position(|(_, body)| body.is_answer());
                let (to, body) = self.waiting.remove(answer.unwrap_or(0))?;
                return Some(self.send(now, to, body));
            }
            if self.ripen(now) {
                continue;
            }
            if let Some(step) = self.go_on(now) {
                return Some(step);
            }
            if !self.steps.is_empty() || !self.waiting.is_empty() && self.pace.may(now, 0.0) {
                continue;
            }
            if self.rumours.has_fresh() && now >= self.next_news && self.pace.may(now, NEWS_SPARE) {
                self.next_news = now + self.facts.period;
                let living: Vec<RouterId> = self.living_members().collect();
                if !living.is_empty() {
                    let to = living[self.chance.random_range(0..living.len())];
                    return Some(self.send(now, to, Body::News));
                }
            }
            self.due_at = self.due();
            return None;
        }
    }

    /// A time lengthened by own lateness.
    fn patience(&self, time: Nanos) -> Nanos {
        time.times(1.0 + f64::from(self.late) / 2.0)
    }

    fn asks_at(&self, probe: &Probe) -> Nanos {
        probe.sent + self.patience(self.facts.period.times(0.4))
    }

    fn ends_at(&self, probe: &Probe) -> Nanos {
        probe.sent + self.patience(self.facts.period)
    }

    fn ripe_at(&self, member: &Member) -> Nanos {
        let doubt = self.facts.doubt(member.doubters.len());
        if self.facts.variant == Variant::Plain {
            return member.doubted_at + doubt;
        }
        // Own lateness lengthens what this router alone, or nearly so, believes.
        let own = if member.doubters.len() < DOUBTERS { self.patience(doubt) } else { doubt };
        // Somebody hears one that was vouched for, though seldom in a large fleet: the next round has to reach all.
        let vouched = member.standing.verdict > Verdict::Doubted { round: 0 };
        let doublings = member.refuted_lately(member.doubted_at, self.facts.young()) + u32::from(vouched);
        member.doubted_at + own.times(f64::from(1u32 << doublings.min(MOST_DOUBLINGS)))
    }

    /// Whether this router's silence from others says something of them.
    fn may_accuse(&self, now: Nanos) -> bool {
        self.facts.variant == Variant::Plain || now >= self.listens_until && !self.is_alone(now)
    }

    /// Doubts whose time is over become verdicts.
    fn ripen(&mut self, now: Nanos) -> bool {
        let ripe = self.doubted.iter().filter_map(|id| self.members.get(id));
        let ripe = ripe.filter(|member| self.ripe_at(member) <= now).map(|member| member.id);
        let ripe: Vec<RouterId> = ripe.collect();
        let accuses = self.may_accuse(now);
        for id in &ripe {
            let Some(member) = self.members.get_mut(id) else { continue };
            if accuses {
                let told = Standing { verdict: Verdict::Lost, ..member.standing };
                let cause = Cause { by: self.own, at: now, path: Path::Own };
                self.learn(now, *id, told, cause);
            } else {
                member.doubted_at = now;
            }
        }
        !ripe.is_empty() && accuses
    }

    /// Probes: the one under way, and the next.
    fn go_on(&mut self, now: Nanos) -> Option<Step> {
        if let Some(probe) = self.probe.clone() {
            if probe.asked == 0 && now >= self.asks_at(&probe) {
                // Guards against a question that waits for its turn and a loop that waits for none.
                if self.pace.may(now, 0.0) {
                    self.ask_others(&probe);
                }
            } else if now >= self.ends_at(&probe) {
                self.probe = None;
                self.conclude(now, &probe);
            }
            return None;
        }
        if self.left || now < self.next_probe || !self.pace.may(now, 0.0) {
            return None;
        }
        self.next_probe = self.next_turn(now);
        let of = self.next_target(now)?;
        let no = self.number();
        self.probe = Some(Probe { of, no, sent: now, asked: 0, trying: 0, vouched: None });
        Some(self.send(now, of, Body::Probe { no }))
    }

    /// When the next turn of this router begins.
    fn next_turn(&self, now: Nanos) -> Nanos {
        let period = self.facts.period.0.max(1);
        Nanos(((now.0 + self.phase.0) / period + 1) * period - self.phase.0)
    }

    fn ask_others(&mut self, probe: &Probe) {
        // Those that were heard lately go first. Guards against asking the dead where many died at once.
        let lately = probe.sent - self.facts.deaf();
        let living = self.members.values().filter(|one| one.standing.lives() && one.id != probe.of);
        let mut helpers: Vec<(bool, RouterId)> =
            living.map(|one| (one.heard.is_none_or(|at| at < lately), one.id)).collect();
        helpers.shuffle(&mut self.chance);
        helpers.sort_by_key(|(silent, _)| *silent);
        helpers.truncate(HELPERS);
        let helpers: Vec<RouterId> = helpers.into_iter().map(|(_, id)| id).collect();
        if let Some(held) = &mut self.probe {
            // At least one, so that nobody is asked twice where there is nobody.
            held.asked = helpers.len().max(1);
        }
        helpers.into_iter().for_each(|id| self.say(id, Body::Ask { no: probe.no, of: probe.of }));
        // And once more itself, as one datagram may just have been lost.
        self.say(probe.of, Body::Probe { no: probe.no });
    }

    /// A probe was not answered directly.
    fn conclude(&mut self, now: Nanos, probe: &Probe) {
        let Some(member) = self.members.get(&probe.of) else { return };
        let plain = self.facts.variant == Variant::Plain;
        let hears = member.heard.is_some_and(|at| at >= probe.sent);
        if let Some(heard_us) = probe.vouched {
            let lately = member.heard.is_some_and(|at| at + self.facts.young() >= now);
            let link = match (heard_us, lately) {
                (true, _) => LinkState::OnlyOut,
                (false, true) => LinkState::OnlyIn,
                (false, false) => LinkState::Cut,
            };
            return self.link(probe.of, link);
        }
        if hears && !plain {
            return self.link(probe.of, LinkState::OnlyIn);
        }
        let (standing, unheard) = (member.standing, member.standing.incarnation.0 == 0);
        // Not even the helpers were heard: the fault is likelier here. Guards the others against a router whose
        // words are lost while it still hears theirs.
        let unhelped = probe.trying == 0 && probe.asked > 1;
        if unhelped {
            self.add_late(1);
        }
        let accuses = self.may_accuse(now) && (plain || self.heard_any >= probe.sent && !unhelped);
        let young = unheard && now < self.began + self.facts.young();
        if !accuses || young || matches!(standing.verdict, Verdict::Lost | Verdict::Left) {
            return;
        }
        // One failure is tried again at once. Guards the news of the fleet against a doubt for each few datagrams
        // that are lost, of which a large fleet has more than it could pass on.
        let before = now - self.facts.period.times(SECOND_TRY);
        let again =
            self.members.get_mut(&probe.of).is_some_and(|member| member.missed.replace(now) >= Some(before));
        if !plain && !again && standing.verdict == Verdict::Alive {
            self.next_of = Some(probe.of);
            return;
        }
        let round = match standing.verdict {
            Verdict::Doubted { round } => round,
            _ => 0,
        };
        let told = Standing { verdict: Verdict::Doubted { round }, ..standing };
        self.learn(now, probe.of, told, Cause { by: self.own, at: now, path: Path::Own });
    }

    /// The one whose turn it is: all routers step along one ring at one pace by the clock, each from its own
    /// place, so that each is probed once a period by some other. A clock that is off only makes that uneven.
    /// Now and then it is one that is held for lost.
    fn next_target(&mut self, now: Nanos) -> Option<RouterId> {
        self.turn += 1;
        if let Some(of) = self.next_of.take().filter(|of| self.is_target(*of)) {
            return Some(of);
        }
        if self.lost > 0 && self.turn.is_multiple_of(LOST_TURN) {
            let lost = |member: &&Member| member.standing.verdict == Verdict::Lost;
            let lost: Vec<RouterId> = self.members.values().filter(lost).map(|member| member.id).collect();
            return Some(lost[self.chance.random_range(0..lost.len())]);
        }
        let others = self.order.len() as u64;
        let step = match self.facts.variant {
            Variant::Fleet => (now.0 + self.phase.0) / self.facts.period.0.max(1),
            Variant::Plain => self.turn,
        };
        let place = if others > 0 { step % others } else { return None };
        if self.facts.variant == Variant::Plain && place == 0 {
            self.order.shuffle(&mut self.chance);
        }
        let whose = Some(self.order[place as usize]).filter(|id| self.is_target(*id));
        // The turn of one that is gone goes to any other.
        whose.or_else(|| {
            let rest: Vec<RouterId> = self.order.iter().copied().filter(|id| self.is_target(*id)).collect();
            (!rest.is_empty()).then(|| rest[self.chance.random_range(0..rest.len())])
        })
    }

    fn is_target(&self, id: RouterId) -> bool {
        let verdict = self.members.get(&id).map(|member| member.standing.verdict);
        verdict.is_some_and(|verdict| !matches!(verdict, Verdict::Lost | Verdict::Left))
    }

    fn number(&mut self) -> u32 {
        self.next_no = self.next_no.wrapping_add(1);
        self.next_no
    }

    fn say(&mut self, to: RouterId, body: Body) {
        // Guards memory against a flood of questions; what is left out is asked again.
        if self.waiting.len() < WAITING {
            self.waiting.push_back((to, body));
        }
    }

    fn send(&mut self, now: Nanos, to: RouterId, body: Body) -> Step {
        self.pace.take(now);
        let mut rumours = Vec::new();
        let verdict = if self.left { Verdict::Left } else { Verdict::Alive };
        let own =
            Rumour { of: self.own, standing: Standing { incarnation: self.incarnation, verdict }, by: None };
        if self.left {
            rumours.push(own);
        }
        // Whoever is doubted or lost is told so first, and by whom, as it alone can refute that.
        let theirs = self.members.get(&to).filter(|member| member.heard.is_some() && !member.is_plain());
        rumours.extend(theirs.map(Self::rumour_of));
        let first = rumours.len();
        let picked = self.rumours.pick(RUMOURS);
        let picked: Vec<RouterId> =
            picked.into_iter().filter(|id| *id != to && !(self.left && *id == self.own)).collect();
        for id in &picked {
            let rumour = if *id == self.own { Some(own) } else { self.members.get(id).map(Self::rumour_of) };
            rumours.extend(rumour);
        }
        // One that has just started knows nobody, and is told of some at each occasion.
        let new = |member: &Member| member.came.is_some_and(|at| now - at < self.facts.young());
        if self.facts.variant == Variant::Fleet && self.members.get(&to).is_some_and(new) {
            for _ in rumours.len()..RUMOURS.min(self.order.len()) {
                let any = self.order[self.chance.random_range(0..self.order.len())];
                let lives = self.members.get(&any).filter(|member| member.standing.lives() && any != to);
                rumours.extend(lives.map(Self::rumour_of));
            }
        }
        let mut message = Message {
            version: VERSION,
            name: self.name,
            started: self.started,
            incarnation: self.incarnation,
            body,
            rumours,
        };
        let (bytes, kept) = message.write(self.facts.datagram);
        let routers = self.members.len() + 1;
        picked.iter().take(kept.saturating_sub(first)).for_each(|id| self.rumours.passed_on(*id, routers));
        if self.left {
            self.rumours.passed_on(self.own, routers);
        }
        Step::Send { to, bytes }
    }

    /// Doubters are told in turn, so that each is known in the end.
    fn rumour_of(member: &Member) -> Rumour {
        let by = match member.standing.verdict {
            Verdict::Doubted { .. } => member.doubters.last().copied(),
            Verdict::Lost => Some(member.cause.by),
            _ => None,
        };
        Rumour { of: member.id, standing: member.standing, by }
    }
}

//! What befalls the machines, and when: a schedule drawn from the seed before the play begins.

use crate::chance::Rng;
use crate::play::FOUNDERS;
use crate::world::{Event, FIRST_LISTENER, MOST_MACHINES, Simulation, WriteBehavior, ms};
use fernknot::interface::Nanos;

/// When a trouble that is due comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// At its time.
    Now,
    /// Right after the next acknowledgement of a change.
    Acknowledged,
    /// Right after the next sending of a change.
    Sent,
    /// As a registrar enters its next view.
    HandOver,
    /// As a machine returns.
    Return,
    /// As a machine is cut off.
    Cut,
}

/// Whom it befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Who leads by the newest view that anybody entered.
    Sequencer,
    /// Who acknowledged a change last.
    LastAcknowledger,
    /// One of those that run, by its place.
    Any(usize),
}

/// Which way nothing goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    In,
    Out,
}

/// What happens. Spans are how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The process ends at once; writes under way may be kept or lost.
    Kill,
    /// The machine is without power for a while.
    Power,
    /// All are killed, or lose power, at once.
    All {
        power: bool,
        wiped: bool,
    },
    /// The machine comes back with an empty disk.
    Wipe,
    /// From the other registrars; with `listeners` also from the gateways. Operators and nodes reach either side.
    CutOff {
        way: Direction,
        listeners: bool,
    },
    /// From one other registrar only.
    CutPair {
        way: Direction,
    },
    /// All connections of the machine end.
    Reset,
    Freeze,
    DiskFull,
    DiskHangs,
    DiskSlow,
    LinkSlow,
    /// Answers to callers are lost on their way.
    AnswersLost,
    /// The machine goes for good; another comes at another address, with an empty disk.
    Replace,
    /// SIGTERM, and a start.
    Restart,
    /// Eight orders at once, on one version.
    Race,
    /// Orders and resends without a pause.
    Storm,
    /// Reads, orders and resends at one machine, again and again.
    Besiege,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub at: Nanos,
    pub trigger: Trigger,
    pub target: Target,
    pub what: FaultKind,
    pub lasts: Nanos,
}

impl FaultKind {
    /// Whether a machine counts as lost by it.
    pub fn loses(self) -> bool {
        !matches!(
            self,
            FaultKind::Reset
                | FaultKind::AnswersLost
                | FaultKind::Race
                | FaultKind::Storm
                | FaultKind::Besiege
        )
    }
}

/// A schedule between two moments.
pub fn schedule(chance: &Rng, from: Nanos, to: Nanos) -> Vec<Fault> {
    let mut list = Vec::new();
    let mut at = from;
    while at < to {
        let trigger = match chance.below(12) {
            0..4 => Trigger::Now,
            4..6 => Trigger::Acknowledged,
            6 => Trigger::Sent,
            7..9 => Trigger::HandOver,
            9..11 => Trigger::Return,
            _ => Trigger::Cut,
        };
        let target = match chance.below(6) {
            0..3 => Target::Sequencer,
            3 => Target::LastAcknowledger,
            _ => Target::Any(chance.below(16)),
        };
        let way = chance
            .pick(&[Direction::Both, Direction::Both, Direction::In, Direction::Out])
            .unwrap_or(Direction::Both);
        let (what, longest) = match chance.below(26) {
            0 => (FaultKind::Kill, 4000),
            1 => (FaultKind::Power, 4000),
            2 => (FaultKind::All { power: chance.one_in(2), wiped: chance.one_in(3) }, 1500),
            3 => (FaultKind::Wipe, 3000),
            4..8 => (FaultKind::CutOff { way, listeners: chance.one_in(2) }, 12_000),
            8 => (FaultKind::CutPair { way }, 8000),
            9 | 21..24 => (FaultKind::Reset, 10),
            10 | 11 => (FaultKind::Freeze, 6000),
            12 => (FaultKind::DiskFull, 4000),
            13 => (FaultKind::DiskHangs, 4000),
            14 => (FaultKind::DiskSlow, 4000),
            15 => (FaultKind::LinkSlow, 4000),
            16 => (FaultKind::AnswersLost, 8000),
            17 => (FaultKind::Replace, 2000),
            18 => (FaultKind::Restart, 500),
            19 | 20 | 24 => (FaultKind::Besiege, 1500),
            _ => (if chance.one_in(2) { FaultKind::Race } else { FaultKind::Storm }, 3000),
        };
        // A third are short: who comes back soon meets answers to its earlier life.
        let longest = if chance.one_in(3) { ms(longest).min(SHORT) } else { ms(longest) };
        let lasts = chance.between(ms(5), longest);
        list.push(Fault { at, trigger, target, what, lasts });
        at = at + chance.between(ms(100), ms(3500));
    }
    list
}

// What they do.

/// What is over so soon is not noticed by all.
const SHORT: Nanos = Nanos(300_000_000);
/// A trouble that waits for its moment comes without it after this.
const PATIENCE: Nanos = Nanos(5_000_000_000);

impl Simulation {
    pub fn due(&mut self, at: usize) {
        if self.callers.closing || self.healing {
            return;
        }
        match self.troubles[at].trigger {
            Trigger::Now => self.fire(at),
            _ => {
                self.armed.insert(at);
                self.later(PATIENCE, Event::Fire(at));
            }
        }
    }

    /// Something has happened that a trouble may wait for.
    pub fn trigger(&mut self, trigger: Trigger) {
        let waits = self.armed.iter().copied().find(|at| self.troubles[*at].trigger == trigger);
        if let Some(at) = waits {
            self.armed.remove(&at);
            let wait = self.chance.between(Nanos(0), ms(15));
            self.later(wait, Event::Fire(at));
        }
    }

    fn lost(&self) -> Vec<usize> {
        let lost = |at: &usize| {
            let machine = &self.machines[*at];
            !machine.removed && (machine.troubles > 0 || machine.lost_until > self.now)
        };
        (0..self.machines.len()).filter(lost).collect()
    }

    fn target(&self, target: Target) -> Option<usize> {
        let up: Vec<usize> = (0..self.machines.len()).filter(|at| self.machines[*at].runs()).collect();
        let wanted = match target {
            Target::Sequencer => self.sequencer,
            Target::LastAcknowledger => self.last_acknowledger,
            Target::Any(at) => up.get(at % up.len().max(1)).copied(),
        };
        wanted.filter(|at| up.contains(at)).or(up.first().copied())
    }

    /// It happens, unless more would be lost than the budget allows.
    pub fn fire(&mut self, no: usize) {
        let Fault { target, what, lasts, .. } = self.troubles[no];
        self.armed.remove(&no);
        if self.healing || !self.fired.insert(no) {
            return;
        }
        let mut at = match self.target(target) {
            Some(at) => at,
            None => return,
        };
        if what == FaultKind::Besiege {
            at = self.last_back.unwrap_or(at);
        }
        let lost = self.lost();
        if what.loses() {
            let others = lost.iter().filter(|other| **other != at).count();
            let all = matches!(what, FaultKind::All { .. });
            if !self.facts.beyond && (others >= self.facts.losses || all && !lost.is_empty()) {
                return self.say(|| format!("({what:?} on {at} would lose too many)"));
            }
        }
        self.say(|| format!("TROUBLE {no}: {what:?} on {at} for {:.0} ms", lasts.as_millis()));
        if what.loses() {
            self.machines[at].troubles += 1;
            self.machines[at].touched = self.now;
        }
        self.fired_on.insert(no, at);
        self.later(lasts, Event::Over(no, at));
        match what {
            FaultKind::Kill => self.end(at, false),
            FaultKind::Power => self.end(at, true),
            FaultKind::All { power, wiped } => {
                for other in 0..self.machines.len() {
                    if other != at && !self.machines[other].removed {
                        self.machines[other].troubles += 1;
                    }
                    self.end(other, power);
                }
                if wiped {
                    self.wipe(at);
                }
            }
            FaultKind::Wipe => {
                self.end(at, false);
                self.wipe(at);
            }
            FaultKind::CutOff { way, listeners } => self.cut_off(at, way, listeners, true),
            FaultKind::CutPair { way } => self.cut_pair(at, way, true),
            FaultKind::Reset => self.reset(at),
            FaultKind::Freeze => self.freeze(at, true),
            FaultKind::DiskFull => self.set_disk(at, WriteBehavior::Full),
            FaultKind::DiskHangs => self.set_disk(at, WriteBehavior::Hang),
            FaultKind::DiskSlow => {
                self.slowed += 1;
                self.set_disk(at, WriteBehavior::Slow);
            }
            FaultKind::LinkSlow => {
                self.slowed += 1;
                self.machines[at].slow_link = true;
            }
            FaultKind::AnswersLost => {
                self.answers_lost += 1;
                self.machines.iter_mut().for_each(|machine| machine.answers_lost = true);
            }
            FaultKind::Replace => self.replace(at),
            FaultKind::Restart => self.stop(at),
            FaultKind::Race => self.race(),
            FaultKind::Storm => self.hurry(true),
            FaultKind::Besiege => self.besiege(at, lasts),
        }
        if matches!(what, FaultKind::CutOff { .. } | FaultKind::CutPair { .. }) {
            self.trigger(Trigger::Cut);
        }
    }

    /// The trouble ends.
    pub fn over(&mut self, no: usize, at: usize) {
        let Fault { what, .. } = self.troubles[no];
        if !self.over.insert(no) {
            return;
        }
        self.say(|| format!("trouble {no} is over: {what:?} on {at}"));
        let mut theirs = vec![at];
        match what {
            FaultKind::Kill | FaultKind::Power | FaultKind::Wipe => self.start(at, false),
            FaultKind::All { .. } => {
                theirs = (0..self.machines.len()).filter(|at| !self.machines[*at].removed).collect();
                for other in theirs.clone() {
                    let wait = self.chance.between(ms(0), ms(300));
                    self.later(wait, Event::Begin(other));
                }
            }
            FaultKind::CutOff { way, listeners } => self.cut_off(at, way, listeners, false),
            FaultKind::CutPair { way } => self.cut_pair(at, way, false),
            FaultKind::Reset | FaultKind::Race | FaultKind::Besiege => {}
            FaultKind::Freeze => self.freeze(at, false),
            FaultKind::DiskFull | FaultKind::DiskHangs => self.set_disk(at, WriteBehavior::Well),
            FaultKind::DiskSlow => {
                self.slowed -= 1;
                self.core_event = self.now;
                self.set_disk(at, WriteBehavior::Well);
            }
            FaultKind::LinkSlow => {
                self.slowed -= 1;
                self.core_event = self.now;
                self.machines[at].slow_link = false;
            }
            FaultKind::AnswersLost => {
                self.answers_lost -= 1;
                let lost = self.answers_lost > 0;
                self.machines.iter_mut().for_each(|machine| machine.answers_lost = lost);
            }
            FaultKind::Replace => theirs = vec![self.machines.len() - 1],
            FaultKind::Restart => {
                // Whatever has not ended by itself within its grace is killed.
                self.later(ms(1600), Event::Begin(at));
                self.machines[at].lost_until = self.now + ms(1600) + self.facts.bounds.catch_up;
            }
            FaultKind::Storm => self.hurry(false),
        }
        if what.loses() {
            let until = self.now + self.facts.bounds.catch_up;
            for at in theirs {
                let machine = &mut self.machines[at];
                machine.troubles = machine.troubles.saturating_sub(1);
                machine.lost_until = machine.lost_until.max(until);
                machine.touched = self.now;
            }
        }
    }

    fn cut_off(&mut self, at: usize, way: Direction, listeners: bool, cut: bool) {
        if !cut {
            self.last_back = Some(at);
            self.trigger(Trigger::Return);
        }
        let gateways = FIRST_LISTENER..FIRST_LISTENER + if listeners { self.listeners.count() } else { 0 };
        // Also from those that come while it lasts.
        let others: Vec<usize> = (0..MOST_MACHINES).filter(|other| *other != at).chain(gateways).collect();
        for other in others {
            self.cut_way(at, other, way, cut);
        }
    }

    fn cut_pair(&mut self, at: usize, way: Direction, cut: bool) {
        let other = (at + 1) % self.facts.members;
        if other != at {
            self.cut_way(at, other, way, cut);
        }
    }

    fn cut_way(&mut self, at: usize, other: usize, way: Direction, cut: bool) {
        if way != Direction::Out {
            self.set_cut(other, at, cut);
        }
        if way != Direction::In {
            self.set_cut(at, other, cut);
        }
    }

    /// Another machine in its place, at another address, known to the lists a while later.
    fn replace(&mut self, at: usize) {
        if self.machines.len() >= MOST_MACHINES {
            return;
        }
        self.end(at, true);
        self.machines[at].removed = true;
        let new = self.add_machine();
        self.machines[new].troubles += 1;
        self.seeds.retain(|seed| *seed != at);
        let known: Vec<usize> = (0..new).filter(|at| !self.machines[*at].removed).collect();
        let place = self.chance.below(self.seeds.len() + 1);
        self.seeds.insert(place, new);
        for more in known {
            if self.seeds.len() < FOUNDERS && !self.seeds.contains(&more) {
                self.seeds.push(more);
            }
        }
        self.say(|| format!("{new} comes in the place of {at}"));
        self.start(new, false);
        let lag = self.facts.bounds.seed_lag;
        self.later(lag, Event::SeedsFollow);
    }

    /// All that is wrong ends now.
    pub fn heal(&mut self) {
        self.say(|| "all heals".into());
        self.healing = true;
        self.armed.clear();
        let open: Vec<usize> = self.fired.iter().copied().filter(|no| !self.over.contains(no)).collect();
        for no in open {
            let at = self.fired_on.get(&no).copied();
            if let Some(at) = at {
                self.over(no, at);
            }
        }
        for at in 0..self.machines.len() {
            self.later(ms(1700), Event::Begin(at));
        }
    }
}

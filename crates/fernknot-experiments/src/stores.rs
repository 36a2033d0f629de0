//! Scripted stores: one server and a bounded queue each, work from distributions, and spells in which they are slow or
//! stalled.

use fernknot::interface::{AttemptNumber, Nanos, PartId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma};
use std::collections::VecDeque;

/// A spell lasts the script's mean length times a factor between these.
const SPELL_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// One attempt of a part, as it reached a store.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The part.
    pub part: PartId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The work of it at full speed.
    pub work: Nanos,
}

/// A time in which a store is slow or stalled.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    /// When it begins.
    pub from: Nanos,
    /// When it is over.
    pub to: Nanos,
    /// By this factor the store is slower; it is stalled where there is none.
    pub slowdown: Option<f64>,
}

/// How stores behave.
#[derive(Clone, Debug)]
pub struct StoreScript {
    /// The mean work of a first-phase part.
    pub match_work: Nanos,
    /// The mean work of a second-phase part.
    pub fetch_work: Nanos,
    /// The shape of the Gamma distribution of both; higher is steadier.
    pub work_shape: f64,
    /// Parts that wait at a store; more are rejected.
    pub queue_limit: usize,
    /// The mean time between stalls of a store.
    pub stall_interval: Nanos,
    /// The mean length of a stall.
    pub stall_length: Nanos,
    /// The mean time between slow spells of a store.
    pub slow_interval: Nanos,
    /// The mean length of a slow spell.
    pub slow_length: Nanos,
    /// By this factor a store is slower in a slow spell.
    pub slowdown: f64,
}

impl StoreScript {
    /// The work of one part, drawn at random.
    pub fn draw_work(&self, rng: &mut ChaCha8Rng, is_fetch: bool) -> Nanos {
        let mean = if is_fetch { self.fetch_work } else { self.match_work };
        let gamma =
            Gamma::new(self.work_shape, 1.0 / self.work_shape).expect("scripts have a positive shape");
        mean.times(gamma.sample(rng))
    }

    /// The spells of one store until `end`, drawn at random, in order and without overlap.
    pub fn draw_spells(&self, rng: &mut ChaCha8Rng, start: Nanos, end: Nanos) -> Vec<Spell> {
        let mut spells = Vec::new();
        let rate = 1.0 / self.stall_interval.0 as f64 + 1.0 / self.slow_interval.0 as f64;
        let gap = Exp::new(rate).expect("scripts have positive intervals");
        let intervals = self.slow_interval.0 + self.stall_interval.0;
        let stall_share = self.slow_interval.0 as f64 / intervals as f64;
        let mut at = start;
        loop {
            at = at + Nanos(gap.sample(rng) as u64);
            if at >= end {
                return spells;
            }
            let is_stall = rng.random_bool(stall_share);
            let mean_length = if is_stall { self.stall_length } else { self.slow_length };
            let length = mean_length.times(rng.random_range(SPELL_FACTORS));
            spells.push(Spell { from: at, to: at + length, slowdown: (!is_stall).then_some(self.slowdown) });
            at = at + length;
        }
    }
}

/// A store: what it runs, what waits, and its spells.
pub struct Store {
    running: Option<Job>,
    waiting: VecDeque<Job>,
    spells: VecDeque<Spell>,
    queue_limit: usize,
}

impl Store {
    /// An idle store with these spells to come.
    pub fn new(spells: Vec<Spell>, queue_limit: usize) -> Store {
        Store { running: None, waiting: VecDeque::new(), spells: spells.into(), queue_limit }
    }

    /// Takes a part; `false` if it is rejected.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let has_room = self.waiting.len() < self.queue_limit;
        if has_room {
            self.waiting.push_back(job);
        }
        has_room
    }

    /// Starts what waits first, if nothing runs. Returns when it will be done.
    pub fn start_next(&mut self, now: Nanos) -> Option<Nanos> {
        if self.running.is_some() {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running = Some(job);
        Some(self.completion_time(now, job.work))
    }

    /// What runs is done.
    pub fn complete(&mut self) -> Option<Job> {
        self.running.take()
    }

    /// Drops a part that still waits. One that runs goes on to its end.
    pub fn cancel(&mut self, part: PartId, attempt: AttemptNumber) {
        self.waiting.retain(|job| (job.part, job.attempt) != (part, attempt));
    }

    /// When so much work that starts now is done, through the spells on its way.
    fn completion_time(&mut self, now: Nanos, work: Nanos) -> Nanos {
        while self.spells.front().is_some_and(|spell| spell.to <= now) {
            self.spells.pop_front();
        }
        let (mut at, mut remaining) = (now, work);
        for spell in &self.spells {
            if spell.from > at {
                let until_spell = spell.from - at;
                if remaining <= until_spell {
                    return at + remaining;
                }
                (at, remaining) = (spell.from, remaining - until_spell);
            }
            let length = spell.to - at;
            let done = spell.slowdown.map_or(Nanos(0), |slowdown| length.times(1.0 / slowdown));
            if remaining <= done {
                return at + remaining.times(spell.slowdown.unwrap_or(1.0));
            }
            (at, remaining) = (spell.to, remaining - done);
        }
        at + remaining
    }
}

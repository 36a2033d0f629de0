//! Scripted stores: one server and a bounded queue each, work from distributions, spells in which they
//! are slow or stand still.

use fernknot::interface::*;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma};
use std::collections::VecDeque;

/// One part as it reached a store.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub part: PartId,
    pub no: HandOffNo,
    pub fetch: bool,
    /// The work of it at full speed.
    pub work: Nanos,
}

/// A span in which a store is slower by this factor; it stands still where there is none.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    pub from: Nanos,
    pub to: Nanos,
    pub slower: Option<f64>,
}

/// How stores behave.
#[derive(Clone, Debug)]
pub struct Script {
    /// The mean work of a match and of a fetch, and the shape of both (higher is steadier).
    pub match_work: Nanos,
    pub fetch_work: Nanos,
    pub shape: f64,
    /// Parts that wait at a store; more are turned away.
    pub queue: usize,
    /// Mean times between spells of a store, and how long they last.
    pub stall_every: Nanos,
    pub stall: Nanos,
    pub slow_every: Nanos,
    pub slow: Nanos,
    pub slower: f64,
}

impl Script {
    /// The work of one part.
    pub fn work(&self, rng: &mut ChaCha8Rng, fetch: bool) -> Nanos {
        let mean = if fetch { self.fetch_work } else { self.match_work };
        let gamma = Gamma::new(self.shape, 1.0 / self.shape).expect("a positive shape");
        mean.times(gamma.sample(rng))
    }

    /// The spells of one store until `end`, in order; they never overlap.
    pub fn spells(&self, rng: &mut ChaCha8Rng, start: Nanos, end: Nanos) -> Vec<Spell> {
        let mut spells = Vec::new();
        let both = 1.0 / self.stall_every.0 as f64 + 1.0 / self.slow_every.0 as f64;
        let gap = Exp::new(both).expect("positive means");
        let stalls = self.slow_every.0 as f64 / (self.slow_every.0 + self.stall_every.0) as f64;
        let mut at = start;
        loop {
            at = at + Nanos(gap.sample(rng) as u64);
            if at >= end {
                return spells;
            }
            let stands = rng.random_bool(stalls);
            let length = if stands { self.stall } else { self.slow }.times(rng.random_range(0.5..1.5));
            spells.push(Spell { from: at, to: at + length, slower: (!stands).then_some(self.slower) });
            at = at + length;
        }
    }
}

/// A store: what it runs, what waits, and its spells.
pub struct Store {
    pub running: Option<Job>,
    waiting: VecDeque<Job>,
    spells: VecDeque<Spell>,
    most: usize,
}

impl Store {
    pub fn new(spells: Vec<Spell>, most: usize) -> Store {
        Store { running: None, waiting: VecDeque::new(), spells: spells.into(), most }
    }

    /// Takes a part; false if it is turned away.
    pub fn take(&mut self, job: Job) -> bool {
        let room = self.waiting.len() < self.most;
        if room {
            self.waiting.push_back(job);
        }
        room
    }

    /// Starts what waits first, if nothing runs; when it will be done comes back.
    pub fn start(&mut self, now: Nanos) -> Option<Nanos> {
        if self.running.is_some() {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running = Some(job);
        Some(self.done_at(now, job.work))
    }

    /// Drops a part that still waits. One that runs goes on to its end.
    pub fn give_up(&mut self, part: PartId, no: HandOffNo) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|job| (job.part, job.no) != (part, no));
        self.waiting.len() < before
    }

    /// When so much work that starts now is done, through the spells on its way.
    fn done_at(&mut self, now: Nanos, work: Nanos) -> Nanos {
        while self.spells.front().is_some_and(|spell| spell.to <= now) {
            self.spells.pop_front();
        }
        let (mut at, mut left) = (now, work);
        for spell in &self.spells {
            if spell.from > at {
                let free = spell.from - at;
                if left <= free {
                    return at + left;
                }
                (at, left) = (spell.from, left - free);
            }
            let span = spell.to - at;
            let done = spell.slower.map_or(Nanos(0), |slower| span.times(1.0 / slower));
            if left <= done {
                return at + left.times(spell.slower.unwrap_or(1.0));
            }
            (at, left) = (spell.to, left - done);
        }
        at + left
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// A stall from 10 to 20 ms and a slow spell (three times) from 30 to 60 ms.
    #[test_case(0.0, 5.0, 5.0; "before all")]
    #[test_case(0.0, 15.0, 25.0; "through the stall")]
    #[test_case(15.0, 2.0, 22.0; "begun in the stall")]
    #[test_case(30.0, 5.0, 45.0; "in the slow spell")]
    #[test_case(25.0, 16.0, 61.0; "through the slow spell")]
    #[test_case(70.0, 4.0, 74.0; "after all")]
    fn work_takes_as_long_as_the_spells_make_it(start: f64, work: f64, done: f64) {
        let ms = Nanos::from_millis;
        let spells = vec![
            Spell { from: ms(10.0), to: ms(20.0), slower: None },
            Spell { from: ms(30.0), to: ms(60.0), slower: Some(3.0) },
        ];
        let mut store = Store::new(spells, 4);
        let part = PartId { of: MultigetId(1), index: 0 };
        assert!(store.take(Job { part, no: HandOffNo(0), fetch: false, work: ms(work) }));
        assert_eq!(store.start(ms(start)).map(|at| at.as_millis().round()), Some(done));
    }
}

//! Simulated stores, the nodes that run the parts of queries: each processes one part at a time, and has a bounded
//! queue, randomly distributed work, and periods in which it is slow or stalled.

use fernknot::interface::{AttemptNumber, Nanos, PartId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma};
use std::collections::VecDeque;

/// Range of the random factor by which the length of a degradation differs from its mean.
const DEGRADATION_LENGTH_FACTORS: std::ops::Range<f64> = 0.5..1.5;

/// An attempt of a part, as received by a store.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Part of a query that is attempted.
    pub part: PartId,
    /// Number of the attempt among those of the part, from 0.
    pub attempt: AttemptNumber,
    /// Processing time at full speed.
    pub work: Nanos,
}

/// Period in which a store is slow or stalled.
#[derive(Clone, Copy, Debug)]
pub struct Degradation {
    /// Start of the period, inclusive.
    pub from: Nanos,
    /// End of the period, exclusive.
    pub to: Nanos,
    /// Factor by which work takes longer; `None` if the store is stalled and makes no progress.
    pub slowdown: Option<f64>,
}

/// Distribution of work, queue limit and degradations of the stores.
#[derive(Clone, Debug)]
pub struct StoreBehaviour {
    /// Mean processing time of a first-phase part, which asks for matches, at full speed.
    pub match_work: Nanos,
    /// Mean processing time of a second-phase part, which fetches values, at full speed.
    pub fetch_work: Nanos,
    /// Shape of the Gamma distribution of the processing times of both phases; a higher shape has a lower variance.
    pub work_shape: f64,
    /// Maximum number of parts that wait at a store, besides the one that runs; further parts are rejected.
    pub queue_limit: usize,
    /// Mean time between stalls of a store.
    pub stall_interval: Nanos,
    /// Mean length of a stall, in which the store makes no progress.
    pub stall_length: Nanos,
    /// Mean time between slow periods of a store.
    pub slow_interval: Nanos,
    /// Mean length of a slow period.
    pub slow_length: Nanos,
    /// Factor by which work takes longer in a slow period.
    pub slowdown: f64,
}

impl StoreBehaviour {
    /// Draws the processing time of one part at full speed; `is_fetch` if it is of the second phase.
    pub fn draw_work(&self, rng: &mut ChaCha8Rng, is_fetch: bool) -> Nanos {
        let mean = if is_fetch { self.fetch_work } else { self.match_work };
        let gamma = Gamma::new(self.work_shape, 1.0 / self.work_shape).expect("the shape is positive");
        mean.times(gamma.sample(rng))
    }

    /// Draws the degradations of one store that start before `end`, in ascending order and without overlap.
    pub fn draw_degradations(&self, rng: &mut ChaCha8Rng, start: Nanos, end: Nanos) -> Vec<Degradation> {
        let mut degradations = Vec::new();
        let rate = 1.0 / self.stall_interval.0 as f64 + 1.0 / self.slow_interval.0 as f64;
        let gap = Exp::new(rate).expect("the intervals are positive");
        let intervals = self.slow_interval.0 + self.stall_interval.0;
        let stall_share = self.slow_interval.0 as f64 / intervals as f64;
        let mut at = start;
        loop {
            at = at + Nanos(gap.sample(rng) as u64);
            if at >= end {
                return degradations;
            }
            let is_stall = rng.random_bool(stall_share);
            let mean_length = if is_stall { self.stall_length } else { self.slow_length };
            let length = mean_length.times(rng.random_range(DEGRADATION_LENGTH_FACTORS));
            degradations.push(Degradation {
                from: at,
                to: at + length,
                slowdown: (!is_stall).then_some(self.slowdown),
            });
            at = at + length;
        }
    }
}

/// A store with its running job, its queue and its degradations.
pub struct Store {
    running: Option<Job>,
    queue: VecDeque<Job>,
    degradations: VecDeque<Degradation>,
    queue_limit: usize,
}

impl Store {
    /// Creates an idle store with these degradations, in ascending order.
    pub fn new(degradations: Vec<Degradation>, queue_limit: usize) -> Store {
        Store { running: None, queue: VecDeque::new(), degradations: degradations.into(), queue_limit }
    }

    /// Adds a part to the queue; returns `false` if the queue is full.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let has_room = self.queue.len() < self.queue_limit;
        if has_room {
            self.queue.push_back(job);
        }
        has_room
    }

    /// Starts the first queued job unless one is running, and returns its completion time; `None` if no job starts.
    pub fn start_next(&mut self, now: Nanos) -> Option<Nanos> {
        if self.running.is_some() {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running = Some(job);
        Some(self.completion_time(now, job.work))
    }

    /// Removes the running job and returns it.
    pub fn complete(&mut self) -> Option<Job> {
        self.running.take()
    }

    /// Removes a queued attempt; a running one continues to its end.
    pub fn cancel(&mut self, part: PartId, attempt: AttemptNumber) {
        self.queue.retain(|job| (job.part, job.attempt) != (part, attempt));
    }

    /// Returns the time at which `work` that starts now completes, given the degradations.
    fn completion_time(&mut self, now: Nanos, work: Nanos) -> Nanos {
        while self.degradations.front().is_some_and(|degradation| degradation.to <= now) {
            self.degradations.pop_front();
        }
        let (mut at, mut remaining) = (now, work);
        for degradation in &self.degradations {
            if degradation.from > at {
                let until_degradation = degradation.from - at;
                if remaining <= until_degradation {
                    return at + remaining;
                }
                (at, remaining) = (degradation.from, remaining - until_degradation);
            }
            let length = degradation.to - at;
            let done = degradation.slowdown.map_or(Nanos(0), |slowdown| length.times(1.0 / slowdown));
            if remaining <= done {
                return at + remaining.times(degradation.slowdown.unwrap_or(1.0));
            }
            (at, remaining) = (degradation.to, remaining - done);
        }
        at + remaining
    }
}

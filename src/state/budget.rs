//! Counts over a sliding window, the retry budget that is spent from them, and token buckets.

use super::windowed_budget::WindowedBudget;
use crate::interface::{Nanos, RetryBudgetSettings, ShardId};
use std::collections::{BTreeMap, VecDeque};

/// Amounts of the last while, kept to the instant.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount {
    entries: VecDeque<(Nanos, f64)>,
}

impl SlidingCount {
    /// Adds an amount that came at this time; times must not fall.
    pub fn add(&mut self, at: Nanos, amount: f64) {
        self.entries.push_back((at, amount));
    }

    /// The sum of what came less than `span` ago.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        let recent = self.entries.iter().rev().take_while(|(at, _)| now - *at < span);
        recent.map(|(_, amount)| amount).sum()
    }

    /// Drops what is older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        while self.entries.front().is_some_and(|(at, _)| now - *at > span) {
            self.entries.pop_front();
        }
    }
}

/// Parts taken, and attempts past the first of each.
#[derive(Clone, Debug, Default)]
pub struct BudgetUse {
    /// Parts accepted.
    pub accepted: SlidingCount,
    /// Attempts beyond the first of a part.
    pub retries: SlidingCount,
}

impl BudgetUse {
    fn forget(&mut self, now: Nanos, span: Nanos) {
        self.accepted.forget(now, span);
        self.retries.forget(now, span);
    }
}

/// What all shards spent together, multigets counted as taken too, and where wanted each shard alone.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetUse {
    /// Over all shards.
    pub all: BudgetUse,
    each: Option<ShardBudgets>,
}

/// The budgets of shards, which hold in every window.
#[derive(Clone, Debug)]
struct ShardBudgets {
    window: Nanos,
    shards: BTreeMap<ShardId, WindowedBudget>,
}

impl ShardBudgets {
    fn of(&mut self, shard: ShardId) -> &mut WindowedBudget {
        self.shards.entry(shard).or_insert_with(|| WindowedBudget::new(self.window))
    }
}

impl RetryBudgetUse {
    /// Nothing spent yet; where the settings count each shard apart, so does this.
    pub fn new(settings: Option<&RetryBudgetSettings>) -> RetryBudgetUse {
        let each = settings.filter(|settings| settings.each_shard);
        let shard_budgets = |settings: &RetryBudgetSettings| ShardBudgets {
            window: settings.window,
            shards: BTreeMap::new(),
        };
        RetryBudgetUse { all: BudgetUse::default(), each: each.map(shard_budgets) }
    }

    /// How many shards have spending of their own.
    pub(crate) fn shard_count(&self) -> usize {
        self.each.as_ref().map_or(0, |each| each.shards.len())
    }

    /// How many more attempts past the first a shard may be sent if it may use this share of the budget: in every
    /// window where shards are counted apart, else in the window that ends now, both edges counted conservatively
    /// by a tick.
    pub fn remaining(
        &self,
        now: Nanos,
        shard: ShardId,
        settings: &RetryBudgetSettings,
        share: f64,
        tick: Nanos,
    ) -> f64 {
        let (free, ratio) = (share * settings.free, share * settings.share);
        let Some(each) = &self.each else {
            let accepted = self.all.accepted.within(now, settings.window - tick);
            return free + ratio * accepted - self.all.retries.within(now, settings.window + tick);
        };
        each.shards.get(&shard).map_or(free, |budget| budget.remaining(now, free, ratio))
    }

    /// Counts an accepted part.
    pub fn accept(&mut self, now: Nanos, shard: ShardId) {
        self.all.accepted.add(now, 1.0);
        self.each.iter_mut().for_each(|each| each.of(shard).count_request(now));
    }

    /// Counts an attempt beyond the first.
    pub fn count_retry(&mut self, now: Nanos, shard: ShardId) {
        self.all.retries.add(now, 1.0);
        self.each.iter_mut().for_each(|each| each.of(shard).count_retry(now));
    }

    /// Drops what is older than `span`, and shards without any.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.all.forget(now, span);
        self.each.iter_mut().for_each(|each| each.shards.retain(|_, budget| !budget.is_idle(now)));
    }
}

/// A fill of so much a second, up to a limit, from which takings are drawn.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    pub rate: f64,
    limit: f64,
    left: f64,
    since: Nanos,
}

impl TokenBucket {
    /// A full bucket of `limit` tokens.
    pub fn new(rate: f64, limit: f64, now: Nanos) -> TokenBucket {
        TokenBucket { rate, limit, left: limit, since: now }
    }

    /// A rate so many times as high from now on.
    pub fn scale(&mut self, now: Nanos, factor: f64) {
        self.fill(now);
        self.rate *= factor;
        self.limit = (self.limit * factor).max(1.0);
        self.left = self.left.min(self.limit);
    }

    fn fill(&mut self, now: Nanos) {
        self.left = (self.left + self.rate * (now - self.since).0 as f64 / 1e9).min(self.limit);
        self.since = now;
    }

    /// What there is now.
    pub fn left(&mut self, now: Nanos) -> f64 {
        self.fill(now);
        self.left
    }

    /// When there will be so much, up to its limit; a little later, so that rounding leaves nothing out.
    pub fn reaches(&self, wanted: f64) -> Nanos {
        let missing = (wanted - self.left).max(0.0) / self.rate;
        self.since + Nanos((missing * 1e9) as u64 + 1000)
    }

    /// Draws one, if there is one.
    pub fn draw(&mut self, now: Nanos) -> bool {
        self.fill(now);
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

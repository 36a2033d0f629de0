//! Sliding counts, the use of the retry budget, and token buckets.

use super::windowed_budget::WindowedBudget;
use crate::interface::{Nanos, RetryBudgetSettings, ShardId};
use std::collections::{BTreeMap, VecDeque};

/// Amounts with their exact times, summed over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingCount {
    entries: VecDeque<(Nanos, f64)>,
}

impl SlidingCount {
    /// Adds an amount; times must not decrease.
    pub fn add(&mut self, at: Nanos, amount: f64) {
        self.entries.push_back((at, amount));
    }

    /// Returns the sum of the amounts added less than `span` ago.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        let recent = self.entries.iter().rev().take_while(|(at, _)| now - *at < span);
        recent.map(|(_, amount)| amount).sum()
    }

    /// Whether there is no amount.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops amounts older than `span`.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        while self.entries.front().is_some_and(|(at, _)| now - *at > span) {
            self.entries.pop_front();
        }
    }
}

/// Accepted parts and retries over all shards.
#[derive(Clone, Debug, Default)]
pub struct BudgetUse {
    /// Accepted parts, and accepted multigets.
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

/// Use of the retry budget, over all shards and, if the settings say so, of each shard.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetUse {
    /// Use over all shards.
    pub all: BudgetUse,
    by_shard: Option<ShardBudgets>,
}

/// Budgets by shard, which hold in every window of this length, wherever it begins.
#[derive(Clone, Debug)]
struct ShardBudgets {
    window: Nanos,
    shards: BTreeMap<ShardId, WindowedBudget>,
}

impl ShardBudgets {
    fn get_mut(&mut self, shard: ShardId) -> &mut WindowedBudget {
        self.shards.entry(shard).or_insert_with(|| WindowedBudget::new(self.window))
    }
}

impl RetryBudgetUse {
    /// Creates an unused budget, with one for each shard if the settings say so.
    pub fn new(settings: Option<&RetryBudgetSettings>) -> RetryBudgetUse {
        let per_shard = settings.filter(|settings| settings.per_shard);
        let shard_budgets = |settings: &RetryBudgetSettings| ShardBudgets {
            window: settings.window,
            shards: BTreeMap::new(),
        };
        RetryBudgetUse { all: BudgetUse::default(), by_shard: per_shard.map(shard_budgets) }
    }

    /// Number of shards with a budget of their own.
    pub(crate) fn shard_count(&self) -> usize {
        self.by_shard.as_ref().map_or(0, |by_shard| by_shard.shards.len())
    }

    /// Number of retries that a shard is still allowed if it may use this share of the budget. With a budget for each
    /// shard, it holds in every window, wherever that begins. Otherwise it holds in the window that ends now, which is
    /// taken to be a `tick` longer for retries and a `tick` shorter for accepted parts, as times are exact only to a
    /// tick.
    pub fn remaining(
        &self,
        now: Nanos,
        shard: ShardId,
        settings: &RetryBudgetSettings,
        share: f64,
        tick: Nanos,
    ) -> f64 {
        let (free, ratio) = (share * settings.free_retries, share * settings.retry_ratio);
        let Some(by_shard) = &self.by_shard else {
            let accepted = self.all.accepted.within(now, settings.window - tick);
            return free + ratio * accepted - self.all.retries.within(now, settings.window + tick);
        };
        by_shard.shards.get(&shard).map_or(free, |budget| budget.remaining(now, free, ratio))
    }

    /// Counts an accepted part.
    pub fn accept(&mut self, now: Nanos, shard: ShardId) {
        self.all.accepted.add(now, 1.0);
        self.by_shard.iter_mut().for_each(|by_shard| by_shard.get_mut(shard).count_request(now));
    }

    /// Counts an attempt beyond the first of its part.
    pub fn count_retry(&mut self, now: Nanos, shard: ShardId) {
        self.all.retries.add(now, 1.0);
        self.by_shard.iter_mut().for_each(|by_shard| by_shard.get_mut(shard).count_retry(now));
    }

    /// Drops counts over all shards that are older than `span`, and budgets of shards whose counts no longer affect
    /// any window.
    pub fn forget(&mut self, now: Nanos, span: Nanos) {
        self.all.forget(now, span);
        self.by_shard
            .iter_mut()
            .for_each(|by_shard| by_shard.shards.retain(|_, budget| !budget.is_idle(now)));
    }
}

/// Token bucket: limits a rate in the long run, and allows bursts of up to `capacity` after a pause.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    pub rate: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Nanos,
}

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens.
    pub fn new(rate: f64, capacity: f64, now: Nanos) -> TokenBucket {
        TokenBucket { rate, capacity, tokens: capacity, filled_at: now }
    }

    /// Multiplies rate and capacity from now on; the capacity stays at least 1.
    pub fn scale(&mut self, now: Nanos, factor: f64) {
        self.fill(now);
        self.rate *= factor;
        self.capacity = (self.capacity * factor).max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    fn fill(&mut self, now: Nanos) {
        self.tokens = (self.tokens + self.rate * (now - self.filled_at).0 as f64 / 1e9).min(self.capacity);
        self.filled_at = now;
    }

    /// Returns the number of tokens available now.
    pub fn available(&mut self, now: Nanos) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Returns the time at which that many tokens are available, if the capacity allows them; 1 µs late, so that
    /// rounding cannot make it too early.
    pub fn available_at(&self, wanted: f64) -> Nanos {
        let missing = (wanted - self.tokens).max(0.0) / self.rate;
        self.filled_at + Nanos((missing * 1e9) as u64 + 1000)
    }

    /// Takes one token if there is one, and returns whether there was.
    pub fn try_draw(&mut self, now: Nanos) -> bool {
        self.fill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

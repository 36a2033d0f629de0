//! Limits of attempts: by effect, retry budget, overload and slow start.

use super::*;

/// Share of the slow-start limit that is used.
const SLOW_START_LIMIT_SHARE: f64 = 0.8;
/// Share of the retry budget that copies in the first of two phases may use.
const FIRST_PHASE_SHARE: f64 = 0.5;

impl Router {
    /// Whether a rejection is less than `MIN_OVERDUE_SHARE` targets ago: copies would add to an overload.
    pub(super) fn is_shedding(&self, now: Nanos) -> bool {
        self.rejected_at.is_some_and(|at| now - at < self.shortest_target.times(MIN_OVERDUE_SHARE))
    }

    /// Whether retries of the last two plan intervals, and one more, are below `max_share` of first ones.
    pub(super) fn may_copy(&self, now: Nanos, max_share: f64) -> bool {
        let span = PLAN_INTERVAL.times(2.0);
        self.budget_use.all.retries.within(now, span) + 1.0 < max_share * self.first_sends.within(now, span)
    }

    /// Whether a part may be sent again now: by its effect, its limit of attempts and the retry budget.
    pub(super) fn may_retry_now(&self, now: Nanos, part: &Part) -> bool {
        let Some(multiget) = self.multigets.get(&part.id.multiget) else { return false };
        let is_pending = part.pending().next().is_some();
        // Copies in first phases leave budget for retries in second ones.
        let share = if is_pending && multiget.second_phase.is_some() { FIRST_PHASE_SHARE } else { 1.0 };
        let is_used_up = |budget: &RetryBudgetSettings| {
            self.budget_use.remaining(now, part.shard, budget, share, self.tick) < 1.0
        };
        let is_over_budget = self.retry_budget.as_ref().is_some_and(is_used_up);
        !is_over_budget && (!is_pending || self.hedging) && self.may_retry(now, part)
    }

    /// Whether a part may be sent again, now or later: by its effect and its limit of attempts.
    pub(super) fn may_retry(&self, now: Nanos, part: &Part) -> bool {
        let first_run = part.attempts.iter().filter(|sent| may_have_run(sent)).map(|sent| sent.sent_at).min();
        let is_harmless = match (part.effect, first_run) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::Deduplicated(window), Some(first)) => now + self.tick < first + window,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        let limit = self.use_cases[part.kind.0.0].max_attempts;
        let limit = limit.map_or(self.max_attempts, |limit| limit as usize);
        is_harmless && part.attempts.len() < limit && !self.running_replicas(part.shard).is_empty()
    }

    pub(super) fn is_cold(&self, now: Nanos, node: &Node) -> bool {
        node.started_at.0 > 0 && now - node.started_at < self.slow_start.warmup_time + self.slow_start.window
    }

    /// Returns the share of its full capacity that a node is taken to have, from the initial share to 1.
    pub(super) fn capacity_share(&self, now: Nanos, node: &Node) -> f64 {
        let initial = self.slow_start.initial_share;
        let grown = (now - node.started_at).0 as f64 / self.slow_start.warmup_time.0.max(1) as f64;
        if node.started_at.0 > 0 { (initial + (1.0 - initial) * grown).min(1.0) } else { 1.0 }
    }

    /// Whether slow start lets this router send a part; one at a time while warm nodes' capacity is unknown.
    pub(super) fn slow_start_allows(&self, now: Nanos, node: &Node) -> bool {
        if !self.is_cold(now, node) {
            return true;
        }
        let Some((left, limit)) = self.cold_allowance(now, node) else { return node.in_flight.is_empty() };
        // A router with a limit below one part sends only at times: all routers together keep to their limit.
        let max_multiple = SLOW_START_LIMIT_SHARE * self.slow_start.max_load_multiple;
        let share = max_multiple * self.capacity_share(now, node) / self.warm_busy_share;
        left >= 0.0 && (limit >= 1.0 || left < share.max(limit))
    }

    /// Returns the work that a cold node may be sent now, and the limit per window; `None` while the capacity
    /// of warm nodes is unknown. Routers start at random deficits, as all learn of a start at once.
    pub(super) fn cold_allowance(&self, now: Nanos, node: &Node) -> Option<(f64, f64)> {
        let max_multiple = SLOW_START_LIMIT_SHARE * self.slow_start.max_load_multiple;
        let rate = max_multiple * self.capacity_share(now, node) * self.warm_capacity.get()?;
        let limit = rate * self.slow_start.window.0 as f64;
        let (left, at) = node.cold_allowance;
        let left = left + rate * (now - at.max(node.started_at)).0 as f64;
        Some((if limit >= 1.0 { left.min(limit) } else { left - left.floor().max(0.0) }, limit))
    }
}

/// Whether an attempt may have run: it is in flight, or its outcome does not rule that out.
pub(super) fn may_have_run(attempt: &Attempt) -> bool {
    !matches!(attempt.outcome, Some(Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent))
}

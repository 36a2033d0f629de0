//! Decisions of a fernknot query router: which replicas get the parts of each query, and when it is answered.
//!
//! A host creates one [`Router`] per process start and reports events to it (`apply_list`, `attempt_ended`,
//! ...); these only update its state. After each batch of events the host calls `poll_decision` until that
//! returns `None`, and carries out each decision; a `Wake` schedules the next call if no event comes before.
//! `interface.rs` has ids, times, settings and decisions, `state/` containers, `docs/design.md` the reasons.
//! `observation` records what the host reports, `admission` and `completion` decide on a whole query,
//! `replica_selection`, `retry` and `limits` on its parts, and `hedging` on the number of copies of each.

mod admission;
mod completion;
mod hedging;
mod limits;
mod observation;
mod replica_selection;
mod retry;

use crate::interface::*;
pub use crate::state::Router;
use crate::state::*;
pub use hedging::{reduced_target, service_level};
use limits::may_have_run;

/// Weight of one observation in running means of sizes, delays and efforts.
const MEAN_GAIN: f64 = 0.02;
/// Service level that planned copies must reach; the least number of copies that reaches it is planned.
const MIN_SERVICE_LEVEL: f64 = 0.95;
/// Share of the latencies, the fastest ones, that service time and its variation are estimated from.
const FASTEST_SHARE: f64 = 0.7;
/// Limit of planned copies as a share of the first attempts.
const MAX_COPY_SHARE: f64 = 0.1;
/// Time between two plans of copies, when measurements are halved, too.
const PLAN_INTERVAL: Nanos = Nanos(2_000_000_000);
/// Number of answers, or else of replanning intervals, after which a node's own measurements are halved.
const MIN_ANSWERS_TO_HALVE: f64 = 6.0;
const MAX_INTERVALS_TO_HALVE: f64 = 3.0;
/// Time over which a shard's parts are counted to size its subset of replicas, and parts for each of them.
const SUBSET_SPAN: Nanos = Nanos(PLAN_INTERVAL.0 * 6);
const PARTS_PER_REPLICA: f64 = MIN_ANSWERS_TO_HALVE * 2.0;
/// Upper bound of a latency histogram's first bin, as a share of the shortest target.
const FIRST_BIN_SHARE: f64 = 1.0 / 48.0;
const BIN_RATIO: f64 = 1.5;
const BIN_COUNT: usize = 14;
/// Number of further bins if use cases may be added later, whose targets may be far apart.
const EXTRA_BIN_COUNT: usize = 6;
/// Step in which expected delays of replicas are compared, as a share of the shortest target.
const DELAY_STEP_SHARE: f64 = 1.0 / 24.0;
/// Age of an overdue attempt: a multiple of its expected delay, at least a share of the shortest target.
const OVERDUE_DELAY_FACTOR: f64 = 2.5;
const MIN_OVERDUE_SHARE: f64 = 0.3;
/// Burst that a customer's quota allows, in seconds of the quota.
const QUOTA_BURST_SECONDS: f64 = 2.0;
const MAX_MESSAGE_UPDATES: usize = 80;
/// Rounding error up to which a sum of weights counts as reaching a share.
const WEIGHT_TOLERANCE: f64 = 0.00005;

/// Value of an answer after its target, as a share of its value, if the settings have none.
pub const DEFAULT_LATE_VALUE_SHARE: f64 = 1.0 / 3.0;
/// Time after which a client that is rejected before there are settings may retry.
pub const DEFAULT_RETRY_AFTER: Nanos = Nanos(500_000_000);

/// Value of a use case by its rank: 1 for rank 0, and half as much for each further rank.
pub fn value_of_rank(rank: u32) -> f64 {
    0.5f64.powi(rank.min(30) as i32)
}

impl Router {
    /// Creates a router that knows no node; `seed` determines its random choices.
    pub fn new(seed: u64, settings: SiteSettings, now: Nanos) -> Router {
        let target = settings.use_cases.iter().map(|case| case.latency_target).min();
        let min_target = settings.min_latency_target.unwrap_or_default().max(settings.tick);
        let shortest_target = target.or(settings.min_latency_target).unwrap_or(PLAN_INTERVAL).max(min_target);
        let finest = settings.min_latency_target.map_or(shortest_target, |_| min_target).0 as f64;
        let extra_bins = settings.min_latency_target.map_or(0, |_| EXTRA_BIN_COUNT);
        let empty_bins = Histogram::new(finest * FIRST_BIN_SHARE, BIN_RATIO, BIN_COUNT + extra_bins);
        let use_cases = settings.use_cases.iter().map(|case| UseCase::new(case, &empty_bins));
        let own_quota = |rate: &f64| {
            let rate = rate / settings.routers.max(1) as f64;
            TokenBucket::new(rate, rate.max(1.0) * QUOTA_BURST_SECONDS, now)
        };
        Router {
            use_cases: use_cases.collect(),
            router_count: settings.routers.max(1) as f64,
            customer_quotas: settings.customer_quotas.iter().map(own_quota).collect(),
            tick: settings.tick,
            shortest_target,
            min_target,
            slow_start: settings.slow_start,
            budget_use: RetryBudgetUse::new(settings.retry_budget.as_ref()),
            retry_budget: settings.retry_budget,
            places: settings.places.max(1),
            places_per_shard: settings.places_per_shard.max(1),
            cancellation: settings.cancellation,
            hedging: settings.hedging,
            max_attempts: settings.max_attempts as usize,
            max_retry_after: settings.max_retry_after.unwrap_or_default(),
            list_request_at: settings.list_changes_on_request.then_some(now),
            list_changes_on_request: settings.list_changes_on_request,
            peer_updates: settings.peer_updates && settings.routers > 1,
            value_by_work: settings.value_by_work,
            zone: settings.zone,
            has_unmarked_retries: !settings.clients_mark_retries,
            rejections_cost_value: settings.rejections_cost_value,
            first_sends: FirstSends::new(settings.subsets),
            seed,
            random: Mwc::new(seed),
            groups: Groups::new(&empty_bins),
            empty_bins,
            replan_at: now + PLAN_INTERVAL,
            mean_copies: 1.0,
            warm_busy_share: 1.0,
            ..Router::default()
        }
    }

    /// Returns the next decision; `None` if there is none until the next event or the last `Wake`'s time.
    pub fn poll_decision(&mut self, now: Nanos) -> Option<Decision> {
        loop {
            if let Some(decision) = self.decisions.pop_front() {
                return Some(decision);
            }
            if self.list_request_at.is_some_and(|at| at <= now) {
                self.list_request_at = None;
                return Some(Decision::RequestList);
            }
            if now >= self.replan_at {
                self.replan(now);
            } else if let Some(multiget) = self.review_queue.pop_front() {
                self.review(now, multiget);
            } else if let Some(first) = self.reviews.first().copied().filter(|(at, _)| *at <= now) {
                self.reviews.remove(&first);
                self.review_queue.push_back(first.1);
            } else if self.notify_at.is_some_and(|at| at <= now) {
                let updates = self.updates.drain(..self.updates.len().min(MAX_MESSAGE_UPDATES)).collect();
                self.notify_at = self.notify_at.filter(|_| !self.updates.is_empty());
                return Some(Decision::NotifyPeers { updates });
            } else {
                let due = [self.reviews.first().map(|(at, _)| *at), self.list_request_at, self.notify_at];
                let at = due.into_iter().flatten().fold(self.replan_at, Nanos::min);
                if self.wake_at.is_some_and(|set| set > now && set <= at) {
                    return None;
                }
                self.wake_at = Some(at);
                return Some(Decision::Wake { after: at - now });
            }
        }
    }
}

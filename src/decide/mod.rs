//! Every decision of a fernknot query router.
//!
//! A host makes one [`Router`] a process start and tells it what it learns (`list`, `take`, `ended`, ...);
//! this only updates what is known. After each batch of news it calls `next` until that returns `None` and
//! carries out each decision; a `Wake` asks for `next` later, even without news. Ids, times, settings and
//! decisions are in `interface.rs`, plain containers in `state.rs`; the reasons are in `docs/design.md`.
//!
//! A file for each concern: `observation` takes in what is measured, `admission` and `completion` decide on a
//! whole query, `replica_selection`, `retry` and `limits` on its parts, `hedging` on how many copies of each.

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
pub use hedging::{cut_target, service_level};
use limits::may_have_run;

/// Weight of one part in the running means of sizes.
const SIZE_GAIN: f64 = 0.02;
/// The level that the estimate must reach; the least number of copies that does is taken.
const TARGET: f64 = 0.95;
/// Service time and its spread are read from this share of the latencies, the fastest ones.
const FASTEST: f64 = 0.7;
/// Extra copies stay under this share of the parts.
const COPY_SHARE: f64 = 0.1;
/// How often copies are planned anew and measurements halved.
const RECOMPUTE: Nanos = Nanos(2_000_000_000);
/// Bins of a latency histogram: the first ends at this share of the shortest target.
const FIRST_BIN: f64 = 1.0 / 48.0;
const BIN_RATIO: f64 = 1.5;
const BINS: usize = 14;
/// So many more where use cases come and go, whose targets may be far apart.
const MORE_BINS: usize = 6;
/// Replicas whose expected delays lie within this share of the target are equal.
const DELAY_STEP: f64 = 1.0 / 24.0;
/// An attempt is overdue after so many times its expected delay, and this share of its target.
const OVERDUE: f64 = 2.5;
const OVERDUE_GOAL: f64 = 0.3;
/// Seconds of its share that a customer may use at once.
const SHARE_SPAN: f64 = 2.0;
/// What one message to the other routers may hold.
const MAX_UPDATES: usize = 80;
/// A share counts as reached when it falls short by no more than rounding.
const ROUNDING: f64 = 0.00005;

/// What an answer past its target earns where nothing is told, as a share of its value.
pub const LATE_SHARE: f64 = 1.0 / 3.0;
/// When a rejected client may come back before the settings say so.
pub const FIRST_RETRY_AFTER: Nanos = Nanos(500_000_000);

/// What a use case earns by its rank: each half as much as the one before.
pub fn earnings(rank: u32) -> f64 {
    0.5f64.powi(rank.min(30) as i32)
}

impl Router {
    /// A router at its start, which knows of no node. `seed` makes its random choices.
    pub fn new(seed: u64, settings: SiteSettings, now: Nanos) -> Router {
        let goal = settings.use_cases.iter().map(|case| case.latency_target).min();
        let least_goal = settings.shortest_goal.unwrap_or_default().max(settings.tick);
        let shortest_goal = goal.or(settings.shortest_goal).unwrap_or(RECOMPUTE).max(least_goal);
        let finest = settings.shortest_goal.map_or(shortest_goal, |_| least_goal).0 as f64 * FIRST_BIN;
        let more = settings.shortest_goal.map_or(0, |_| MORE_BINS);
        let bins = Histogram::new(finest, BIN_RATIO, BINS + more);
        let use_cases = settings.use_cases.iter().map(|case| UseCase::new(case, &bins));
        let own_share = |rate: &f64| {
            let rate = rate / settings.routers.max(1) as f64;
            TokenBucket::new(rate, rate.max(1.0) * SHARE_SPAN, now)
        };
        Router {
            use_cases: use_cases.collect(),
            router_count: settings.routers.max(1) as f64,
            shares: settings.customers.iter().map(own_share).collect(),
            tick: settings.tick,
            shortest_goal,
            least_goal,
            warmup: settings.warmup,
            budget_use: RetryBudgetUse::new(settings.budget.as_ref()),
            budget: settings.budget,
            places: settings.places.max(1),
            width: settings.width.max(1),
            cancel: settings.cancel,
            hedging: settings.hedging,
            max_attempts: settings.max_attempts as usize,
            max_retry_after: settings.max_retry_after.unwrap_or_default(),
            ask_at: settings.must_ask.then_some(now),
            must_ask: settings.must_ask,
            peers: settings.peers && settings.routers > 1,
            by_work: settings.by_work,
            zone: settings.zone,
            unmarked: !settings.marks_repeats,
            refusals_cost: settings.refusals_cost,
            random: Mwc::new(seed),
            groups: Groups::new(&bins),
            bins,
            replan_at: now + RECOMPUTE,
            mean_copies: 1.0,
            busy_all: 1.0,
            ..Router::default()
        }
    }

    /// The next decision; `None`: nothing more until an input, or until the time of the last `Wake`.
    pub fn poll_decision(&mut self, now: Nanos) -> Option<Decision> {
        loop {
            if let Some(decision) = self.ready.pop_front() {
                return Some(decision);
            }
            if self.ask_at.is_some_and(|at| at <= now) {
                self.ask_at = None;
                return Some(Decision::RequestList);
            }
            if now >= self.replan_at {
                self.replan(now);
            } else if let Some(multiget) = self.touched.pop_front() {
                self.review(now, multiget);
            } else if let Some(first) = self.due.first().copied().filter(|(at, _)| *at <= now) {
                self.due.remove(&first);
                self.touched.push_back(first.1);
            } else if self.notify_at.is_some_and(|at| at <= now) {
                let updates = self.updates.drain(..self.updates.len().min(MAX_UPDATES)).collect();
                self.notify_at = self.notify_at.filter(|_| !self.updates.is_empty());
                return Some(Decision::NotifyPeers { updates });
            } else {
                let due = [self.due.first().map(|(at, _)| *at), self.ask_at, self.notify_at];
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

//! Retry budget that holds in every window: number of retries allowed, and the sum over routers in any window.

use fernknot::interface::Nanos;
use fernknot::state::{Mwc, SlidingCount, WindowedBudget};
use test_case::test_case;

const WINDOW_MS: f64 = 10_000.0;
const RATIO: f64 = 0.2;

fn ms(millis: f64) -> Nanos {
    Nanos::from_millis(millis)
}

/// Counts requests at a rate per second from one time to another, in milliseconds.
fn count_requests(budget: &mut WindowedBudget, per_second: f64, from: f64, to: f64) {
    let interval = 1000.0 / per_second;
    let mut at = from;
    while at < to {
        budget.count_request(ms(at));
        at += interval;
    }
}

/// Counts retries until no further one is allowed; returns their number.
fn count_retries_allowed(budget: &mut WindowedBudget, at: f64, free: f64) -> usize {
    let mut spent = 0;
    while budget.remaining(ms(at), free, RATIO) >= 1.0 {
        budget.count_retry(ms(at));
        spent += 1;
    }
    spent
}

#[test]
fn given_no_request_when_retries_are_needed_then_only_the_free_ones_are_allowed() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    assert_eq!(count_retries_allowed(&mut budget, 50_000.0, 3.0), 3);
    assert_eq!(count_retries_allowed(&mut budget, 59_000.0, 3.0), 0);
    assert_eq!(count_retries_allowed(&mut budget, 60_300.0, 3.0), 3, "a window and its margin later");
}

#[test]
fn given_steady_requests_when_all_retries_are_needed_at_once_then_a_quarter_of_a_window_is_allowed() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    count_requests(&mut budget, 100.0, 0.0, 30_000.0);
    let at_once = count_retries_allowed(&mut budget, 30_000.0, 0.0);
    // 1,000 requests per window allow 200 retries. Half of those of the earlier window's first half count, less
    // its margins.
    assert!((45..=50).contains(&at_once), "{at_once}");
}

#[test]
fn given_steady_requests_when_retries_are_needed_for_long_then_nearly_all_of_the_ratio_is_allowed() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    count_requests(&mut budget, 100.0, 0.0, 20_000.0);
    let mut spent = 0;
    for step in 0..200 {
        let at = 20_000.0 + f64::from(step) * 100.0;
        count_requests(&mut budget, 100.0, at, at + 100.0);
        spent += count_retries_allowed(&mut budget, at + 99.0, 0.0);
    }
    // 2,000 requests in two windows allow 400 retries.
    assert!((370..=400).contains(&spent), "{spent}");
}

#[test]
fn given_a_new_budget_when_retries_are_needed_at_once_then_half_the_ratio_of_its_requests_is_allowed() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    count_requests(&mut budget, 100.0, 100_000.0, 101_000.0);
    let spent = count_retries_allowed(&mut budget, 101_000.0, 0.0);
    assert!((8..=10).contains(&spent), "{spent} for 100 requests");
}

#[test]
fn given_fewer_free_retries_than_were_used_then_the_remaining_budget_is_negative() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    assert_eq!(count_retries_allowed(&mut budget, 1000.0, 4.0), 4);
    assert!(budget.remaining(ms(1000.0), 1.0, RATIO) <= -3.0);
}

#[test]
fn given_no_request_for_more_than_a_window_and_a_half_then_the_budget_is_idle() {
    let mut budget = WindowedBudget::new(ms(WINDOW_MS));
    budget.count_request(ms(1000.0));
    assert!(!budget.is_idle(ms(1000.0 + 1.5 * WINDOW_MS)));
    assert!(budget.is_idle(ms(1000.0 + 1.6 * WINDOW_MS)));
}

/// Policy by which a router decides on retries.
trait RetryPolicy {
    fn count_request(&mut self, at: Nanos);
    /// Counts a retry if it is allowed.
    fn retry(&mut self, at: Nanos, free: f64) -> bool;
}

impl RetryPolicy for WindowedBudget {
    fn count_request(&mut self, at: Nanos) {
        WindowedBudget::count_request(self, at);
    }

    fn retry(&mut self, at: Nanos, free: f64) -> bool {
        let allowed = self.remaining(at, free, RATIO) >= 1.0;
        if allowed {
            self.count_retry(at);
        }
        allowed
    }
}

/// Budget that checks only the window that ends now.
#[derive(Default)]
struct CurrentWindowBudget {
    requests: SlidingCount,
    retries: SlidingCount,
}

impl RetryPolicy for CurrentWindowBudget {
    fn count_request(&mut self, at: Nanos) {
        self.requests.add(at, 1.0);
    }

    fn retry(&mut self, at: Nanos, free: f64) -> bool {
        let window = ms(WINDOW_MS);
        let allowed =
            free + RATIO * self.requests.within(at, window) - self.retries.within(at, window) >= 1.0;
        if allowed {
            self.retries.add(at, 1.0);
        }
        allowed
    }
}

/// Times at which clients sent requests, and at which retries reached nodes, in milliseconds.
#[derive(Default)]
struct Observed {
    sent: Vec<f64>,
    arrived: Vec<f64>,
}

impl Observed {
    /// Returns the number of these sorted times in the window that begins at `begin`.
    fn count(times: &[f64], begin: f64) -> usize {
        times.partition_point(|at| *at <= begin + WINDOW_MS) - times.partition_point(|at| *at < begin)
    }

    /// Returns the largest excess over the budget in any window.
    fn worst_excess(mut self, slack: f64) -> f64 {
        self.sent.sort_by(f64::total_cmp);
        self.arrived.sort_by(f64::total_cmp);
        let edges = self.sent.iter().chain(&self.arrived);
        let begins = edges.flat_map(|at| [0.0, 0.5, 1.0, -0.5, -1.0].map(|back| at + back * WINDOW_MS));
        let excess = |begin: f64| {
            let requests = [0.0, 0.5, 1.0].map(|back| Observed::count(&self.sent, begin - back * WINDOW_MS));
            let allowed = slack + RATIO * requests.into_iter().max().unwrap_or(0) as f64;
            Observed::count(&self.arrived, begin) as f64 - allowed
        };
        begins.flat_map(|begin| [begin, begin + 0.001]).map(excess).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Simulates routers with bursts of traffic, each of which sends a retry whenever it may. Requests are counted up to
/// 70 ms after they were sent, and retries arrive up to 70 ms after that. Returns the largest excess in any window.
fn worst_excess_in_bursts<S: RetryPolicy>(seed: u64, routers: usize, new: impl Fn() -> S) -> f64 {
    const MAX_DELAY_MS: f64 = 70.0;
    const SLACK: f64 = 8.0;
    const STEP_MS: f64 = 20.0;
    let mut random = Mwc::new(seed);
    let mut observed = Observed::default();
    let free = SLACK / routers as f64;
    for _ in 0..routers {
        let mut policy = new();
        let mut rate_per_second = 0.0;
        let mut now = MAX_DELAY_MS;
        while now < 60_000.0 {
            if random.fraction() < 0.004 {
                rate_per_second = [0.0, 2.0, 10.0, 40.0][random.below(4) as usize] / routers as f64;
            }
            if random.fraction() < rate_per_second * STEP_MS / 1000.0 {
                policy.count_request(ms(now));
                observed.sent.push(now - random.fraction() * MAX_DELAY_MS);
            }
            while random.fraction() < 0.5 && policy.retry(ms(now), free) {
                observed.arrived.push(now + random.fraction() * MAX_DELAY_MS);
            }
            now += STEP_MS;
        }
    }
    observed.worst_excess(SLACK)
}

#[test_case(1)]
#[test_case(2)]
#[test_case(6)]
fn given_bursts_of_traffic_when_routers_retry_all_they_may_then_no_window_exceeds_the_budget(routers: usize) {
    for seed in 0..25 {
        let excess = worst_excess_in_bursts(seed, routers, || WindowedBudget::new(ms(WINDOW_MS)));
        assert!(excess <= 0.0, "seed {seed}: {excess} retries over the budget");
    }
}

#[test]
fn given_bursts_of_traffic_when_only_the_window_that_ends_now_is_checked_then_another_exceeds_the_budget() {
    let exceeds = |seed: &u64| worst_excess_in_bursts(*seed, 2, CurrentWindowBudget::default) > 0.0;
    assert!((0..25).filter(exceeds).count() > 0, "the simulation can detect an excess");
}

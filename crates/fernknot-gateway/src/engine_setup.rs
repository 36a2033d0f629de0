//! Settings with which the engine starts.

use crate::budget::BudgetShare;
use crate::settings::GatewaySettings;
use fernknot::interface::*;

/// Granularity of the event loop, in milliseconds; also the network term of the engine's estimates.
pub(crate) const LOOP_GRANULARITY_MS: f64 = 3.0;

/// Returns the site settings of an engine that starts with these use cases.
pub(crate) fn initial_site(
    settings: &GatewaySettings,
    budget: &BudgetShare,
    use_cases: Vec<UseCaseSettings>,
) -> SiteSettings {
    let shortest_goal =
        use_cases.iter().map(|use_case| use_case.latency_target).filter(|goal| goal.0 > 0).min();
    SiteSettings {
        routers: budget.sharers().unwrap_or(1).max(1) as usize,
        use_cases,
        shortest_goal,
        customers: Vec::new(),
        tick: Nanos::from_millis(LOOP_GRANULARITY_MS),
        warmup: SlowStartSettings::default(),
        budget: Some(RetryBudgetSettings {
            free: budget.free_retries(),
            share: settings.retry_ratio,
            window: settings.retry_window,
            each_shard: true,
        }),
        places: u32::MAX,
        width: 1,
        cancel: true,
        hedging: true,
        max_attempts: 1,
        max_retry_after: shortest_goal,
        must_ask: false,
        peers: false,
        by_work: false,
        zone: Some(settings.zone),
        // A client's deadline shows when it first sent the request, but a late answer still has some value.
        marks_repeats: true,
        // Rejecting a request twice costs a third of its value, which a late answer would still have.
        refusals_cost: true,
    }
}

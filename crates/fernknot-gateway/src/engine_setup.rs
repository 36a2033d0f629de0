//! What an engine is told at its start.

use crate::budget::BudgetShare;
use crate::settings::GatewaySettings;
use fernknot::interface::*;

/// Granularity of the event loop, which is also the network term of the engine's estimates.
pub(crate) const LOOP_GRANULARITY_MS: f64 = 3.0;

/// The site of an engine that starts with these use cases.
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
            free: budget.slack(),
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
        // The deadline that a client sends shows when it first asked, but a late answer still has some value.
        marks_repeats: true,
        // A request that is rejected twice costs a third of its value, which a late answer still has.
        refusals_cost: true,
    }
}

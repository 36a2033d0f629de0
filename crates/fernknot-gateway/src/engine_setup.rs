//! Settings with which the engine (`fernknot-engine`, which decides on the attempts of requests) starts.

use crate::budget::BudgetShare;
use crate::settings::GatewaySettings;
use fernknot::interface::*;

/// Granularity of the event loop, in milliseconds: the resolution of times that the engine counts on (`tick`), and the
/// wait that a rejection states to the client if the engine gives none.
pub(crate) const LOOP_GRANULARITY_MS: f64 = 3.0;

/// Returns all settings of an engine that starts with these use cases.
pub(crate) fn initial_site(
    settings: &GatewaySettings,
    budget: &BudgetShare,
    use_cases: Vec<UseCaseSettings>,
) -> SiteSettings {
    let min_latency_target =
        use_cases.iter().map(|use_case| use_case.latency_target).filter(|target| target.0 > 0).min();
    SiteSettings {
        routers: budget.sharers().unwrap_or(1).max(1) as usize,
        use_cases,
        min_latency_target,
        customer_quotas: Vec::new(),
        tick: Nanos::from_millis(LOOP_GRANULARITY_MS),
        slow_start: SlowStartSettings::default(),
        retry_budget: Some(RetryBudgetSettings {
            free_retries: budget.free_retries(),
            retry_ratio: settings.retry_ratio,
            window: settings.retry_window,
            per_shard: true,
        }),
        places: u32::MAX,
        places_per_shard: 1,
        cancellation: true,
        hedging: true,
        max_attempts: 1,
        max_retry_after: min_latency_target,
        list_changes_on_request: false,
        peer_updates: false,
        value_by_work: false,
        zone: Some(settings.zone),
        // The gateway marks no request as a retry, so the engine treats each as a first try. With `false`, the engine
        // would assume that a request whose client waits only briefly is a retry, and count its latency target from
        // the estimated time of the first try, although a late answer still has some value.
        clients_mark_retries: true,
        // Only requests that cannot be answered in time are rejected: a second rejection costs a request a third of its
        // value, which a late answer would still have.
        rejections_cost_value: true,
        subsets: true,
    }
}

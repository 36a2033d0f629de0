//! Conversion of the settings to those of the decision module.

use crate::error::{ConfigError, ConfigFault};
use crate::settings::{Class, ClassEffect, FamilyInfo, RawSettings, Rules, WorthBy};
use fernknot::interface::{
    Effect, Nanos, RetryBudgetSettings, SiteSettings, SlowStartSettings, UseCaseSettings, ZoneId,
};

impl RawSettings {
    /// Returns the configuration of the decision module.
    ///
    /// # Errors
    /// The router's zone is not an index into `zones`, or a retry budget has no window. The key is relative to the
    /// settings object.
    pub fn decision_settings(&self) -> Result<SiteSettings, ConfigError> {
        self.check_zone()?;
        let use_cases = self.classes.iter().enumerate();
        Ok(SiteSettings {
            routers: self.balancers,
            use_cases: use_cases.map(|(index, class)| use_case(index, class, &self.family_info)).collect(),
            min_latency_target: None,
            customer_quotas: self.accounts.iter().map(|account| account.quota_per_s).collect(),
            tick: Nanos::from_millis(self.tick),
            slow_start: warm_up(&self.rules),
            retry_budget: retry_budget(&self.rules)?,
            places: self.family_info.places,
            places_per_shard: self.family_info.width,
            cancellation: self.allowed.cancel,
            hedging: self.allowed.second_copies,
            max_attempts: self.allowed.try_limit,
            max_retry_after: self
                .allowed
                .retry_after
                .then_some(Nanos::from_millis(self.allowed.max_retry_after)),
            list_changes_on_request: self.discovery == "ask",
            peer_updates: self.allowed.peers,
            clients_mark_retries: self.client_habits.marks_retry.unwrap_or(true),
            rejections_cost_value: false,
            subsets: false,
            zone: self.locality.filter(|_| self.zones.len() > 1).map(ZoneId),
            value_by_work: self.worth_by == WorthBy::Work,
        })
    }

    /// Checks the router's zone. With an index outside the list, the router would treat every node as one of another
    /// zone.
    fn check_zone(&self) -> Result<(), ConfigError> {
        let zones = self.zones.len();
        match self.locality.filter(|zone| *zone as usize >= zones.max(1)) {
            Some(zone) => Err(ConfigError::new("locality", ConfigFault::UnknownZone { zone, zones })),
            None => Ok(()),
        }
    }
}

fn use_case(index: usize, class: &Class, family: &FamilyInfo) -> UseCaseSettings {
    let at_index = |list: &[f64], default: f64| list.get(index).copied().unwrap_or(default);
    let need = at_index(&family.class_need, 1.0);
    UseCaseSettings {
        latency_target: Nanos::from_millis(class.on_time),
        hard_limit: Nanos::from_millis(class.deadline),
        value: class.worth,
        late_value_share: class.late_share,
        squares_partial_value: false,
        effect: match class.effect {
            ClassEffect::Safe => Effect::Idempotent,
            ClassEffect::Keyed => Effect::Deduplicated(Nanos::from_millis(class.repeat_window)),
            ClassEffect::Unsafe => Effect::NonIdempotent,
        },
        target_work_factor: class.aim_stretch,
        complete_share: need,
        quorum: at_index(&family.min_share, need),
        two_phase: at_index(&family.class_fetch, 0.0) > 0.0,
        max_attempts: None,
    }
}

fn warm_up(rules: &Rules) -> SlowStartSettings {
    SlowStartSettings {
        initial_share: rules.cold_from,
        warmup_time: Nanos::from_millis(rules.cold),
        max_load_multiple: rules.fall_multiple,
        window: Nanos::from_millis(rules.fall),
    }
}

/// Returns the retry budget; `None` if retries are not limited.
fn retry_budget(rules: &Rules) -> Result<Option<RetryBudgetSettings>, ConfigError> {
    if rules.free_resends.is_none() && rules.extra_share.is_none() {
        return Ok(None);
    }
    let window = rules
        .counted_over
        .ok_or_else(|| ConfigError::new("rules.countedOver", ConfigFault::MissingBudgetWindow))?;
    Ok(Some(RetryBudgetSettings {
        free_retries: rules.free_resends.unwrap_or(0.0),
        retry_ratio: rules.extra_share.unwrap_or(0.0),
        window: Nanos::from_millis(window),
        per_shard: false,
    }))
}

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
            shortest_goal: None,
            customers: self.accounts.iter().map(|account| account.quota_per_s).collect(),
            tick: Nanos::from_millis(self.tick),
            warmup: warm_up(&self.rules),
            budget: retry_budget(&self.rules)?,
            places: self.family_info.places,
            width: self.family_info.width,
            cancel: self.allowed.cancel,
            hedging: self.allowed.second_copies,
            max_attempts: self.allowed.try_limit,
            max_retry_after: self
                .allowed
                .retry_after
                .then_some(Nanos::from_millis(self.allowed.max_retry_after)),
            must_ask: self.discovery == "ask",
            peers: self.allowed.peers,
            marks_repeats: self.client_habits.marks_retry.unwrap_or(true),
            refusals_cost: false,
            zone: self.locality.filter(|_| self.zones.len() > 1).map(ZoneId),
            by_work: self.worth_by == WorthBy::Work,
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
        late_share: class.late_share,
        squared: false,
        effect: match class.effect {
            ClassEffect::Safe => Effect::Idempotent,
            ClassEffect::Keyed => Effect::Deduplicated(Nanos::from_millis(class.repeat_window)),
            ClassEffect::Unsafe => Effect::NonIdempotent,
        },
        stretch: class.aim_stretch,
        required: need,
        quorum: at_index(&family.min_share, need),
        two_phase: at_index(&family.class_fetch, 0.0) > 0.0,
        max_attempts: None,
    }
}

fn warm_up(rules: &Rules) -> SlowStartSettings {
    SlowStartSettings {
        from: rules.cold_from,
        warm_after: Nanos::from_millis(rules.cold),
        multiple: rules.fall_multiple,
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
        free: rules.free_resends.unwrap_or(0.0),
        share: rules.extra_share.unwrap_or(0.0),
        window: Nanos::from_millis(window),
        each_shard: false,
    }))
}

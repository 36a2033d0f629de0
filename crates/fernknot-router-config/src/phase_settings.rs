//! Validation and defaults of the two-phase settings of the use cases: kinds of queries, called `classes` in the
//! settings.

use crate::error::{ConfigError, ConfigFault};
use crate::phases::{LatencySplit, TwoPhaseSettings, UnansweredBlock};
use crate::settings::{Class, FamilyInfo, PhasesGiven, RawSettings};
use fernknot::interface::Nanos;

const DEFAULT_MIN_FIRST_PHASE_SHARE: f64 = 0.2;
const DEFAULT_MAX_FIRST_PHASE_SHARE: f64 = 0.8;

impl RawSettings {
    /// Returns the two-phase settings of each use case in the order of the settings; `None` for a use case without two
    /// phases.
    ///
    /// # Errors
    /// A share is out of its bounds. The key is relative to the settings object.
    pub fn two_phase_settings(&self) -> Result<Vec<Option<TwoPhaseSettings>>, ConfigError> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| class_phases(index, class, &self.family_info)).collect()
    }
}

fn class_phases(
    index: usize,
    class: &Class,
    family: &FamilyInfo,
) -> Result<Option<TwoPhaseSettings>, ConfigError> {
    let Some(raw) = &class.phases else { return Ok(None) };
    let min_share = family.min_share.get(index).or(family.class_need.get(index));
    let phases = with_defaults(raw, Nanos::from_millis(class.on_time), min_share.copied().unwrap_or(1.0));
    check(&phases).map_err(|error| error.below(&format!("classes[{index}].phases")))?;
    Ok(Some(phases))
}

fn with_defaults(raw: &PhasesGiven, latency_target: Nanos, min_share: f64) -> TwoPhaseSettings {
    TwoPhaseSettings {
        latency_target,
        min_first_phase_share: raw.min_first.unwrap_or(DEFAULT_MIN_FIRST_PHASE_SHARE),
        max_first_phase_share: raw.max_first.unwrap_or(DEFAULT_MAX_FIRST_PHASE_SHARE),
        unanswered_block: raw.unanswered_block.unwrap_or(UnansweredBlock::Fetch),
        may_name_other_blocks: raw.names_others.unwrap_or(false),
        min_match_share: raw.least_matches.unwrap_or(min_share),
        split: raw.split.unwrap_or(LatencySplit::Learned),
        rejects_late_second_phase: raw.refuses.unwrap_or(true),
        prunes_unmatched: raw.prunes.unwrap_or(true),
    }
}

fn check(phases: &TwoPhaseSettings) -> Result<(), ConfigError> {
    let out_of_range = |key: &str, value: f64, bounds: &str| {
        Err(ConfigError::new(key, ConfigFault::OutOfRange { value, bounds: bounds.to_string() }))
    };
    if !(phases.min_first_phase_share > 0.0 && phases.min_first_phase_share < 1.0) {
        return out_of_range("leastFirst", phases.min_first_phase_share, "0 and 1");
    }
    if !(phases.max_first_phase_share >= phases.min_first_phase_share && phases.max_first_phase_share < 1.0) {
        return out_of_range("mostFirst", phases.max_first_phase_share, "leastFirst and 1");
    }
    if !(phases.min_match_share > 0.0 && phases.min_match_share <= 1.0) {
        return Err(ConfigError::new("leastMatches", ConfigFault::InvalidShare(phases.min_match_share)));
    }
    Ok(())
}

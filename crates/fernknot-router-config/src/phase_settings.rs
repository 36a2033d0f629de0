//! Which use cases may be asked in two phases, validated and defaulted.

use crate::error::{ConfigError, ConfigFault};
use crate::phases::{PhaseFacts, Silent, Split};
use crate::settings::{Class, Facts, FamilyInfo, PhasesGiven};
use fernknot::interface::Nanos;

const DEFAULT_MIN_FIRST_PHASE_SHARE: f64 = 0.2;
const DEFAULT_MAX_FIRST_PHASE_SHARE: f64 = 0.8;

impl Facts {
    /// For each use case, in the order of the settings, how it is asked in two phases, if it may be.
    ///
    /// # Errors
    /// A share is out of its bounds. The key is relative to the settings object.
    pub fn phases(&self) -> Result<Vec<Option<PhaseFacts>>, ConfigError> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| class_phases(index, class, &self.family_info)).collect()
    }
}

fn class_phases(index: usize, class: &Class, family: &FamilyInfo) -> Result<Option<PhaseFacts>, ConfigError> {
    let Some(raw) = &class.phases else { return Ok(None) };
    let min_share = family.min_share.get(index).or(family.class_need.get(index));
    let phases = with_defaults(raw, Nanos::from_millis(class.on_time), min_share.copied().unwrap_or(1.0));
    check(&phases).map_err(|error| error.below(&format!("classes[{index}].phases")))?;
    Ok(Some(phases))
}

fn with_defaults(raw: &PhasesGiven, goal: Nanos, min_share: f64) -> PhaseFacts {
    PhaseFacts {
        goal,
        first_least: raw.least_first.unwrap_or(DEFAULT_MIN_FIRST_PHASE_SHARE),
        first_most: raw.most_first.unwrap_or(DEFAULT_MAX_FIRST_PHASE_SHARE),
        silent: raw.silent.unwrap_or(Silent::Fetch),
        names_others: raw.names_others.unwrap_or(false),
        least: raw.least_matches.unwrap_or(min_share),
        split: raw.split.unwrap_or(Split::Learned),
        refuses: raw.refuses.unwrap_or(true),
        prunes: raw.prunes.unwrap_or(true),
    }
}

fn check(phases: &PhaseFacts) -> Result<(), ConfigError> {
    let out_of_range = |key: &str, value: f64, bounds: &str| {
        Err(ConfigError::new(key, ConfigFault::OutOfRange { value, bounds: bounds.to_string() }))
    };
    if !(phases.first_least > 0.0 && phases.first_least < 1.0) {
        return out_of_range("leastFirst", phases.first_least, "0 and 1");
    }
    if !(phases.first_most >= phases.first_least && phases.first_most < 1.0) {
        return out_of_range("mostFirst", phases.first_most, "leastFirst and 1");
    }
    if !(phases.least > 0.0 && phases.least <= 1.0) {
        return Err(ConfigError::new("leastMatches", ConfigFault::InvalidShare(phases.least)));
    }
    Ok(())
}

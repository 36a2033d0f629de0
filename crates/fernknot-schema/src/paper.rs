//! The operator's configuration as it stands in the JSON, read with `schematic`: its loader takes
//! a string without any file, gives defaults, passes unknown keys and collects what is wrong with
//! single settings. What concerns several settings at once is checked in [`crate::plan`].
//!
//! Its reader of JSON also takes comments; [`crate::plan`] reads the bytes strictly beforehand.

use schematic::{Config, ConfigError, ConfigLoader, Schematic, ValidateError, ValidateResult};
use serde::{Deserialize, Deserializer, Serialize, de};

use crate::plan::{ClientLimits, TrafficClass};
use crate::walk::ValidationError;

/// A number of 0 or more that may come as `600` or as `600.0`; a fraction is rounded up, so that a
/// short time never turns into none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct NonNegativeInteger(pub u64);

impl Schematic for NonNegativeInteger {}

impl<'de> Deserialize<'de> for NonNegativeInteger {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<NonNegativeInteger, D::Error> {
        struct Number;
        impl de::Visitor<'_> for Number {
            type Value = NonNegativeInteger;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a number of 0 or more")
            }
            fn visit_u64<E: de::Error>(self, number: u64) -> Result<NonNegativeInteger, E> {
                Ok(NonNegativeInteger(number))
            }
            fn visit_i64<E: de::Error>(self, number: i64) -> Result<NonNegativeInteger, E> {
                u64::try_from(number).map(NonNegativeInteger).map_err(|_| E::custom("is below 0"))
            }
            fn visit_f64<E: de::Error>(self, number: f64) -> Result<NonNegativeInteger, E> {
                match number >= 0.0 && number < u64::MAX as f64 {
                    true => Ok(NonNegativeInteger(number.ceil() as u64)),
                    false => Err(E::custom("is below 0 or too large")),
                }
            }
        }
        from.deserialize_any(Number)
    }
}

#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawConfig {
    #[setting(required)]
    pub epoch: Option<NonNegativeInteger>,
    #[setting(nested, required)]
    pub routes: Option<Vec<RawRoute>>,
    #[setting(nested, required)]
    pub backends: Option<Vec<RawService>>,
    #[setting(nested)]
    pub limits: RawClientLimits,
}

#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawRoute {
    pub name: String,
    #[setting(required)]
    pub authority: Option<String>,
    #[setting(required, validate = validate_path_prefix)]
    pub path_prefix: Option<String>,
    pub traffic_class: Option<RawTrafficClass>,
    #[setting(validate = validate_positive)]
    pub deadline_ms: Option<NonNegativeInteger>,
    pub target_ms: Option<NonNegativeInteger>,
    pub rank: NonNegativeInteger,
    pub backend: Option<String>,
    #[setting(nested)]
    pub shares: Option<Vec<RawWeightedService>>,
    pub fanout: Option<Vec<String>>,
    pub top_k: Option<NonNegativeInteger>,
    #[setting(validate = validate_fraction)]
    pub quorum: Option<f64>,
    pub tries: Option<NonNegativeInteger>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawTrafficClass {
    Idempotent,
    #[default]
    Mutating,
}

#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawWeightedService {
    #[setting(required)]
    pub backend: Option<String>,
    #[setting(required, validate = validate_weight)]
    pub weight: Option<f64>,
}

#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawService {
    #[setting(required)]
    pub name: Option<String>,
    #[setting(default = "/health")]
    pub probe_path: String,
    pub max_conns: Option<NonNegativeInteger>,
    #[setting(default = "h1")]
    pub protocol: String,
    pub tls: bool,
}

#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawClientLimits {
    pub header_bytes: Option<NonNegativeInteger>,
    pub body_bytes: Option<NonNegativeInteger>,
    pub header_ms: Option<NonNegativeInteger>,
    pub idle_ms: Option<NonNegativeInteger>,
}

impl RawClientLimits {
    pub(crate) fn resolve(&self) -> ClientLimits {
        let absent = ClientLimits::default();
        let or = |given: Option<NonNegativeInteger>, absent| given.map_or(absent, |given| given.0);
        ClientLimits {
            header_bytes: or(self.header_bytes, absent.header_bytes),
            body_bytes: or(self.body_bytes, absent.body_bytes),
            header_ms: or(self.header_ms, absent.header_ms),
            idle_ms: or(self.idle_ms, absent.idle_ms),
        }
    }
}

impl Schematic for RawTrafficClass {}

impl From<RawTrafficClass> for TrafficClass {
    fn from(class: RawTrafficClass) -> TrafficClass {
        match class {
            RawTrafficClass::Idempotent => TrafficClass::Idempotent,
            RawTrafficClass::Mutating => TrafficClass::Mutating,
        }
    }
}

fn validate_path_prefix<D, C>(prefix: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    match prefix.starts_with('/') && prefix.ends_with('/') {
        true => Ok(()),
        false => Err(ValidateError::new("does not begin and end with a slash")),
    }
}

fn validate_positive<D, C>(number: &NonNegativeInteger, _: &D, _: &C, _: bool) -> ValidateResult {
    if number.0 == 0 { Err(ValidateError::new("is 0")) } else { Ok(()) }
}

fn validate_fraction<D, C>(share: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    match (0.0..=1.0).contains(share) {
        true => Ok(()),
        false => Err(ValidateError::new("is not from 0 to 1")),
    }
}

fn validate_weight<D, C>(weight: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    match *weight >= 0.0 && weight.is_finite() {
        true => Ok(()),
        false => Err(ValidateError::new("is below 0")),
    }
}

/// Reads the text, which is known to be JSON.
pub(crate) fn load(text: &str) -> Result<RawConfig, Vec<ValidationError>> {
    let mut loader = ConfigLoader::<RawConfig>::new();
    let loaded = loader.code(text, "plan.json").and_then(|loader| loader.load());
    loaded.map(|loaded| loaded.config).map_err(validation_errors)
}

fn validation_errors(error: ConfigError) -> Vec<ValidationError> {
    match error {
        ConfigError::Validator { error, .. } => error
            .errors
            .iter()
            .map(|error| ValidationError::new(error.path.to_string(), &*error.message))
            .collect(),
        ConfigError::Parser { error, .. } => vec![ValidationError::new(error.path, error.message)],
        error => vec![ValidationError::new("", error.to_string())],
    }
}

//! JSON form of the operator's routing configuration, loaded with `schematic`. The loader parses a string, applies
//! defaults, ignores unknown keys and collects the errors of single settings. Conditions on several settings are
//! checked in [`crate::routing_config_parser`].
//!
//! The JSON parser of `schematic` also accepts comments, so the bytes are first parsed with a strict parser.

use schematic::{Config, ConfigError, ConfigLoader, Schematic, ValidateError, ValidateResult};
use serde::{Deserialize, Deserializer, Serialize, de};

use crate::json_kind::JsonKind;
use crate::raw_api_keys::RawApiKeys;
use crate::routing_config::{ClientLimits, TrafficClass};
use crate::validation_error::ValidationError;

/// Setting whose values may be secret.
const SECRET_SETTING: &str = "tenants";
/// Name of the parsed text in error messages of `schematic`.
const SOURCE_NAME: &str = "plan.json";

/// Number of at least 0, written as `600` or `600.0`; a fraction is rounded up, so that no time or amount above 0
/// becomes 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct NonNegativeInteger(pub u64);

impl Schematic for NonNegativeInteger {}

impl<'de> Deserialize<'de> for NonNegativeInteger {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<NonNegativeInteger, D::Error> {
        struct NumberVisitor;
        impl de::Visitor<'_> for NumberVisitor {
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
                if number >= 0.0 && number < u64::MAX as f64 {
                    Ok(NonNegativeInteger(number.ceil() as u64))
                } else {
                    Err(E::custom("is below 0 or too large"))
                }
            }
        }
        from.deserialize_any(NumberVisitor)
    }
}

/// JSON form of [`crate::RoutingConfig`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawConfig {
    #[setting(required)]
    pub(crate) epoch: Option<NonNegativeInteger>,
    #[setting(nested, required)]
    pub(crate) routes: Option<Vec<RawRoute>>,
    #[setting(nested, required)]
    pub(crate) backends: Option<Vec<RawService>>,
    #[setting(nested)]
    pub(crate) limits: RawClientLimits,
    #[setting(nested)]
    pub(crate) tenants: Option<Vec<RawTenant>>,
}

/// JSON form of [`crate::Route`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawRoute {
    pub(crate) name: String,
    #[setting(required)]
    pub(crate) authority: Option<String>,
    #[setting(required, validate = validate_path_prefix)]
    pub(crate) path_prefix: Option<String>,
    pub(crate) traffic_class: Option<RawTrafficClass>,
    #[setting(validate = validate_positive)]
    pub(crate) deadline_ms: Option<NonNegativeInteger>,
    pub(crate) target_ms: Option<NonNegativeInteger>,
    pub(crate) rank: NonNegativeInteger,
    pub(crate) backend: Option<String>,
    #[setting(nested)]
    pub(crate) shares: Option<Vec<RawWeightedService>>,
    pub(crate) fanout: Option<Vec<String>>,
    pub(crate) top_k: Option<NonNegativeInteger>,
    #[setting(validate = validate_fraction)]
    pub(crate) quorum: Option<f64>,
    pub(crate) tries: Option<NonNegativeInteger>,
    pub(crate) public: bool,
}

/// JSON form of [`crate::TrafficClass`]; by default requests may not be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawTrafficClass {
    Idempotent,
    #[default]
    Mutating,
}

/// JSON form of a service with its weight in [`crate::RouteTarget::WeightedServices`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawWeightedService {
    #[setting(required)]
    pub(crate) backend: Option<String>,
    #[setting(required, validate = validate_weight)]
    pub(crate) weight: Option<f64>,
}

/// JSON form of [`crate::Service`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawService {
    #[setting(required)]
    pub(crate) name: Option<String>,
    #[setting(default = "/health")]
    pub(crate) probe_path: String,
    pub(crate) max_conns: Option<NonNegativeInteger>,
    #[setting(default = "h1")]
    pub(crate) protocol: String,
    pub(crate) tls: bool,
}

/// JSON form of [`crate::Tenant`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawTenant {
    #[setting(required)]
    pub(crate) name: Option<String>,
    pub(crate) api_keys: RawApiKeys,
    pub(crate) rank: Option<NonNegativeInteger>,
}

/// JSON form of [`crate::ClientLimits`].
#[derive(Config, Debug)]
#[config(allow_unknown_fields)]
pub(crate) struct RawClientLimits {
    pub(crate) header_bytes: Option<NonNegativeInteger>,
    pub(crate) body_bytes: Option<NonNegativeInteger>,
    pub(crate) header_ms: Option<NonNegativeInteger>,
    pub(crate) idle_ms: Option<NonNegativeInteger>,
}

impl RawClientLimits {
    /// Returns the limits, with the defaults for missing ones.
    pub(crate) fn resolve(&self) -> ClientLimits {
        let default = ClientLimits::default();
        let given_or = |given: Option<NonNegativeInteger>, default| given.map_or(default, |given| given.0);
        ClientLimits {
            header_bytes: given_or(self.header_bytes, default.header_bytes),
            body_bytes: given_or(self.body_bytes, default.body_bytes),
            header_ms: given_or(self.header_ms, default.header_ms),
            idle_ms: given_or(self.idle_ms, default.idle_ms),
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
    check(prefix.starts_with('/') && prefix.ends_with('/'), "does not begin and end with a slash")
}

fn validate_positive<D, C>(number: &NonNegativeInteger, _: &D, _: &C, _: bool) -> ValidateResult {
    check(number.0 != 0, "is 0")
}

fn validate_fraction<D, C>(fraction: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    check((0.0..=1.0).contains(fraction), "is not from 0 to 1")
}

fn validate_weight<D, C>(weight: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    check(*weight >= 0.0 && weight.is_finite(), "is below 0")
}

fn check(is_valid: bool, reason: &str) -> ValidateResult {
    if is_valid { Ok(()) } else { Err(ValidateError::new(reason)) }
}

/// Loads a text that has been checked to be JSON.
///
/// # Errors
///
/// Returns all errors of single settings; conditions on several of them are not checked.
pub(crate) fn load(text: &str) -> Result<RawConfig, Vec<ValidationError>> {
    let mut loader = ConfigLoader::<RawConfig>::new();
    let loaded = loader.code(text, SOURCE_NAME).and_then(|loader| loader.load());
    let config = loaded.map(|loaded| loaded.config).map_err(validation_errors)?;
    check_tenants_are_objects(text)?;
    Ok(config)
}

/// Types of the tenants in a configuration.
#[derive(Deserialize)]
struct TenantKinds {
    tenants: Option<Vec<JsonKind>>,
}

/// Rejects tenants that are lists: the loader takes the items of a list for the settings in their order, so that a key
/// could become the name that nodes receive.
fn check_tenants_are_objects(text: &str) -> Result<(), Vec<ValidationError>> {
    let kinds: Option<TenantKinds> = serde_json::from_str(text).ok();
    let kinds = kinds.and_then(|kinds| kinds.tenants).unwrap_or_default();
    let others = kinds.iter().enumerate().filter(|(_, kind)| **kind != JsonKind::Object);
    let errors: Vec<ValidationError> = others
        .map(|(index, _)| ValidationError::new(format!("{SECRET_SETTING}[{index}]"), "is not an object"))
        .collect();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn validation_errors(error: ConfigError) -> Vec<ValidationError> {
    match error {
        ConfigError::Validator { error, .. } => error
            .errors
            .iter()
            .map(|error| ValidationError::new(error.path.to_string(), &*error.message))
            .collect(),
        // The message contains the value that was found.
        ConfigError::Parser { error, .. } if error.path.starts_with(SECRET_SETTING) => {
            vec![ValidationError::new(error.path, "has a value of the wrong type")]
        }
        ConfigError::Parser { error, .. } => vec![ValidationError::new(error.path, error.message)],
        error => vec![ValidationError::new("", error.to_string())],
    }
}

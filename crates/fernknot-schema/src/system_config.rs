//! Complete configuration of the operator.

use std::fmt::Display;

use serde::de::IgnoredAny;

use crate::raw_config;
use crate::routing_config::RoutingConfig;
use crate::routing_config_parser::validate;
use crate::tenant::{AccessControl, DigestKey};
use crate::validation_error::ValidationError;

/// Configuration of one version as the operator sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct SystemConfig {
    /// Routes and services.
    pub routing: RoutingConfig,
    /// Tenants and their keys; `None` if no request needs a key.
    pub access: Option<AccessControl>,
}

impl SystemConfig {
    /// Parses and validates a configuration. Unknown keys are ignored, and everything is accepted that the users'
    /// description of the format does not forbid, since a valid configuration must never be rejected. `digest_key` is
    /// the secret of the digests that take the place of the tenants' keys.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found; the caller responds with status 400.
    pub fn parse(bytes: &[u8], digest_key: &DigestKey) -> Result<SystemConfig, Vec<ValidationError>> {
        // A strict parser comes first, because `schematic` accepts comments and trailing commas.
        serde_json::from_slice::<IgnoredAny>(bytes).map_err(not_json)?;
        let text = std::str::from_utf8(bytes).map_err(not_json)?;
        validate(raw_config::load(text)?, digest_key)
    }

    /// Like [`SystemConfig::parse`], for callers that need no digests of the tenants' keys: their digest key is public.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn validate(bytes: &[u8]) -> Result<SystemConfig, Vec<ValidationError>> {
        SystemConfig::parse(bytes, &DigestKey::new(Default::default()))
    }
}

fn not_json(error: impl Display) -> Vec<ValidationError> {
    vec![ValidationError::new("", format!("cannot be read whole: {error}"))]
}

//! Errors of creating a gateway.

use fernknot_router_config::ConfigError;
use thiserror::Error;

/// Error of creating a gateway from the settings of its process.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The settings allow less memory or fewer connections than a gateway needs.
    #[error(transparent)]
    ResourceLimits(#[from] ConfigError),
}

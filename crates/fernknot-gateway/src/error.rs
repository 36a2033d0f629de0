//! Why a gateway cannot be made.

use fernknot_router_config::ConfigError;
use thiserror::Error;

/// The settings of a process are not enough for a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// There is less memory, or there are fewer connections, than a gateway needs.
    #[error(transparent)]
    ResourceLimits(#[from] ConfigError),
}

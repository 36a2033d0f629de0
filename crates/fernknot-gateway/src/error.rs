//! Why a gateway cannot be made.

use thiserror::Error;

/// The settings of a process are not enough for a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// There is less memory, or there are fewer connections, than a gateway needs.
    #[error("{0}")]
    ResourceLimits(String),
}

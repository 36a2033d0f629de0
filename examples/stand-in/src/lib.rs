//! Stand-ins for what a query router meets: data nodes and discovery, on free loopback ports. One
//! thread a connection; they end with the process.

mod discovery;
mod node;

pub use discovery::Discovery;
pub use node::{Call, DataNode, NodeBehaviour};

use fernknot_router_config::{Limits, Precedence, RouterConfig};

/// The configuration that newcomers and tests start from.
pub const CONFIG: &str = include_str!("../../config.json");

/// The limits of that configuration.
pub fn limits() -> Limits {
    RouterConfig::parse(CONFIG, Precedence::Environment, |_| None)
        .expect("the example configuration is sound")
        .limits
}

//! Stand-ins for the services that a query router uses: data nodes and discovery, on loopback ports. They use one
//! thread per connection and run until the process ends.

mod discovery;
mod node;

pub use discovery::Discovery;
pub use node::{Call, DataNode, NodeBehaviour};

use fernknot_router_config::{Limits, Precedence, RouterConfig};

/// The example configuration, which tests start from.
pub const CONFIG: &str = include_str!("../../config.json");

/// Returns the limits of the example configuration.
pub fn limits() -> Limits {
    RouterConfig::parse(CONFIG, Precedence::Environment, |_| None)
        .expect("the example configuration is valid")
        .limits
}

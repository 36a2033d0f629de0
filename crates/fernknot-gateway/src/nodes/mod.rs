//! The known nodes, and the connections to them.

mod connections;
mod node_table;

pub use connections::{AttemptKey, NodeConnections, NodeEndpoint, ReadOutcome};
pub(crate) use node_table::{EndpointChange, NodeChanges, NodeTable};

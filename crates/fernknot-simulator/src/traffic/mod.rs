//! Clients that send requests to gateways, and nodes that execute or reject them. Nodes may respond late, twice or
//! never, or reset the connection during a response.

mod checks;
mod clients;
mod nodes;
pub(crate) mod state;

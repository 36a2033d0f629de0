//! Clients that send requests to gateways, and nodes that reject them, answer them late, twice or never, or break off.

mod checks;
mod clients;
mod nodes;
pub(crate) mod state;

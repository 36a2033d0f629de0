//! Updates of configuration, nodes and ownership: received from a controller or from the relay of the zone, and
//! forwarded to the gateways that subscribe to this one.

mod controllers;
mod ownership;
mod relay;
mod sources;
mod state;
mod subscribers;
mod topics;
mod usage;

pub(crate) use relay::UpdateRelay;
pub(crate) use state::{LocalState, Update};

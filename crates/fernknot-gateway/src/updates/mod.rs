//! Updates of configuration, nodes and ownership: received from a controller or from the relay of the zone, and
//! forwarded to the gateways that subscribe to this one.

mod config_source;
mod confirmation;
mod controllers;
mod message_readers;
mod ownership;
mod relay;
mod snapshots;
mod sources;
mod state;
mod subscribers;
mod topics;
mod usage;

pub(crate) use confirmation::Confirmation;
pub(crate) use relay::UpdateRelay;
pub(crate) use state::{LocalState, Update};

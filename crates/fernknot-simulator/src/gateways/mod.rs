//! Production gateways in runs of the whole system, and their byte-stream connections to controllers, other gateways,
//! nodes and clients.

mod arrivals;
mod connections;
mod control_links;
mod faults;
mod processes;
mod settings;
pub(crate) mod state;

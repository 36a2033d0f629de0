//! In runs of the whole system: the production gateways, and the connections that carry their bytes to controllers, to
//! each other, to nodes and from clients.

mod arrivals;
mod connections;
mod control_links;
mod faults;
mod processes;
mod settings;
pub(crate) mod state;

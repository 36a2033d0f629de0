//! Models of the gateways' control connections. Each subscriber subscribes to one controller, switches to another one
//! on a time-out or if the controller has no majority, and stores the newest configuration and the nodes' states.

mod checks;
pub(crate) mod state;
mod subscriptions;
mod updates;

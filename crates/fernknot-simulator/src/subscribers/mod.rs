//! Stand-ins for the control side of gateways: each subscribes to one controller, goes to another one when that is silent
//! or hears no majority, and holds the newest configuration and what it was notified of nodes.

mod checks;
pub(crate) mod state;
mod subscriptions;
mod updates;

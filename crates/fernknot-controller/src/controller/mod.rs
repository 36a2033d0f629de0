//! The controller: routes inputs to the component concerned, and the resulting actions to the host.
//!
//! `state` defines [`Controller`] and the operations that all other files use; each of the others adds the handlers
//! of one concern.

mod changes;
mod consensus_events;
mod gateway_messages;
mod http_calls;
mod inspection;
mod lifecycle;
mod node_updates;
mod peer_messages;
mod publication;
mod quorum;
mod schedule;
mod state;
mod usage;

pub use state::Controller;

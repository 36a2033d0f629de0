//! The controller: routes inputs to the state of each concern, and the actions that follow to the host.
//!
//! `state` holds [`Controller`] and what every other file uses; the others add the handlers of one concern each and
//! depend on `state` only by import.

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

pub use state::Controller;

//! Distribution of updates to the gateways, without I/O or clock.
//!
//! This crate decides from which process a gateway receives the updates of each topic, and to which subscribers it
//! forwards them. In every zone one gateway is the relay of a topic group (its owner by `fernknot-ownership`): it
//! subscribes to a controller, and the other gateways of the zone subscribe to it, so that each update crosses into a
//! zone once. Gateways without a healthy relay subscribe to a controller themselves.
//!
//! An assignment is the list of live gateways that the leader of the controllers makes (`fernknot-ownership`); its
//! fencing token grows with each new one. A source, that is, a controller or relay, sends heartbeats also without
//! updates. A heartbeat has a lease if the controller that it comes from is in contact with a majority of the
//! controllers, so that the updates are current.
//!
//! One [`Relays`] is the state machine of one gateway. The host, which is the program that drives it
//! (`fernknot-gateway`), reports received messages and lost connections, and executes the [`Action`]s.
//! `docs/distribution.md` compares the alternatives.

#![deny(missing_docs)]

mod action;
mod attempt_pacing;
mod backoff;
mod controller_selection;
mod relay_health;
mod relays;
mod source;
mod subscribers;
mod subscription;
mod timing;
mod topic;
mod topic_upstreams;

pub use action::Action;
pub use controller_selection::ControllerEndpoint;
pub use relays::{Relays, RelaysLimits};
pub use source::{SourceHeartbeat, SourceKind};
pub use topic::Topic;

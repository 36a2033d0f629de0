//! Distribution of updates to the gateways, without I/O or clock.
//!
//! This crate owns the decision which process a gateway takes each topic's updates from, and which subscribers it
//! passes them on to. In every zone one gateway is the relay of a topic group (its owner by `fernknot-ownership`): it
//! subscribes to a controller, and the others of the zone subscribe to it, so that each update crosses into a zone
//! once. Gateways without a healthy relay subscribe to a controller themselves.
//!
//! One [`Relays`] is the state machine of one gateway. Its host (`fernknot-gateway`) reports what came and which
//! connections were lost, and carries out the [`Action`]s. `docs/distribution.md` compares the alternatives.

#![deny(missing_docs)]

mod action;
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

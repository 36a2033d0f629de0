//! How news reaches the gateways, without I/O or clock.
//!
//! Each topic (a service's nodes, or the configuration with the cuts) has a home in every zone: the gateway that
//! holds it as a duty. The home takes the topic's news from a controller; the others of the zone subscribe to the home.
//! So each piece of news crosses into a zone once. One [`Homes`] is the state machine of one gateway: the host tells it
//! what came and what was lost and pulls whom to attach to. The ways weighed are in `docs/news.md`.

mod controllers;
mod homes;
mod link;
mod plan;

pub use controllers::ControllerEndpoint;
pub use homes::{Action, Relays, RelaysLimits};
pub use link::{SourceHeartbeat, SourceKind, Topic};

//! The control plane of fernknot. A [`Controller`] keeps the operator's routing configuration together with the other
//! controllers, knows the nodes by their heartbeats, assigns singleton roles to gateways, and publishes all of it to
//! the gateways that subscribe.
//!
//! The package owns the control state, the registry of nodes as a controller sees it, and the program
//! `fernknot-controller`. A [`Controller`] has no socket, file or clock: the program's [`host`], and in tests the
//! simulator, hand it inputs with the time and take [`Action`]s until there are none. Nodes and operators call it over
//! HTTP, gateways and other controllers over `fernknot-rpc`.

#![deny(missing_docs)]

mod action;
mod calls;
mod change;
mod consensus_driver;
mod control_state;
mod controller;
mod counters;
mod disk;
mod evidence;
pub mod host;
mod node_registry;
mod ownership;
mod peers;
mod pending_changes;
mod read_index;
mod reports;
mod seeded_bug;
mod settings;
mod subscribers;
mod timers;

pub use action::{Action, PendingCall, SubscriberId};
pub use control_state::{CommittedVersion, ControlState, ControlStateError};
pub use controller::Controller;
#[doc(hidden)]
pub use seeded_bug::SeededBug;
pub use settings::ControllerSettings;

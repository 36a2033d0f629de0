//! The control plane of fernknot. A [`Controller`] replicates the operator's routing configuration with the other
//! controllers, tracks nodes by their heartbeats, assigns singleton roles to gateways, and publishes all three to the
//! gateways that subscribe.
//!
//! Terms: a peer is another controller; a subscriber is a gateway that receives updates over a connection that it
//! opened. An epoch is the number that the operator gives to a version of the routing configuration; the revision is
//! the number that `fernknot-consensus` gives to the control state with it. A configuration is active at a controller
//! once the consensus member has delivered it there. A controller holds a lease while a majority of the voters of its
//! view has recently answered its heartbeats, and is partitioned if it reaches no majority; an unqualified majority
//! is one of these voters. A singleton role is a task that one live gateway performs for all, and an assignment lists
//! the live gateways from which the owner of each role is computed. An incarnation is one run of a process, from
//! start to end.
//!
//! The package owns the control state, the controller's registry of nodes, and the program `fernknot-controller`. A
//! [`Controller`] performs no I/O and reads no clock: its host (the program's [`host`], or the simulator in tests)
//! passes it inputs with the current time and polls it for [`Action`]s until none are left. Nodes and operators call
//! it over HTTP, gateways and other controllers over `fernknot-rpc`.

#![deny(missing_docs)]

mod action;
mod active_config;
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
mod replicated_state;
mod reports;
mod seeded_bug;
mod settings;
mod subscribers;
mod timers;
mod usage;

pub use action::{Action, PendingCall, SubscriberId};
pub use control_state::{CommittedVersion, ControlState, ControlStateError};
pub use controller::Controller;
pub use replicated_state::{RecordedUsage, ReplicatedState};
#[doc(hidden)]
pub use seeded_bug::SeededBug;
pub use settings::ControllerSettings;

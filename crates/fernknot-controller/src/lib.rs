//! The control plane of fernknot. A [`Controller`] keeps the operator's configuration together with its like, knows
//! the nodes by their beats, and tells the gateways of both. It has no socket, file or clock: the program's host
//! ([`host`]) feeds it calls and words and pulls orders from it.

mod calls;
mod changes;
mod control;
mod controller;
mod disk;
mod ears;
mod ground;
pub mod host;
mod peers;
mod standing;

pub use changes::{ForwardedCallId, RequestOrigin};
pub use control::{CommittedVersion, ControlState};
#[doc(hidden)]
pub use controller::SeededBug;
pub use controller::{Action, Controller, ControllerSettings, PendingCall, SubscriberId};
pub use ground::QuorumEvidence;

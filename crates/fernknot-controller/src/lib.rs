//! The control plane of fernknot. A [`Registrar`] keeps the operator's configuration together with its like, knows
//! the nodes by their beats, and tells the gateways of both. It has no socket, file or clock: the program's host
//! ([`host`]) feeds it calls and words and pulls orders from it.

mod calls;
mod changes;
mod control;
mod disk;
mod ears;
mod ground;
pub mod host;
mod peers;
mod registrar;
mod standing;

pub use changes::{ForwardedCallId, RequestOrigin};
pub use control::{CommittedVersion, ControlState};
pub use ground::QuorumEvidence;
#[doc(hidden)]
pub use registrar::SeededBug;
pub use registrar::{Action, Controller, ControllerSettings, PendingCall, SubscriberId};

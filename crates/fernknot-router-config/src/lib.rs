//! Configuration of the router in service: the one place where it is parsed, validated and defaulted.
//!
//! [`RouterConfig`] is all that a router process is started with, from its environment and a JSON file. The
//! `settings` object of that file is [`RawSettings`]; the decision module, which also runs without sockets, is given
//! what [`RawSettings::decision_settings`] makes of it. Nothing here holds state: a configuration that is read again is parsed anew.

#![deny(missing_docs)]

mod error;
mod fingerprint;
mod limits;
mod membership;
mod phase_settings;
mod phases;
mod router;
mod settings;
mod site;
mod sockets;

pub use error::{ConfigError, ConfigFault};
pub use fingerprint::fingerprint;
pub use limits::Limits;
pub use membership::{MembershipSettings, PeerAddresses};
pub use phases::{LatencySplit, TwoPhaseSettings, UnansweredBlock};
pub use router::{Precedence, RouterConfig};
pub use settings::RawSettings;
pub use sockets::SocketSettings;

//! Configuration of the router process: parsing, validation and default values. A router receives clients' queries and
//! sends their parts to data nodes, which a service called discovery lists; the other routers are its peers.
//!
//! [`RouterConfig`] is the complete configuration of a router process, from its environment and a JSON file. The
//! `settings` object of that file is [`RawSettings`]; [`RawSettings::decision_settings`] derives the settings of the
//! decision module, which also runs without sockets, in simulations. The crate keeps no state: a reload parses the
//! whole configuration.

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

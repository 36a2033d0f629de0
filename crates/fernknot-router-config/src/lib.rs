//! The one place where configuration is read, checked and given defaults.

mod facts;
mod limits;
mod start;

pub use facts::{Facts, PhaseFacts, Silent, SocketFacts, Split};
pub use limits::Limits;
pub use start::{MembershipSettings, PeerAddresses, Precedence, RouterConfig, fingerprint};

//! Identifiers of routers and of their incarnations.

use serde::{Deserialize, Serialize};

/// Router identifier: a hash of the address that the configured lists give the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(#[serde(with = "postcard::fixint::le")] pub u32);

/// SWIM's incarnation number of a router, raised by each start of its process, each refutation of a report that it is
/// suspected or has failed, and each announcement after a network partition.
///
/// A start uses the wall clock in milliseconds, a refutation one more than the incarnation it refutes, an announcement
/// one more than its own. Zero means that no message from or about the router has arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Placeholder for a router from which or about which no message has arrived.
    pub(crate) const UNKNOWN: Incarnation = Incarnation(0);

    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0 + 1)
    }
}

//! How a router and one run of it are identified.

use serde::{Deserialize, Serialize};

/// A router, by a hash of the address under which all lists name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(#[serde(with = "postcard::fixint::le")] pub u32);

/// SWIM's incarnation number of a router: it grows with each start and each refutation.
///
/// A start takes the wall clock's milliseconds, a refutation one more than the incarnation it refutes. Zero stands
/// for a router that was never heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Of a router that was never heard of.
    pub(crate) const UNKNOWN: Incarnation = Incarnation(0);

    pub(crate) fn next(self) -> Incarnation {
        Incarnation(self.0 + 1)
    }
}

//! Why a router has the status that it has.

use crate::identity::RouterId;
use fernknot::interface::Nanos;
use std::fmt;

/// How a status became known to the local router.
///
/// Its [`Display`](fmt::Display) form is the one of the operator's view (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSource {
    /// The router is configured; nothing was heard of it yet.
    Configured,
    /// The router itself.
    Member,
    /// The local router's own probe, or a suspicion that timed out here.
    LocalProbe,
    /// An update that this router passed on.
    Relayed(RouterId),
}

impl fmt::Display for EvidenceSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EvidenceSource::Configured => formatter.write_str("Listed"),
            EvidenceSource::Member => formatter.write_str("Itself"),
            EvidenceSource::LocalProbe => formatter.write_str("Own"),
            EvidenceSource::Relayed(router) => write!(formatter, "Told({router:?})"),
        }
    }
}

/// Who reported a status, when, and how it became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause {
    /// The router that knows this status first hand.
    pub reporter: RouterId,
    /// When the local router learned of it, by the host's clock.
    pub at: Nanos,
    /// How it became known.
    pub source: EvidenceSource,
}

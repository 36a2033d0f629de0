//! Evidence for a router's status.

use crate::identity::RouterId;
use fernknot::interface::Nanos;
use std::fmt;

/// Source from which the local router learned a status.
///
/// Its [`Display`](fmt::Display) form is part of the operator's view (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceSource {
    /// Configuration alone: no message from or about the router has arrived.
    Configured,
    /// Message from the router itself.
    Member,
    /// Probe by the local router, or a suspicion that timed out locally.
    LocalProbe,
    /// Update forwarded by this router.
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

/// Reporter, time and source of a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause {
    /// Router with first-hand knowledge of the status.
    pub reporter: RouterId,
    /// Time at which the local router learned the status, by the host's clock.
    pub learned_at: Nanos,
    /// Source of the status.
    pub source: EvidenceSource,
}

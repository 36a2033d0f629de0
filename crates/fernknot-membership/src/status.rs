//! What is known of one router's liveness. Statuses form a lattice: in whatever order the same updates arrive, and
//! however often, the highest one stays.

use crate::identity::Incarnation;
use serde::{Deserialize, Serialize};

/// A router's liveness, in the order in which one status overrides another at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Nothing is known against it.
    Alive,
    /// It did not answer a probe, and has some time to refute the suspicion.
    Suspected {
        /// Whoever receives a message from a suspected router starts the next round, which restarts the suspicion's
        /// time-out everywhere.
        round: u8,
    },
    /// It did not refute the suspicion in time: SWIM's confirmed failure.
    Failed,
    /// It announced its own shutdown.
    Left,
}

impl Status {
    /// Whether it is suspected, in any round.
    pub fn is_suspected(self) -> bool {
        matches!(self, Status::Suspected { .. })
    }

    /// The round of the suspicion; 0 where there is none.
    pub(crate) fn suspicion_round(self) -> u8 {
        match self {
            Status::Suspected { round } => round,
            _ => 0,
        }
    }
}

/// A status of one incarnation of a router: an element of the lattice, ordered by incarnation first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionedStatus {
    /// The incarnation that the status is about.
    pub incarnation: Incarnation,
    /// The status of that incarnation.
    pub status: Status,
}

impl VersionedStatus {
    /// The lowest element: of a router that was never heard of.
    pub const UNKNOWN: VersionedStatus = VersionedStatus::alive(Incarnation::UNKNOWN);

    /// This incarnation is alive.
    pub const fn alive(incarnation: Incarnation) -> VersionedStatus {
        VersionedStatus { incarnation, status: Status::Alive }
    }

    /// Another status of the same incarnation.
    pub(crate) fn with_status(self, status: Status) -> VersionedStatus {
        VersionedStatus { status, ..self }
    }

    /// Takes the higher of this and `reported`; whether that changed anything.
    pub fn merge(&mut self, reported: VersionedStatus) -> bool {
        let is_higher = reported > *self;
        *self = (*self).max(reported);
        is_higher
    }

    /// Whether the router was ever heard of.
    pub(crate) fn is_known(&self) -> bool {
        self.incarnation != Incarnation::UNKNOWN
    }

    /// Whether the router counts as running: heard of, and alive or only suspected.
    pub fn is_live(&self) -> bool {
        self.is_known() && matches!(self.status, Status::Alive | Status::Suspected { .. })
    }
}

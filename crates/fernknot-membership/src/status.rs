//! Knowledge about one router's liveness. Statuses form a lattice: merging the same updates in any order and any number
//! of times yields the highest one.

use crate::identity::Incarnation;
use serde::{Deserialize, Serialize};

/// Liveness of a router. Later variants override earlier ones at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Running, as far as known.
    Alive,
    /// Suspected after unanswered probes; the router has until the time-out to refute it.
    Suspected {
        /// Round of the suspicion, from 0. A router that receives a message of the suspected one
        /// starts the next round, which restarts the time-out at all routers.
        round: u8,
    },
    /// Confirmed as failed: the suspicion was not refuted in time.
    Failed,
    /// Left after announcing its own shutdown.
    Left,
}

impl Status {
    /// Whether the router is suspected, in any round.
    pub fn is_suspected(self) -> bool {
        matches!(self, Status::Suspected { .. })
    }

    /// Round of the suspicion; 0 if there is none.
    pub(crate) fn suspicion_round(self) -> u8 {
        match self {
            Status::Suspected { round } => round,
            _ => 0,
        }
    }
}

/// Status of one incarnation of a router: an element of the lattice, ordered by incarnation first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionedStatus {
    /// Incarnation that the status refers to.
    pub incarnation: Incarnation,
    /// Status of that incarnation.
    pub status: Status,
}

impl VersionedStatus {
    /// Lowest element: no message from or about the router has arrived.
    pub const UNKNOWN: VersionedStatus = VersionedStatus::alive(Incarnation::UNKNOWN);

    /// Returns the alive status of an incarnation.
    pub const fn alive(incarnation: Incarnation) -> VersionedStatus {
        VersionedStatus { incarnation, status: Status::Alive }
    }

    /// Returns another status of the same incarnation.
    pub(crate) fn with_status(self, status: Status) -> VersionedStatus {
        VersionedStatus { status, ..self }
    }

    /// Merges `reported` by keeping the higher of both; returns whether the state changed.
    pub fn merge(&mut self, reported: VersionedStatus) -> bool {
        let is_higher = reported > *self;
        *self = (*self).max(reported);
        is_higher
    }

    /// Whether any message from or about the router has arrived.
    pub(crate) fn is_known(&self) -> bool {
        self.incarnation != Incarnation::UNKNOWN
    }

    /// Whether the router is known, and alive or only suspected.
    pub fn is_live(&self) -> bool {
        self.is_known() && matches!(self.status, Status::Alive | Status::Suspected { .. })
    }
}

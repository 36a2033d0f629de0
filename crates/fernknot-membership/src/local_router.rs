//! State that the local router claims for itself.

use crate::identity::{Incarnation, RouterId};
use crate::message::Update;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;

/// State that the local router claims for itself.
pub(crate) struct LocalRouter {
    pub id: RouterId,
    /// Hash of the configured name, to detect another process with the same name.
    pub name_hash: u32,
    /// Start of the process, by the wall clock in milliseconds.
    pub started_ms: u64,
    pub incarnation: Incarnation,
    /// Whether the router has announced that it leaves.
    pub has_left: bool,
    /// Whether the router left because another process of the same name started earlier.
    pub has_yielded: bool,
    last_announced: Option<Nanos>,
}

impl LocalRouter {
    /// Creates the state of a process that has just started.
    pub fn new(id: RouterId, name_hash: u32, started_ms: u64) -> LocalRouter {
        LocalRouter {
            id,
            name_hash,
            started_ms,
            incarnation: Incarnation(started_ms.max(1)),
            has_left: false,
            has_yielded: false,
            last_announced: None,
        }
    }

    /// Adopts an incarnation above the reported one if the report overrides the router's own claim; returns whether it
    /// did.
    pub fn refute(&mut self, reported: VersionedStatus) -> bool {
        if self.has_left || reported <= VersionedStatus::alive(self.incarnation) {
            return false;
        }
        self.incarnation = reported.incarnation.next();
        true
    }

    /// Adopts a new incarnation, which overrides older reports that this router has failed, unless it has left or the
    /// last such announcement was at most `window` ago. Returns whether it did.
    pub fn announce(&mut self, now: Nanos, window: Nanos) -> bool {
        let earliest = now - window;
        if self.has_left || self.last_announced.is_some_and(|at| at >= earliest) {
            return false;
        }
        self.last_announced = Some(now);
        self.incarnation = self.incarnation.next();
        true
    }

    /// Whether this process has to leave in favour of another one of the same name. The later start leaves; at the same
    /// millisecond, the higher id.
    pub fn yields_to(&self, other: RouterId, other_started_ms: u64) -> bool {
        (self.started_ms, self.id) > (other_started_ms, other)
    }

    /// Update that disseminates the router's own status.
    pub fn update(&self) -> Update {
        let status = if self.has_left { Status::Left } else { Status::Alive };
        let state = VersionedStatus { incarnation: self.incarnation, status };
        Update { member: self.id, state, reporter: None }
    }
}

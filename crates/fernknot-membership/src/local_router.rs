//! What the local router claims of itself.

use crate::identity::{Incarnation, RouterId};
use crate::message::Update;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;

/// What the local router claims of itself.
pub(crate) struct LocalRouter {
    /// Its id.
    pub id: RouterId,
    /// A hash of its configured name, to detect another process with the same name.
    pub name_hash: u32,
    /// When the process started, by the wall clock in milliseconds.
    pub started_ms: u64,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// It announced that it leaves.
    pub has_left: bool,
    /// It left because another process of the same name started earlier.
    pub has_yielded: bool,
    last_announced: Option<Nanos>,
}

impl LocalRouter {
    /// A process that has just started.
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

    /// Takes an incarnation past the reported one, if that one overrides what this router claims of itself.
    pub fn refute(&mut self, reported: VersionedStatus) -> bool {
        if self.has_left || reported <= VersionedStatus::alive(self.incarnation) {
            return false;
        }
        self.incarnation = reported.incarnation.next();
        true
    }

    /// Takes a new incarnation, unless that was done less than `window` ago.
    pub fn announce(&mut self, now: Nanos, window: Nanos) -> bool {
        let earliest = now - window;
        if self.has_left || self.last_announced.is_some_and(|at| at >= earliest) {
            return false;
        }
        self.last_announced = Some(now);
        self.incarnation = self.incarnation.next();
        true
    }

    /// Whether this process gives way to another one of the same name: the later start does, and at the same
    /// millisecond the higher id.
    pub fn yields_to(&self, other: RouterId, other_started_ms: u64) -> bool {
        (self.started_ms, self.id) > (other_started_ms, other)
    }

    /// The update that passes its own status on.
    pub fn update(&self) -> Update {
        let status = if self.has_left { Status::Left } else { Status::Alive };
        let state = VersionedStatus { incarnation: self.incarnation, status };
        Update { member: self.id, state, reporter: None }
    }
}

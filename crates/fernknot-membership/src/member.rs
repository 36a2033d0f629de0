//! State that the local router keeps about one other router.

use crate::cause::{Cause, EvidenceSource};
use crate::identity::{Incarnation, RouterId};
use crate::link::{LinkState, LinkTracker};
use crate::message::Update;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;

/// State that the local router keeps about one other router.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifier of the router.
    pub id: RouterId,
    /// Status, and the incarnation that it refers to.
    pub state: VersionedStatus,
    /// Reporter and evidence of the status, and the time at which it was learned.
    pub cause: Cause,
    /// Number of times that the router was confirmed as failed or returned after that.
    pub failure_changes: u32,
    /// Arrival of the last message sent by the router itself; `None` before the first.
    pub(crate) last_received: Option<Nanos>,
    /// Start of the router's process, by its own wall clock in milliseconds.
    pub(crate) process_started_ms: u64,
    /// Arrival of the first message of the router's current process.
    pub(crate) process_first_received: Option<Nanos>,
    /// Incarnation that the router itself claims.
    pub(crate) claimed_incarnation: Incarnation,
    pub(crate) link: LinkTracker,
    /// Routers that suspect it in the current round; a failure that another router forwards fills the list up to the
    /// maximum with its reporter. Empty if the router is not suspected.
    pub(crate) accusers: Vec<RouterId>,
    /// Time at which the current round of suspicion became known locally.
    pub(crate) suspected_at: Nanos,
    pub(crate) refutations: Refutations,
    /// Time of the last failed probe of the router; `None` before the first.
    pub(crate) last_failed_probe: Option<Nanos>,
}

impl Member {
    pub(crate) fn new(id: RouterId, now: Nanos) -> Member {
        Member {
            id,
            state: VersionedStatus::UNKNOWN,
            cause: Cause { reporter: id, learned_at: now, source: EvidenceSource::Configured },
            failure_changes: 0,
            last_received: None,
            process_started_ms: 0,
            process_first_received: None,
            claimed_incarnation: Incarnation::UNKNOWN,
            link: LinkTracker::default(),
            accusers: Vec::new(),
            suspected_at: now,
            refutations: Refutations { count: 0, last_at: now },
            last_failed_probe: None,
        }
    }

    /// Link between the router and the local one.
    pub fn link(&self) -> LinkState {
        self.link.state()
    }

    /// Whether the router is suspected, in any round.
    pub fn is_suspected(&self) -> bool {
        self.state.status.is_suspected()
    }

    pub(crate) fn is_failed(&self) -> bool {
        self.state.status == Status::Failed
    }

    /// Whether the router has neither failed nor left, so that it is still probed.
    pub(crate) fn is_present(&self) -> bool {
        !matches!(self.state.status, Status::Failed | Status::Left)
    }

    /// Whether the known state is exactly what the router itself claims.
    pub(crate) fn agrees_with_own_claim(&self) -> bool {
        self.state == VersionedStatus::alive(self.claimed_incarnation)
    }

    /// Whether the first message of its process arrived less than `window` ago.
    pub(crate) fn has_just_started(&self, now: Nanos, window: Nanos) -> bool {
        self.process_first_received.is_some_and(|at| now - at < window)
    }

    /// Update that disseminates the status. It names the latest accuser, so that all accusers become known over time.
    pub(crate) fn update(&self) -> Update {
        let reporter = match self.state.status {
            Status::Suspected { .. } => self.accusers.last().copied(),
            Status::Failed => Some(self.cause.reporter),
            Status::Alive | Status::Left => None,
        };
        Update { member: self.id, state: self.state, reporter }
    }
}

/// Consecutive suspicions that a router refuted. Each doubles the time-out of the next one, so that the status does not
/// flap while refutations are slow to arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refutations {
    count: u32,
    last_at: Nanos,
}

impl Refutations {
    /// Number of consecutive refutations; 0 if the last one was `window` ago or longer.
    pub fn recent(&self, now: Nanos, window: Nanos) -> u32 {
        if now - self.last_at < window { self.count } else { 0 }
    }

    /// Counts one more refutation.
    pub fn add(&mut self, now: Nanos, window: Nanos) {
        *self = Refutations { count: self.recent(now, window) + 1, last_at: now };
    }
}

//! What the local router knows of one other router.

use crate::cause::{Cause, EvidenceSource};
use crate::identity::{Incarnation, RouterId};
use crate::link::{LinkState, LinkTracker};
use crate::message::Update;
use crate::status::{Status, VersionedStatus};
use fernknot::interface::Nanos;

/// What the local router knows of one other router.
#[derive(Clone, Debug)]
pub struct Member {
    /// The router.
    pub id: RouterId,
    /// Its status, and the incarnation that it is about.
    pub state: VersionedStatus,
    /// Why it has this status.
    pub cause: Cause,
    /// How often it was confirmed as failed or came back from that.
    pub failure_changes: u32,
    /// When a message of its own last arrived.
    pub(crate) last_heard: Option<Nanos>,
    /// When its process started, by its own clock in milliseconds.
    pub(crate) process_started_ms: u64,
    /// When the first message of its present process arrived.
    pub(crate) process_first_heard: Option<Nanos>,
    /// The incarnation that it claims itself.
    pub(crate) claimed_incarnation: Incarnation,
    pub(crate) link: LinkTracker,
    /// Who suspects it in this round.
    pub(crate) accusers: Vec<RouterId>,
    /// When this round of suspicion became known here.
    pub(crate) suspected_at: Nanos,
    pub(crate) refutations: Refutations,
    /// When a probe of it last failed.
    pub(crate) last_failed_probe: Option<Nanos>,
}

impl Member {
    pub(crate) fn new(id: RouterId, now: Nanos) -> Member {
        Member {
            id,
            state: VersionedStatus::UNKNOWN,
            cause: Cause { reporter: id, at: now, source: EvidenceSource::Configured },
            failure_changes: 0,
            last_heard: None,
            process_started_ms: 0,
            process_first_heard: None,
            claimed_incarnation: Incarnation::UNKNOWN,
            link: LinkTracker::default(),
            accusers: Vec::new(),
            suspected_at: now,
            refutations: Refutations { count: 0, last_at: now },
            last_failed_probe: None,
        }
    }

    /// The link between it and the local router.
    pub fn link(&self) -> LinkState {
        self.link.state()
    }

    /// Whether it is suspected.
    pub fn is_suspected(&self) -> bool {
        self.state.status.is_suspected()
    }

    pub(crate) fn is_failed(&self) -> bool {
        self.state.status == Status::Failed
    }

    /// Whether it has neither failed nor left, and so is worth a probe.
    pub(crate) fn is_present(&self) -> bool {
        !matches!(self.state.status, Status::Failed | Status::Left)
    }

    /// Whether no more is known of it than what it claims itself.
    pub(crate) fn agrees_with_own_claim(&self) -> bool {
        self.state == VersionedStatus::alive(self.claimed_incarnation)
    }

    /// Whether the first message of its process arrived less than `window` ago.
    pub(crate) fn has_just_started(&self, now: Nanos, window: Nanos) -> bool {
        self.process_first_heard.is_some_and(|at| now - at < window)
    }

    /// The update that passes its status on. It names the latest accuser, so that in time all become known.
    pub(crate) fn update(&self) -> Update {
        let reporter = match self.state.status {
            Status::Suspected { .. } => self.accusers.last().copied(),
            Status::Failed => Some(self.cause.reporter),
            Status::Alive | Status::Left => None,
        };
        Update { member: self.id, state: self.state, reporter }
    }
}

/// Suspicions that a router refuted in a row. Each doubles the time-out of the next, so that a status does not come
/// and go where a refutation travels far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refutations {
    count: u32,
    last_at: Nanos,
}

impl Refutations {
    /// Those in a row, unless the last was `window` ago or longer.
    pub fn recent(&self, now: Nanos, window: Nanos) -> u32 {
        if now - self.last_at < window { self.count } else { 0 }
    }

    /// Counts one more.
    pub fn add(&mut self, now: Nanos, window: Nanos) {
        *self = Refutations { count: self.recent(now, window) + 1, last_at: now };
    }
}

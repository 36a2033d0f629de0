//! State of a view change: this replica's own attempt, and the schedule of the next one.

use std::collections::BTreeMap;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::types::{ChosenView, Member, MemberId, ProposalNumber, Revision};

/// A proposed next view and its first state: the value that Paxos chooses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NextView {
    pub chosen: ChosenView,
    pub revision: Revision,
    pub state: Arc<[u8]>,
    /// Whether it was accepted in an earlier attempt, and so may have been chosen.
    pub adopted: bool,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AttemptPhase {
    /// The voters prepare: they store no more changes in the view, and report their newest state.
    Prepare,
    /// The joining members store the next view and its state. This comes before the vote, since otherwise a view
    /// could be chosen that is on too few disks.
    Join,
    /// The voters accept the next view.
    Accept,
}

/// A voter that has prepared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PreparedVoter {
    pub member: Member,
    /// The newest revision of the view that it has stored, if any.
    pub revision: Option<Revision>,
}

/// A state and its position in the total order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateSnapshot {
    pub revision: Revision,
    pub state: Arc<[u8]>,
}

/// A next view that a voter had accepted under an earlier number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AcceptedProposal {
    pub proposal: ProposalNumber,
    pub next_view: NextView,
}

/// An attempt of this replica to change the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewChangeAttempt {
    pub proposal: ProposalNumber,
    pub phase: AttemptPhase,
    pub phase_started_at: Nanos,
    pub retry_at: Nanos,
    pub backoff: Nanos,
    pub quorum_prepared_at: Option<Nanos>,
    /// Voters that have prepared, by their position among the voters.
    pub prepared: BTreeMap<usize, PreparedVoter>,
    /// The newest state that any prepared voter has.
    pub latest_state: Option<StateSnapshot>,
    /// The next view that a prepared voter had accepted under the highest number.
    pub highest_accepted: Option<AcceptedProposal>,
    /// The proposed next view, set once enough voters have prepared.
    pub next_view: Option<NextView>,
    /// Replicas that have accepted the next view.
    pub accepted: BTreeMap<MemberId, Member>,
    pub chosen_at: Option<Nanos>,
    pub former_members_asked: bool,
    /// Time for which the attempt waits for further voters after a quorum has prepared.
    pub straggler_timeout: Nanos,
}

impl ViewChangeAttempt {
    pub fn new(proposal: ProposalNumber, now: Nanos, heartbeat_interval: Nanos) -> ViewChangeAttempt {
        ViewChangeAttempt {
            proposal,
            phase: AttemptPhase::Prepare,
            phase_started_at: now,
            retry_at: now + heartbeat_interval,
            backoff: heartbeat_interval,
            quorum_prepared_at: None,
            prepared: BTreeMap::new(),
            latest_state: None,
            highest_accepted: None,
            next_view: None,
            accepted: BTreeMap::new(),
            chosen_at: None,
            former_members_asked: false,
            straggler_timeout: heartbeat_interval,
        }
    }

    pub fn start_phase(&mut self, phase: AttemptPhase, now: Nanos, heartbeat_interval: Nanos) {
        self.phase = phase;
        self.phase_started_at = now;
        self.retry_at = now + heartbeat_interval;
        self.backoff = heartbeat_interval;
    }

    /// Doubles the time until the next retry, up to a limit.
    pub fn back_off(&mut self, now: Nanos, max_backoff: Nanos) {
        self.backoff = self.backoff.times(2.0).min(max_backoff);
        self.retry_at = now + self.backoff;
    }

    /// Returns the next time at which the attempt needs attention.
    pub fn next_deadline(&self) -> Nanos {
        let is_preparing = self.phase == AttemptPhase::Prepare;
        let stragglers = self.quorum_prepared_at.map(|at| at + self.straggler_timeout);
        stragglers.filter(|_| is_preparing).map_or(self.retry_at, |at| at.min(self.retry_at))
    }

    pub fn has_accepted(&self, id: MemberId) -> bool {
        self.accepted.contains_key(&id)
    }

    /// Whether all members of the next view have accepted it.
    pub fn all_members_accepted(&self) -> bool {
        let members = self.next_view.as_ref().map(|next_view| &next_view.chosen.view.members);
        members.is_some_and(|members| members.iter().all(|member| self.has_accepted(member.id)))
    }

    /// Keeps the next view that a voter had accepted, if its number is the highest so far.
    pub fn consider_accepted(&mut self, accepted: AcceptedProposal) {
        let highest = self.highest_accepted.as_ref();
        if highest.is_none_or(|highest| highest.proposal < accepted.proposal) {
            self.highest_accepted = Some(accepted);
        }
    }
}

/// An attempt scheduled to begin after a delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ScheduledAttempt {
    pub since: Nanos,
    pub delay: Nanos,
}

/// Changes of the current view, as far as this replica takes part in them: its own attempt, the schedule of the next
/// one, and what it has seen of others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewChange {
    /// This replica's own attempt.
    pub attempt: Option<ViewChangeAttempt>,
    /// The highest term seen in the change of the current view.
    pub highest_term: u64,
    /// Time before which this replica begins no attempt.
    pub backoff_until: Nanos,
    /// Time at which a message of another proposer's attempt was last received.
    pub competing_proposal_at: Option<Nanos>,
    pub scheduled: Option<ScheduledAttempt>,
}

impl ViewChange {
    pub fn new(highest_term: u64, now: Nanos) -> ViewChange {
        ViewChange {
            attempt: None,
            highest_term,
            backoff_until: now,
            competing_proposal_at: None,
            scheduled: None,
        }
    }

    /// Discards the state of the last change after another view was chosen.
    pub fn reset(&mut self) {
        self.attempt = None;
        self.highest_term = 0;
        self.competing_proposal_at = None;
        self.scheduled = None;
    }

    pub fn observe_term(&mut self, term: u64) {
        self.highest_term = self.highest_term.max(term);
    }
}

//! The changes of the routing configuration that are pending here, from the call until there is an outcome.

use crate::calls::{ChangeOutcome, ReplaceConfig, status};
use crate::change::{ChangeAssessment, ChangeStage, ConfigChange, RequestOrigin, assess_change};
use crate::control_state::{ActiveConfig, CommittedVersion, ControlState};
use crate::evidence::QuorumEvidence;
use fernknot::interface::Nanos;
use fernknot_consensus::Revision;
use fernknot_rpc::ControllerMessage;
use std::net::SocketAddrV4;

/// Changes pending at once. Operators have up to eight under way, and a repeat of each may be pending here and at
/// another controller; what exceeds the limit is rejected with 503.
const MAX_PENDING_CHANGES: usize = 24;
/// Bytes of all pending configurations together.
const MAX_PENDING_BYTES: usize = 64 << 20;
/// A leader that would not decide is asked again after this.
const RETRY_DELAY: Nanos = Nanos(50_000_000);
/// Versions that are remembered under the seeded bug `ForgetHistoryEarly`.
const SEEDED_HISTORY_LENGTH: usize = 2;

/// Who leads the view, as far as it is known here.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    /// This controller leads.
    pub is_local: bool,
    /// Another controller leads, and a connection to it is up.
    pub remote: Option<SocketAddrV4>,
}

/// A state to be proposed to the consensus member.
#[derive(Debug)]
pub struct Proposal {
    /// The number of the change.
    pub change_id: u64,
    /// The revision on which the state builds.
    pub base: Revision,
    /// The control state, encoded.
    pub state: Vec<u8>,
}

/// What has to be done about the pending changes, in this order.
#[derive(Debug, Default)]
pub struct ChangeSteps {
    /// Changes with an outcome, which are pending no longer.
    pub finished: Vec<(RequestOrigin, ChangeOutcome)>,
    /// Messages that forward changes to the leader.
    pub forwarded: Vec<(SocketAddrV4, ControllerMessage)>,
    /// Changes that a majority has to be asked about, with their deadlines.
    pub doubtful: Vec<(u64, Nanos)>,
    /// What this controller proposes as the leader.
    pub proposal: Option<Proposal>,
}

/// The next step of one change.
enum NextStep {
    /// It stays queued.
    Wait,
    /// It has an outcome.
    Finish(ChangeOutcome),
    /// This controller proposes it.
    Propose,
    /// A majority has to confirm what speaks against it.
    AskQuorum,
    /// It goes to the leader at this address.
    Forward(SocketAddrV4),
}

/// All pending changes, in the order in which they came.
#[derive(Debug, Default)]
pub struct PendingChanges {
    changes: Vec<ConfigChange>,
    last_id: u64,
    /// Seeded bug: little is remembered, and what is forgotten is rejected.
    forgets_early: bool,
}

impl PendingChanges {
    /// No change is pending. `forgets_early` is a seeded bug: little is remembered, and what is forgotten is rejected.
    pub fn new(forgets_early: bool) -> PendingChanges {
        PendingChanges { forgets_early, ..PendingChanges::default() }
    }

    /// Whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Admits a change; false where too many are pending.
    pub fn admit(
        &mut self,
        now: Nanos,
        origin: RequestOrigin,
        request: ReplaceConfig,
        deadline: Nanos,
    ) -> bool {
        let ReplaceConfig { base_epoch, epoch, digest, body } = request;
        let pending_bytes: usize = self.changes.iter().map(|change| change.body.len()).sum();
        if self.changes.len() >= MAX_PENDING_CHANGES || pending_bytes + body.len() > MAX_PENDING_BYTES {
            return false;
        }
        self.last_id += 1;
        self.changes.push(ConfigChange {
            id: self.last_id,
            origin,
            base_epoch,
            epoch,
            digest,
            body,
            deadline,
            not_before: now,
            stage: ChangeStage::Queued,
        });
        true
    }

    /// Moves every queued change one step on, where it can be.
    pub fn advance(
        &mut self,
        now: Nanos,
        active: &ActiveConfig,
        leadership: Leadership,
        incarnation: u64,
    ) -> ChangeSteps {
        let mut steps = ChangeSteps::default();
        let mut finished_ids = Vec::new();
        let mut in_flight =
            self.changes.iter().any(|change| matches!(change.stage, ChangeStage::Proposed(_)));
        for change in &mut self.changes {
            if change.stage != ChangeStage::Queued || change.not_before > now {
                continue;
            }
            let assessment = assess_change(&active.state, change, self.forgets_early);
            match next_step(assessment, change.origin, leadership, in_flight) {
                NextStep::Wait => {}
                NextStep::Finish(outcome) => {
                    finished_ids.push(change.id);
                    steps.finished.push((change.origin, outcome));
                }
                NextStep::Propose => {
                    in_flight = true;
                    change.stage = ChangeStage::Proposed(change.id);
                    steps.proposal = Some(proposal(change, active, self.forgets_early));
                }
                NextStep::AskQuorum => {
                    change.stage = ChangeStage::AwaitingQuorum;
                    steps.doubtful.push((change.id, change.deadline));
                }
                NextStep::Forward(leader) => {
                    change.stage = ChangeStage::Forwarded(leader);
                    steps.forwarded.push((leader, forward_message(change, incarnation)));
                }
            }
        }
        self.changes.retain(|change| !finished_ids.contains(&change.id));
        steps
    }

    /// Removes the changes whose deadline is over.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestOrigin> {
        self.remove_where(|change| change.deadline <= now)
    }

    /// Removes the changes that have been committed by now.
    pub fn take_committed(&mut self, control: &ControlState) -> Vec<(RequestOrigin, QuorumEvidence)> {
        let mut committed = Vec::new();
        self.changes.retain(|change| {
            let evidence = QuorumEvidence::from_history(control, change.epoch, change.digest);
            committed.extend(evidence.map(|evidence| (change.origin, evidence)));
            evidence.is_none()
        });
        committed
    }

    /// Removes the changes of a proposal that has been committed.
    pub fn take_proposed(&mut self, change_id: u64) -> Vec<RequestOrigin> {
        self.remove_where(|change| change.stage == ChangeStage::Proposed(change_id))
    }

    /// Removes all changes whose callers wait here. What becomes of these changes is not known.
    pub fn abandon_local(&mut self) -> Vec<RequestOrigin> {
        self.remove_where(|change| matches!(change.origin, RequestOrigin::Caller(_)))
    }

    /// A majority has confirmed the state that is in force here: a change that it speaks against gets its outcome, any
    /// other is queued again.
    pub fn resolve_confirmed(
        &mut self,
        id: u64,
        control: &ControlState,
        evidence: QuorumEvidence,
    ) -> Option<(RequestOrigin, ChangeOutcome)> {
        let index = self.position(id, ChangeStage::AwaitingQuorum)?;
        let assessment = assess_change(control, &self.changes[index], self.forgets_early);
        match assessment.into_outcome(evidence) {
            Some(outcome) => Some((self.changes.remove(index).origin, outcome)),
            None => {
                self.changes[index].stage = ChangeStage::Queued;
                None
            }
        }
    }

    /// The caller has gone: nobody waits for the outcome. What is proposed may be committed all the same.
    pub fn cancel(&mut self, origin: RequestOrigin) {
        self.changes.retain(|change| change.origin != origin);
    }

    /// The leader replied to a change that was forwarded to it: who waits for that, where it is the outcome.
    pub fn leader_replied(
        &mut self,
        now: Nanos,
        leader: SocketAddrV4,
        id: u64,
        reply_status: u16,
    ) -> Option<RequestOrigin> {
        let index = self.position(id, ChangeStage::Forwarded(leader))?;
        if reply_status == status::SERVICE_UNAVAILABLE {
            // It led no more, or its own deadline was over: ask again while there is time here.
            self.changes[index].requeue(now + RETRY_DELAY);
            return None;
        }
        Some(self.changes.remove(index).origin)
    }

    /// Queues those again that were forwarded to another controller than the leader: it may be down.
    pub fn requeue_unless_forwarded_to(&mut self, leader: Option<SocketAddrV4>) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Forwarded(to) if Some(to) != leader) {
                change.stage = ChangeStage::Queued;
            }
        }
    }

    /// No majority could be asked about it: queues it again.
    pub fn requeue(&mut self, now: Nanos, id: u64) {
        for change in self.changes.iter_mut().filter(|change| change.id == id) {
            change.requeue(now + RETRY_DELAY);
        }
    }

    /// A proposal was rejected: queues its change again, to be assessed by the state that is in force then. Not at
    /// once, as what was rejected now would be rejected again now.
    pub fn requeue_rejected(&mut self, now: Nanos, change_id: u64) {
        for change in &mut self.changes {
            if change.stage == ChangeStage::Proposed(change_id) {
                change.requeue(now + RETRY_DELAY);
            }
        }
    }

    /// The view has changed: queues all proposed changes again at once.
    pub fn requeue_all_proposed(&mut self, now: Nanos) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Proposed(_)) {
                change.requeue(now);
            }
        }
    }

    /// When the next deadline is over, or a change may be tried again.
    pub fn next_timeout(&self, now: Nanos) -> Option<Nanos> {
        let times = self.changes.iter().flat_map(|change| {
            let retry = (change.not_before > now).then_some(change.not_before);
            retry.into_iter().chain([change.deadline])
        });
        times.min()
    }

    fn position(&self, id: u64, stage: ChangeStage) -> Option<usize> {
        self.changes.iter().position(|change| change.id == id && change.stage == stage)
    }

    fn remove_where(&mut self, mut is_removed: impl FnMut(&ConfigChange) -> bool) -> Vec<RequestOrigin> {
        self.changes.extract_if(.., |change| is_removed(change)).map(|change| change.origin).collect()
    }
}

fn next_step(
    assessment: ChangeAssessment,
    origin: RequestOrigin,
    leadership: Leadership,
    in_flight: bool,
) -> NextStep {
    match (assessment, origin) {
        (ChangeAssessment::AlreadyCommitted(evidence), _) => {
            NextStep::Finish(ChangeOutcome::Committed(evidence))
        }
        (ChangeAssessment::Propose, _) if leadership.is_local && !in_flight => NextStep::Propose,
        // Only a majority may say so: this controller may be partitioned, and the others have gone on.
        (_, _) if leadership.is_local && !in_flight => NextStep::AskQuorum,
        (_, RequestOrigin::Caller(_)) => leadership.remote.map_or(NextStep::Wait, NextStep::Forward),
        (_, RequestOrigin::Peer(..)) if !leadership.is_local => {
            NextStep::Finish(ChangeOutcome::Unknown("no leader here"))
        }
        (_, RequestOrigin::Peer(..)) => NextStep::Wait,
    }
}

fn forward_message(change: &ConfigChange, incarnation: u64) -> ControllerMessage {
    ControllerMessage::ForwardChange {
        incarnation,
        call: change.id,
        base_epoch: change.base_epoch,
        body: change.body.clone(),
    }
}

fn proposal(change: &ConfigChange, active: &ActiveConfig, forgets_early: bool) -> Proposal {
    let version =
        CommittedVersion { epoch: change.epoch, base_epoch: change.base_epoch, digest: change.digest };
    let body = change.body.clone();
    let state = match forgets_early {
        true => active.state.with_bounded_history(SEEDED_HISTORY_LENGTH, version, body),
        false => active.state.with_committed(version, body),
    };
    Proposal { change_id: change.id, base: Revision(active.revision), state: state.encode() }
}

//! Pending changes of the routing configuration, from the call to its outcome.

use crate::active_config::ActiveConfig;
use crate::calls::{ChangeOutcome, ReplaceConfig, status};
use crate::change::{ChangeAssessment, ChangeStage, ConfigChange, RequestOrigin, assess_change};
use crate::control_state::{CommittedVersion, ControlState, MAX_HISTORY_LENGTH};
use crate::evidence::QuorumEvidence;
use fernknot::interface::Nanos;
use fernknot_consensus::Revision;
use fernknot_rpc::ControllerMessage;
use std::net::SocketAddrV4;

/// Maximum number of pending changes. Operators have up to eight in flight, and a retry of each may be pending here
/// and at another controller; changes above the limit are rejected with 503.
const MAX_PENDING_CHANGES: usize = 24;
/// Maximum size of all pending configurations together, in bytes.
const MAX_PENDING_BYTES: usize = 64 << 20;
/// Delay before a change is tried again that the leader left undecided, the consensus member rejected, or no majority
/// could be asked about.
const RETRY_DELAY: Nanos = Nanos(50_000_000);
/// Length of the history under the seeded bug `ForgetHistoryEarly`.
const SEEDED_HISTORY_LENGTH: usize = 2;

/// Leader of the view, as known to this controller.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    /// Whether this controller leads the active view, and so may propose.
    pub is_local: bool,
    /// Address of the leader, if it is another controller to which a connection is up.
    pub remote: Option<SocketAddrV4>,
    /// Whether a proposal of this controller that is no configuration change is in flight.
    pub is_proposing: bool,
}

/// A control state to propose to the consensus member.
#[derive(Debug)]
pub struct Proposal {
    /// Number of the change at this controller, which its outcome repeats.
    pub change_id: u64,
    /// Revision of the control state that `state` is to follow.
    pub base: Revision,
    /// Encoded control state.
    pub state: Vec<u8>,
}

/// Steps that the pending changes require, to be carried out by the controller in the order of the fields.
#[derive(Debug, Default)]
pub struct ChangeSteps {
    /// Changes that have an outcome and are no longer pending.
    pub finished: Vec<(RequestOrigin, ChangeOutcome)>,
    /// Messages that forward changes, each with the address of the leader.
    pub forwarded: Vec<(SocketAddrV4, ControllerMessage)>,
    /// Numbers and deadlines of the changes whose rejection a majority has to confirm.
    pub awaiting_quorum: Vec<(u64, Nanos)>,
    /// Proposal for this controller's consensus member; at most one is in flight.
    pub proposal: Option<Proposal>,
}

/// Next step of one queued change, by its assessment and by who leads.
enum NextStep {
    /// Keep the change queued.
    Wait,
    /// Finish the change with this outcome.
    Finish(ChangeOutcome),
    /// Propose the change from this controller.
    Propose,
    /// Ask a majority to confirm the state that conflicts with the change.
    AskQuorum,
    /// Forward the change to the leader at this address.
    Forward(SocketAddrV4),
}

/// Queue of pending changes, in order of arrival.
#[derive(Debug, Default)]
pub struct PendingChanges {
    changes: Vec<ConfigChange>,
    last_id: u64,
    /// Seeded bug: the history is short, and changes older than it are rejected.
    forgets_early: bool,
}

impl PendingChanges {
    /// Creates an empty queue. `forgets_early` is a seeded bug: the history is short, and changes older than it are
    /// rejected.
    pub fn new(forgets_early: bool) -> PendingChanges {
        PendingChanges { forgets_early, ..PendingChanges::default() }
    }

    /// Whether no change is pending.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Whether a change is proposed, with no outcome yet.
    pub fn has_proposal(&self) -> bool {
        self.changes.iter().any(|change| matches!(change.stage, ChangeStage::Proposed(_)))
    }

    /// Returns the number of a new proposal that is no configuration change, unique among all proposals.
    pub fn next_proposal_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Admits a change. Returns false if too many are pending.
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

    /// Assesses every queued change whose time has come, and advances it by one step where possible. Returns what the
    /// controller has to do.
    pub fn advance(
        &mut self,
        now: Nanos,
        active: &ActiveConfig,
        leadership: Leadership,
        incarnation: u64,
    ) -> ChangeSteps {
        let mut steps = ChangeSteps::default();
        let mut finished_ids = Vec::new();
        let mut proposal_in_flight = leadership.is_proposing || self.has_proposal();
        for change in &mut self.changes {
            if change.stage != ChangeStage::Queued || change.not_before > now {
                continue;
            }
            let assessment = assess_change(&active.state, change, self.forgets_early);
            match next_step(assessment, change.origin, leadership, proposal_in_flight) {
                NextStep::Wait => {}
                NextStep::Finish(outcome) => {
                    finished_ids.push(change.id);
                    steps.finished.push((change.origin, outcome));
                }
                NextStep::Propose => {
                    proposal_in_flight = true;
                    change.stage = ChangeStage::Proposed(change.id);
                    steps.proposal = Some(proposal(change, active, self.forgets_early));
                }
                NextStep::AskQuorum => {
                    change.stage = ChangeStage::AwaitingQuorum;
                    steps.awaiting_quorum.push((change.id, change.deadline));
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

    /// Removes the changes whose deadline has passed. Returns their origins.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestOrigin> {
        self.remove_where(|change| change.deadline <= now)
    }

    /// Removes the changes that the history lists as committed. Returns their origins, with that evidence.
    pub fn take_committed(&mut self, control: &ControlState) -> Vec<(RequestOrigin, QuorumEvidence)> {
        let mut committed = Vec::new();
        self.changes.retain(|change| {
            let evidence = QuorumEvidence::from_history(control, change.epoch, change.digest);
            committed.extend(evidence.map(|evidence| (change.origin, evidence)));
            evidence.is_none()
        });
        committed
    }

    /// Removes the change of a committed proposal. Returns its origin, or nothing if the change is no longer pending.
    pub fn take_proposed(&mut self, change_id: u64) -> Vec<RequestOrigin> {
        self.remove_where(|change| change.stage == ChangeStage::Proposed(change_id))
    }

    /// Removes all changes whose callers are connected to this controller; their outcome is unknown. Returns their
    /// origins.
    pub fn abandon_local(&mut self) -> Vec<RequestOrigin> {
        self.remove_where(|change| matches!(change.origin, RequestOrigin::Caller(_)))
    }

    /// Resolves a change after a majority has confirmed the active state: a change that conflicts with it gets its
    /// outcome, any other change is queued again.
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

    /// Removes the change of a caller that disconnected. A proposal in flight may still be committed.
    pub fn cancel(&mut self, origin: RequestOrigin) {
        self.changes.retain(|change| change.origin != origin);
    }

    /// Handles the leader's reply to a forwarded change. Returns the origin of the change if the reply is its
    /// outcome.
    pub fn leader_replied(
        &mut self,
        now: Nanos,
        leader: SocketAddrV4,
        id: u64,
        reply_status: u16,
    ) -> Option<RequestOrigin> {
        let index = self.position(id, ChangeStage::Forwarded(leader))?;
        if reply_status == status::SERVICE_UNAVAILABLE {
            // The leader lost its leadership, or its own deadline passed: retry until the deadline of this
            // controller.
            self.changes[index].requeue(now + RETRY_DELAY);
            return None;
        }
        Some(self.changes.remove(index).origin)
    }

    /// Queues changes again that were forwarded to a controller other than `leader`, which may be down or no longer
    /// lead.
    pub fn requeue_unless_forwarded_to(&mut self, leader: Option<SocketAddrV4>) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Forwarded(to) if Some(to) != leader) {
                change.stage = ChangeStage::Queued;
            }
        }
    }

    /// Queues the change `id` again, for which no majority could be asked, to be tried after `RETRY_DELAY`.
    pub fn requeue(&mut self, now: Nanos, id: u64) {
        for change in self.changes.iter_mut().filter(|change| change.id == id) {
            change.requeue(now + RETRY_DELAY);
        }
    }

    /// Queues the change of a rejected proposal again, to be assessed against the state active by then. Delayed,
    /// because an immediate retry would be rejected again.
    pub fn requeue_rejected(&mut self, now: Nanos, change_id: u64) {
        for change in &mut self.changes {
            if change.stage == ChangeStage::Proposed(change_id) {
                change.requeue(now + RETRY_DELAY);
            }
        }
    }

    /// Queues all proposed changes again at once, after the view has changed.
    pub fn requeue_all_proposed(&mut self, now: Nanos) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Proposed(_)) {
                change.requeue(now);
            }
        }
    }

    /// Returns the time of the next deadline or retry.
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
    proposal_in_flight: bool,
) -> NextStep {
    match (assessment, origin) {
        (ChangeAssessment::AlreadyCommitted(evidence), _) => {
            NextStep::Finish(ChangeOutcome::Committed(evidence))
        }
        (ChangeAssessment::Propose, _) if leadership.is_local && !proposal_in_flight => NextStep::Propose,
        // Only a majority may reject a change: this controller may be partitioned, and the others may have committed
        // newer versions.
        (_, _) if leadership.is_local && !proposal_in_flight => NextStep::AskQuorum,
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
    let max_history = if forgets_early { SEEDED_HISTORY_LENGTH } else { MAX_HISTORY_LENGTH };
    let state = active.with_config(max_history, version, body);
    Proposal { change_id: change.id, base: Revision(active.revision), state }
}

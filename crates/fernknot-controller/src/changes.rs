//! The operators' changes in hand here: who asked, how far each is, and by when it must have an end.

use crate::calls::ChangeOutcome;
use crate::control::ControlState;
use crate::controller::PendingCall;
use crate::ground::QuorumEvidence;
use fernknot::interface::Nanos;
use std::net::SocketAddrV4;

/// Changes in hand at once, and their bytes. Operators have up to eight under way, and a repeat of each may be in hand
/// here and at another controller; what is over is told to come back.
const MOST: usize = 24;
const MAX_PENDING_BYTES: usize = 64 << 20;
/// A controller that would not decide is asked again after this.
const RETRY_DELAY: Nanos = Nanos(50_000_000);

/// Who waits for the end of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    Caller(PendingCall),
    /// Another controller, by where it listens and its name for the call.
    Peer(SocketAddrV4, ForwardedCallId),
}

/// A controller's name for a call that it hands on. Guards against the end of a call that an earlier life at the
/// same address handed on, whose numbers were the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCallId {
    pub incarnation: u64,
    pub call: u64,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStage {
    /// No sequencer was known, or another change is before it.
    Queued,
    /// With the sequencer.
    Forwarded(SocketAddrV4),
    /// Proposed here.
    Proposed(u64),
    /// What is known here speaks against it; a majority is asked whether that still stands.
    AwaitingQuorum,
}

/// One change.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Its number here, never used again in this life.
    pub id: u64,
    pub origin: RequestOrigin,
    pub base_epoch: u64,
    pub epoch: u64,
    pub digest: u64,
    pub body: Vec<u8>,
    pub deadline: Nanos,
    pub not_before: Nanos,
    pub stage: ChangeStage,
}

/// What a controller makes of a change by the state in force here.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangeAssessment {
    /// Taken earlier.
    AlreadyCommitted(QuorumEvidence),
    Propose,
    /// Another version is in place: to be said only on a majority's ground.
    VersionConflict(String),
    /// Its number is not above the one in force: to be said only on a majority's ground.
    StaleEpoch(String),
    /// It may have been taken so long ago that nobody remembers.
    BeyondHistory,
}

/// By the state in force alone, so that every sequencer decides alike. `planted`: what is forgotten is refused.
pub fn assess_change(control: &ControlState, change: &ConfigChange, planted: bool) -> ChangeAssessment {
    if let Some(ground) = QuorumEvidence::from_history(control, change.epoch, change.digest) {
        return ChangeAssessment::AlreadyCommitted(ground);
    }
    // Number 0 is below all that was ever taken, forgotten or not.
    if (1..=control.newest_forgotten_epoch()).contains(&change.epoch) && !planted {
        return ChangeAssessment::BeyondHistory;
    }
    if change.base_epoch != control.epoch {
        return ChangeAssessment::VersionConflict(format!("version {} is in place", control.epoch));
    }
    if change.epoch <= control.epoch {
        return ChangeAssessment::StaleEpoch(format!("epoch: is not above {}", control.epoch));
    }
    ChangeAssessment::Propose
}

impl ChangeAssessment {
    /// The end that it is on this ground; none where the change is to be proposed.
    pub fn into_outcome(self, ground: QuorumEvidence) -> Option<ChangeOutcome> {
        match self {
            ChangeAssessment::AlreadyCommitted(known) => Some(ChangeOutcome::Committed(known)),
            ChangeAssessment::Propose => None,
            ChangeAssessment::VersionConflict(why) => Some(ChangeOutcome::VersionConflict(why, ground)),
            ChangeAssessment::StaleEpoch(why) => Some(ChangeOutcome::StaleEpoch(why, ground)),
            ChangeAssessment::BeyondHistory => Some(ChangeOutcome::Unknown(BEYOND_HISTORY_REASON)),
        }
    }
}

/// What is answered past the history.
const BEYOND_HISTORY_REASON: &str = "older than all versions that are remembered; read the newest one";

/// All changes in hand, in the order in which they came.
#[derive(Debug, Default)]
pub struct PendingChanges {
    pub changes: Vec<ConfigChange>,
    last_id: u64,
    pub rejects_forgotten: bool,
}

impl PendingChanges {
    /// None in hand; `planted`: what is forgotten is refused, a break for the checkers.
    pub fn new(planted: bool) -> PendingChanges {
        PendingChanges { rejects_forgotten: planted, ..PendingChanges::default() }
    }

    /// Takes a change in hand; false where there are too many.
    pub fn admit(
        &mut self,
        now: Nanos,
        origin: RequestOrigin,
        (base, epoch, digest): (u64, u64, u64),
        body: Vec<u8>,
        until: Nanos,
    ) -> bool {
        let bytes: usize = self.changes.iter().map(|change| change.body.len()).sum();
        if self.changes.len() >= MOST || bytes + body.len() > MAX_PENDING_BYTES {
            return false;
        }
        self.last_id += 1;
        let stage = ChangeStage::Queued;
        let call = self.last_id;
        self.changes.push(ConfigChange {
            id: call,
            origin,
            base_epoch: base,
            epoch,
            digest,
            body,
            deadline: until,
            not_before: now,
            stage,
        });
        true
    }

    /// The ends of those that have run out of time.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestOrigin> {
        self.remove_where(|change| change.deadline <= now)
    }

    /// The ends of those that were taken by now.
    pub fn take_committed(&mut self, control: &ControlState) -> Vec<(RequestOrigin, QuorumEvidence)> {
        let mut ended = Vec::new();
        self.changes.retain(|change| {
            let known = QuorumEvidence::from_history(control, change.epoch, change.digest);
            ended.extend(known.map(|ground| (change.origin, ground)));
            known.is_none()
        });
        ended
    }

    /// All whose callers wait here, with no end: what becomes of them is not known.
    pub fn abandon_local(&mut self) -> Vec<RequestOrigin> {
        self.remove_where(|change| matches!(change.origin, RequestOrigin::Caller(_)))
    }

    /// A majority has confirmed what is known here: those that it speaks against end, the others wait again.
    pub fn resolve_confirmed(
        &mut self,
        call: u64,
        control: &ControlState,
        ground: QuorumEvidence,
    ) -> Option<(RequestOrigin, ChangeOutcome)> {
        let doubted =
            |change: &ConfigChange| change.id == call && change.stage == ChangeStage::AwaitingQuorum;
        let at = self.changes.iter().position(doubted)?;
        match assess_change(control, &self.changes[at], self.rejects_forgotten).into_outcome(ground) {
            Some(end) => Some((self.changes.remove(at).origin, end)),
            None => {
                self.changes[at].stage = ChangeStage::Queued;
                None
            }
        }
    }

    fn remove_where(&mut self, mut ends: impl FnMut(&ConfigChange) -> bool) -> Vec<RequestOrigin> {
        let mut ended = Vec::new();
        self.changes.retain(|change| {
            let end = ends(change);
            if end {
                ended.push(change.origin);
            }
            !end
        });
        ended
    }

    /// The caller has gone: nobody waits for this end. What is proposed goes its way.
    pub fn cancel(&mut self, origin: RequestOrigin) {
        self.changes.retain(|change| change.origin != origin);
    }

    /// The sequencer's end of a change that was handed to it.
    pub fn leader_replied(
        &mut self,
        now: Nanos,
        by: SocketAddrV4,
        call: u64,
        end: u16,
    ) -> Option<RequestOrigin> {
        let at = self
            .changes
            .iter()
            .position(|change| change.id == call && change.stage == ChangeStage::Forwarded(by))?;
        if end == 503 {
            // It was no sequencer any more, or its time was over: ask again while there is time here.
            self.changes[at].stage = ChangeStage::Queued;
            self.changes[at].not_before = now + RETRY_DELAY;
            return None;
        }
        Some(self.changes.remove(at).origin)
    }

    /// Those handed to another than the sequencer wait again: it may not live.
    pub fn requeue_unless_forwarded_to(&mut self, sequencer: Option<SocketAddrV4>) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Forwarded(to) if Some(to) != sequencer) {
                change.stage = ChangeStage::Queued;
            }
        }
    }

    /// No majority could be asked about it: it waits again.
    pub fn requeue(&mut self, now: Nanos, call: u64) {
        for change in self.changes.iter_mut().filter(|change| change.id == call) {
            (change.stage, change.not_before) = (ChangeStage::Queued, now + RETRY_DELAY);
        }
    }

    /// Those of a proposal wait again, to be judged by what is in force then.
    pub fn requeue_proposed(&mut self, now: Nanos, proposal: Option<u64>) {
        for change in &mut self.changes {
            if matches!(change.stage, ChangeStage::Proposed(no) if proposal.is_none_or(|proposal| no == proposal))
            {
                change.stage = ChangeStage::Queued;
                // Not at once: what was refused now is refused again now.
                change.not_before = if proposal.is_some() { now + RETRY_DELAY } else { now };
            }
        }
    }

    /// When the next runs out of time, or may be tried again.
    pub fn next_timeout(&self, now: Nanos) -> Option<Nanos> {
        let times = self.changes.iter().flat_map(|change| {
            let again = (change.not_before > now).then_some(change.not_before);
            again.into_iter().chain([change.deadline])
        });
        times.min()
    }
}

//! The operators' changes in hand here: who asked, how far each is, and by when it must have an end.

use crate::calls::ChangeOutcome;
use crate::control::ControlState;
use crate::ground::QuorumEvidence;
use crate::registrar::PendingCall;
use fernknot::interface::Nanos;
use std::net::SocketAddrV4;

/// Changes in hand at once, and their bytes. Operators have up to eight under way, and a repeat of each may be in hand
/// here and at another registrar; what is over is told to come back.
const MOST: usize = 24;
const MOST_BYTES: usize = 64 << 20;
/// A registrar that would not decide is asked again after this.
const PAUSE: Nanos = Nanos(50_000_000);

/// Who waits for the end of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    Caller(PendingCall),
    /// Another registrar, by where it listens and its name for the call.
    Peer(SocketAddrV4, ForwardedCallId),
}

/// A registrar's name for a call that it hands on. Guards against the end of a call that an earlier life at the
/// same address handed on, whose numbers were the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardedCallId {
    pub life: u64,
    pub call: u64,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeStage {
    /// No sequencer was known, or another change is before it.
    Waits,
    /// With the sequencer.
    HandedTo(SocketAddrV4),
    /// Proposed here.
    Proposed(u64),
    /// What is known here speaks against it; a majority is asked whether that still stands.
    Doubted,
}

/// One change.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// Its number here, never used again in this life.
    pub call: u64,
    pub origin: RequestOrigin,
    pub base: u64,
    pub epoch: u64,
    pub digest: u64,
    pub body: Vec<u8>,
    pub until: Nanos,
    pub not_before: Nanos,
    pub stage: ChangeStage,
}

/// What a registrar makes of a change by the state in force here.
#[derive(Debug, PartialEq, Eq)]
pub enum ChangeAssessment {
    /// Taken earlier.
    Taken(QuorumEvidence),
    Propose,
    /// Another version is in place: to be said only on a majority's ground.
    Other(String),
    /// Its number is not above the one in force: to be said only on a majority's ground.
    Low(String),
    /// It may have been taken so long ago that nobody remembers.
    Forgotten,
}

/// By the state in force alone, so that every sequencer decides alike. `planted`: what is forgotten is refused.
pub fn judge(control: &ControlState, change: &ConfigChange, planted: bool) -> ChangeAssessment {
    if let Some(ground) = QuorumEvidence::known(control, change.epoch, change.digest) {
        return ChangeAssessment::Taken(ground);
    }
    // Number 0 is below all that was ever taken, forgotten or not.
    if (1..=control.horizon()).contains(&change.epoch) && !planted {
        return ChangeAssessment::Forgotten;
    }
    if change.base != control.epoch {
        return ChangeAssessment::Other(format!("version {} is in place", control.epoch));
    }
    if change.epoch <= control.epoch {
        return ChangeAssessment::Low(format!("epoch: is not above {}", control.epoch));
    }
    ChangeAssessment::Propose
}

impl ChangeAssessment {
    /// The end that it is on this ground; none where the change is to be proposed.
    pub fn end(self, ground: QuorumEvidence) -> Option<ChangeOutcome> {
        match self {
            ChangeAssessment::Taken(known) => Some(ChangeOutcome::Taken(known)),
            ChangeAssessment::Propose => None,
            ChangeAssessment::Other(why) => Some(ChangeOutcome::Other(why, ground)),
            ChangeAssessment::Low(why) => Some(ChangeOutcome::Invalid(why, ground)),
            ChangeAssessment::Forgotten => Some(ChangeOutcome::Unclear(FORGOTTEN)),
        }
    }
}

/// What is answered past the history.
const FORGOTTEN: &str = "older than all versions that are remembered; read the newest one";

/// All changes in hand, in the order in which they came.
#[derive(Debug, Default)]
pub struct PendingChanges {
    pub list: Vec<ConfigChange>,
    calls: u64,
    pub planted: bool,
}

impl PendingChanges {
    /// None in hand; `planted`: what is forgotten is refused, a break for the checkers.
    pub fn new(planted: bool) -> PendingChanges {
        PendingChanges { planted, ..PendingChanges::default() }
    }

    /// Takes a change in hand; false where there are too many.
    pub fn take(
        &mut self,
        now: Nanos,
        origin: RequestOrigin,
        (base, epoch, digest): (u64, u64, u64),
        body: Vec<u8>,
        until: Nanos,
    ) -> bool {
        let bytes: usize = self.list.iter().map(|change| change.body.len()).sum();
        if self.list.len() >= MOST || bytes + body.len() > MOST_BYTES {
            return false;
        }
        self.calls += 1;
        let stage = ChangeStage::Waits;
        let call = self.calls;
        self.list.push(ConfigChange {
            call,
            origin,
            base,
            epoch,
            digest,
            body,
            until,
            not_before: now,
            stage,
        });
        true
    }

    /// The ends of those that have run out of time.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestOrigin> {
        self.end_where(|change| change.until <= now)
    }

    /// The ends of those that were taken by now.
    pub fn settle(&mut self, control: &ControlState) -> Vec<(RequestOrigin, QuorumEvidence)> {
        let mut ended = Vec::new();
        self.list.retain(|change| {
            let known = QuorumEvidence::known(control, change.epoch, change.digest);
            ended.extend(known.map(|ground| (change.origin, ground)));
            known.is_none()
        });
        ended
    }

    /// All whose callers wait here, with no end: what becomes of them is not known.
    pub fn abandon(&mut self) -> Vec<RequestOrigin> {
        self.end_where(|change| matches!(change.origin, RequestOrigin::Caller(_)))
    }

    /// A majority has confirmed what is known here: those that it speaks against end, the others wait again.
    pub fn confirmed(
        &mut self,
        call: u64,
        control: &ControlState,
        ground: QuorumEvidence,
    ) -> Option<(RequestOrigin, ChangeOutcome)> {
        let doubted = |change: &ConfigChange| change.call == call && change.stage == ChangeStage::Doubted;
        let at = self.list.iter().position(doubted)?;
        match judge(control, &self.list[at], self.planted).end(ground) {
            Some(end) => Some((self.list.remove(at).origin, end)),
            None => {
                self.list[at].stage = ChangeStage::Waits;
                None
            }
        }
    }

    fn end_where(&mut self, mut ends: impl FnMut(&ConfigChange) -> bool) -> Vec<RequestOrigin> {
        let mut ended = Vec::new();
        self.list.retain(|change| {
            let end = ends(change);
            if end {
                ended.push(change.origin);
            }
            !end
        });
        ended
    }

    /// The caller has gone: nobody waits for this end. What is proposed goes its way.
    pub fn forget(&mut self, origin: RequestOrigin) {
        self.list.retain(|change| change.origin != origin);
    }

    /// The sequencer's end of a change that was handed to it.
    pub fn ended_elsewhere(
        &mut self,
        now: Nanos,
        by: SocketAddrV4,
        call: u64,
        end: u16,
    ) -> Option<RequestOrigin> {
        let at = self
            .list
            .iter()
            .position(|change| change.call == call && change.stage == ChangeStage::HandedTo(by))?;
        if end == 503 {
            // It was no sequencer any more, or its time was over: ask again while there is time here.
            self.list[at].stage = ChangeStage::Waits;
            self.list[at].not_before = now + PAUSE;
            return None;
        }
        Some(self.list.remove(at).origin)
    }

    /// Those handed to another than the sequencer wait again: it may not live.
    pub fn handed_only_to(&mut self, sequencer: Option<SocketAddrV4>) {
        for change in &mut self.list {
            if matches!(change.stage, ChangeStage::HandedTo(to) if Some(to) != sequencer) {
                change.stage = ChangeStage::Waits;
            }
        }
    }

    /// No majority could be asked about it: it waits again.
    pub fn wait(&mut self, now: Nanos, call: u64) {
        for change in self.list.iter_mut().filter(|change| change.call == call) {
            (change.stage, change.not_before) = (ChangeStage::Waits, now + PAUSE);
        }
    }

    /// Those of a proposal wait again, to be judged by what is in force then.
    pub fn unpropose(&mut self, now: Nanos, proposal: Option<u64>) {
        for change in &mut self.list {
            if matches!(change.stage, ChangeStage::Proposed(no) if proposal.is_none_or(|proposal| no == proposal))
            {
                change.stage = ChangeStage::Waits;
                // Not at once: what was refused now is refused again now.
                change.not_before = if proposal.is_some() { now + PAUSE } else { now };
            }
        }
    }

    /// When the next runs out of time, or may be tried again.
    pub fn due(&self, now: Nanos) -> Option<Nanos> {
        let times = self.list.iter().flat_map(|change| {
            let again = (change.not_before > now).then_some(change.not_before);
            again.into_iter().chain([change.until])
        });
        times.min()
    }
}

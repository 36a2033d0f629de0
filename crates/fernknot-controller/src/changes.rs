//! The operators' changes in hand here: who asked, how far each is, and by when it must have an end.

use crate::calls::Replaced;
use crate::control::Control;
use crate::ground::Ground;
use crate::registrar::Slot;
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
pub enum Origin {
    Caller(Slot),
    /// Another registrar, by where it listens and its name for the call.
    Peer(SocketAddrV4, CallId),
}

/// A registrar's name for a call that it hands on. Guards against the end of a call that an earlier life at the
/// same address handed on, whose numbers were the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId {
    pub life: u64,
    pub call: u64,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
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
pub struct Change {
    /// Its number here, never used again in this life.
    pub call: u64,
    pub origin: Origin,
    pub base: u64,
    pub epoch: u64,
    pub digest: u64,
    pub body: Vec<u8>,
    pub until: Nanos,
    pub not_before: Nanos,
    pub stage: Stage,
}

/// What a registrar makes of a change by the state in force here.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Taken earlier.
    Taken(Ground),
    Propose,
    /// Another version is in place: to be said only on a majority's ground.
    Other(String),
    /// Its number is not above the one in force: to be said only on a majority's ground.
    Low(String),
    /// It may have been taken so long ago that nobody remembers.
    Forgotten,
}

/// By the state in force alone, so that every sequencer decides alike. `planted`: what is forgotten is refused.
pub fn judge(control: &Control, change: &Change, planted: bool) -> Verdict {
    if let Some(ground) = Ground::known(control, change.epoch, change.digest) {
        return Verdict::Taken(ground);
    }
    // Number 0 is below all that was ever taken, forgotten or not.
    if (1..=control.horizon()).contains(&change.epoch) && !planted {
        return Verdict::Forgotten;
    }
    if change.base != control.epoch {
        return Verdict::Other(format!("version {} is in place", control.epoch));
    }
    if change.epoch <= control.epoch {
        return Verdict::Low(format!("epoch: is not above {}", control.epoch));
    }
    Verdict::Propose
}

impl Verdict {
    /// The end that it is on this ground; none where the change is to be proposed.
    pub fn end(self, ground: Ground) -> Option<Replaced> {
        match self {
            Verdict::Taken(known) => Some(Replaced::Taken(known)),
            Verdict::Propose => None,
            Verdict::Other(why) => Some(Replaced::Other(why, ground)),
            Verdict::Low(why) => Some(Replaced::Invalid(why, ground)),
            Verdict::Forgotten => Some(Replaced::Unclear(FORGOTTEN)),
        }
    }
}

/// What is answered past the history.
const FORGOTTEN: &str = "older than all versions that are remembered; read the newest one";

/// All changes in hand, in the order in which they came.
#[derive(Debug, Default)]
pub struct Changes {
    pub list: Vec<Change>,
    calls: u64,
    pub planted: bool,
}

impl Changes {
    /// None in hand; `planted`: what is forgotten is refused, a break for the checkers.
    pub fn new(planted: bool) -> Changes {
        Changes { planted, ..Changes::default() }
    }

    /// Takes a change in hand; false where there are too many.
    pub fn take(
        &mut self,
        now: Nanos,
        origin: Origin,
        (base, epoch, digest): (u64, u64, u64),
        body: Vec<u8>,
        until: Nanos,
    ) -> bool {
        let bytes: usize = self.list.iter().map(|change| change.body.len()).sum();
        if self.list.len() >= MOST || bytes + body.len() > MOST_BYTES {
            return false;
        }
        self.calls += 1;
        let stage = Stage::Waits;
        let call = self.calls;
        self.list.push(Change { call, origin, base, epoch, digest, body, until, not_before: now, stage });
        true
    }

    /// The ends of those that have run out of time.
    pub fn expire(&mut self, now: Nanos) -> Vec<Origin> {
        self.end_where(|change| change.until <= now)
    }

    /// The ends of those that were taken by now.
    pub fn settle(&mut self, control: &Control) -> Vec<(Origin, Ground)> {
        let mut ended = Vec::new();
        self.list.retain(|change| {
            let known = Ground::known(control, change.epoch, change.digest);
            ended.extend(known.map(|ground| (change.origin, ground)));
            known.is_none()
        });
        ended
    }

    /// All whose callers wait here, with no end: what becomes of them is not known.
    pub fn abandon(&mut self) -> Vec<Origin> {
        self.end_where(|change| matches!(change.origin, Origin::Caller(_)))
    }

    /// A majority has confirmed what is known here: those that it speaks against end, the others wait again.
    pub fn confirmed(&mut self, call: u64, control: &Control, ground: Ground) -> Option<(Origin, Replaced)> {
        let doubted = |change: &Change| change.call == call && change.stage == Stage::Doubted;
        let at = self.list.iter().position(doubted)?;
        match judge(control, &self.list[at], self.planted).end(ground) {
            Some(end) => Some((self.list.remove(at).origin, end)),
            None => {
                self.list[at].stage = Stage::Waits;
                None
            }
        }
    }

    fn end_where(&mut self, mut ends: impl FnMut(&Change) -> bool) -> Vec<Origin> {
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
    pub fn forget(&mut self, origin: Origin) {
        self.list.retain(|change| change.origin != origin);
    }

    /// The sequencer's end of a change that was handed to it.
    pub fn ended_elsewhere(&mut self, now: Nanos, by: SocketAddrV4, call: u64, end: u16) -> Option<Origin> {
        let at =
            self.list.iter().position(|change| change.call == call && change.stage == Stage::HandedTo(by))?;
        if end == 503 {
            // It was no sequencer any more, or its time was over: ask again while there is time here.
            self.list[at].stage = Stage::Waits;
            self.list[at].not_before = now + PAUSE;
            return None;
        }
        Some(self.list.remove(at).origin)
    }

    /// Those handed to another than the sequencer wait again: it may not live.
    pub fn handed_only_to(&mut self, sequencer: Option<SocketAddrV4>) {
        for change in &mut self.list {
            if matches!(change.stage, Stage::HandedTo(to) if Some(to) != sequencer) {
                change.stage = Stage::Waits;
            }
        }
    }

    /// No majority could be asked about it: it waits again.
    pub fn wait(&mut self, now: Nanos, call: u64) {
        for change in self.list.iter_mut().filter(|change| change.call == call) {
            (change.stage, change.not_before) = (Stage::Waits, now + PAUSE);
        }
    }

    /// Those of a proposal wait again, to be judged by what is in force then.
    pub fn unpropose(&mut self, now: Nanos, proposal: Option<u64>) {
        for change in &mut self.list {
            if matches!(change.stage, Stage::Proposed(no) if proposal.is_none_or(|proposal| no == proposal)) {
                change.stage = Stage::Waits;
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

//! The past of a disk. A member that starts from a disk can't see whether it is the newest copy: others remember
//! what came from it. Until those who could know have spoken, or have been silent for as long as anybody is
//! waited for, it takes no part. One that others remember further never does, and becomes a new member with an empty
//! disk once a view is in force without it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use crate::types::*;
use crate::views::{Consensus, MOST_MEMBERS, MOST_PEERS, PendingWrite, floor, same, voters};

/// Words that wait for the end of the questions, at most; the oldest are dropped, their senders say them again.
const MOST_DEFERRED: usize = 32;

/// What is known of the pasts of this disk and of the others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DiskRecovery {
    /// How far the disk had come when this process started from it.
    began: DurableProgress,
    /// How far it has come now.
    pub safe: DurableProgress,
    /// Nothing that came from this disk is missing on it, as far as can be known.
    pub proven: bool,
    /// Others remember more than there is.
    pub condemned: bool,
    /// Those who remember no more of it than there is.
    recalls: BTreeMap<MemberId, Member>,
    /// How far the disks of others had come.
    marks: BTreeMap<MemberId, DurableProgress>,
    deferred: VecDeque<(SocketAddrV4, Message)>,
}

impl DiskRecovery {
    /// An empty disk has no past, and is `proven`.
    pub fn new(saved: &PersistentState, proven: bool) -> DiskRecovery {
        DiskRecovery {
            began: saved.mark(),
            safe: saved.mark(),
            proven,
            condemned: false,
            recalls: BTreeMap::new(),
            marks: saved.marks.iter().take(MOST_PEERS).copied().collect(),
            deferred: VecDeque::new(),
        }
    }
}

impl Consensus {
    // For others.

    /// Another's disk has come so far at least.
    pub(crate) fn note_mark(&mut self, id: MemberId, mark: DurableProgress) {
        if id == self.me() || id == MemberId(0) {
            return;
        }
        let full = self.past.marks.len() >= MOST_PEERS;
        if full && !self.past.marks.contains_key(&id) {
            let votes = |id: &MemberId| voters(&self.cur.base.view).any(|seat| seat.id == *id);
            match self.past.marks.keys().find(|id| !votes(id)).copied() {
                Some(stranger) => self.past.marks.remove(&stranger),
                None => return,
            };
        }
        let known = self.past.marks.entry(id).or_default();
        *known = known.join(mark);
    }

    /// The marks that go onto this disk with the next write: those of all who vote now or may vote next.
    pub(crate) fn marks_to_keep(&self) -> Vec<(MemberId, DurableProgress)> {
        let next = self.cur.vouched.iter().flat_map(|vouched| voters(&vouched.next.view));
        let ids = voters(&self.cur.base.view).chain(next).map(|seat| seat.id);
        let ids: std::collections::BTreeSet<MemberId> = ids.collect();
        let marks = ids.into_iter().filter_map(|id| Some((id, *self.past.marks.get(&id)?)));
        marks.take(4 * MOST_MEMBERS).collect()
    }

    /// How far a disk had come, by what was heard of it and by what this disk holds: a change that follows
    /// another shows that the one before is with every member. (What the view began with may lie on a member's disk
    /// as the next view that it vouched for, still under the number of the last one.)
    fn mark_of(&self, id: MemberId) -> DurableProgress {
        let heard = self.past.marks.get(&id).copied().unwrap_or_default();
        let view = &self.cur.base.view;
        let inside = view.members.iter().any(|seat| seat.id == id);
        let taken = self.commit.max(Revision(self.cur.no.0.saturating_sub(1)));
        if view.number == ViewNumber(0) || !inside || !self.holds() || taken <= floor(&self.cur.base) {
            return heard;
        }
        heard.join(DurableProgress { held: (view.number, taken), ..DurableProgress::default() })
    }

    /// Answers one who asks, before it is told anything that it might act on.
    pub(crate) fn recall(&mut self, from: SocketAddrV4, told: &PeerHeartbeat) {
        let id = told.who.id;
        if told.asks {
            let mark = self.mark_of(id);
            let who = self.facts.me.clone();
            // What it has on disk since it began to ask is not what came from it before.
            return self.say(from, Message::Recall { who, of: id, life: told.life, mark });
        }
        let (promise, vouched) = ((told.view, told.promise), (told.view, told.vouched));
        self.note_mark(id, DurableProgress { promise, vouched, held: (told.held, told.no) });
    }

    // For this one.

    /// Keeps back what asks for an act of a member, until it is known that it may act.
    pub(crate) fn admit(&mut self, from: SocketAddrV4, word: Message) -> Option<Message> {
        if self.past.proven {
            return Some(word);
        }
        match &word {
            Message::Whole { base, .. } | Message::Stop { base, .. } | Message::Install { base, .. } => {
                // Who is to be asked is known by the newest view.
                self.move_to(base.clone());
                if self.past.proven {
                    return Some(word); // a forced view: closed out by it, or taken into it
                }
            }
            Message::Change { .. } | Message::Commit { .. } | Message::Chosen { .. } => {}
            // What this disk may have forgotten is that it stopped.
            Message::Confirm { .. } => return None,
            _ => return Some(word),
        }
        if self.past.deferred.len() >= MOST_DEFERRED {
            self.past.deferred.pop_front();
        }
        self.past.deferred.push_back((from, word));
        None
    }

    pub(crate) fn hear_recall(&mut self, who: Member, of: MemberId, life: u64, mark: DurableProgress) {
        if of != self.me() || life != self.life || self.past.proven {
            return;
        }
        if !self.past.began.covers(mark) {
            self.pulse_soon |= !self.past.condemned;
            self.past.condemned = true;
            if self.plant == Some(SeededBug::GivesUpAtOnce) {
                self.renew();
            }
            return;
        }
        if self.past.recalls.len() < MOST_PEERS {
            self.past.recalls.insert(who.id, who);
        }
    }

    /// An older copy is given up only for a view that goes on without it. Guards against few copies or one being left
    /// while no view goes on, where all disks have lost something that they had called synced.
    pub(crate) fn give_up_copy(&mut self, told: &PeerHeartbeat) {
        let live = told.echo.0 == self.life;
        if self.past.condemned && live && told.force && told.view >= self.cur.base.view.number {
            self.renew();
        }
    }

    /// Acts from here on if a majority of the voters, itself counted, knows of nothing that is missing, and each
    /// other voter has said so or has been silent for as long as anybody is waited for.
    pub(crate) fn prove(&mut self) {
        if self.past.proven || self.past.condemned {
            return;
        }
        let view = &self.cur.base.view;
        let me = &self.facts.me;
        let recalled = |seat: &Member| {
            same(view.number, seat, me) || self.past.recalls.values().any(|who| same(view.number, seat, who))
        };
        let (spoke, silent): (Vec<&Member>, Vec<&Member>) = voters(view).partition(|seat| recalled(seat));
        let waits = silent.iter().any(|seat| !self.suspected(seat));
        if waits || spoke.len() <= (spoke.len() + silent.len()) / 2 {
            return;
        }
        self.past.proven = true;
        self.past.recalls.clear();
        self.pulse_soon = true;
        let first = view.members.first().and_then(|first| self.peers.get(&first.id));
        if let Some(told) = first.map(|first| first.told.clone()) {
            self.heed(&told);
        }
        for (from, word) in std::mem::take(&mut self.past.deferred) {
            self.hear(from, word);
        }
    }

    /// Goes on as a new member: what lay on the disk counts for nothing any more, and is written over.
    pub(crate) fn renew(&mut self) {
        let was = self.me();
        let mut facts = self.facts.clone();
        facts.me.id = MemberId(self.draw().max(1));
        facts.bootstrap = false;
        let me = facts.me.id;
        let mut next = Consensus::planted(self.draw(), facts, None, self.now, self.plant);
        next.addrs.append(&mut self.addrs);
        next.tickets = self.tickets;
        next.host_well = self.host_well;
        next.failed = self.failed;
        // A write of the old life may still be under way, and says nothing of the new one.
        next.writing = self.writing.take();
        if let Some(PendingWrite { safe, mark, words, .. }) = &mut next.writing {
            (*safe, *mark) = Default::default();
            words.clear();
        }
        next.actions = std::mem::take(&mut self.actions);
        for (proposal, _) in std::mem::take(&mut self.queue) {
            next.actions.push_back(Action::Refused { proposal });
        }
        if self.entered.is_some() {
            next.actions.push_back(Action::Left);
        }
        next.actions.push_back(Action::Renewed { was, me });
        next.pulse_soon = true;
        next.touch();
        *self = next;
    }
}

//! The map: spans that do not overlap, each with its owners, epoch and what is under way with it.

use crate::span::Span;
use fernknot::interface::{Nanos, NodeId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Each change of a span's owners has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Nodes that own a span, in order and each once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owners(Vec<u32>);

impl Owners {
    pub fn new(nodes: impl IntoIterator<Item = NodeId>) -> Owners {
        let nodes: BTreeSet<u32> = nodes.into_iter().map(|node| node.0).collect();
        Owners(nodes.into_iter().collect())
    }

    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.iter().map(|node| NodeId(*node))
    }

    pub fn has(&self, node: NodeId) -> bool {
        self.0.binary_search(&node.0).is_ok()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The new owners copy; the old ones answer.
    Prepared,
    /// Either may answer: whoever no longer owns the span says so.
    Moving,
    /// The new owners answer. A change of this stage names them as owners.
    Done,
    /// The old owners stay. A change of this stage names them as owners.
    GivenUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    pub to: Owners,
    pub stage: Stage,
}

/// One change, as a list or an owner tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub span: Span,
    pub epoch: Epoch,
    pub owners: Owners,
    pub moving: Option<Move>,
}

/// Whose word a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Told {
    /// Kept over a restart: hearsay until a list or an owner says the same or more.
    Kept,
    List,
    /// A store that was asked: the last word within an epoch.
    Owner,
}

/// What is known of a span.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub epoch: Epoch,
    pub owners: Owners,
    pub moving: Option<Move>,
    pub told: Told,
    /// When it was last said, by whoever.
    pub heard: Nanos,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Spans of the map that now say something else.
    pub changed: usize,
    /// Spans where more was known.
    pub older: usize,
    /// Spans where the same epoch was told with other owners.
    pub against: usize,
}

/// A part of what is asked, and who is known to own it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    pub span: Span,
    /// `None` where nothing is known.
    pub epoch: Option<Epoch>,
    /// Whom to ask: the owners and, while a move is under way, those that it goes to.
    pub ask: Owners,
}

/// A view of who owns what. Spans are in a B-tree by their first key: `docs/placement.md` has the
/// measurement against a sorted list and a two-level list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Map {
    spans: BTreeMap<u64, (u64, Entry)>,
}

impl Map {
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Span, &Entry)> {
        self.spans.iter().map(|(first, (last, entry))| (Span { first: *first, last: *last }, entry))
    }

    /// What is known of a key.
    pub fn at(&self, key: u64) -> Option<(Span, &Entry)> {
        let (first, (last, entry)) = self.spans.range(..=key).next_back()?;
        (key <= *last).then_some((Span { first: *first, last: *last }, entry))
    }

    /// The spans of the map that meet this one, whole.
    fn meeting(&self, span: Span) -> Vec<Span> {
        let before = self.at(span.first).map(|(held, _)| held.first);
        let from = before.unwrap_or(span.first);
        let held = self.spans.range(from..=span.last);
        held.map(|(first, (last, _))| Span { first: *first, last: *last }).collect()
    }

    /// Cuts spans so that one begins at `first`, if any holds it.
    fn cut(&mut self, first: u64) {
        let Some((held, _)) = self.at(first).filter(|(held, _)| held.first < first) else { return };
        if let Some((last, entry)) = self.spans.get_mut(&held.first) {
            let right = (std::mem::replace(last, first - 1), entry.clone());
            self.spans.insert(first, right);
        }
    }

    /// Takes a change as far as it is news, span by span: a higher epoch goes before a lower one, and
    /// within an epoch an owner before a list and a list before what was kept. Guards against words that
    /// arrive late or out of order.
    pub fn take(&mut self, now: Nanos, change: &Change, told: Told) -> Taken {
        let span = change.span;
        self.cut(span.first);
        if let Some(after) = span.last.checked_add(1) {
            self.cut(after);
        }
        let fresh = || Entry {
            epoch: change.epoch,
            owners: change.owners.clone(),
            moving: change.moving.clone(),
            told,
            heard: now,
        };
        let mut taken = Taken::default();
        let mut next = Some(span.first);
        for held in self.meeting(span) {
            // What lies before it was not known.
            if let Some(first) = next.filter(|first| *first < held.first) {
                self.spans.insert(first, (held.first - 1, fresh()));
                taken.changed += 1;
            }
            next = held.last.checked_add(1);
            let Some((_, entry)) = self.spans.get_mut(&held.first) else { continue };
            let same = entry.owners == change.owners && entry.moving == change.moving;
            if change.epoch == entry.epoch && same {
                (entry.heard, entry.told) = (now, entry.told.max(told));
            } else if (change.epoch, told) > (entry.epoch, entry.told)
                || change.epoch == entry.epoch && told == entry.told && advances(entry, change)
            {
                taken.against += usize::from(change.epoch == entry.epoch);
                taken.changed += 1;
                *entry = fresh();
            } else {
                taken.against += usize::from(change.epoch == entry.epoch);
                taken.older += usize::from(change.epoch < entry.epoch);
            }
        }
        if let Some(first) = next.filter(|first| *first <= span.last) {
            self.spans.insert(first, (span.last, fresh()));
            taken.changed += 1;
        }
        self.join(span);
        taken
    }

    /// Joins neighbours that say the same. Guards against a map that is cut finer with each change.
    fn join(&mut self, span: Span) {
        let before = span.first.checked_sub(1).and_then(|key| self.at(key)).map(|(held, _)| held.first);
        let from = before.unwrap_or(span.first);
        let near = self.spans.range(from..=span.last.saturating_add(1));
        let firsts: Vec<u64> = near.map(|(first, _)| *first).collect();
        let mut left = None;
        for first in firsts {
            match left.filter(|left| self.joins(*left, first)) {
                Some(left) => {
                    if let (Some((last, _)), Some(held)) =
                        (self.spans.remove(&first), self.spans.get_mut(&left))
                    {
                        held.0 = last;
                    }
                }
                None => left = Some(first),
            }
        }
    }

    /// Whether two spans touch and say the same.
    fn joins(&self, left: u64, right: u64) -> bool {
        let said = |entry: &Entry| (entry.epoch, entry.told, entry.heard);
        match (self.spans.get(&left), self.spans.get(&right)) {
            (Some((last, one)), Some((_, other))) => {
                last.checked_add(1) == Some(right)
                    && said(one) == said(other)
                    && (&one.owners, &one.moving) == (&other.owners, &other.moving)
            }
            _ => false,
        }
    }

    /// Where the keys of a span are to be asked, in order; what nobody is known to own is a piece too.
    pub fn pieces(&self, span: Span) -> Vec<Piece> {
        let unknown = |first, last| Piece { span: Span { first, last }, epoch: None, ask: Owners::default() };
        let mut pieces = Vec::new();
        let mut next = Some(span.first);
        for held in self.meeting(span) {
            let (Some(both), Some((_, entry))) = (held.meet(&span), self.spans.get(&held.first)) else {
                continue;
            };
            if let Some(first) = next.filter(|first| *first < both.first) {
                pieces.push(unknown(first, both.first - 1));
            }
            pieces.push(Piece { span: both, epoch: Some(entry.epoch), ask: entry.asked() });
            next = both.last.checked_add(1);
        }
        if let Some(first) = next.filter(|first| *first <= span.last) {
            pieces.push(unknown(first, span.last));
        }
        pieces
    }

    /// A node that was asked says who owns what of a span, itself among them or not. It is an owner's word;
    /// of an epoch that is not newer it teaches nothing.
    pub fn moved(&mut self, now: Nanos, told: &[Change]) -> Taken {
        let mut sum = Taken::default();
        for change in told {
            let taken = self.take(now, change, Told::Owner);
            sum.changed += taken.changed;
            sum.older += taken.older;
            sum.against += taken.against;
        }
        sum
    }

    /// The time since the word on any span within this one was last heard; `None` where one has none.
    pub fn age(&self, now: Nanos, span: Span) -> Option<Nanos> {
        let known = self.pieces(span).iter().all(|piece| piece.epoch.is_some());
        let held = self.meeting(span);
        let oldest = held.iter().filter_map(|held| self.spans.get(&held.first)).map(|(_, entry)| entry.heard);
        oldest.min().filter(|_| known).map(|heard| now - heard)
    }
}

/// Within an epoch a move goes forward only. Guards against a stage that is told late.
fn advances(entry: &Entry, change: &Change) -> bool {
    let rank = |moving: &Option<Move>| {
        moving.as_ref().map_or(0, |moving| match moving.stage {
            Stage::Prepared => 1,
            Stage::Moving => 2,
            Stage::Done | Stage::GivenUp => 3,
        })
    };
    rank(&change.moving) > rank(&entry.moving)
}

impl Entry {
    /// Whom to ask: while a move is under way either side may own the span.
    pub fn asked(&self) -> Owners {
        match &self.moving {
            Some(moving) if moving.stage == Stage::Moving => {
                Owners::new(self.owners.iter().chain(moving.to.iter()))
            }
            _ => self.owners.clone(),
        }
    }

    /// Whether a node has just been given this span, so that it is cold for it.
    pub fn is_new_to(&self, node: NodeId) -> bool {
        self.moving.as_ref().is_some_and(|moving| moving.stage != Stage::GivenUp && moving.to.has(node))
    }
}

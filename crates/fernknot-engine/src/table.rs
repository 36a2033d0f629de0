//! The table between host and module: what is held of each multiget, its parts and hand-offs.

use fernknot::interface::*;
use fernknot_protocol::multiget::{Asked, AskedSecond};
use std::collections::{HashMap, HashSet};

/// Who asked, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskerId(pub u64);

pub struct HandOffState {
    pub node: NodeId,
    pub sent: Nanos,
    pub stop_at: Nanos,
    /// Its end has been told to the module.
    pub over: bool,
}

/// What a part is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOf {
    Plain,
    Match,
    Fetch,
}

pub struct PartState {
    pub shard: ShardId,
    pub of: PartOf,
    /// What it is called in frames.
    pub id: String,
    /// The value of the first answer.
    pub value: Option<String>,
    /// The hand-off that gave it.
    pub answered_by: Option<HandOffNo>,
    pub hand_offs: Vec<HandOffState>,
}

pub struct Held {
    /// What its client calls it.
    pub id: String,
    pub asker: AskerId,
    pub client_end: Nanos,
    key: Option<String>,
    text: String,
    /// What the second of two phases asks, and the parts that it was opened with.
    second: Option<Box<SecondHeld>>,
    pub parts: Vec<PartState>,
    /// Hand-offs whose end has not been told.
    pub out: usize,
    /// It has had its final answer, or its client has gone.
    pub over: bool,
}

pub(crate) struct SecondHeld {
    text: String,
    pub opened: bool,
}

impl Held {
    /// What a part asks of a node.
    pub fn text(&self, part: &PartState) -> &str {
        match (&self.second, part.of) {
            (Some(second), PartOf::Fetch) => &second.text,
            _ => &self.text,
        }
    }

    /// The client's key, for parts that may change something: the first of two phases only asks.
    pub fn key(&self, part: &PartState) -> Option<&str> {
        self.key.as_deref().filter(|_| part.of != PartOf::Match)
    }

    pub fn is_phased(&self) -> bool {
        self.second.is_some()
    }

    /// Its second phase has been opened.
    pub fn is_opened(&self) -> bool {
        self.second.as_ref().is_some_and(|second| second.opened)
    }

    /// Parts of the second phase were handed off.
    pub fn second_ran(&self) -> bool {
        self.parts.iter().any(|part| part.of == PartOf::Fetch && !part.hand_offs.is_empty())
    }

    /// Opens the second phase with these blocks; the index of the first of its parts comes back.
    pub(crate) fn open(&mut self, shards: impl Iterator<Item = ShardId>) -> usize {
        let from = self.parts.len();
        if let Some(second) = &mut self.second {
            second.opened = true;
        }
        let id = &self.id;
        self.parts.extend(shards.map(|shard| PartState::new(id, shard, PartOf::Fetch)));
        from
    }
}

impl PartState {
    /// Takes a value, if it is the first.
    pub(crate) fn answer(&mut self, no: HandOffNo, value: String) {
        if self.value.is_none() {
            (self.value, self.answered_by) = (Some(value), Some(no));
        }
    }

    /// Guards against ids that collide: a client's id has no comma, so no plain part is ever called like
    /// one of a phase, and the letter tells the phases apart.
    fn new(id: &str, shard: ShardId, of: PartOf) -> PartState {
        let phase = match of {
            PartOf::Plain => "",
            PartOf::Match => ",m",
            PartOf::Fetch => ",f",
        };
        let id = format!("{id}{phase}.{}", shard.0);
        PartState { shard, of, id, value: None, answered_by: None, hand_offs: Vec::new() }
    }
}

#[derive(Default)]
pub struct Table {
    held: HashMap<MultigetId, Held>,
    /// What clients call those that are owed an answer.
    open: HashSet<String>,
    next: u64,
    /// Multigets that are owed an answer.
    pub owed: usize,
}

impl Table {
    pub(crate) fn take(&mut self, asker: AskerId, client_end: Nanos, asked: &mut Asked) -> MultigetId {
        let id = MultigetId(self.next);
        self.next += 1;
        self.owed += 1;
        let of = if asked.second.is_some() { PartOf::Match } else { PartOf::Plain };
        let parts = asked.parts.iter().map(|part| PartState::new(&asked.id, part.shard, of)).collect();
        let (key, text) = (asked.key.take(), std::mem::take(&mut asked.text));
        let text_of =
            |second: &mut AskedSecond| SecondHeld { text: std::mem::take(&mut second.text), opened: false };
        let second = asked.second.as_mut().map(|second| Box::new(text_of(second)));
        let name = std::mem::take(&mut asked.id);
        self.open.insert(name.clone());
        self.held
            .insert(id, Held { id: name, asker, client_end, key, text, second, parts, out: 0, over: false });
        id
    }

    /// Orders the parts of a multiget of which none has been handed off.
    pub(crate) fn sort_parts<K: Ord>(&mut self, id: MultigetId, key: impl FnMut(&PartState) -> K) {
        if let Some(held) = self.held.get_mut(&id) {
            held.parts.sort_by_key(key);
        }
    }

    /// Whether a request of this id is owed an answer.
    pub fn is_open(&self, id: &str) -> bool {
        self.open.contains(id)
    }

    /// Multigets of which anything can still be named.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn get(&self, id: MultigetId) -> Option<&Held> {
        self.held.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MultigetId) -> Option<&mut Held> {
        self.held.get_mut(&id)
    }

    pub fn part(&self, id: PartId) -> Option<&PartState> {
        self.held.get(&id.of)?.parts.get(id.index)
    }

    pub(crate) fn part_mut(&mut self, id: PartId) -> Option<&mut PartState> {
        self.held.get_mut(&id.of)?.parts.get_mut(id.index)
    }

    pub fn hand_off(&self, id: PartId, no: HandOffNo) -> Option<&HandOffState> {
        self.part(id)?.hand_offs.get(no.0 as usize)
    }

    pub(crate) fn hand_off_mut(&mut self, id: PartId, no: HandOffNo) -> Option<&mut HandOffState> {
        let part = self.held.get_mut(&id.of)?.parts.get_mut(id.index)?;
        part.hand_offs.get_mut(no.0 as usize)
    }

    /// Whether the end of a hand-off has not been told.
    pub fn is_out(&self, part: PartId, no: HandOffNo) -> bool {
        self.hand_off(part, no).is_some_and(|hand_off| !hand_off.over)
    }

    /// Marks the multiget as answered; true if that was still owed.
    pub(crate) fn over(&mut self, id: MultigetId) -> bool {
        let Some(held) = self.held.get_mut(&id).filter(|held| !held.over) else { return false };
        held.over = true;
        self.open.remove(&held.id);
        self.owed -= 1;
        self.forget(id);
        true
    }

    /// Drops what nothing can name any more.
    pub(crate) fn forget(&mut self, id: MultigetId) {
        if self.held.get(&id).is_some_and(|held| held.over && held.out == 0) {
            self.held.remove(&id);
        }
    }
}

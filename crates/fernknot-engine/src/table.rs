//! The table between host and module: what is held of each multiget, its parts and hand-offs.

use fernknot::interface::*;
use fernknot_protocol::multiget::Asked;
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

pub struct PartState {
    pub shard: ShardId,
    /// What it is called in frames.
    pub id: String,
    /// The value of the first answer.
    pub value: Option<String>,
    pub hand_offs: Vec<HandOffState>,
}

pub struct Held {
    /// What its client calls it.
    pub id: String,
    pub asker: AskerId,
    pub client_end: Nanos,
    pub key: Option<String>,
    pub text: String,
    pub parts: Vec<PartState>,
    /// Hand-offs whose end has not been told.
    pub out: usize,
    /// It has had its final answer, or its client has gone.
    pub over: bool,
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
        let part = |shard: ShardId| PartState {
            shard,
            id: format!("{}.{}", asked.id, shard.0),
            value: None,
            hand_offs: Vec::new(),
        };
        let parts = asked.parts.iter().map(|asked| part(asked.shard)).collect();
        let (key, text) = (asked.key.take(), std::mem::take(&mut asked.text));
        let name = std::mem::take(&mut asked.id);
        self.open.insert(name.clone());
        self.held.insert(id, Held { id: name, asker, client_end, key, text, parts, out: 0, over: false });
        id
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

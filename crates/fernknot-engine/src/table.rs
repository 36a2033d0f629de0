//! The table of multigets in flight, which the host and the decision module share.

use crate::multiget::{MultigetState, RequesterId};
use crate::part::{AttemptState, PartState};
use fernknot::interface::{AttemptNumber, MultigetId, Nanos, PartId};
use fernknot_protocol::multiget::MultigetRequest;
use std::collections::{HashMap, HashSet};

/// The multigets of which something is still in flight or owed.
#[derive(Default)]
pub struct MultigetTable {
    multigets: HashMap<MultigetId, MultigetState>,
    /// The clients' ids of those that are owed an answer.
    open: HashSet<String>,
    next_id: u64,
    /// How many multigets are owed an answer.
    pub owed: usize,
}

impl MultigetTable {
    pub(crate) fn take(
        &mut self,
        asker: RequesterId,
        client_end: Nanos,
        asked: &mut MultigetRequest,
    ) -> MultigetId {
        let id = MultigetId(self.next_id);
        self.next_id += 1;
        self.owed += 1;
        let multiget = MultigetState::new(asker, client_end, asked);
        self.open.insert(multiget.id.clone());
        self.multigets.insert(id, multiget);
        id
    }

    /// Sorts the parts of a multiget of which no attempt has been made.
    pub(crate) fn sort_parts<K: Ord>(&mut self, id: MultigetId, key: impl FnMut(&PartState) -> K) {
        if let Some(multiget) = self.multigets.get_mut(&id) {
            multiget.parts.sort_by_key(key);
        }
    }

    /// Whether a request of this client's id is owed an answer.
    pub fn is_open(&self, id: &str) -> bool {
        self.open.contains(id)
    }

    /// How many multigets are in the table, answered ones with attempts in flight among them.
    pub fn len(&self) -> usize {
        self.multigets.len()
    }

    /// Whether nothing is in flight or owed.
    pub fn is_empty(&self) -> bool {
        self.multigets.is_empty()
    }

    /// A multiget, unless it is over and nothing of it is in flight.
    pub fn get(&self, id: MultigetId) -> Option<&MultigetState> {
        self.multigets.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MultigetId) -> Option<&mut MultigetState> {
        self.multigets.get_mut(&id)
    }

    /// A part of a multiget in the table.
    pub fn part(&self, id: PartId) -> Option<&PartState> {
        self.multigets.get(&id.multiget)?.parts.get(id.index)
    }

    pub(crate) fn part_mut(&mut self, id: PartId) -> Option<&mut PartState> {
        self.multigets.get_mut(&id.multiget)?.parts.get_mut(id.index)
    }

    /// An attempt of a multiget in the table.
    pub fn attempt(&self, id: PartId, number: AttemptNumber) -> Option<&AttemptState> {
        self.part(id)?.attempts.get(number.0 as usize)
    }

    pub(crate) fn attempt_mut(&mut self, id: PartId, number: AttemptNumber) -> Option<&mut AttemptState> {
        self.part_mut(id)?.attempts.get_mut(number.0 as usize)
    }

    /// Whether the end of an attempt has not been reported.
    pub fn is_out(&self, part: PartId, number: AttemptNumber) -> bool {
        self.attempt(part, number).is_some_and(|attempt| !attempt.is_over)
    }

    /// Marks the multiget as answered; true if that was still owed.
    pub(crate) fn over(&mut self, id: MultigetId) -> bool {
        let Some(multiget) = self.multigets.get_mut(&id).filter(|multiget| !multiget.is_over) else {
            return false;
        };
        multiget.is_over = true;
        self.open.remove(&multiget.id);
        self.owed -= 1;
        self.forget(id);
        true
    }

    /// Removes a multiget that nothing can refer to any more.
    pub(crate) fn forget(&mut self, id: MultigetId) {
        if self.multigets.get(&id).is_some_and(|multiget| multiget.is_over && multiget.in_flight == 0) {
            self.multigets.remove(&id);
        }
    }
}

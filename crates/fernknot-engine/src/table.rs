//! Table of multigets in flight, which the host and the decision module share.

use crate::multiget::{MultigetState, RequesterId};
use crate::part::{AttemptState, PartState};
use fernknot::interface::{AttemptNumber, MultigetId, Nanos, PartId};
use fernknot_protocol::multiget::MultigetRequest;
use std::collections::{HashMap, HashSet};

/// Multigets without a final answer, and answered ones with attempts in flight.
#[derive(Default)]
pub struct MultigetTable {
    multigets: HashMap<MultigetId, MultigetState>,
    /// Client-assigned ids of the multigets without a final answer.
    unanswered_ids: HashSet<String>,
    next_id: u64,
    /// Number of multigets without a final answer.
    pub unanswered: usize,
}

impl MultigetTable {
    pub(crate) fn insert(
        &mut self,
        requester: RequesterId,
        client_deadline: Nanos,
        request: &mut MultigetRequest,
    ) -> MultigetId {
        let id = MultigetId(self.next_id);
        self.next_id += 1;
        self.unanswered += 1;
        let multiget = MultigetState::new(requester, client_deadline, request);
        self.unanswered_ids.insert(multiget.id.clone());
        self.multigets.insert(id, multiget);
        id
    }

    /// Sorts the parts of a multiget. Attempts refer to parts by index, so no attempt may have been made before.
    pub(crate) fn sort_parts<K: Ord>(&mut self, id: MultigetId, key: impl FnMut(&PartState) -> K) {
        if let Some(multiget) = self.multigets.get_mut(&id) {
            multiget.parts.sort_by_key(key);
        }
    }

    /// Whether a multiget with this client-assigned id has no final answer yet.
    pub fn is_awaiting_answer(&self, client_assigned_id: &str) -> bool {
        self.unanswered_ids.contains(client_assigned_id)
    }

    /// Number of multigets in the table, including answered ones with attempts in flight.
    pub fn len(&self) -> usize {
        self.multigets.len()
    }

    /// Whether every multiget is answered and no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.multigets.is_empty()
    }

    /// Returns a multiget; `None` once it has its final answer or its client has gone, and none of its attempts is in
    /// flight.
    pub fn get(&self, id: MultigetId) -> Option<&MultigetState> {
        self.multigets.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MultigetId) -> Option<&mut MultigetState> {
        self.multigets.get_mut(&id)
    }

    /// Returns a part of a multiget in the table; `None` if the multiget has been removed.
    pub fn part(&self, id: PartId) -> Option<&PartState> {
        self.multigets.get(&id.multiget)?.parts.get(id.index)
    }

    pub(crate) fn part_mut(&mut self, id: PartId) -> Option<&mut PartState> {
        self.multigets.get_mut(&id.multiget)?.parts.get_mut(id.index)
    }

    /// Returns an attempt of a multiget in the table; `None` if the multiget has been removed or the attempt was never
    /// made.
    pub fn attempt(&self, id: PartId, number: AttemptNumber) -> Option<&AttemptState> {
        self.part(id)?.attempts.get(number.0 as usize)
    }

    pub(crate) fn attempt_mut(&mut self, id: PartId, number: AttemptNumber) -> Option<&mut AttemptState> {
        self.part_mut(id)?.attempts.get_mut(number.0 as usize)
    }

    /// Whether the attempt is known and its end has not been reported.
    pub fn is_attempt_in_flight(&self, part: PartId, number: AttemptNumber) -> bool {
        self.attempt(part, number).is_some_and(|attempt| !attempt.is_over)
    }

    /// Marks a multiget as over: it has its final answer, or its client has gone. Returns false if it was over before.
    pub(crate) fn mark_over(&mut self, id: MultigetId) -> bool {
        let Some(multiget) = self.multigets.get_mut(&id).filter(|multiget| !multiget.is_over) else {
            return false;
        };
        multiget.is_over = true;
        self.unanswered_ids.remove(&multiget.id);
        self.unanswered -= 1;
        self.remove_if_done(id);
        true
    }

    /// Removes a multiget that is over and has no attempt in flight, so that nothing refers to it any more.
    pub(crate) fn remove_if_done(&mut self, id: MultigetId) {
        if self.multigets.get(&id).is_some_and(|multiget| multiget.is_over && multiget.in_flight == 0) {
            self.multigets.remove(&id);
        }
    }
}

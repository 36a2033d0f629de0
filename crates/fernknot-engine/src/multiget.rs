//! State of a multiget in flight.

use crate::part::{PartState, Phase};
use fernknot::interface::{Nanos, ShardId};
use fernknot_protocol::multiget::{MultigetRequest, SecondPhaseRequest};

/// Identifier that the host chooses for whoever waits for the answer to a multiget, such as a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// Stage of a multiget when it got its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The only phase of a multiget that is not a query in two phases.
    Plain,
    /// The first of two phases.
    FirstPhase,
    /// The second of two phases.
    SecondPhase {
        /// Whether an attempt of a part of the second phase was made.
        ran: bool,
    },
}

/// Multiget that has no final answer yet or has attempts in flight.
pub struct MultigetState {
    /// Identifier assigned by the client.
    pub id: String,
    /// Requester of the multiget.
    pub requester: RequesterId,
    /// Time at which the client stops waiting.
    pub client_deadline: Nanos,
    idempotency_key: Option<String>,
    text: String,
    second_phase: Option<Box<SecondPhase>>,
    /// Parts of the multiget; those of a second phase follow those of the first.
    pub parts: Vec<PartState>,
    /// Number of attempts whose end the host has not reported.
    pub in_flight: usize,
    /// Whether the multiget has its final answer, or its client has gone.
    pub is_over: bool,
}

struct SecondPhase {
    text: String,
    is_open: bool,
}

impl MultigetState {
    /// Returns the state of a new multiget. The text, idempotency key and id are moved out of the request.
    pub(crate) fn new(
        requester: RequesterId,
        client_deadline: Nanos,
        request: &mut MultigetRequest,
    ) -> MultigetState {
        let phase = if request.second_phase.is_some() { Phase::Match } else { Phase::Plain };
        let second_phase = |second: &mut SecondPhaseRequest| SecondPhase {
            text: std::mem::take(&mut second.text),
            is_open: false,
        };
        MultigetState {
            parts: request.parts.iter().map(|part| PartState::new(&request.id, part.shard, phase)).collect(),
            idempotency_key: request.key.take(),
            text: std::mem::take(&mut request.text),
            second_phase: request.second_phase.as_mut().map(|second| Box::new(second_phase(second))),
            id: std::mem::take(&mut request.id),
            requester,
            client_deadline,
            in_flight: 0,
            is_over: false,
        }
    }

    /// Returns the text of the request that a part sends to a node.
    pub fn text(&self, part: &PartState) -> &str {
        match (&self.second_phase, part.phase) {
            (Some(second), Phase::Fetch) => &second.text,
            _ => &self.text,
        }
    }

    /// Returns the client's idempotency key, by which nodes recognise duplicates of a part that has effects; `None` if
    /// the client gave none. Parts of the first of two phases only read, so they carry no key.
    pub fn idempotency_key(&self, part: &PartState) -> Option<&str> {
        self.idempotency_key.as_deref().filter(|_| part.phase != Phase::Match)
    }

    /// Whether the multiget is a query in two phases.
    pub fn is_two_phase(&self) -> bool {
        self.second_phase.is_some()
    }

    /// Whether the second phase has been opened.
    pub fn is_second_phase_open(&self) -> bool {
        self.second_phase.as_ref().is_some_and(|second| second.is_open)
    }

    /// Whether an attempt of the second phase was made.
    pub fn has_second_phase_attempts(&self) -> bool {
        self.parts.iter().any(|part| part.phase == Phase::Fetch && !part.attempts.is_empty())
    }

    pub(crate) fn stage(&self) -> Stage {
        match (self.is_two_phase(), self.is_second_phase_open()) {
            (false, _) => Stage::Plain,
            (true, false) => Stage::FirstPhase,
            (true, true) => Stage::SecondPhase { ran: self.has_second_phase_attempts() },
        }
    }

    /// Opens the second phase with a part for each of the shards. Returns the index of the first of these parts.
    pub(crate) fn open_second_phase(&mut self, shards: impl Iterator<Item = ShardId>) -> usize {
        let first_index = self.parts.len();
        if let Some(second) = &mut self.second_phase {
            second.is_open = true;
        }
        let id = &self.id;
        self.parts.extend(shards.map(|shard| PartState::new(id, shard, Phase::Fetch)));
        first_index
    }
}

//! A multiget in flight.

use crate::part::{PartState, Phase};
use fernknot::interface::{Nanos, ShardId};
use fernknot_protocol::multiget::{MultigetRequest, SecondPhaseRequest};

/// Who asked, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId(pub u64);

/// Where a multiget stood when it got its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has one phase.
    Plain,
    /// In the first of two phases.
    FirstPhase,
    /// In the second of two phases.
    SecondPhase {
        /// An attempt of the second phase was made.
        ran: bool,
    },
}

/// A multiget of which something is still in flight or owed.
pub struct MultigetState {
    /// The client's id for it.
    pub id: String,
    /// Who asked.
    pub asker: RequesterId,
    /// When the client stops waiting.
    pub client_end: Nanos,
    key: Option<String>,
    text: String,
    second: Option<Box<SecondPhase>>,
    /// Its parts; those of a second phase follow those of the first.
    pub parts: Vec<PartState>,
    /// Attempts whose end has not been reported.
    pub in_flight: usize,
    /// It has had its final answer, or its client has gone.
    pub is_over: bool,
}

/// The second of two phases.
struct SecondPhase {
    text: String,
    is_opened: bool,
}

impl MultigetState {
    /// Takes over what the request asks; its text, key and id are moved out of it.
    pub(crate) fn new(asker: RequesterId, client_end: Nanos, asked: &mut MultigetRequest) -> MultigetState {
        let of = if asked.second.is_some() { Phase::Match } else { Phase::Plain };
        let second_phase = |second: &mut SecondPhaseRequest| SecondPhase {
            text: std::mem::take(&mut second.text),
            is_opened: false,
        };
        MultigetState {
            parts: asked.parts.iter().map(|part| PartState::new(&asked.id, part.shard, of)).collect(),
            key: asked.key.take(),
            text: std::mem::take(&mut asked.text),
            second: asked.second.as_mut().map(|second| Box::new(second_phase(second))),
            id: std::mem::take(&mut asked.id),
            asker,
            client_end,
            in_flight: 0,
            is_over: false,
        }
    }

    /// What a part asks of a node.
    pub fn text(&self, part: &PartState) -> &str {
        match (&self.second, part.phase) {
            (Some(second), Phase::Fetch) => &second.text,
            _ => &self.text,
        }
    }

    /// The client's idempotency key, for parts that may change something: the first of two phases only asks.
    pub fn key(&self, part: &PartState) -> Option<&str> {
        self.key.as_deref().filter(|_| part.phase != Phase::Match)
    }

    /// It has two phases.
    pub fn is_phased(&self) -> bool {
        self.second.is_some()
    }

    /// Its second phase has been opened.
    pub fn is_opened(&self) -> bool {
        self.second.as_ref().is_some_and(|second| second.is_opened)
    }

    /// An attempt of the second phase was made.
    pub fn second_ran(&self) -> bool {
        self.parts.iter().any(|part| part.phase == Phase::Fetch && !part.attempts.is_empty())
    }

    /// Where it stands.
    pub(crate) fn stage(&self) -> Stage {
        match (self.is_phased(), self.is_opened()) {
            (false, _) => Stage::Plain,
            (true, false) => Stage::FirstPhase,
            (true, true) => Stage::SecondPhase { ran: self.second_ran() },
        }
    }

    /// Opens the second phase with these blocks; the index of the first of its parts comes back.
    pub(crate) fn open(&mut self, shards: impl Iterator<Item = ShardId>) -> usize {
        let first_index = self.parts.len();
        if let Some(second) = &mut self.second {
            second.is_opened = true;
        }
        let id = &self.id;
        self.parts.extend(shards.map(|shard| PartState::new(id, shard, Phase::Fetch)));
        first_index
    }
}

//! The state of one query in flight.

use crate::query::{CandidateBlock, MatchError};
use crate::term_filter_cache::FilterAnswer;
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{TwoPhaseSettings, UnansweredBlock};
use std::collections::BTreeMap;

/// A block that the first phase asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AskedBlock {
    /// Whether its answer arrived.
    pub answered: bool,
    /// Its filter's answer when the query began.
    pub filter_answer: FilterAnswer,
}

/// A block that the second phase may fetch.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// The block.
    pub block: CandidateBlock,
    /// The chance that it is fetched, as far as is known; 1 once it is named.
    pub fetch_chance: f64,
    /// An answer of the first phase named it.
    pub named: bool,
    outcome: Outcome,
}

/// What the opening of the second phase made of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Neither: it may match, and is not fetched all the same. Also before the second phase is opened.
    NotFetched,
    Fetched,
    RuledOut,
}

impl Candidate {
    /// A candidate before the first answer.
    pub fn new(block: CandidateBlock, fetch_chance: f64) -> Candidate {
        Candidate { block, fetch_chance, named: false, outcome: Outcome::NotFetched }
    }
}

/// A query from its begin to its end.
pub(crate) struct QueryInFlight {
    /// Its use case.
    pub use_case: UseCaseId,
    /// When it began.
    pub began_at: Nanos,
    /// The time for both phases: the latency target, or the client's time-out if that is less.
    pub target: Nanos,
    /// When the first phase ended; `None` while it runs.
    pub second_phase_opened_at: Option<Nanos>,
    /// The blocks of the first phase.
    pub asked: BTreeMap<ShardId, AskedBlock>,
    /// The blocks that the second phase may fetch.
    pub candidates: BTreeMap<ShardId, Candidate>,
    /// Fingerprints.
    pub terms: Vec<u64>,
    /// Parts of the second phase.
    pub fetched: usize,
    /// The mean work of a candidate, where that of all is known.
    pub mean_effort: Option<Nanos>,
}

/// What the second phase fetches, and what that leaves.
pub(crate) struct FetchPlan {
    /// The blocks to fetch.
    pub blocks: Vec<CandidateBlock>,
    /// The share of the answer that was ruled out, and so needs no part.
    pub ruled_out_weight: f64,
    /// Whether every candidate is either fetched or ruled out.
    pub is_complete: bool,
    /// Candidates that were named.
    pub named: usize,
}

impl QueryInFlight {
    /// Whether the first phase has ended.
    pub fn is_second_phase_open(&self) -> bool {
        self.second_phase_opened_at.is_some()
    }

    /// Whether every block of the first phase has answered.
    pub fn is_first_phase_complete(&self) -> bool {
        self.asked.values().all(|asked| asked.answered)
    }

    /// The parts that the second phase is expected to have.
    pub fn expected_fetches(&self) -> f64 {
        self.candidates.values().map(|candidate| candidate.fetch_chance).sum()
    }

    /// How many candidates were named so far.
    pub fn named_count(&self) -> usize {
        self.candidates.values().filter(|candidate| candidate.named).count()
    }

    /// Whether an answer may name these blocks. Otherwise the fetch would silently be smaller than the store meant.
    pub fn check_named(
        &self,
        from: ShardId,
        named: &[ShardId],
        may_name_others: bool,
    ) -> Result<(), MatchError> {
        for (index, shard) in named.iter().enumerate() {
            if !self.candidates.contains_key(shard) {
                return Err(MatchError::NotInQuery);
            }
            if named[..index].contains(shard) {
                return Err(MatchError::DuplicateBlock);
            }
            if !may_name_others && *shard != from {
                return Err(MatchError::NamesOtherBlock);
            }
        }
        Ok(())
    }

    /// Takes an answer: its block and those that it names have a known chance now, and the chance of the others
    /// shrinks where any block may name any other.
    pub fn apply_answer(&mut self, from: ShardId, named: &[ShardId], settings: &TwoPhaseSettings) {
        if let Some(asked) = self.asked.get_mut(&from) {
            asked.answered = true;
        }
        if settings.names_others {
            let is_complete = self.is_first_phase_complete();
            let remaining = if is_complete { 0.0 } else { 1.0 - 1.0 / self.asked.len() as f64 };
            let candidates = self.candidates.values_mut();
            for candidate in candidates.filter(|candidate| !candidate.named && settings.prunes_unmatched) {
                candidate.fetch_chance *= remaining;
            }
        } else if let Some(candidate) = self.candidates.get_mut(&from).filter(|_| settings.prunes_unmatched) {
            candidate.fetch_chance = 0.0;
        }
        for shard in named {
            if let Some(candidate) = self.candidates.get_mut(shard) {
                (candidate.named, candidate.fetch_chance) = (true, 1.0);
            }
        }
    }

    /// Ends the first phase, and settles what becomes of each candidate.
    pub fn open_second_phase(&mut self, now: Nanos, settings: &TwoPhaseSettings) -> FetchPlan {
        self.second_phase_opened_at = Some(now);
        let is_first_complete = self.is_first_phase_complete();
        let mut plan = FetchPlan { blocks: Vec::new(), ruled_out_weight: 0.0, is_complete: true, named: 0 };
        for (shard, candidate) in &mut self.candidates {
            // A block that did not answer may have named itself, or any block where blocks name others.
            let is_own_answer_missing = self.asked.get(shard).is_some_and(|asked| !asked.answered);
            let may_be_named =
                !candidate.named && (is_own_answer_missing || !is_first_complete && settings.names_others);
            plan.named += usize::from(candidate.named);
            let is_fetched = candidate.named
                || !settings.prunes_unmatched
                || may_be_named && settings.unanswered_block == UnansweredBlock::Fetch;
            if is_fetched {
                candidate.outcome = Outcome::Fetched;
                plan.blocks.push(candidate.block.clone());
            } else if may_be_named {
                plan.is_complete = false;
            } else {
                candidate.outcome = Outcome::RuledOut;
                plan.ruled_out_weight += candidate.block.weight;
            }
        }
        self.fetched = plan.blocks.len();
        plan
    }

    /// What the final answer says of each candidate.
    pub fn block_outcomes(&self, is_in_answer: impl Fn(ShardId) -> bool) -> Vec<(ShardId, BlockState)> {
        let outcome = |(shard, candidate): (&ShardId, &Candidate)| {
            let said = match candidate.outcome {
                Outcome::Fetched if is_in_answer(*shard) => BlockState::Fetched,
                Outcome::Fetched => BlockState::Missing,
                Outcome::RuledOut => BlockState::Pruned,
                Outcome::NotFetched => BlockState::Unasked,
            };
            (*shard, said)
        };
        self.candidates.iter().map(outcome).collect()
    }
}

//! State of one query in flight. A block is a set of records that one shard holds, and has that shard's number.

use crate::query::{CandidateBlock, MatchError};
use crate::term_filter_cache::FilterAnswer;
use fernknot::interface::{Nanos, ShardId, UseCaseId};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{TwoPhaseSettings, UnansweredBlock};
use std::collections::BTreeMap;

/// Block that receives a part of the first phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FirstPhaseBlock {
    /// Whether the block's answer in the first phase arrived.
    pub answered: bool,
    /// Answer of the block's cached term filter when the query began.
    pub filter_answer: FilterAnswer,
}

/// Block that the second phase may fetch.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    /// Description of the block.
    pub block: CandidateBlock,
    /// Estimated chance that the block is fetched, from 0 to 1; 1 once a first-phase answer named it, or if all are
    /// fetched.
    pub fetch_chance: f64,
    /// Whether an answer of the first phase named the block.
    pub named: bool,
    state: CandidateState,
}

/// State of a candidate, set when the second phase is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateState {
    /// The block may match but is not fetched. Also the state before the second phase is opened.
    NotFetched,
    Fetched,
    RuledOut,
}

impl Candidate {
    /// Returns a candidate that no answer has named.
    pub fn new(block: CandidateBlock, fetch_chance: f64) -> Candidate {
        Candidate { block, fetch_chance, named: false, state: CandidateState::NotFetched }
    }
}

/// Query in flight, from its arrival to its final answer.
pub(crate) struct QueryInFlight {
    /// Use case of the query.
    pub use_case: UseCaseId,
    /// Time of the query's arrival.
    pub began_at: Nanos,
    /// Time from arrival to answer, over both phases: the latency target, or the client's time-out if that is less.
    pub target: Nanos,
    /// End of the first phase and start of the second; `None` while the first one runs.
    pub second_phase_opened_at: Option<Nanos>,
    /// Blocks that receive a part of the first phase, by shard.
    pub first_phase_blocks: BTreeMap<ShardId, FirstPhaseBlock>,
    /// Blocks that the second phase may fetch, by shard.
    pub candidates: BTreeMap<ShardId, Candidate>,
    /// Fingerprints of the query's terms.
    pub terms: Vec<u64>,
    /// Number of parts of the second phase; 0 before it is opened.
    pub second_phase_parts: usize,
    /// Mean expected work of fetching a candidate, as time of one worker; `None` if that of any candidate is unknown.
    pub mean_effort: Option<Nanos>,
}

/// Blocks that the second phase fetches, and their part in the answer.
pub(crate) struct FetchPlan {
    /// Blocks to fetch.
    pub blocks: Vec<CandidateBlock>,
    /// Share of the complete answer, from 0 to 1, whose blocks were ruled out and need no part.
    pub ruled_out_weight: f64,
    /// Whether every candidate is either fetched or ruled out.
    pub is_complete: bool,
    /// Number of candidates that answers of the first phase named.
    pub named: usize,
}

impl QueryInFlight {
    /// Whether the first phase has ended and the second one has been opened.
    pub fn is_second_phase_open(&self) -> bool {
        self.second_phase_opened_at.is_some()
    }

    /// Whether every block of the first phase has answered.
    pub fn is_first_phase_complete(&self) -> bool {
        self.first_phase_blocks.values().all(|block| block.answered)
    }

    /// Returns the expected number of parts of the second phase.
    pub fn expected_fetches(&self) -> f64 {
        self.candidates.values().map(|candidate| candidate.fetch_chance).sum()
    }

    /// Returns the number of candidates that answers have named so far.
    pub fn named_count(&self) -> usize {
        self.candidates.values().filter(|candidate| candidate.named).count()
    }

    /// Checks that an answer may name these blocks. Without the check, an invalid answer would silently make the second
    /// phase fetch fewer blocks than the store meant.
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

    /// Applies an answer of the first phase to the fetch chances. Blocks that the answer names are certain to be
    /// fetched. If blocks that no answer names are pruned (not fetched), the chances of blocks not named yet shrink.
    /// Where blocks may name others, all of these chances shrink with each answer, to 0 with the last one; otherwise
    /// only that of the answering block, to 0.
    pub fn apply_answer(&mut self, from: ShardId, named: &[ShardId], settings: &TwoPhaseSettings) {
        if let Some(block) = self.first_phase_blocks.get_mut(&from) {
            block.answered = true;
        }
        if settings.may_name_other_blocks {
            let is_complete = self.is_first_phase_complete();
            let remaining = if is_complete { 0.0 } else { 1.0 - 1.0 / self.first_phase_blocks.len() as f64 };
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

    /// Ends the first phase and decides for each candidate whether it is fetched, ruled out or neither.
    pub fn open_second_phase(&mut self, now: Nanos, settings: &TwoPhaseSettings) -> FetchPlan {
        self.second_phase_opened_at = Some(now);
        let is_first_complete = self.is_first_phase_complete();
        let mut plan = FetchPlan { blocks: Vec::new(), ruled_out_weight: 0.0, is_complete: true, named: 0 };
        for (shard, candidate) in &mut self.candidates {
            // A block that did not answer might have named itself, or any block where blocks may name others.
            let is_own_answer_missing =
                self.first_phase_blocks.get(shard).is_some_and(|block| !block.answered);
            let may_be_named = !candidate.named
                && (is_own_answer_missing || !is_first_complete && settings.may_name_other_blocks);
            plan.named += usize::from(candidate.named);
            let is_fetched = candidate.named
                || !settings.prunes_unmatched
                || may_be_named && settings.unanswered_block == UnansweredBlock::Fetch;
            if is_fetched {
                candidate.state = CandidateState::Fetched;
                plan.blocks.push(candidate.block.clone());
            } else if may_be_named {
                plan.is_complete = false;
            } else {
                candidate.state = CandidateState::RuledOut;
                plan.ruled_out_weight += candidate.block.weight;
            }
        }
        self.second_phase_parts = plan.blocks.len();
        plan
    }

    /// Returns the state of each candidate for the final answer.
    pub fn block_outcomes(&self, is_in_answer: impl Fn(ShardId) -> bool) -> Vec<(ShardId, BlockState)> {
        let block_state = |(shard, candidate): (&ShardId, &Candidate)| {
            let state = match candidate.state {
                CandidateState::Fetched if is_in_answer(*shard) => BlockState::Fetched,
                CandidateState::Fetched => BlockState::Missing,
                CandidateState::RuledOut => BlockState::Pruned,
                CandidateState::NotFetched => BlockState::Unasked,
            };
            (*shard, state)
        };
        self.candidates.iter().map(block_state).collect()
    }
}

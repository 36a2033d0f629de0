//! Queries in two phases: their start, the opening of the second phase, their end and their counters. The first phase
//! asks blocks of data, each a shard, which blocks hold matches; the second fetches the blocks that the answers name.

use crate::action::Verdict;
use crate::counters::Counters;
use crate::engine::Engine;
use crate::multiget::Stage;
use fernknot::interface::{MultigetId, Nanos, Outcome, PartId, SecondPhaseEstimate, ShardId};
use fernknot_protocol::matches;
use fernknot_protocol::multiget::{BlockState, MultigetRequest, RequestedPart, SecondPhaseRequest};
use fernknot_two_phase::{CandidateBlock, TwoPhaseQuery, term_fingerprint};
use std::collections::HashMap;

impl Engine {
    /// Starts the first of two phases. Returns the estimate of the second phase for the decision module.
    pub(crate) fn begin_first_phase(
        &mut self,
        now: Nanos,
        id: MultigetId,
        request: &mut MultigetRequest,
        second: SecondPhaseRequest,
    ) -> Option<SecondPhaseEstimate> {
        self.counters.phased_taken += 1;
        let candidate = |part: RequestedPart| CandidateBlock {
            shard: part.shard,
            weight: part.weight,
            effort: part.effort,
        };
        let query = TwoPhaseQuery {
            use_case: request.use_case,
            client_timeout: request.timeout,
            first_phase_blocks: request.parts.iter().map(|part| part.shard).collect(),
            candidates: second.parts.into_iter().map(candidate).collect(),
            terms: second.terms.iter().map(|term| term_fingerprint(term)).collect(),
        };
        let order = self.planner.begin(now, id, query);
        let rank: HashMap<ShardId, usize> =
            order.into_iter().enumerate().map(|(rank, shard)| (shard, rank)).collect();
        request.parts.sort_by_key(|part| rank.get(&part.shard).copied());
        self.table.sort_parts(id, |part| rank.get(&part.shard).copied());
        self.planner.second_phase_estimate(now, id)
    }

    /// Records a block's answer of a first phase. An answer that cannot be parsed or names a block that it may not
    /// name has the outcome `Error`, so that the part may be retried; if it counted as an answer, the second phase
    /// would silently fetch fewer blocks.
    pub(crate) fn record_match_answer(&mut self, now: Nanos, part: PartId, value: &str) -> Outcome {
        let Some(shard) = self.table.part(part).map(|part| part.shard) else { return Outcome::Error };
        let Ok(answer) = matches::read(value) else {
            self.counters.match_values_bad += 1;
            return Outcome::Error;
        };
        match self.planner.record_match(part.multiget, shard, answer) {
            Ok(true) => {
                if let Some(estimate) = self.planner.second_phase_estimate(now, part.multiget) {
                    self.decisions.expect_second_phase(part.multiget, estimate);
                }
                Outcome::Answered
            }
            Ok(false) => {
                self.counters.match_answers_late += 1;
                Outcome::Answered
            }
            Err(_) => {
                self.counters.match_values_bad += 1;
                Outcome::Error
            }
        }
    }

    /// Opens the second phase with the blocks that the first one selected, unless it was opened before.
    pub(crate) fn open_second_phase(&mut self, now: Nanos, id: MultigetId) {
        let Some(fetch) = self.planner.open_second_phase(now, id) else { return };
        let Some(multiget) = self.table.get_mut(id) else { return };
        let first_index = multiget.open_second_phase(fetch.blocks.iter().map(|block| block.shard));
        self.counters.phased_opened += 1;
        self.decisions.begin_second_phase(id, fetch.start);
        let part = |block: CandidateBlock| RequestedPart {
            shard: block.shard,
            weight: block.weight,
            effort: block.effort,
        };
        let parts: Vec<RequestedPart> = fetch.blocks.into_iter().map(part).collect();
        self.add_parts(now, id, first_index, parts.iter());
    }

    /// Ends the planning of a multiget whose client has gone, and counts it; does nothing unless it is an unanswered
    /// query in two phases.
    pub(crate) fn finish_abandoned_query(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.table.get(id) else { return };
        if !multiget.is_two_phase() || multiget.is_over {
            return;
        }
        match multiget.is_second_phase_open() {
            false => self.counters.first_phase_lapsed += 1,
            true => self.counters.second_phase_lapsed += 1,
        }
        self.planner.finish(now, id, multiget.has_second_phase_attempts());
    }

    /// Ends the planning of a query in two phases that is about to get its final answer, and counts the answer.
    pub(crate) fn finish_answered_query(
        &mut self,
        now: Nanos,
        id: MultigetId,
        verdict: &Verdict,
        stage: Stage,
    ) {
        count_answer(&mut self.counters, verdict, stage);
        self.planner.finish(now, id, stage == Stage::SecondPhase { ran: true });
    }
}

/// Counts the final answer to a query in two phases.
fn count_answer(counters: &mut Counters, verdict: &Verdict, stage: Stage) {
    match (verdict, stage) {
        (Verdict::Completed { is_complete, blocks, .. }, _) => {
            blocks.iter().flatten().for_each(|(_, state)| count_block(counters, *state));
            match is_complete {
                true => counters.phased_whole += 1,
                false => counters.phased_in_part += 1,
            }
        }
        (_, Stage::SecondPhase { ran: false }) => counters.second_phase_refused += 1,
        (_, Stage::SecondPhase { ran: true }) => counters.second_phase_failed += 1,
        _ => counters.first_phase_refused += 1,
    }
}

fn count_block(counters: &mut Counters, state: BlockState) {
    match state {
        BlockState::Fetched => counters.blocks_fetched += 1,
        BlockState::Pruned => counters.blocks_pruned += 1,
        BlockState::Missing | BlockState::Unasked => counters.blocks_unasked += 1,
    }
}

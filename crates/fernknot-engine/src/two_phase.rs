//! Queries in two phases: what begins, opens, ends and counts them.

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
    /// Begins the first of two phases; what the decision module is to know of the second comes back.
    pub(crate) fn begin_phases(
        &mut self,
        now: Nanos,
        id: MultigetId,
        asked: &mut MultigetRequest,
        second: SecondPhaseRequest,
    ) -> Option<SecondPhaseEstimate> {
        self.counters.phased_taken += 1;
        let candidate = |part: RequestedPart| CandidateBlock {
            shard: part.shard,
            weight: part.weight,
            effort: part.effort,
        };
        let query = TwoPhaseQuery {
            use_case: asked.use_case,
            client_timeout: asked.timeout,
            first_phase_blocks: asked.parts.iter().map(|part| part.shard).collect(),
            candidates: second.parts.into_iter().map(candidate).collect(),
            terms: second.terms.iter().map(|term| term_fingerprint(term)).collect(),
        };
        let order = self.phases.begin(now, id, query);
        let rank: HashMap<ShardId, usize> =
            order.into_iter().enumerate().map(|(rank, shard)| (shard, rank)).collect();
        asked.parts.sort_by_key(|part| rank.get(&part.shard).copied());
        self.table.sort_parts(id, |part| rank.get(&part.shard).copied());
        self.phases.second_phase_estimate(now, id)
    }

    /// Takes a block's answer of a first phase. Guards against a fetch that is silently smaller: a value that cannot be
    /// read, or names what it may not, is a failed attempt that may have run.
    pub(crate) fn matched(&mut self, now: Nanos, part: PartId, value: &str) -> Outcome {
        let Some(shard) = self.table.part(part).map(|part| part.shard) else { return Outcome::Error };
        let Ok(answer) = matches::read(value) else {
            self.counters.match_values_bad += 1;
            return Outcome::Error;
        };
        match self.phases.record_match(part.multiget, shard, answer) {
            Ok(true) => {
                if let Some(estimate) = self.phases.second_phase_estimate(now, part.multiget) {
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

    /// Opens the second phase with the blocks that the first one left, if any.
    pub(crate) fn open_second_phase(&mut self, now: Nanos, id: MultigetId) {
        let Some(fetch) = self.phases.open_second_phase(now, id) else { return };
        let Some(multiget) = self.table.get_mut(id) else { return };
        let first_index = multiget.open(fetch.blocks.iter().map(|block| block.shard));
        self.counters.phased_opened += 1;
        self.decisions.begin_second_phase(id, fetch.step);
        let part = |block: CandidateBlock| RequestedPart {
            shard: block.shard,
            weight: block.weight,
            effort: block.effort,
        };
        let parts: Vec<RequestedPart> = fetch.blocks.into_iter().map(part).collect();
        self.take_parts(now, id, first_index, parts.iter());
    }

    /// The client of a multiget has gone.
    pub(crate) fn phases_lapsed(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.table.get(id) else { return };
        if !multiget.is_phased() || multiget.is_over {
            return;
        }
        match multiget.is_opened() {
            false => self.counters.first_phase_lapsed += 1,
            true => self.counters.second_phase_lapsed += 1,
        }
        self.phases.finish(now, id, multiget.second_ran());
    }

    /// A query in two phases has its final answer.
    pub(crate) fn phases_answered(&mut self, now: Nanos, id: MultigetId, verdict: &Verdict, ended: Stage) {
        count(&mut self.counters, verdict, ended);
        self.phases.finish(now, id, ended == Stage::SecondPhase { ran: true });
    }
}

/// Counts the final answer to a query in two phases.
fn count(counters: &mut Counters, verdict: &Verdict, ended: Stage) {
    match (verdict, ended) {
        (Verdict::Completed { is_complete: whole, blocks, .. }, _) => {
            blocks.iter().flatten().for_each(|(_, state)| count_block(counters, *state));
            match whole {
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

//! Planner of queries in two phases.

use crate::in_flight::{Candidate, FirstPhaseBlock, QueryInFlight};
use crate::query::{CandidateBlock, MatchError, SecondPhase, TwoPhaseQuery};
use crate::term_filter_cache::{FilterAnswer, TermFilterCache};
use crate::use_case_statistics::UseCaseStatistics;
use fernknot::interface::{MultigetId, Nanos, SecondPhaseEstimate, SecondPhaseStart, ShardId};
use fernknot_protocol::matches::{MatchAnswer, MatchedBlocks};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{TwoPhaseSettings, UnansweredBlock};
use std::collections::{BTreeMap, HashMap};

/// Queries in flight that have two phases, and statistics of earlier queries by use case. A block is a set of records
/// that one shard holds; its store is the node that answers for the block.
#[derive(Default)]
pub struct TwoPhasePlanner {
    /// Statistics by use case; `None` where queries have one phase.
    use_cases: Vec<Option<UseCaseStatistics>>,
    in_flight: HashMap<MultigetId, QueryInFlight>,
    /// Cached term filters of blocks, the approximate sets of the terms in them; `None` if no use case has two phases.
    filters: Option<TermFilterCache>,
}

/// Blocks that an answer of the first phase names.
struct NamedBlocks {
    blocks: Vec<ShardId>,
    /// Whether the store confirmed the version of the cached filter instead of looking for matches, and that filter
    /// shows that the block cannot match.
    ruled_out_by_filter: bool,
}

impl TwoPhasePlanner {
    /// Returns a planner without queries. `settings` has one entry for each use case, `None` where queries have one
    /// phase; term filters take at most `max_filter_bytes`. `now`, here and elsewhere, is the caller's monotonic clock.
    pub fn new(
        now: Nanos,
        settings: &[Option<TwoPhaseSettings>],
        max_filter_bytes: usize,
    ) -> TwoPhasePlanner {
        let has_two_phases = settings.iter().any(Option::is_some);
        let statistics = |settings: &Option<TwoPhaseSettings>| {
            settings.as_ref().map(|settings| UseCaseStatistics::new(now, settings))
        };
        TwoPhasePlanner {
            use_cases: settings.iter().map(statistics).collect(),
            in_flight: HashMap::new(),
            filters: has_two_phases.then(|| TermFilterCache::new(max_filter_bytes)),
        }
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the version of a block's cached term filter, for the block's store to confirm; `None` if none is
    /// cached.
    pub fn filter_version(&self, shard: ShardId) -> Option<u64> {
        self.filters.as_ref()?.version(shard)
    }

    /// Starts a query. Returns the blocks to ask in the first phase, those most likely to match first. A query whose
    /// use case has one phase is not kept, and its blocks stay in their order.
    pub fn begin(&mut self, now: Nanos, id: MultigetId, query: TwoPhaseQuery) -> Vec<ShardId> {
        let Some(Some(statistics)) = self.use_cases.get(query.use_case.0) else {
            return query.first_phase_blocks;
        };
        let first_phase_blocks = check_filters(&mut self.filters, &query);
        let chances = statistics.match_chances();
        let chance = |shard: &ShardId| {
            chances
                .of(first_phase_blocks.get(shard).map_or(FilterAnswer::Unknown, |block| block.filter_answer))
        };
        let mut order = query.first_phase_blocks;
        order.sort_by(|one, other| chance(other).total_cmp(&chance(one)).then(one.cmp(other)));
        let mean_effort = mean_effort(&query.candidates);
        let candidate = |block: CandidateBlock| {
            let fetch_chance = if statistics.settings.prunes_unmatched { chance(&block.shard) } else { 1.0 };
            (block.shard, Candidate::new(block, fetch_chance))
        };
        let in_flight = QueryInFlight {
            use_case: query.use_case,
            began_at: now,
            target: statistics.settings.latency_target.min(query.client_timeout),
            second_phase_opened_at: None,
            candidates: query.candidates.into_iter().map(candidate).collect(),
            first_phase_blocks,
            terms: query.terms,
            second_phase_parts: 0,
            mean_effort,
        };
        self.in_flight.insert(id, in_flight);
        order
    }

    /// Returns the estimate of the second phase for the decision module; `None` once the first phase has ended, or if
    /// the query is unknown.
    pub fn second_phase_estimate(&mut self, now: Nanos, id: MultigetId) -> Option<SecondPhaseEstimate> {
        let query = self.in_flight.get(&id).filter(|query| !query.is_second_phase_open())?;
        let statistics = self.use_cases.get_mut(query.use_case.0)?.as_mut()?;
        let parts = query.expected_fetches();
        let named = query.named_count();
        let needs = statistics.time_to_reserve(now, parts, query.target);
        let is_fetch_certain = statistics.settings.rejects_late_second_phase && named > 0;
        let needs_least = if is_fetch_certain { statistics.min_second_phase(now, named) } else { Nanos(0) };
        let settings = &statistics.settings;
        Some(SecondPhaseEstimate {
            expected_duration: needs,
            // A query is rejected only if its second phase is certain to be late, not because that is expected.
            min_duration: needs_least.min(needs),
            expected_parts: parts,
            effort: query.mean_effort,
            min_first_phase_share: if settings.unanswered_block == UnansweredBlock::Refuse {
                1.0
            } else {
                settings.min_match_share
            },
        })
    }

    /// Records a block's answer of the first phase. Returns `Ok(false)` and ignores the answer if it is a duplicate or
    /// arrives after the end of the first phase.
    ///
    /// # Errors
    ///
    /// Returns a [`MatchError`] and ignores the answer if it is from or names a block that it may not, or names one
    /// twice.
    pub fn record_match(
        &mut self,
        id: MultigetId,
        from: ShardId,
        answer: MatchAnswer,
    ) -> Result<bool, MatchError> {
        let query = self.in_flight.get_mut(&id).filter(|query| !query.is_second_phase_open());
        let Some(query) = query else { return Ok(false) };
        let Some(Some(statistics)) = self.use_cases.get_mut(query.use_case.0) else { return Ok(false) };
        let sender = *query.first_phase_blocks.get(&from).ok_or(MatchError::NotInQuery)?;
        if sender.answered {
            return Ok(false);
        }
        let named = match answer.matched_blocks {
            MatchedBlocks::Blocks(blocks) => {
                query.check_named(from, &blocks, statistics.settings.may_name_other_blocks)?;
                NamedBlocks { blocks, ruled_out_by_filter: false }
            }
            MatchedBlocks::Same(version) => named_by_filter(&mut self.filters, query, from, version),
        };
        if sender.filter_answer == FilterAnswer::CannotMatch && !named.ruled_out_by_filter {
            statistics.record_denied_match(!named.blocks.is_empty());
        }
        if let (Some((version, fingerprints)), Some(filters)) = (answer.summary, self.filters.as_mut()) {
            filters.insert(from, version, fingerprints);
        }
        query.apply_answer(from, &named.blocks, &statistics.settings);
        Ok(true)
    }

    /// Ends the first phase. Returns the blocks that the second one fetches and the time that it needs; `None` if the
    /// query is unknown or its first phase has ended before.
    pub fn open_second_phase(&mut self, now: Nanos, id: MultigetId) -> Option<SecondPhase> {
        let query = self.in_flight.get_mut(&id).filter(|query| !query.is_second_phase_open())?;
        let statistics = self.use_cases.get_mut(query.use_case.0)?.as_mut()?;
        statistics.record_first_phase(now, now - query.began_at);
        let plan = query.open_second_phase(now, &statistics.settings);
        if query.is_first_phase_complete() {
            statistics.record_match_rate(plan.named as f64 / query.candidates.len().max(1) as f64);
        }
        let may_reject = statistics.settings.rejects_late_second_phase;
        let needs = may_reject.then(|| statistics.typical_second_phase(now, plan.blocks.len()));
        let start = SecondPhaseStart {
            expected_duration: needs,
            known_share: plan.ruled_out_weight,
            first_phase_complete: plan.is_complete,
        };
        Some(SecondPhase { blocks: plan.blocks, start })
    }

    /// Ends a query that has its final answer or whose client has gone. If parts of the second phase were sent
    /// (`second_phase_ran`), the time from its opening until now is recorded as its duration, although a second phase
    /// that the client abandoned would have taken longer.
    pub fn finish(&mut self, now: Nanos, id: MultigetId, second_phase_ran: bool) {
        let Some(query) = self.in_flight.remove(&id) else { return };
        let Some(Some(statistics)) = self.use_cases.get_mut(query.use_case.0) else { return };
        if let Some(opened_at) = query.second_phase_opened_at.filter(|_| second_phase_ran) {
            statistics.record_second_phase(now, query.second_phase_parts, now - opened_at);
        }
    }

    /// Returns the state of each block that a query could fetch, for its final answer; `None` if the query is unknown.
    /// Before the second phase is opened, all are `Unasked`. `is_in_answer` returns whether the answer contains a
    /// block's value.
    ///
    /// `Fetched`: the answer contains the block's value. `Pruned`: every answer that could have named the block
    /// arrived, and none did. `Missing`: the block's value was requested and did not arrive. `Unasked`: none of these.
    pub fn block_outcomes(
        &self,
        id: MultigetId,
        is_in_answer: impl Fn(ShardId) -> bool,
    ) -> Option<Vec<(ShardId, BlockState)>> {
        self.in_flight.get(&id).map(|query| query.block_outcomes(is_in_answer))
    }
}

/// Returns the blocks that receive a part of the first phase, with the answers of their cached filters.
fn check_filters(
    filters: &mut Option<TermFilterCache>,
    query: &TwoPhaseQuery,
) -> BTreeMap<ShardId, FirstPhaseBlock> {
    let mut check_filter = |shard: &ShardId| {
        let answer = filters.as_mut().map(|filters| filters.check(*shard, &query.terms));
        let filter_answer = answer.unwrap_or(FilterAnswer::Unknown);
        (*shard, FirstPhaseBlock { answered: false, filter_answer })
    };
    query.first_phase_blocks.iter().map(&mut check_filter).collect()
}

/// Returns the blocks named by an answer that only confirms the version of a filter. If the filter is cached at that
/// version, it decides whether the block matches; otherwise the block counts as named.
fn named_by_filter(
    filters: &mut Option<TermFilterCache>,
    query: &QueryInFlight,
    from: ShardId,
    version: u64,
) -> NamedBlocks {
    let confirmed = filters.as_mut().filter(|filters| filters.version(from) == Some(version));
    let answer = confirmed.map(|filters| filters.check(from, &query.terms));
    let ruled_out_by_filter = answer == Some(FilterAnswer::CannotMatch);
    let is_named = !ruled_out_by_filter && query.candidates.contains_key(&from);
    NamedBlocks { blocks: if is_named { vec![from] } else { Vec::new() }, ruled_out_by_filter }
}

/// Mean expected work of fetching a block; `None` if that of any block is unknown.
fn mean_effort(blocks: &[CandidateBlock]) -> Option<Nanos> {
    let total: Option<u64> = blocks.iter().map(|block| Some(block.effort?.0)).sum();
    total.map(|total| Nanos(total / blocks.len().max(1) as u64))
}

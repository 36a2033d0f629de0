//! Decisions on queries in two phases, without I/O or a clock.
//!
//! A block is a set of records that one shard holds, and has that shard's number. The first phase asks blocks which
//! blocks hold matches; the second phase fetches the blocks that the answers name. A term filter is the approximate
//! set of the search terms in a block, which the block's node sends with its answers. This crate keeps the state of
//! such queries while they are in flight, and statistics of earlier ones: durations, match rates and term filters of
//! blocks. Its caller, `fernknot-engine`, reports to a [`TwoPhasePlanner`] each query
//! ([`begin`](TwoPhasePlanner::begin)), the answers of the first phase
//! ([`record_match`](TwoPhasePlanner::record_match)) and the query's end ([`finish`](TwoPhasePlanner::finish)). The
//! planner returns the time that the second phase needs
//! ([`second_phase_estimate`](TwoPhasePlanner::second_phase_estimate)), the blocks that it fetches
//! ([`open_second_phase`](TwoPhasePlanner::open_second_phase)) and the state of each block for the final answer
//! ([`block_outcomes`](TwoPhasePlanner::block_outcomes)). The decision module (`fernknot`) takes these as inputs; it
//! chooses replicas, retries and rejects.

#![deny(missing_docs)]

mod in_flight;
mod planner;
mod query;
mod recent_durations;
mod term_filter;
mod term_filter_cache;
mod use_case_statistics;

pub use planner::TwoPhasePlanner;
pub use query::{CandidateBlock, MatchError, SecondPhase, TwoPhaseQuery};
pub use recent_durations::RecentDurations;
pub use term_filter::{TermFilter, term_fingerprint};
pub use term_filter_cache::{ENTRY_OVERHEAD_BYTES, FilterAnswer, TermFilterCache};

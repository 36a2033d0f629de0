//! Decisions on queries in two phases, without I/O or a clock.
//!
//! In the first phase blocks are asked which blocks hold matches; their answers name the blocks that the second phase
//! fetches. This crate owns the state of such queries while they are in flight, and what earlier ones taught of
//! durations, match rates and block contents. `fernknot-engine` is its caller: it reports each query to a
//! [`TwoPhasePlanner`] ([`begin`](TwoPhasePlanner::begin)), the answers of the first phase
//! ([`record_match`](TwoPhasePlanner::record_match)) and the query's end ([`finish`](TwoPhasePlanner::finish)), and asks
//! how much time the second phase needs ([`second_phase_estimate`](TwoPhasePlanner::second_phase_estimate)), what it
//! fetches ([`open_second_phase`](TwoPhasePlanner::open_second_phase)) and what the final answer says of each block
//! ([`block_outcomes`](TwoPhasePlanner::block_outcomes)). Which replica is asked, whether to retry and what to reject
//! stay with the decision module (`fernknot`), which gets these as inputs.

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

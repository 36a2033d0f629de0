//! Input and output types of the planner. A block is a set of records that one shard holds.

use fernknot::interface::{Nanos, SecondPhaseStart, ShardId, UseCaseId};
use thiserror::Error;

/// Block that the second phase of a query may fetch.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateBlock {
    /// Shard that holds the block.
    pub shard: ShardId,
    /// Share of the complete answer that the block contributes, from 0 to 1.
    pub weight: f64,
    /// Expected work of fetching the block, as time of one worker; `None` if unknown.
    pub effort: Option<Nanos>,
}

/// Client's query in two phases.
#[derive(Clone, Debug)]
pub struct TwoPhaseQuery {
    /// Use case of the query.
    pub use_case: UseCaseId,
    /// Time that the client waits for an answer.
    pub client_timeout: Nanos,
    /// Blocks that the first phase asks for matches.
    pub first_phase_blocks: Vec<ShardId>,
    /// Blocks that the second phase may fetch.
    pub candidates: Vec<CandidateBlock>,
    /// Fingerprints of the terms that a matching block contains ([`term_fingerprint`](crate::term_fingerprint)).
    pub terms: Vec<u64>,
}

/// Second phase of a query at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondPhase {
    /// Blocks to fetch.
    pub blocks: Vec<CandidateBlock>,
    /// Input for the decision module.
    pub start: SecondPhaseStart,
}

/// Reason why an answer of the first phase is invalid. The attempt counts as failed and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MatchError {
    /// The answer is from a block that the first phase does not ask, or names one that the second may not fetch.
    #[error("the answer is from or names a block that is not in the query")]
    NotInQuery,
    /// The answer names a block twice.
    #[error("the answer names a block twice")]
    DuplicateBlock,
    /// The answer names another block than its own, which the use case does not allow.
    #[error("the answer names another block than its own")]
    NamesOtherBlock,
}

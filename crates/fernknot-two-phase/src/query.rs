//! What a caller hands in, and what it gets back for the second phase.

use fernknot::interface::{Nanos, SecondPhaseStart, ShardId, UseCaseId};
use thiserror::Error;

/// A block that the second phase of a query may fetch.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateBlock {
    /// The block.
    pub shard: ShardId,
    /// Its share of the complete answer, from 0 to 1.
    pub weight: f64,
    /// The work that fetching it is expected to be, as time of one worker, where that is known.
    pub effort: Option<Nanos>,
}

/// A query in two phases, as a client asks it.
#[derive(Clone, Debug)]
pub struct TwoPhaseQuery {
    /// Its use case.
    pub use_case: UseCaseId,
    /// How long its client waits.
    pub client_timeout: Nanos,
    /// The blocks that the first phase asks which blocks match.
    pub first_phase_blocks: Vec<ShardId>,
    /// All blocks that the second phase may fetch.
    pub candidates: Vec<CandidateBlock>,
    /// The fingerprints of the terms that a block has to hold ([`term_fingerprint`](crate::term_fingerprint)).
    pub terms: Vec<u64>,
}

/// The second phase of a query, as it is opened.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondPhase {
    /// The blocks to fetch.
    pub blocks: Vec<CandidateBlock>,
    /// What the decision module has to know of it.
    pub step: SecondPhaseStart,
}

/// Why an answer of the first phase cannot be used. The attempt failed and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MatchError {
    /// It is from, or names, a block that the query does not ask or fetch.
    #[error("the answer is from or names a block that is not in the query")]
    NotInQuery,
    /// It names a block twice.
    #[error("the answer names a block twice")]
    DuplicateBlock,
    /// It names another block than its own, where the use case does not allow that.
    #[error("the answer names another block than its own")]
    NamesOtherBlock,
}

//! How a use case is asked in two phases: first which blocks hold matches, then for these blocks' records.

use fernknot::interface::Nanos;
use serde::Deserialize;

/// What happens to a block that did not answer the first phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", rename = "Silent")]
pub enum UnansweredBlock {
    /// It is fetched as if it matched.
    Fetch,
    /// It is left out, and the answer is not complete.
    Leave,
    /// The query is rejected.
    Refuse,
}

/// How the latency target is divided between the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LatencySplit {
    /// By how long second phases of such a size have taken lately.
    Learned,
    /// Half of it for each.
    Half,
}

/// How a use case is asked in two phases.
#[derive(Clone, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// The latency target of the query.
    pub latency_target: Nanos,
    /// The least share of the latency target that the first phase may have, above 0.
    pub min_first_phase_share: f64,
    /// The greatest share of the latency target that the first phase may have, below 1.
    pub max_first_phase_share: f64,
    /// What happens to a block that did not answer the first phase.
    pub unanswered_block: UnansweredBlock,
    /// A block's match answer may name others than itself.
    pub may_name_other_blocks: bool,
    /// The share of the first phase with which the second may be opened, above 0 and at most 1.
    pub min_match_share: f64,
    /// How the latency target is divided between the phases.
    pub split: LatencySplit,
    /// A second phase that cannot be in time is rejected. Off for comparison only.
    pub rejects_late_second_phase: bool,
    /// Blocks that do not match are not fetched. Off for comparison only.
    pub prunes_unmatched: bool,
}

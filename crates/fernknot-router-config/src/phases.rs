//! Settings of two-phase queries: the first phase determines the blocks that match, the second fetches their records.

use fernknot::interface::Nanos;
use serde::Deserialize;

/// Handling of a block that did not answer the first phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", rename = "Silent")]
pub enum UnansweredBlock {
    /// The block is fetched as if it matched.
    Fetch,
    /// The block is not fetched, and the answer is partial.
    Leave,
    /// The query is rejected.
    Refuse,
}

/// Division of the latency target between the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LatencySplit {
    /// The second phase gets as much time as recent second phases of a similar size took.
    Learned,
    /// Each phase gets half of the latency target.
    Half,
}

/// Two-phase settings of a use case.
#[derive(Clone, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// Latency target of the query.
    pub latency_target: Nanos,
    /// Minimum share of the latency target for the first phase, above 0.
    pub min_first_phase_share: f64,
    /// Maximum share of the latency target for the first phase, below 1.
    pub max_first_phase_share: f64,
    /// Handling of a block that did not answer the first phase.
    pub unanswered_block: UnansweredBlock,
    /// Whether a block's match answer may name other blocks as matches.
    pub may_name_other_blocks: bool,
    /// Share of the first phase that must be answered before the second phase may start, above 0 and at most 1.
    pub min_match_share: f64,
    /// Division of the latency target between the phases.
    pub split: LatencySplit,
    /// Whether a query is rejected if its second phase cannot finish in time. False only for comparison in experiments.
    pub rejects_late_second_phase: bool,
    /// Whether blocks that do not match are not fetched. False only for comparison in experiments.
    pub prunes_unmatched: bool,
}

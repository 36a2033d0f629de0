//! Settings of two-phase queries. A block is the set of records of one shard. The first phase asks blocks which blocks
//! match; the second fetches the records of these.

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
    /// The query is not answered: the second phase does not start before all blocks have answered the first one.
    Refuse,
}

/// Division of the latency target between the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LatencySplit {
    /// The second phase gets as much time as all but the slowest tenth of recent second phases of a similar size took.
    Learned,
    /// Each phase gets half of the latency target, or of the client's time-out if that is less.
    Half,
}

/// Two-phase settings of a use case.
#[derive(Clone, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// Latency target of the query.
    pub latency_target: Nanos,
    /// Minimum share of the latency target for the first phase, above 0 and below 1.
    pub min_first_phase_share: f64,
    /// Maximum share of the latency target for the first phase, at least the minimum and below 1.
    pub max_first_phase_share: f64,
    /// Handling of a block that did not answer the first phase.
    pub unanswered_block: UnansweredBlock,
    /// Whether a block's answer in the first phase may name other blocks than itself as matches.
    pub may_name_other_blocks: bool,
    /// Sum of the weights of the blocks that must answer the first phase before the second phase may start, above 0
    /// and at most 1.
    pub min_match_share: f64,
    /// Division of the latency target between the phases.
    pub split: LatencySplit,
    /// Whether a query is rejected if its second phase is too likely to end late. False only for comparison in
    /// experiments.
    pub rejects_late_second_phase: bool,
    /// Whether only blocks that match, or may match, are fetched. False, for all blocks, only for comparison in
    /// experiments.
    pub prunes_unmatched: bool,
}

//! Variants of the two-phase planner.

/// Variant of the planner: complete, or with one feature disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Complete planner.
    TwoPhase,
    /// Second phases that cannot meet the latency target are not rejected.
    WithoutRejection,
    /// Each phase gets half of the latency target, instead of shares learned from earlier queries.
    FixedSplit,
    /// Blocks without a match are fetched as well.
    WithoutPruning,
}

impl Variant {
    /// All variants, in the order of the output.
    pub const ALL: [Variant; 4] =
        [Variant::TwoPhase, Variant::WithoutRejection, Variant::FixedSplit, Variant::WithoutPruning];

    /// Returns the name used in the output.
    pub fn name(self) -> &'static str {
        match self {
            Variant::TwoPhase => "phases",
            Variant::WithoutRejection => "no-refusal",
            Variant::FixedSplit => "fixed-split",
            Variant::WithoutPruning => "full",
        }
    }
}

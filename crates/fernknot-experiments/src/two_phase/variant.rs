//! The variants that are compared.

/// What is compared: this build, and the same with one part of it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// All of it.
    TwoPhase,
    /// Second phases that cannot be in time are not rejected.
    WithoutRejection,
    /// Each phase gets half of the time.
    FixedSplit,
    /// Every candidate is fetched.
    WithoutPruning,
}

impl Variant {
    /// All variants, in the order of the output.
    pub const ALL: [Variant; 4] =
        [Variant::TwoPhase, Variant::WithoutRejection, Variant::FixedSplit, Variant::WithoutPruning];

    /// Its name in the output.
    pub fn name(self) -> &'static str {
        match self {
            Variant::TwoPhase => "phases",
            Variant::WithoutRejection => "no-refusal",
            Variant::FixedSplit => "fixed-split",
            Variant::WithoutPruning => "full",
        }
    }
}

//! Identifiers of gateway incarnations and the tokens that order assignments.

use bitcode::{Decode, Encode};

/// Identifier of one incarnation of a gateway process; a restart changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct IncarnationId(pub u64);

/// Token that orders assignments; messages with a token below the newest one are rejected.
///
/// The upper 32 bits are the consensus view, the lower 32 bits the number of the assignment within that view. Both
/// are counted from 1; the default token 0 precedes every assignment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Creates the token of the assignment with this number within a view; it is below every token of a later view.
    pub fn new(view: u32, number: u32) -> FencingToken {
        FencingToken((view as u64) << 32 | number as u64)
    }

    /// View in which the assignment was made.
    pub fn view(self) -> u32 {
        (self.0 >> 32) as u32
    }

    /// Number of the assignment within its view.
    pub fn number(self) -> u32 {
        self.0 as u32
    }
}

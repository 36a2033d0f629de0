//! Bugs that tests switch on, to prove that the checkers find them.

use fernknot_consensus::SeededBug as ConsensusBug;

/// A bug that a checker must find. Never set in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// Reads, rejections and drains are answered from local state alone.
    AnswerFromLocalState,
    /// Few versions are remembered, and what lies beyond them is rejected.
    ForgetHistoryEarly,
    /// The outcome of a forwarded change is accepted whatever incarnation it is meant for.
    AcceptAnyIncarnation,
    /// A bug of the consensus member.
    Consensus(ConsensusBug),
}

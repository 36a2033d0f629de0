//! Bugs that tests put into a controller on purpose, to show that the checkers find them.

use fernknot_consensus::SeededBug as ConsensusBug;

/// A bug that a checker must find. Never set in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededBug {
    /// Replies to reads, rejected changes and drains from local state, without asking a majority.
    AnswerFromLocalState,
    /// Keeps a history of only two versions, and rejects changes older than it.
    ForgetHistoryEarly,
    /// Accepts the outcome of a forwarded change without checking the incarnation for which it is meant.
    AcceptAnyIncarnation,
    /// A bug of the consensus member, as `fernknot-consensus` defines it.
    Consensus(ConsensusBug),
}

//! Bugs that tests inject to show that a checker finds them.

/// A bug that a gateway can be given with [`Gateway::with_seeded_bug`](crate::Gateway::with_seeded_bug).
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A response counts for the attempt that its connection carries, whatever `Attempt-Id` it has.
    MatchByConnection,
    /// An attempt counts as never sent when its connection is reset.
    RetryAfterReset,
    /// An attempt counts as never sent when its node does not respond in time.
    RetryAfterTimeout,
    /// A request that may have been executed is answered with 503.
    RejectAfterAttempt,
    /// A request may be sent again over a connection that carried it before.
    RetryOnSameConnection,
    /// A connection that was open and is closed counts as one that never opened.
    ClosedCountsAsUnopened,
    /// A request that fails counts as never sent although its connection was open before it closed.
    RejectAfterClose,
    /// A response whose length is not stated in its head counts as complete.
    TruncatedIsComplete,
    /// All pipelined requests are served at once.
    ConcurrentPipelining,
}

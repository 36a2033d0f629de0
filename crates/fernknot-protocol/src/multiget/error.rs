//! Why a request is no multiget that can be answered.

/// What is wrong with a request that was read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The path names no use case.
    #[error("unknown use case")]
    UnknownUseCase,
    /// The method is not `POST`.
    #[error("a multiget is a POST")]
    NotPost,
    /// The request has no id, or one that cannot stand in frames.
    #[error("Req-Id missing or unfit")]
    InvalidId,
    /// The client's wait is missing, not positive or too long.
    #[error("Req-Deadline missing or unfit")]
    InvalidDeadline,
    /// The use case needs an idempotency key, which is missing or cannot stand in frames.
    #[error("Idempotency-Key missing or unfit")]
    InvalidIdempotencyKey,
    /// The body is not JSON of the form that is expected.
    #[error("body unfit")]
    InvalidBody,
    /// The body of a query in two phases is not of the form that is expected.
    #[error("match or fetch unfit")]
    InvalidPhases,
    /// No shard is asked.
    #[error("no parts")]
    NoParts,
    /// A shard does not exist, or stands twice in a list.
    #[error("a shard is unknown or asked for twice")]
    InvalidShard,
    /// A part's share is not between 0 and 1.
    #[error("a part's share is unfit")]
    InvalidShare,
    /// The shares of all parts do not add up to 1.
    #[error("the parts' shares make no whole")]
    InvalidShareSum,
    /// A block may be fetched that no answer of the first phase could name.
    #[error("a block is to be fetched that is not asked for matches")]
    UnreachableBlock,
    /// There are too many terms, or one is empty or too long.
    #[error("terms unfit")]
    InvalidTerms,
}

impl RequestError {
    /// The status to answer with.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownUseCase => 404,
            RequestError::NotPost => 405,
            _ => 400,
        }
    }
}

//! Error of an invalid multiget request.

/// Error of a well-formed HTTP request that is not a valid multiget. The text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The path names no use case.
    #[error("unknown use case")]
    UnknownUseCase,
    /// The method is not `POST`.
    #[error("a multiget is a POST")]
    NotPost,
    /// The request's id is missing, too long, or has characters that frames to nodes cannot contain.
    #[error("Req-Id missing or unfit")]
    InvalidId,
    /// The client's time-out is missing, not positive or too long.
    #[error("Req-Deadline missing or unfit")]
    InvalidDeadline,
    /// The use case requires an idempotency key, which is missing, too long, or has characters that frames to nodes
    /// cannot contain.
    #[error("Idempotency-Key missing or unfit")]
    InvalidIdempotencyKey,
    /// The body is not JSON of the expected form.
    #[error("body unfit")]
    InvalidBody,
    /// The body of a two-phase query is not of the expected form.
    #[error("match or fetch unfit")]
    InvalidPhases,
    /// The list of parts is empty.
    #[error("no parts")]
    NoParts,
    /// A shard does not exist, or is listed twice.
    #[error("a shard is unknown or asked for twice")]
    InvalidShard,
    /// A part's share of the complete answer is not from 0 to 1.
    #[error("a part's share is unfit")]
    InvalidShare,
    /// The shares of all parts in the complete answer do not add up to 1.
    #[error("the parts' shares make no whole")]
    InvalidShareSum,
    /// A block is listed for the second phase that no response of the first phase could name.
    #[error("a block is to be fetched that is not asked for matches")]
    UnreachableBlock,
    /// There are too many search terms, or one is empty or too long.
    #[error("terms unfit")]
    InvalidTerms,
}

impl RequestError {
    /// Returns the status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownUseCase => 404,
            RequestError::NotPost => 405,
            _ => 400,
        }
    }
}

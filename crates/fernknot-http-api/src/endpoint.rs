//! A kind of call: the requests that it is read from, and the type that answers it.

use crate::reply::Reply;
use fernknot_protocol::http::Request;

/// A request whose path matches the pattern of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct MatchedRequest<'a> {
    /// The request, complete with its body.
    pub request: &'a Request,
    /// The segment of the path that stands for the pattern's `*`; empty where the pattern has none.
    pub segment: &'a str,
}

/// A call as a value, paired with the type of its answer.
pub trait Endpoint: Sized {
    /// What answers the call.
    type Answer: Into<Reply>;
    /// The method of its requests, in capitals.
    const METHOD: &'static str;
    /// The pattern of its paths, in which one `*` may stand for any single segment that is not empty.
    const PATH: &'static str;

    /// Reads the call from a request that the method and the pattern match.
    ///
    /// # Errors
    /// The reply to a request that is no valid call; it lists every fault, in words for the caller.
    fn parse(matched: MatchedRequest<'_>) -> Result<Self, Reply>;
}

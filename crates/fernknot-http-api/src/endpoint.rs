//! Endpoints: a type of call, the requests it is parsed from, and the type of its answer.

use crate::reply::Reply;
use fernknot_protocol::http::Request;

/// Request whose path matches the pattern of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct MatchedRequest<'a> {
    /// Complete request with its body.
    pub request: &'a Request,
    /// Path segment matched by the pattern's `*`; empty if the pattern has none.
    pub segment: &'a str,
}

/// Type of a call, paired with the type of its answer.
pub trait Endpoint: Sized {
    /// Type of the answer to a call, which is converted to an HTTP reply.
    type Answer: Into<Reply>;
    /// HTTP method of the requests, in capitals.
    const METHOD: &'static str;
    /// Pattern of the paths, in which one `*` may match any single non-empty segment.
    const PATH: &'static str;

    /// Parses the call from a request that matches the method and the pattern.
    ///
    /// # Errors
    /// Returns the reply to an invalid request, with a list of all its errors for the caller.
    fn parse(matched: MatchedRequest<'_>) -> Result<Self, Reply>;
}

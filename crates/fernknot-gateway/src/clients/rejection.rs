//! Responses that a gateway produces itself, without forwarding the request to a node.

use fernknot::decide::DEFAULT_RETRY_AFTER;
use fernknot::interface::Nanos;
use fernknot_protocol::http::HttpError;

/// A plain-text response.
pub(crate) struct LocalReply<'a> {
    pub(crate) status: u16,
    pub(crate) retry_after: Option<Nanos>,
    pub(crate) body: &'a [u8],
}

impl<'a> LocalReply<'a> {
    pub(crate) fn new(status: u16, body: &'a [u8]) -> LocalReply<'a> {
        LocalReply { status, retry_after: None, body }
    }
}

/// Reason for rejecting a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// No configuration is in force yet.
    NoConfig,
    /// The configuration in force does not allow the request, but may not be the newest one.
    UnconfirmedConfig,
    /// The request is larger than the limits in force allow, but the newest configuration may allow it.
    UnconfirmedLimit,
    /// No route matches the request.
    NoRoute,
    /// The route needs a key, and the request has none, or more than one, or other credentials.
    MissingApiKey,
    /// The request has a key that no tenant of the configuration has.
    UnknownApiKey,
    /// `Attempt-Id` is missing or empty, is longer than 256 bytes, or contains other characters than printable ASCII
    /// without spaces.
    InvalidAttemptId,
    /// The request is not valid HTTP, or is too large.
    Malformed(HttpError),
    /// Incomplete bodies use all the memory that is allowed for them.
    TooManyPartialBodies,
    /// The request did not arrive completely in time.
    ReceiveTimeout,
}

impl Rejection {
    pub(crate) fn reply(&self) -> LocalReply<'static> {
        let retry_after = match self {
            Rejection::NoConfig
            | Rejection::UnconfirmedConfig
            | Rejection::UnconfirmedLimit
            | Rejection::TooManyPartialBodies => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        };
        LocalReply { status: self.status(), retry_after, body: self.body() }
    }

    /// Whether the connection is closed after the reply, because the start of the next request is unknown.
    pub(crate) fn closes_connection(&self) -> bool {
        matches!(
            self,
            Rejection::Malformed(_)
                | Rejection::UnconfirmedLimit
                | Rejection::TooManyPartialBodies
                | Rejection::ReceiveTimeout
        )
    }

    pub(crate) fn status(&self) -> u16 {
        match self {
            Rejection::NoConfig
            | Rejection::UnconfirmedConfig
            | Rejection::UnconfirmedLimit
            | Rejection::TooManyPartialBodies => 503,
            Rejection::NoRoute => 404,
            Rejection::MissingApiKey | Rejection::UnknownApiKey => 401,
            Rejection::InvalidAttemptId => 400,
            Rejection::Malformed(error) => error.status,
            Rejection::ReceiveTimeout => 408,
        }
    }

    fn body(&self) -> &'static [u8] {
        match self {
            Rejection::NoConfig => b"no configuration yet\n",
            Rejection::UnconfirmedConfig | Rejection::UnconfirmedLimit => {
                b"the configuration may be outdated\n"
            }
            Rejection::NoRoute => b"no route\n",
            Rejection::MissingApiKey => b"a key is needed\n",
            Rejection::UnknownApiKey => b"unknown key\n",
            Rejection::InvalidAttemptId => b"Attempt-Id is missing or unfit\n",
            Rejection::Malformed(error) => error.reason.as_bytes(),
            Rejection::TooManyPartialBodies => b"too much is coming at once\n",
            Rejection::ReceiveTimeout => b"the request did not come whole in time\n",
        }
    }
}

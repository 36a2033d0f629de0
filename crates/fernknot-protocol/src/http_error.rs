//! Error of reading an HTTP message.

/// Status of a body above its limit.
pub(crate) const CONTENT_TOO_LARGE: u16 = 413;
/// Status of a head above its limit.
pub(crate) const HEAD_TOO_LARGE: u16 = 431;

/// Error of an HTTP message that is malformed or too large. The end of the message is unknown, so the connection has to
/// be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// Status code for the response, if the message was a request.
    pub status: u16,
    /// Short description of the error, which may go into the response's body.
    pub reason: &'static str,
}

impl HttpError {
    /// Whether the message exceeds a limit on the size of its head or its body.
    pub fn exceeds_limit(&self) -> bool {
        matches!(self.status, CONTENT_TOO_LARGE | HEAD_TOO_LARGE)
    }
}

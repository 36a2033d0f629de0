//! Error of reading an HTTP message.

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

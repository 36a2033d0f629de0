//! Why a message of HTTP cannot be read.

/// A message that cannot be read. Where it ends is not certain then, so the connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// The status to answer with, if there is anyone to be answered.
    pub status: u16,
    /// What is wrong, in a few words.
    pub reason: &'static str,
}

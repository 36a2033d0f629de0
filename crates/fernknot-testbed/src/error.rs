//! What can go wrong with a connection.

use std::io::{Error, ErrorKind};
use std::net::SocketAddrV4;

/// A step of an exchange that failed, and with whom.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {source}")]
pub struct ConnectionError {
    /// What was being done, as the beginning of a sentence that the peer ends.
    pub step: &'static str,
    /// The other end.
    pub peer: SocketAddrV4,
    /// What the system or the parser said.
    pub source: Error,
}

impl ConnectionError {
    pub(crate) fn new(
        step: &'static str,
        peer: SocketAddrV4,
        kind: ErrorKind,
        text: &'static str,
    ) -> ConnectionError {
        ConnectionError { step, peer, source: Error::new(kind, text) }
    }

    /// For `map_err`: the system's error at this step.
    pub(crate) fn at(step: &'static str, peer: SocketAddrV4) -> impl Fn(Error) -> ConnectionError + use<> {
        move |source| ConnectionError { step, peer, source }
    }
}

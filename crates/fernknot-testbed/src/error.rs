//! Errors of connections.

use std::io::{Error, ErrorKind};
use std::net::SocketAddrV4;

/// Error of an operation on a connection.
#[derive(Debug, thiserror::Error)]
#[error("{operation} {peer}: {source}")]
pub struct ConnectionError {
    /// Failed operation, a verb phrase that the peer's address completes.
    pub operation: &'static str,
    /// Address of the peer.
    pub peer: SocketAddrV4,
    /// Error of the operating system or the parser.
    pub source: Error,
}

impl ConnectionError {
    pub(crate) fn new(
        operation: &'static str,
        peer: SocketAddrV4,
        kind: ErrorKind,
        text: &'static str,
    ) -> ConnectionError {
        ConnectionError { operation, peer, source: Error::new(kind, text) }
    }

    /// Returns a function for `map_err` that wraps the error of a failed operation.
    pub(crate) fn from_io(
        operation: &'static str,
        peer: SocketAddrV4,
    ) -> impl Fn(Error) -> ConnectionError + use<> {
        move |source| ConnectionError { operation, peer, source }
    }
}

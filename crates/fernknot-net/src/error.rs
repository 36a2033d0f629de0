//! Errors of sockets.

use std::net::SocketAddrV4;
use thiserror::Error;

/// A socket operation that failed.
#[derive(Debug, Error)]
#[error("{step} {peer}: {source}")]
pub struct NetError {
    /// Failed operation, as a phrase that the address completes, such as `connect to`.
    pub step: &'static str,
    /// Remote address of a connection, or local address of a listening socket.
    pub peer: SocketAddrV4,
    /// Error of the operating system.
    pub source: std::io::Error,
}

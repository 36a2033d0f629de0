//! Why a socket could not be opened, or failed.

use std::net::SocketAddrV4;
use thiserror::Error;

/// A socket operation that failed.
#[derive(Debug, Error)]
#[error("{step} {peer}: {source}")]
pub struct NetError {
    /// What was being done, as the beginning of a sentence that the address ends: `connect to`.
    pub step: &'static str,
    /// The remote address, or the local one of a listening socket.
    pub peer: SocketAddrV4,
    /// What the operating system said.
    pub source: std::io::Error,
}

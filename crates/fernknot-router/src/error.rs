//! Errors that end the process.

use calloop::InsertError;
use calloop::signals::Signals;

/// Error that ends the process after its configuration was read.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The event loop cannot be set up, or cannot wait for events.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// Signal handlers cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// Signals cannot be registered with the event loop.
    #[error("signals: {0}")]
    SignalSource(#[source] Box<InsertError<Signals>>),
    /// The process cannot listen at the address for clients.
    #[error("listen: {0}")]
    Listen(#[source] std::io::Error),
    /// The process cannot listen at the address for peers.
    #[error("peer_listen: {0}")]
    PeerListen(#[source] std::io::Error),
}

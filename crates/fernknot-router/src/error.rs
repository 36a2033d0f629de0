//! Why the process ends with an error.

use calloop::InsertError;
use calloop::signals::Signals;

/// A failure of the process after its configuration was read.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The event loop cannot be set up, or cannot wait.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// Signals cannot be added to the event loop.
    #[error("signals: {0}")]
    SignalSource(#[source] Box<InsertError<Signals>>),
    /// The address for clients cannot be listened on.
    #[error("listen: {0}")]
    Listen(#[source] std::io::Error),
    /// The address for peers cannot be listened on.
    #[error("peer_listen: {0}")]
    PeerListen(#[source] std::io::Error),
}

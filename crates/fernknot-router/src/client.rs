//! One client's connection and where it stands.

use crate::tcp_connection::TcpConnection;
use fernknot::interface::{MultigetId, Nanos};
use fernknot_protocol::http::RequestReader;

/// Where a client's connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It waits for a request or the rest of one.
    Reading,
    /// Its multiget is with the engine.
    Pending(MultigetId),
    /// Its response is being written.
    Writing,
    /// It has been ended and waits for the client to close, so that no response is destroyed.
    Closing,
}

/// One client's connection.
pub struct Client {
    /// The socket and its buffers.
    pub tcp: TcpConnection,
    /// Parses the input.
    pub reader: RequestReader,
    /// Where the connection stands.
    pub state: ClientState,
    /// The connection is kept after the response to the current request.
    pub keeps_connection: bool,
    /// The current request is of HTTP/1.0.
    pub is_http_1_0: bool,
    /// It has sent a request.
    pub has_requested: bool,
    /// When its request began to arrive, or bytes of its response were last written.
    pub last_progress: Nanos,
    /// When its timer is due.
    pub timer_at: Nanos,
    /// It was sent an interim response to learn whether it has gone or only finished sending.
    pub was_probed: bool,
}

impl Client {
    /// A client that has just connected.
    pub fn new(tcp: TcpConnection, now: Nanos, timer_at: Nanos) -> Client {
        Client {
            tcp,
            reader: RequestReader::default(),
            state: ClientState::Reading,
            keeps_connection: true,
            is_http_1_0: false,
            has_requested: false,
            last_progress: now,
            timer_at,
            was_probed: false,
        }
    }

    /// Whether the connection is between requests.
    pub fn is_idle(&self) -> bool {
        self.state == ClientState::Reading && self.tcp.input.is_empty() && !self.reader.has_pending_body()
    }

    /// Drops what has been read.
    pub fn discard_input(&mut self) {
        self.tcp.input.consume(self.tcp.input.len());
    }
}

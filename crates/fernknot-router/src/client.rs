//! State of a client's connection.

use crate::tcp_connection::TcpConnection;
use fernknot::interface::{MultigetId, Nanos};
use fernknot_protocol::http::RequestReader;

/// Phase of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// Waiting for a request or the rest of one.
    Reading,
    /// Waiting for the engine's answer to this multiget.
    Pending(MultigetId),
    /// Writing the response.
    Writing,
    /// Shut down for writing, and waiting for the client to close. An immediate close could reset the connection before
    /// the client has read the response.
    Closing,
}

/// A client's connection.
pub struct Client {
    /// The socket and its buffers.
    pub tcp: TcpConnection,
    /// Parser of the input.
    pub reader: RequestReader,
    /// Phase of the connection.
    pub state: ClientState,
    /// Whether the connection stays open after the response to the current request.
    pub keeps_connection: bool,
    /// Whether the current request uses HTTP/1.0.
    pub is_http_1_0: bool,
    /// Whether the client has sent a complete request on this connection.
    pub has_requested: bool,
    /// Time at which the current request began to arrive, or at which bytes of the response were last written.
    pub last_progress: Nanos,
    /// Time for which the connection's timer is set.
    pub timer_at: Nanos,
    /// Whether the client was sent an interim response to find out if it closed the connection or only stopped sending.
    pub was_probed: bool,
}

impl Client {
    /// Creates the state of a newly accepted connection.
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

    /// Returns whether the connection is between requests.
    pub fn is_idle(&self) -> bool {
        self.state == ClientState::Reading && self.tcp.input.is_empty() && !self.reader.has_pending_body()
    }

    /// Discards the input that has been read.
    pub fn discard_input(&mut self) {
        self.tcp.input.consume(self.tcp.input.len());
    }
}

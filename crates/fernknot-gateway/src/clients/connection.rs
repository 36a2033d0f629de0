//! A connection of a client, which serves one request at a time.

use crate::listeners::ListenAddress;
use fernknot::interface::Nanos;
use fernknot_engine::RequesterId;
use fernknot_protocol::http::RequestReader;

/// State of one client connection.
pub(crate) struct ClientConnection {
    pub(crate) listen_address: ListenAddress,
    pub(crate) reader: RequestReader,
    /// Request that waits for its response.
    pub(crate) pending: Option<RequesterId>,
    /// Whether the client allows the connection to stay open after the response.
    pub(crate) keep_alive: bool,
    pub(crate) is_http_1_0: bool,
    /// Whether the pending request is a `HEAD`, whose response has no body.
    pub(crate) expects_no_body: bool,
    /// Time since which the connection has been idle, or its next request has been arriving.
    pub(crate) waiting_since: Nanos,
    /// Whether a request has begun to arrive.
    pub(crate) is_receiving: bool,
    /// Time that the connection may be idle, by its last response or by the configuration when it was accepted.
    pub(crate) idle_timeout: Nanos,
    /// Bytes buffered for the body of an incomplete request, as last counted.
    pub(crate) partial_body_bytes: usize,
}

impl ClientConnection {
    pub(crate) fn new(listen_address: ListenAddress, now: Nanos, idle_timeout: Nanos) -> ClientConnection {
        ClientConnection {
            listen_address,
            reader: RequestReader::default(),
            pending: None,
            keep_alive: true,
            is_http_1_0: false,
            expects_no_body: false,
            waiting_since: now,
            is_receiving: false,
            idle_timeout,
            partial_body_bytes: 0,
        }
    }

    /// Sets the idle time-out after a response. If the response does not state it, a longer time-out that was stated
    /// before stays in force.
    pub(crate) fn set_idle_timeout(&mut self, timeout: Nanos, is_stated: bool) {
        self.idle_timeout = if is_stated { timeout } else { self.idle_timeout.max(timeout) };
    }

    /// Whether no request is pending or arriving.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none() && !self.is_receiving
    }
}

//! One connection of a client: one request at a time.

use crate::listeners::ListenAddress;
use fernknot::interface::Nanos;
use fernknot_engine::RequesterId;
use fernknot_protocol::http::RequestReader;

/// A client's connection.
pub(crate) struct ClientConnection {
    pub(crate) listen_address: ListenAddress,
    pub(crate) reader: RequestReader,
    /// The request that waits for its response.
    pub(crate) pending: Option<RequesterId>,
    /// As far as the client is concerned, the connection stays open after the response.
    pub(crate) keep_alive: bool,
    pub(crate) is_http_1_0: bool,
    /// The pending request is a `HEAD`: its response has no body.
    pub(crate) expects_no_body: bool,
    /// Since when the connection has been idle, or its next request has been on its way.
    pub(crate) waiting_since: Nanos,
    /// A request has begun to arrive.
    pub(crate) is_receiving: bool,
    /// How long the connection may be idle, by its last response or by the configuration when it was accepted.
    pub(crate) idle_timeout: Nanos,
    /// Bytes kept for the body of an incomplete request, as last counted.
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

    /// Sets how long the connection may be idle from its next response on. A response that does not state the time-out
    /// leaves a longer one that was stated before in force.
    pub(crate) fn set_idle_timeout(&mut self, timeout: Nanos, is_stated: bool) {
        self.idle_timeout = if is_stated { timeout } else { self.idle_timeout.max(timeout) };
    }

    /// Whether no request is pending or arriving.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none() && !self.is_receiving
    }
}

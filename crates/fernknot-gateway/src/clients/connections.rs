//! All client connections: reading requests, writing responses, and time-outs.

use super::connection::ClientConnection;
use super::rejection::{LocalReply, Rejection};
use crate::listeners::ListenAddress;
use crate::requests::FinalResponse;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;
use fernknot_engine::RequesterId;
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::{CONTINUE, Request, ResponseHead};
use fernknot_router_config::Limits;
use std::collections::HashMap;

/// Result of reading from a connection.
pub(crate) enum ClientRead {
    /// A complete request.
    Request(Request),
    /// A request that has to be rejected.
    Rejected(Rejection),
}

/// Time-outs of client connections, by the configuration in force.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientTimeouts {
    /// Time that a connection may be idle.
    pub(crate) idle: Nanos,
    /// Time that a request may take to arrive completely.
    pub(crate) receive: Nanos,
}

/// All connections of clients and of the platform.
#[derive(Default)]
pub(crate) struct ClientConnections {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Bytes buffered for the bodies of incomplete requests, over all connections.
    partial_body_bytes: usize,
    seeded_bug: Option<SeededBug>,
}

impl ClientConnections {
    pub(crate) fn set_seeded_bug(&mut self, bug: SeededBug) {
        self.seeded_bug = Some(bug);
    }

    /// Adds an accepted connection. `idle_timeout` applies until a response sets another one.
    pub(crate) fn accept(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        listen_address: ListenAddress,
        idle_timeout: Nanos,
    ) {
        self.remove(id);
        self.connections.insert(id, ClientConnection::new(listen_address, now, idle_timeout));
    }

    /// Returns the listening socket at which a connection was accepted.
    pub(crate) fn listen_address(&self, id: ConnectionId) -> Option<ListenAddress> {
        self.connections.get(&id).map(|connection| connection.listen_address)
    }

    pub(crate) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Removes a connection and returns its pending request.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<RequesterId> {
        let connection = self.connections.remove(&id)?;
        self.partial_body_bytes -= connection.partial_body_bytes;
        connection.pending
    }

    /// Whether all remaining connections were accepted at the address for readiness.
    pub(crate) fn are_all_readiness(&self) -> bool {
        self.connections.values().all(|connection| connection.listen_address == ListenAddress::Ready)
    }

    /// Sets the pending request. The next request is read only after its response.
    pub(crate) fn set_pending(&mut self, id: ConnectionId, request: RequesterId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.pending = Some(request);
        }
    }

    /// Reads the next request, unless one is pending. Incomplete bodies may use `max_partial_body_bytes` in total, so
    /// that many clients that send large bodies slowly cannot exhaust the memory.
    pub(crate) fn read<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        limits: &Limits,
        max_partial_body_bytes: usize,
        network: &mut N,
    ) -> Option<ClientRead> {
        let connection = self.connections.get_mut(&id)?;
        // Pipelined requests wait for the response to the pending one.
        if connection.pending.is_some() && self.seeded_bug != Some(SeededBug::ConcurrentPipelining) {
            return None;
        }
        let read = connection.reader.read(network.input(id)?, limits);
        let partial_body_bytes = self.count_partial_body(id);
        let connection = self.connections.get_mut(&id)?;
        match read {
            Ok(Some(request)) => {
                (connection.is_receiving, connection.waiting_since) = (false, now);
                (connection.keep_alive, connection.is_http_1_0) =
                    (request.keeps_connection, request.is_http_1_0);
                connection.expects_no_body = request.method == "HEAD";
                Some(ClientRead::Request(request))
            }
            Ok(None) if partial_body_bytes > max_partial_body_bytes => {
                Some(ClientRead::Rejected(Rejection::TooManyPartialBodies))
            }
            Ok(None) => {
                wait_for_rest(now, id, connection, network);
                None
            }
            Err(error) => Some(ClientRead::Rejected(Rejection::Malformed(error))),
        }
    }

    /// Updates the number of bytes buffered for a connection's incomplete body. Returns the total of all connections.
    fn count_partial_body(&mut self, id: ConnectionId) -> usize {
        if let Some(connection) = self.connections.get_mut(&id) {
            let before =
                std::mem::replace(&mut connection.partial_body_bytes, connection.reader.body_capacity());
            self.partial_body_bytes = self.partial_body_bytes - before + connection.partial_body_bytes;
        }
        self.partial_body_bytes
    }

    /// Writes the reply to a rejected request.
    pub(crate) fn reject<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        rejection: Rejection,
        is_stopping: bool,
        network: &mut N,
    ) {
        if let Some(connection) = self.connections.get_mut(&id)
            && rejection.closes_connection()
        {
            connection.keep_alive = false;
        }
        self.write_reply(now, id, &rejection.reply(), is_stopping, network);
    }

    /// Writes a reply that the gateway itself produced.
    pub(crate) fn write_reply<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        reply: &LocalReply<'_>,
        is_stopping: bool,
        network: &mut N,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let keep_alive = connection.keep_alive && !is_stopping;
        let head = ResponseHead {
            status: reply.status,
            content_type: "text/plain",
            retry_after_s: reply.retry_after.map(|time| time.as_millis() / 1e3),
            keeps_connection: keep_alive,
            is_http_1_0: connection.is_http_1_0,
        };
        (connection.pending, connection.waiting_since) = (None, now);
        let expects_no_body = std::mem::take(&mut connection.expects_no_body);
        if let Some(output) = network.output(id) {
            head.write(output, reply.body);
            // A client that sent a `HEAD` would read a body as the start of its next response.
            let body_bytes = if expects_no_body { reply.body.len() } else { 0 };
            output.truncate(output.len() - body_bytes);
        }
        if !keep_alive {
            self.remove(id);
            network.close_after_flush(id);
        }
    }

    /// Writes the response to the pending request. `idle_ms` is the idle time-out of the configuration under which the
    /// request was read. Returns whether the connection stays open.
    pub(crate) fn write_response<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        response: &FinalResponse<'_>,
        idle_ms: u64,
        is_stopping: bool,
        network: &mut N,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let keep_alive = connection.keep_alive && !connection.is_http_1_0 && !is_stopping;
        (connection.pending, connection.waiting_since) = (None, now);
        connection.expects_no_body = false;
        // The stated time-out is shorter than the actual one, so that clients do not send into a closing connection.
        let idle_s = (idle_ms / 1000).saturating_sub(1);
        connection.set_idle_timeout(Nanos::from_millis(idle_ms as f64), idle_s > 0);
        if let Some(output) = network.output(id) {
            response.write(output, keep_alive, idle_s);
        }
        if !keep_alive {
            self.remove(id);
            network.close_after_flush(id);
        }
        keep_alive
    }

    /// Returns the connections that have been idle, or receiving one request, for longer than the time-out of that
    /// state. An idle time-out that was stated to a client stays valid after a new configuration has shortened it.
    pub(crate) fn timed_out(&self, now: Nanos, timeouts: ClientTimeouts) -> Vec<ConnectionId> {
        self.matching(|connection| {
            let timeout = match connection.is_receiving {
                true => timeouts.receive,
                false => timeouts.idle.max(connection.idle_timeout),
            };
            connection.pending.is_none() && now - connection.waiting_since > timeout
        })
    }

    /// Whether a request has begun to arrive.
    pub(crate) fn is_receiving(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.is_receiving)
    }

    /// Closes a connection immediately.
    pub(crate) fn close<N: Network>(&mut self, id: ConnectionId, network: &mut N) {
        self.remove(id);
        network.close(id);
    }

    /// Closes the connections that have neither a pending nor an arriving request.
    pub(crate) fn close_idle<N: Network>(&mut self, network: &mut N) {
        for id in self.matching(ClientConnection::is_idle) {
            self.close(id, network);
        }
    }

    /// Returns matching connections, sorted so that runs are reproducible.
    fn matching(&self, is_wanted: impl Fn(&ClientConnection) -> bool) -> Vec<ConnectionId> {
        let wanted = self.connections.iter().filter(|(_, connection)| is_wanted(connection));
        let mut ids: Vec<ConnectionId> = wanted.map(|(id, _)| *id).collect();
        ids.sort();
        ids
    }
}

/// Handles an incomplete request: records the time since which it has been arriving, and answers
/// `Expect: 100-continue`.
fn wait_for_rest<N: Network>(
    now: Nanos,
    id: ConnectionId,
    connection: &mut ClientConnection,
    network: &mut N,
) {
    let has_input = network.input(id).is_some_and(|input| !input.is_empty());
    let is_receiving = connection.reader.has_pending_body() || has_input;
    if is_receiving && !connection.is_receiving {
        connection.waiting_since = now;
    }
    connection.is_receiving = is_receiving;
    if connection.reader.take_expects_continue()
        && let Some(output) = network.output(id)
    {
        output.push(CONTINUE);
    }
}

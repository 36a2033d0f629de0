//! Connections to nodes. Each carries one attempt at a time, and is reused until it times out or becomes invalid.

use fernknot::interface::*;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Response, ResponseReader};
use fernknot_router_config::Limits;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Identifier of one attempt. A request has one part for each shard that has to answer it, and each part may be
/// attempted several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// Identifier of the part.
    pub part: PartId,
    /// Number of the attempt among those of the part.
    pub number: AttemptNumber,
}

/// A connection to a node.
struct NodeConnection {
    node: NodeId,
    /// Attempt that the connection carries; `None` while it is idle.
    attempt: Option<AttemptKey>,
    reader: ResponseReader,
    /// Whether the response to the attempt has no body.
    expects_no_body: bool,
    /// Whether the connection has to be closed after the attempt that it carries.
    not_reusable: bool,
    /// Time from which the connection may not carry another attempt; set when it becomes idle.
    reusable_until: Nanos,
    connect_started_at: Nanos,
}

/// An incarnation of a node (one run of its process) that attempts may be sent to.
pub struct NodeEndpoint {
    /// Identifier of the incarnation.
    pub incarnation: String,
    /// Address at which the incarnation listens.
    pub addr: SocketAddrV4,
    /// Time at which this gateway learnt that the incarnation drains.
    pub leaving_since: Option<Nanos>,
    /// Idle connections to the incarnation, the most recently used one last.
    idle_connections: Vec<ConnectionId>,
}

/// Result of reading from a connection.
pub enum ReadOutcome {
    /// No complete response has been received.
    Incomplete,
    /// A complete response.
    Response {
        /// Attempt that the connection carried.
        attempt: AttemptKey,
        /// Node at the other end of the connection.
        node: NodeId,
        /// The response.
        response: Response,
    },
    /// Bytes that are no response, or that belong to no attempt; the connection has to be closed.
    Invalid,
}

/// Connections to all nodes.
#[derive(Default)]
pub struct NodeConnections {
    connections: HashMap<ConnectionId, NodeConnection>,
    endpoints: HashMap<NodeId, NodeEndpoint>,
    by_attempt: HashMap<AttemptKey, ConnectionId>,
}

impl NodeConnections {
    /// Adds an incarnation of a node that attempts may be sent to, or sets its new address.
    pub fn add_endpoint(&mut self, node: NodeId, incarnation: &str, addr: SocketAddrV4) {
        let endpoint = || NodeEndpoint {
            incarnation: incarnation.to_string(),
            addr,
            leaving_since: None,
            idle_connections: Vec::new(),
        };
        self.endpoints.entry(node).or_insert_with(endpoint).addr = addr;
    }

    /// Returns the address and incarnation of a node.
    pub fn endpoint(&self, node: NodeId) -> Option<&NodeEndpoint> {
        self.endpoints.get(&node)
    }

    /// Records that an incarnation drains.
    pub fn mark_leaving(&mut self, now: Nanos, node: NodeId) {
        if let Some(endpoint) = self.endpoints.get_mut(&node) {
            endpoint.leaving_since.get_or_insert(now);
        }
    }

    /// Removes an incarnation that is gone. Returns its idle connections, which the caller closes. Attempts in flight
    /// continue.
    pub fn remove_endpoint(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let endpoint = self.endpoints.remove(&node);
        let idle = endpoint.map(|endpoint| endpoint.idle_connections).unwrap_or_default();
        self.retire(node, &idle);
        idle
    }

    /// Removes the idle connections to a node and returns them; the caller closes them. Attempts in flight continue, and
    /// a connection on which one is answered is proven to work.
    pub fn retire_idle(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let Some(endpoint) = self.endpoints.get_mut(&node) else { return Vec::new() };
        let idle = std::mem::take(&mut endpoint.idle_connections);
        for id in &idle {
            self.connections.remove(id);
        }
        idle
    }

    fn retire(&mut self, node: NodeId, idle: &[ConnectionId]) {
        for id in idle {
            self.connections.remove(id);
        }
        for connection in self.connections.values_mut().filter(|connection| connection.node == node) {
            connection.not_reusable = true;
        }
    }

    /// Number of connections, idle ones included.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether a connection leads to a node.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Takes the most recently used idle connection to `node` among those that are not in `excluded`. Also returns the
    /// connections that were removed because their time for reuse is over; the caller closes them.
    pub fn take_idle(
        &mut self,
        now: Nanos,
        node: NodeId,
        excluded: &[ConnectionId],
    ) -> (Option<ConnectionId>, Vec<ConnectionId>) {
        let mut expired = Vec::new();
        let Some(endpoint) = self.endpoints.get_mut(&node) else { return (None, expired) };
        while let Some(at) = endpoint.idle_connections.iter().rposition(|id| !excluded.contains(id)) {
            let id = endpoint.idle_connections.remove(at);
            match self.connections.get(&id) {
                Some(connection) if connection.reusable_until > now => return (Some(id), expired),
                Some(_) => {
                    self.connections.remove(&id);
                    expired.push(id);
                }
                None => {}
            }
        }
        (None, expired)
    }

    /// Removes the idle connections whose time for reuse is over, and returns them; the caller closes them.
    pub fn remove_expired(&mut self, now: Nanos) -> Vec<ConnectionId> {
        let is_expired =
            |connection: &NodeConnection| connection.attempt.is_none() && connection.reusable_until <= now;
        let expired = self.matching(is_expired);
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Returns the connections that carry an attempt to this node (to any node for `None`) and on which connecting was
    /// started at `started_until` or earlier.
    pub fn in_flight(&self, node: Option<NodeId>, started_until: Nanos) -> Vec<ConnectionId> {
        self.matching(|connection| {
            connection.attempt.is_some()
                && node.is_none_or(|node| connection.node == node)
                && connection.connect_started_at <= started_until
        })
    }

    /// Returns connections in the order of their identifiers, which makes runs reproducible.
    fn matching(&self, is_wanted: impl Fn(&NodeConnection) -> bool) -> Vec<ConnectionId> {
        let wanted = self.connections.iter().filter(|(_, connection)| is_wanted(connection));
        let mut ids: Vec<ConnectionId> = wanted.map(|(id, _)| *id).collect();
        ids.sort();
        ids
    }

    /// Adds a connection that is being opened for an attempt.
    pub fn insert(&mut self, now: Nanos, id: ConnectionId, node: NodeId, attempt: AttemptKey) {
        let connection = NodeConnection {
            node,
            attempt: Some(attempt),
            reader: ResponseReader::default(),
            expects_no_body: false,
            not_reusable: false,
            reusable_until: Nanos(u64::MAX),
            connect_started_at: now,
        };
        self.connections.insert(id, connection);
        self.by_attempt.insert(attempt, id);
    }

    /// Assigns an attempt to an idle connection.
    pub fn assign(&mut self, id: ConnectionId, attempt: AttemptKey) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.attempt = Some(attempt);
            self.by_attempt.insert(attempt, id);
        }
    }

    /// Sets whether the response to the attempt that a connection carries has no body.
    pub fn set_expects_no_body(&mut self, id: ConnectionId, expects_no_body: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.expects_no_body = expects_no_body;
        }
    }

    /// Returns the connection that carries an attempt.
    pub fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Returns the attempt that a connection carries.
    pub fn attempt_of(&self, id: ConnectionId) -> Option<AttemptKey> {
        self.connections.get(&id)?.attempt
    }

    /// Removes a connection and returns the attempt that it carried.
    pub fn remove(&mut self, id: ConnectionId) -> Option<AttemptKey> {
        let connection = self.connections.remove(&id)?;
        if let Some(endpoint) = self.endpoints.get_mut(&connection.node) {
            endpoint.idle_connections.retain(|idle| *idle != id);
        }
        let attempt = connection.attempt?;
        self.by_attempt.remove(&attempt);
        Some(attempt)
    }

    /// Reads a response; `read_closed` states that no more bytes follow. A connection that receives bytes while it
    /// carries no attempt is invalid, since those bytes could be taken for the response to its next attempt.
    pub fn read(
        &mut self,
        id: ConnectionId,
        input: &mut Buffer,
        read_closed: bool,
        limits: &Limits,
    ) -> ReadOutcome {
        let Some(connection) = self.connections.get_mut(&id) else { return ReadOutcome::Incomplete };
        let Some(attempt) = connection.attempt else {
            let is_quiet = input.is_empty() && !read_closed;
            return if is_quiet { ReadOutcome::Incomplete } else { ReadOutcome::Invalid };
        };
        let read = match connection.expects_no_body {
            true => connection.reader.read_bodiless(input, limits),
            false => connection.reader.read(input, read_closed, limits),
        };
        match read {
            Ok(Some(response)) => {
                connection.not_reusable |= !response.keeps_connection || !input.is_empty() || read_closed;
                connection.attempt = None;
                self.by_attempt.remove(&attempt);
                ReadOutcome::Response { attempt, node: connection.node, response }
            }
            Ok(None) if !read_closed => ReadOutcome::Incomplete,
            _ => ReadOutcome::Invalid,
        }
    }

    /// Reads a response that was complete before its connection failed; the connection is not reused. A response that
    /// states no length ends with its connection: it is not accepted here, since the failure may have truncated it.
    pub fn read_remaining(&mut self, id: ConnectionId, mut input: Buffer, limits: &Limits) -> ReadOutcome {
        match self.connections.get_mut(&id) {
            Some(connection) if connection.attempt.is_some() => connection.not_reusable = true,
            _ => return ReadOutcome::Incomplete,
        }
        self.read(id, &mut input, false, limits)
    }

    /// Makes a connection idle after a response, reusable until the given time. Returns false if the caller has to
    /// close it instead.
    pub fn release(&mut self, id: ConnectionId, reusable_until: Nanos) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let endpoint = self.endpoints.get_mut(&connection.node).filter(|_| !connection.not_reusable);
        let Some(endpoint) = endpoint else {
            self.remove(id);
            return false;
        };
        connection.reusable_until = reusable_until;
        endpoint.idle_connections.push(id);
        true
    }
}

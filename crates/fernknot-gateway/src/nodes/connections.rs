//! Connections to nodes: one attempt at a time on each, reused while they are sound.

use fernknot::interface::*;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Response, ResponseReader};
use fernknot_router_config::Limits;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Identifies one attempt to have a part of a request executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The part of a request.
    pub part: PartId,
    /// The number of the attempt among those of the part.
    pub number: AttemptNumber,
}

/// A connection to a node.
struct NodeConnection {
    node: NodeId,
    /// The attempt that the connection carries.
    attempt: Option<AttemptKey>,
    reader: ResponseReader,
    /// The response to the attempt has no body.
    expects_no_body: bool,
    /// Not to be reused after the attempt that it carries.
    not_reusable: bool,
    /// Not to be reused from then on.
    reusable_until: Nanos,
    connect_started_at: Nanos,
}

/// An incarnation of a node that attempts may be sent to.
pub struct NodeEndpoint {
    /// The incarnation's identifier.
    pub incarnation: String,
    /// Where it listens.
    pub addr: SocketAddrV4,
    /// Its idle connections, the one used last at the end.
    idle_connections: Vec<ConnectionId>,
}

/// What was read from a connection.
pub enum ReadOutcome {
    /// No complete response.
    Incomplete,
    /// A complete response.
    Response {
        /// The attempt that the connection carried.
        attempt: AttemptKey,
        /// The node that the connection leads to.
        node: NodeId,
        /// The response.
        response: Response,
    },
    /// Bytes that are no response, or that belong to no attempt; the connection has to be closed.
    Invalid,
}

/// The connections to all nodes.
#[derive(Default)]
pub struct NodeConnections {
    connections: HashMap<ConnectionId, NodeConnection>,
    endpoints: HashMap<NodeId, NodeEndpoint>,
    by_attempt: HashMap<AttemptKey, ConnectionId>,
}

impl NodeConnections {
    /// An incarnation of a node that attempts may be sent to, or its new address.
    pub fn add_endpoint(&mut self, node: NodeId, incarnation: &str, addr: SocketAddrV4) {
        let endpoint =
            || NodeEndpoint { incarnation: incarnation.to_string(), addr, idle_connections: Vec::new() };
        self.endpoints.entry(node).or_insert_with(endpoint).addr = addr;
    }

    /// The address and incarnation of a node.
    pub fn endpoint(&self, node: NodeId) -> Option<&NodeEndpoint> {
        self.endpoints.get(&node)
    }

    /// Forgets an incarnation that is gone. Its idle connections are returned, to be closed; attempts in flight go on.
    pub fn remove_endpoint(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let endpoint = self.endpoints.remove(&node);
        let idle = endpoint.map(|endpoint| endpoint.idle_connections).unwrap_or_default();
        self.retire(node, &idle);
        idle
    }

    /// No connection to a node is reused: the idle ones are returned, to be closed; attempts in flight go on.
    pub fn retire_connections(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let Some(endpoint) = self.endpoints.get_mut(&node) else { return Vec::new() };
        let idle = std::mem::take(&mut endpoint.idle_connections);
        self.retire(node, &idle);
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

    /// How many connections there are, idle ones among them.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Whether this is a connection to a node.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    /// Takes the idle connection to a node that was used last, except those in `excluded`. Connections whose time is
    /// over are returned too, to be closed.
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

    /// Forgets the connections that have been idle for too long; they are returned, to be closed.
    pub fn remove_expired(&mut self, now: Nanos) -> Vec<ConnectionId> {
        let is_expired =
            |connection: &NodeConnection| connection.attempt.is_none() && connection.reusable_until <= now;
        let expired = self.matching(is_expired);
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Connections that carry an attempt to this node, or to any for `None`, and were begun at this time at the latest.
    pub fn in_flight(&self, node: Option<NodeId>, begun_until: Nanos) -> Vec<ConnectionId> {
        self.matching(|connection| {
            connection.attempt.is_some()
                && node.is_none_or(|node| connection.node == node)
                && connection.connect_started_at <= begun_until
        })
    }

    /// In the order in which they were begun, so that a run can be replayed.
    fn matching(&self, is_wanted: impl Fn(&NodeConnection) -> bool) -> Vec<ConnectionId> {
        let wanted = self.connections.iter().filter(|(_, connection)| is_wanted(connection));
        let mut ids: Vec<ConnectionId> = wanted.map(|(id, _)| *id).collect();
        ids.sort();
        ids
    }

    /// Adds a connection that was begun for an attempt.
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

    /// An idle connection carries an attempt.
    pub fn assign(&mut self, id: ConnectionId, attempt: AttemptKey) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.attempt = Some(attempt);
            self.by_attempt.insert(attempt, id);
        }
    }

    /// Whether the response to the attempt that a connection carries has no body.
    pub fn set_expects_no_body(&mut self, id: ConnectionId, expects_no_body: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.expects_no_body = expects_no_body;
        }
    }

    /// The connection that carries an attempt.
    pub fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// Forgets a connection; the attempt that it carried is returned.
    pub fn remove(&mut self, id: ConnectionId) -> Option<AttemptKey> {
        let connection = self.connections.remove(&id)?;
        if let Some(endpoint) = self.endpoints.get_mut(&connection.node) {
            endpoint.idle_connections.retain(|idle| *idle != id);
        }
        let attempt = connection.attempt?;
        self.by_attempt.remove(&attempt);
        Some(attempt)
    }

    /// Reads a response; `read_closed` says that no more bytes follow. Guards against bytes that belong to no attempt:
    /// a connection that has any is invalid.
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

    /// Reads a response that was complete before its connection failed; the connection is not reused. Guards against
    /// dropping such a response, and against taking the failure for the end of one.
    pub fn read_remaining(&mut self, id: ConnectionId, mut input: Buffer, limits: &Limits) -> ReadOutcome {
        match self.connections.get_mut(&id) {
            Some(connection) if connection.attempt.is_some() => connection.not_reusable = true,
            _ => return ReadOutcome::Incomplete,
        }
        self.read(id, &mut input, false, limits)
    }

    /// After a response: the connection is idle until then. Returns false where it has to be closed instead.
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

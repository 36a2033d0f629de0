//! The connections of the host: who is at the other end of each.

use fernknot::interface::Nanos;
use fernknot_http_api::HttpServerConnection;
use fernknot_net::ConnectionId;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Silent connections from inside the system are closed after so many contact timeouts.
const INTERNAL_IDLE_CONTACTS: f64 = 2.0;
/// Callers without a pending call are disconnected after so many contact timeouts.
const CALLER_IDLE_CONTACTS: f64 = 15.0;

/// Who is at the other end.
pub enum ConnectionRole {
    /// A node or an operator, over HTTP.
    HttpCaller(HttpServerConnection),
    /// A process of the system that sends to this one; a controller once it has identified itself, by its internal
    /// address.
    InboundInternal(Option<SocketAddrV4>),
    /// A controller to which this one sends, by its internal address.
    OutboundPeer(SocketAddrV4),
}

/// One connection.
pub struct Connection {
    /// Who is at the other end.
    pub role: ConnectionRole,
    /// When something last came over it.
    pub last_heard: Nanos,
}

impl Connection {
    fn is_idle(&self, now: Nanos, contact_timeout: Nanos) -> bool {
        let silent_for = now - self.last_heard;
        match &self.role {
            ConnectionRole::HttpCaller(http) => {
                !http.has_pending_call() && silent_for > contact_timeout.times(CALLER_IDLE_CONTACTS)
            }
            ConnectionRole::InboundInternal(_) => silent_for > contact_timeout.times(INTERNAL_IDLE_CONTACTS),
            ConnectionRole::OutboundPeer(_) => false,
        }
    }
}

/// All connections, and those of them that this host opened to other controllers.
#[derive(Default)]
pub struct Connections {
    by_id: HashMap<ConnectionId, Connection>,
    outbound: HashMap<SocketAddrV4, ConnectionId>,
}

impl Connections {
    /// Adds a connection that was accepted.
    pub fn add_accepted(&mut self, id: ConnectionId, role: ConnectionRole, now: Nanos) {
        self.by_id.insert(id, Connection { role, last_heard: now });
    }

    /// Adds a connection that is being opened to a controller.
    pub fn add_outbound(&mut self, id: ConnectionId, to: SocketAddrV4, now: Nanos) {
        self.outbound.insert(to, id);
        self.by_id.insert(id, Connection { role: ConnectionRole::OutboundPeer(to), last_heard: now });
    }

    /// A connection, if it is there.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// The HTTP side of a connection, if it is a caller's.
    pub fn http_mut(&mut self, id: ConnectionId) -> Option<&mut HttpServerConnection> {
        match self.by_id.get_mut(&id) {
            Some(Connection { role: ConnectionRole::HttpCaller(http), .. }) => Some(http),
            _ => None,
        }
    }

    /// The connection to a controller, open or being opened.
    pub fn outbound(&self, to: SocketAddrV4) -> Option<ConnectionId> {
        self.outbound.get(&to).copied()
    }

    /// Removes a connection; nothing is closed.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        if let ConnectionRole::OutboundPeer(to) = connection.role {
            self.outbound.remove(&to);
        }
        Some(connection)
    }

    /// Connections that have been silent for too long.
    pub fn idle(&self, now: Nanos, contact_timeout: Nanos) -> Vec<ConnectionId> {
        let idle = self.by_id.iter().filter(|(_, connection)| connection.is_idle(now, contact_timeout));
        idle.map(|(id, _)| *id).collect()
    }

    /// All connections.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> {
        self.by_id.keys().copied()
    }
}

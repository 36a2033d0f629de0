//! Connections of the host, with the role of the process at the other end of each.

use fernknot::interface::Nanos;
use fernknot_http_api::HttpServerConnection;
use fernknot_net::ConnectionId;
use fernknot_protocol::http::ResponseReader;
use fernknot_usage_reporting::CallId;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// Idle time after which a connection from another process of the system is closed, in contact timeouts.
const INTERNAL_IDLE_CONTACT_TIMEOUTS: f64 = 2.0;
/// Idle time after which a caller without a pending call is disconnected, in contact timeouts.
const CALLER_IDLE_CONTACT_TIMEOUTS: f64 = 15.0;

/// Role of the process at the other end.
pub enum ConnectionRole {
    /// A node or an operator that calls over HTTP.
    HttpCaller(HttpServerConnection),
    /// A process of the system that sends to this one. Holds the internal address of a controller that has identified
    /// itself.
    InboundInternal(Option<SocketAddrV4>),
    /// A controller to which this one sends, with its internal address.
    OutboundPeer(SocketAddrV4),
    /// The platform, for one call.
    Platform(PlatformCall),
}

/// Call to the platform on its connection.
pub struct PlatformCall {
    /// Identifier of the attempt.
    pub call: CallId,
    /// Reads the answer.
    pub reader: ResponseReader,
}

/// Connection of the host in either direction, accepted or opened.
pub struct Connection {
    /// Role of the process at the other end.
    pub role: ConnectionRole,
    /// Time at which data was last received, or at which the connection was added.
    pub last_received_at: Nanos,
}

impl Connection {
    fn is_idle(&self, now: Nanos, contact_timeout: Nanos) -> bool {
        let idle_time = now - self.last_received_at;
        match &self.role {
            ConnectionRole::HttpCaller(http) => {
                !http.has_pending_call() && idle_time > contact_timeout.times(CALLER_IDLE_CONTACT_TIMEOUTS)
            }
            ConnectionRole::InboundInternal(_) => {
                idle_time > contact_timeout.times(INTERNAL_IDLE_CONTACT_TIMEOUTS)
            }
            // The controller aborts a call that takes too long.
            ConnectionRole::OutboundPeer(_) | ConnectionRole::Platform(_) => false,
        }
    }
}

/// All connections, with an index of those opened to other controllers.
#[derive(Default)]
pub struct Connections {
    by_id: HashMap<ConnectionId, Connection>,
    outbound: HashMap<SocketAddrV4, ConnectionId>,
}

impl Connections {
    /// Adds a connection that was accepted, or that is being opened to the platform.
    pub fn add(&mut self, id: ConnectionId, role: ConnectionRole, now: Nanos) {
        self.by_id.insert(id, Connection { role, last_received_at: now });
    }

    /// Adds a connection that is being opened to a controller.
    pub fn add_outbound(&mut self, id: ConnectionId, to: SocketAddrV4, now: Nanos) {
        self.outbound.insert(to, id);
        self.by_id.insert(id, Connection { role: ConnectionRole::OutboundPeer(to), last_received_at: now });
    }

    /// Returns a connection, if it is known.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Returns the HTTP state of a connection, if its role is a caller.
    pub fn http_mut(&mut self, id: ConnectionId) -> Option<&mut HttpServerConnection> {
        match self.by_id.get_mut(&id) {
            Some(Connection { role: ConnectionRole::HttpCaller(http), .. }) => Some(http),
            _ => None,
        }
    }

    /// Returns the connection to a controller, open or being opened.
    pub fn outbound(&self, to: SocketAddrV4) -> Option<ConnectionId> {
        self.outbound.get(&to).copied()
    }

    /// Returns the connection of a call to the platform.
    pub fn platform_call(&self, call: CallId) -> Option<ConnectionId> {
        let mut connections = self.by_id.iter();
        let is_of_call =
            |role: &ConnectionRole| matches!(role, ConnectionRole::Platform(of) if of.call == call);
        connections.find(|(_, connection)| is_of_call(&connection.role)).map(|(id, _)| *id)
    }

    /// Removes a connection without closing it.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        if let ConnectionRole::OutboundPeer(to) = connection.role {
            self.outbound.remove(&to);
        }
        Some(connection)
    }

    /// Returns the connections without received data for longer than the limit of their role; those opened to other
    /// controllers are never idle.
    pub fn idle(&self, now: Nanos, contact_timeout: Nanos) -> Vec<ConnectionId> {
        let idle = self.by_id.iter().filter(|(_, connection)| connection.is_idle(now, contact_timeout));
        idle.map(|(id, _)| *id).collect()
    }

    /// Identifiers of all connections.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> {
        self.by_id.keys().copied()
    }
}

//! Connections of clients, and of the platform that asks for readiness: one request at a time on each.

use fernknot::interface::Nanos;
use fernknot_engine::AskerId;
use fernknot_net::ConnectionId;
use fernknot_protocol::http::RequestReader;
use std::collections::HashMap;

/// Where a connection came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    Front,
    Ready,
}

pub struct ClientConnection {
    pub listen_address: ListenAddress,
    pub reader: RequestReader,
    /// The request in hand.
    pub pending: Option<AskerId>,
    /// The connection goes on after the answer to it, as far as the client is concerned.
    pub keep_alive: bool,
    pub is_http_1_0: bool,
    /// The request in hand is a `HEAD`: its answer has no body.
    pub expects_no_body: bool,
    /// Since when it has been idle, or the request that it is sending has been coming.
    pub waiting_since: Nanos,
    pub is_receiving: bool,
    /// Nothing further will come.
    pub read_closed: bool,
    /// How long it may rest by what it was told last, or by the version in force when it came.
    pub idle_timeout: Nanos,
    /// Bytes kept for its body that has come in part, as last counted.
    partial_body_bytes: usize,
}

impl ClientConnection {
    pub fn new(door: ListenAddress, now: Nanos, rests: Nanos) -> ClientConnection {
        let reader = RequestReader::default();
        ClientConnection {
            listen_address: door,
            reader,
            pending: None,
            keep_alive: true,
            is_http_1_0: false,
            expects_no_body: false,
            waiting_since: now,
            is_receiving: false,
            read_closed: false,
            idle_timeout: rests,
            partial_body_bytes: 0,
        }
    }

    /// It is answered under a version by which connections rest for so long; `told` says whether its head says so. One
    /// that is told nothing may still go by an earlier word.
    pub fn extend_idle_timeout(&mut self, idle: Nanos, told: bool) {
        self.idle_timeout = if told { idle } else { self.idle_timeout.max(idle) };
    }
}

#[derive(Default)]
pub struct ClientConnections {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Bytes kept for bodies that have come in part, of all together.
    partial_body_bytes: usize,
}

impl ClientConnections {
    pub fn insert(&mut self, berth: ConnectionId, client: ClientConnection) {
        self.remove(berth);
        self.connections.insert(berth, client);
    }

    pub fn contains(&self, berth: ConnectionId) -> bool {
        self.connections.contains_key(&berth)
    }

    pub fn get_mut(&mut self, berth: ConnectionId) -> Option<&mut ClientConnection> {
        self.connections.get_mut(&berth)
    }

    pub fn remove(&mut self, berth: ConnectionId) -> Option<ClientConnection> {
        self.connections.remove(&berth).inspect(|client| self.partial_body_bytes -= client.partial_body_bytes)
    }

    pub fn iter(&self) -> impl Iterator<Item = &ClientConnection> {
        self.connections.values()
    }

    /// Counts what a client has sent in part, after its reader has read; what all have sent so comes back, in bytes.
    pub fn update_partial_body_bytes(&mut self, berth: ConnectionId) -> usize {
        if let Some(client) = self.connections.get_mut(&berth) {
            let before = std::mem::replace(&mut client.partial_body_bytes, client.reader.kept());
            self.partial_body_bytes = self.partial_body_bytes - before + client.partial_body_bytes;
        }
        self.partial_body_bytes
    }

    /// Those that have been idle, or sending one request, for too long. Guards what a client was told against a
    /// version that came since and lets connections rest for a shorter time.
    pub fn timed_out(&self, now: Nanos, idle: Nanos, sending: Nanos) -> Vec<(ConnectionId, bool)> {
        let waits = self.connections.iter().filter(|(_, client)| client.pending.is_none());
        let late = waits.filter(|(_, client)| {
            let most = if client.is_receiving { sending } else { idle.max(client.idle_timeout) };
            now - client.waiting_since > most
        });
        let mut late: Vec<(ConnectionId, bool)> =
            late.map(|(berth, client)| (*berth, client.is_receiving)).collect();
        // In one order, so that a run can be played again.
        late.sort();
        late
    }

    /// Those without a request in hand or on its way.
    pub fn idle(&self) -> Vec<ConnectionId> {
        let idle =
            self.connections.iter().filter(|(_, client)| client.pending.is_none() && !client.is_receiving);
        let mut idle: Vec<ConnectionId> = idle.map(|(berth, _)| *berth).collect();
        idle.sort();
        idle
    }
}

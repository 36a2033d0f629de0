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
    pub door: ListenAddress,
    pub reader: RequestReader,
    /// The request in hand.
    pub asker: Option<AskerId>,
    /// The connection goes on after the answer to it, as far as the client is concerned.
    pub keep: bool,
    pub old: bool,
    /// The request in hand is a `HEAD`: its answer has no body.
    pub bodiless: bool,
    /// Since when it has been idle, or the request that it is sending has been coming.
    pub since: Nanos,
    pub coming: bool,
    /// Nothing further will come.
    pub ended: bool,
    /// How long it may rest by what it was told last, or by the version in force when it came.
    pub rests: Nanos,
    /// Bytes kept for its body that has come in part, as last counted.
    in_part: usize,
}

impl ClientConnection {
    pub fn new(door: ListenAddress, now: Nanos, rests: Nanos) -> ClientConnection {
        let reader = RequestReader::default();
        ClientConnection {
            door,
            reader,
            asker: None,
            keep: true,
            old: false,
            bodiless: false,
            since: now,
            coming: false,
            ended: false,
            rests,
            in_part: 0,
        }
    }

    /// It is answered under a version by which connections rest for so long; `told` says whether its head says so. One
    /// that is told nothing may still go by an earlier word.
    pub fn may_rest(&mut self, idle: Nanos, told: bool) {
        self.rests = if told { idle } else { self.rests.max(idle) };
    }
}

#[derive(Default)]
pub struct ClientConnections {
    held: HashMap<ConnectionId, ClientConnection>,
    /// Bytes kept for bodies that have come in part, of all together.
    in_part: usize,
}

impl ClientConnections {
    pub fn add(&mut self, berth: ConnectionId, client: ClientConnection) {
        self.remove(berth);
        self.held.insert(berth, client);
    }

    pub fn has(&self, berth: ConnectionId) -> bool {
        self.held.contains_key(&berth)
    }

    pub fn get_mut(&mut self, berth: ConnectionId) -> Option<&mut ClientConnection> {
        self.held.get_mut(&berth)
    }

    pub fn remove(&mut self, berth: ConnectionId) -> Option<ClientConnection> {
        self.held.remove(&berth).inspect(|client| self.in_part -= client.in_part)
    }

    pub fn all(&self) -> impl Iterator<Item = &ClientConnection> {
        self.held.values()
    }

    /// Counts what a client has sent in part, after its reader has read; what all have sent so comes back, in bytes.
    pub fn count_in_part(&mut self, berth: ConnectionId) -> usize {
        if let Some(client) = self.held.get_mut(&berth) {
            let before = std::mem::replace(&mut client.in_part, client.reader.kept());
            self.in_part = self.in_part - before + client.in_part;
        }
        self.in_part
    }

    /// Those that have been idle, or sending one request, for too long. Guards what a client was told against a
    /// version that came since and lets connections rest for a shorter time.
    pub fn overdue(&self, now: Nanos, idle: Nanos, sending: Nanos) -> Vec<(ConnectionId, bool)> {
        let waits = self.held.iter().filter(|(_, client)| client.asker.is_none());
        let late = waits.filter(|(_, client)| {
            let most = if client.coming { sending } else { idle.max(client.rests) };
            now - client.since > most
        });
        let mut late: Vec<(ConnectionId, bool)> =
            late.map(|(berth, client)| (*berth, client.coming)).collect();
        // In one order, so that a run can be played again.
        late.sort();
        late
    }

    /// Those without a request in hand or on its way.
    pub fn idle(&self) -> Vec<ConnectionId> {
        let idle = self.held.iter().filter(|(_, client)| client.asker.is_none() && !client.coming);
        let mut idle: Vec<ConnectionId> = idle.map(|(berth, _)| *berth).collect();
        idle.sort();
        idle
    }
}

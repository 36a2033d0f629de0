//! Connections of clients, and of the platform that asks for readiness: one request at a time on each.

use fernknot::interface::Nanos;
use fernknot_engine::AskerId;
use fernknot_penstock::Berth;
use fernknot_protocol::http::RequestReader;
use std::collections::HashMap;

/// Where a connection came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    Front,
    Ready,
}

pub struct Client {
    pub door: Door,
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
}

impl Client {
    pub fn new(door: Door, now: Nanos) -> Client {
        let reader = RequestReader::default();
        Client {
            door,
            reader,
            asker: None,
            keep: true,
            old: false,
            bodiless: false,
            since: now,
            coming: false,
            ended: false,
        }
    }
}

#[derive(Default)]
pub struct Clients {
    pub held: HashMap<Berth, Client>,
}

impl Clients {
    /// Those that have been idle, or sending one request, for too long.
    pub fn overdue(&self, now: Nanos, idle: Nanos, sending: Nanos) -> Vec<(Berth, bool)> {
        let waits = self.held.iter().filter(|(_, client)| client.asker.is_none());
        let late =
            waits.filter(|(_, client)| now - client.since > if client.coming { sending } else { idle });
        let mut late: Vec<(Berth, bool)> = late.map(|(berth, client)| (*berth, client.coming)).collect();
        // In one order, so that a run can be played again.
        late.sort();
        late
    }

    /// Those without a request in hand or on its way.
    pub fn idle(&self) -> Vec<Berth> {
        let idle = self.held.iter().filter(|(_, client)| client.asker.is_none() && !client.coming);
        let mut idle: Vec<Berth> = idle.map(|(berth, _)| *berth).collect();
        idle.sort();
        idle
    }
}

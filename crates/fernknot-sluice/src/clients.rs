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
    /// How long it may rest by what it was told last, or by the version in force when it came.
    pub rests: Nanos,
}

impl Client {
    pub fn new(door: Door, now: Nanos, rests: Nanos) -> Client {
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
            rests,
        }
    }

    /// It is answered under a version by which connections rest for so long; `told` says whether its head says so. One
    /// that is told nothing may still go by an earlier word.
    pub fn may_rest(&mut self, idle: Nanos, told: bool) {
        self.rests = if told { idle } else { self.rests.max(idle) };
    }
}

#[derive(Default)]
pub struct Clients {
    pub held: HashMap<Berth, Client>,
}

impl Clients {
    /// Those that have been idle, or sending one request, for too long. Guards what a client was told against a
    /// version that came since and lets connections rest for a shorter time.
    pub fn overdue(&self, now: Nanos, idle: Nanos, sending: Nanos) -> Vec<(Berth, bool)> {
        let waits = self.held.iter().filter(|(_, client)| client.asker.is_none());
        let late = waits.filter(|(_, client)| {
            let most = if client.coming { sending } else { idle.max(client.rests) };
            now - client.since > most
        });
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

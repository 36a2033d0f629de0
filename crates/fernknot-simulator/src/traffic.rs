//! Clients, and what nodes do with requests: turned away, answered late, twice or never, broken off.

use crate::gateways::{Endpoint, FIRST_GATEWAY};
use crate::play::Settings;
use crate::register::{OperationResult, Version};
use crate::wire::{self, Message};
use crate::wire_rules::{BrokenRule, RequestChecker, RequestKind};
use crate::world::{Event as All, Simulation, millis};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// A client that hears nothing for so long goes on.
const SILENCE: Nanos = Nanos(1_500_000_000);
/// Tries of one client for one request.
const MAX_ATTEMPTS: usize = 3;
const DEADLINE_MS: u64 = 1200;
/// What a gateway may still have under way when it has shown a newer version.
const REVERT_SLACK: Nanos = Nanos(1_000_000_000);

/// What happens in the traffic next.
#[derive(Clone, Debug)]
pub enum Event {
    Client(usize),
    Silence(usize, u64),
    /// A node is done with a request, or says something more, if the life is the same.
    Done(usize, String, u64, Box<Message>),
    Says(usize, String, u64, Vec<u8>),
}

#[derive(Default)]
struct Client {
    connection: Option<u64>,
    is_up: bool,
    input: Vec<u8>,
    /// The request in hand: its kind, and how often it may be tried still.
    request: Option<(RequestKind, usize)>,
    gateway: usize,
    /// Its number among all that were asked.
    request_index: Option<usize>,
    attempt_number: u64,
}

#[derive(Default)]
struct Conn {
    input: Vec<u8>,
    queue: VecDeque<Message>,
    busy: bool,
}

/// All of it.
pub struct Traffic {
    clients: Vec<Client>,
    /// Connections at nodes.
    node_connections: BTreeMap<u64, Conn>,
    /// Until then nodes turn most away.
    overloaded_until: Nanos,
    pub checker: RequestChecker,
}

impl Traffic {
    pub fn new(facts: &Settings) -> Traffic {
        let clients = (0..facts.clients).map(|_| Client::default()).collect();
        Traffic {
            clients,
            node_connections: BTreeMap::new(),
            overloaded_until: Nanos(0),
            checker: RequestChecker::default(),
        }
    }
}

impl Simulation {
    pub fn start_traffic(&mut self) {
        for client in 0..self.traffic.clients.len() {
            self.schedule(millis(1500 + 37 * client as u64), All::Traffic(Event::Client(client)));
        }
    }

    pub fn on_traffic_event(&mut self, event: Event) {
        match event {
            Event::Client(client) => self.client_turn(client),
            Event::Silence(client, no) => {
                if self.traffic.clients[client].attempt_number == no
                    && self.traffic.clients[client].request.is_some()
                {
                    self.client_attempt_failed(client, false);
                }
            }
            Event::Done(at, life, id, message) => {
                if self.control_clients.node_incarnation(at).as_deref() == Some(&life) {
                    self.node_responds(at, &life, id, &message);
                }
            }
            Event::Says(at, life, id, bytes) => {
                if self.control_clients.node_incarnation(at).as_deref() == Some(&life) {
                    self.send_bytes(id, Endpoint::Node { at }, bytes);
                }
            }
        }
    }

    fn report_broken_rule(&mut self, broken: BrokenRule) {
        if let Some((rule, text)) = broken {
            self.report_violation(rule, text);
        }
    }

    /// What can be judged only when all is over.
    pub fn check_requests(&mut self) {
        for (rule, text) in self.traffic.checker.check_totals() {
            self.report_violation(rule, text);
        }
    }

    // Clients.

    fn client_turn(&mut self, client: usize) {
        // No traffic before there is a configuration.
        if self.observations.acknowledged.is_empty() {
            return self.schedule(millis(100), All::Traffic(Event::Client(client)));
        }
        if self.traffic.clients[client].request.is_none() {
            let newest = self.observations.acknowledged.iter().map(|(version, _)| *version).max();
            let kind = match self.rng.below(5) {
                0 | 1 => RequestKind::Mutating,
                2 | 3 => RequestKind::Idempotent,
                _ => RequestKind::Probe(newest.map_or(0, |version| version.body)),
            };
            self.traffic.clients[client].request = Some((kind, MAX_ATTEMPTS));
        }
        self.sequence += 1;
        let no = self.sequence;
        self.traffic.clients[client].attempt_number = no;
        self.schedule(SILENCE, All::Traffic(Event::Silence(client, no)));
        if let Some(id) = self.traffic.clients[client].connection {
            return self.client_sends_request(client, id);
        }
        let at = self.rng.below(self.gateways.processes.len());
        let id = self.connect_client(client, at);
        let it = &mut self.traffic.clients[client];
        (it.connection, it.is_up, it.gateway, it.request_index) = (Some(id), false, at, None);
        it.input.clear();
    }

    pub fn client_connected(&mut self, client: usize, id: u64) {
        let it = &mut self.traffic.clients[client];
        if it.connection == Some(id) && !it.is_up {
            it.is_up = true;
            self.client_sends_request(client, id);
        }
    }

    fn client_sends_request(&mut self, client: usize, id: u64) {
        let Some((kind, _)) = self.traffic.clients[client].request else { return };
        let at = self.traffic.clients[client].gateway;
        let attempt = format!("{:016x}", self.rng.next_u64());
        let (method, target, body) = match kind {
            RequestKind::Mutating => ("POST", format!("/m/{attempt}"), vec![b'x'; self.rng.below(300)]),
            RequestKind::Idempotent => ("GET", format!("/i/{attempt}"), Vec::new()),
            RequestKind::Probe(body) => ("GET", format!("/{body}/{attempt}"), Vec::new()),
        };
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
            Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(&body);
        self.trace(|| format!("client {client} asks gateway {at}: {method} {target}"));
        let by = (at, self.gateways.processes[at].incarnation, self.is_gateway_in_touch(at));
        let asked = self.traffic.checker.record_request((attempt, kind, target, body), self.now, by);
        self.traffic.clients[client].request_index = Some(asked);
        self.send_bytes(id, Endpoint::Client(client), bytes);
    }

    pub fn client_receives(&mut self, client: usize, id: u64, bytes: &[u8]) {
        let it = &mut self.traffic.clients[client];
        if it.connection != Some(id) {
            return;
        }
        it.input.extend(bytes);
        let message = match wire::parse_message(&it.input) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(why) => return self.report_violation("MIXED", format!("client {client} got {why}")),
        };
        it.input.drain(..message.length);
        let Some(asked) = it.request_index.take() else {
            return self.report_violation(
                "MIXED",
                format!("client {client} got an answer to nothing: {}", message.start_line),
            );
        };
        self.trace(|| format!("client {client} gets {}", message.start_line));
        let broken = self.traffic.checker.check_response(asked, &message);
        self.report_broken_rule(broken);
        let status: u16 = message.start_line_part(1).parse().unwrap_or(0);
        self.check_route(asked, status);
        let keeps = !message.closes_connection() && self.rng.one_in(2);
        if !keeps {
            self.client_closes_connection(client);
        }
        match status {
            408 | 421 | 429 | 503 => self.client_attempt_failed(client, true),
            500.. => self.client_attempt_failed(client, false),
            _ => {
                self.traffic.clients[client].request = None;
                self.client_pauses(client);
            }
        }
    }

    fn client_closes_connection(&mut self, client: usize) {
        let it = &mut self.traffic.clients[client];
        it.request_index = None;
        if let Some(id) = it.connection.take() {
            self.close_connection(id, Endpoint::Client(client), false);
        }
    }

    pub fn client_disconnected(&mut self, client: usize, id: u64) {
        let it = &mut self.traffic.clients[client];
        if it.connection != Some(id) {
            return;
        }
        it.connection = None;
        let waits = it.request_index.take().is_some() || !it.is_up;
        if waits && it.request.is_some() {
            self.client_attempt_failed(client, false);
        }
    }

    /// A try came to nothing; `promised` not to run.
    fn client_attempt_failed(&mut self, client: usize, promised: bool) {
        let sent = self.traffic.clients[client].request_index.is_some() || self.traffic.clients[client].is_up;
        self.client_closes_connection(client);
        let it = &mut self.traffic.clients[client];
        let again = it.request.filter(|(kind, tries)| {
            let may = promised || !sent || *kind != RequestKind::Mutating;
            may && *tries > 1
        });
        it.request = again.map(|(kind, tries)| (kind, tries - 1));
        self.client_pauses(client);
    }

    fn client_pauses(&mut self, client: usize) {
        // So that nobody's silence is counted any more.
        self.traffic.clients[client].attempt_number = 0;
        let wait = self.rng.between(millis(20), millis(250));
        self.schedule(wait, All::Traffic(Event::Client(client)));
    }

    /// Whether a request that was handled so shows a version older than it may.
    fn check_route(&mut self, asked: usize, status: u16) {
        let asked = &self.traffic.checker.requests[asked];
        let (RequestKind::Probe(body), 404, true) = (asked.kind, status, asked.is_gateway_in_touch) else {
            return;
        };
        let due = self.due_version(asked.sent_at);
        let newest = due.filter(|version| version.body == body);
        // Another version, sent by now, may be in force.
        let others = |version: Version| {
            self.observations.changes.iter().any(|order| order.version.epoch > version.epoch)
        };
        if let Some(version) = newest.filter(|version| !others(*version)) {
            let (at, id) = (asked.gateway, asked.attempt_id.clone());
            self.report_violation("CONFIG", format!("gateway {at} has no route of {version:?} for {id}"));
        }
    }

    /// The newest version that all in touch must serve for what is sent at this moment.
    fn due_version(&self, sent: Nanos) -> Option<Version> {
        let apply = self.settings.bounds.apply_deadline;
        let due = self.observations.acknowledged.iter().filter(|(_, at)| sent > *at + apply);
        due.map(|(version, _)| *version).max()
    }

    // Nodes.

    pub fn node_is_up(&self, at: usize) -> bool {
        self.control_clients.node_incarnation(at).is_some()
    }

    /// For some seconds nodes turn most requests away.
    pub fn overload_nodes(&mut self) {
        self.traffic.overloaded_until = self.now + self.rng.between(millis(2000), millis(8000));
        self.trace(|| "nodes are crowded".into());
    }

    /// Its process ends; another may have its address later.
    pub fn stop_node(&mut self, at: usize) {
        let theirs: Vec<u64> = self.traffic.node_connections.keys().copied().collect();
        for id in theirs {
            let ends = self.gateways.connections.get(&id).map(|pipe| pipe.endpoints[1]);
            if ends == Some(Endpoint::Node { at }) {
                self.traffic.node_connections.remove(&id);
                self.close_connection(id, Endpoint::Node { at }, true);
            }
        }
    }

    pub fn node_disconnected(&mut self, _: usize, id: u64) {
        self.traffic.node_connections.remove(&id);
    }

    pub fn node_receives(&mut self, at: usize, id: u64, bytes: &[u8]) {
        let conn = self.traffic.node_connections.entry(id).or_default();
        conn.input.extend(bytes);
        loop {
            match wire::parse_message(&conn.input) {
                Ok(Some(message)) => {
                    conn.input.drain(..message.length);
                    conn.queue.push_back(message);
                }
                Ok(None) => break,
                Err(why) => return self.report_violation("UNASKED", format!("a node got {why}")),
            }
        }
        self.node_serves_next(at, id);
    }

    fn node_serves_next(&mut self, at: usize, id: u64) {
        let Some(conn) = self.traffic.node_connections.get_mut(&id).filter(|conn| !conn.busy) else { return };
        let Some(message) = conn.queue.pop_front() else { return };
        let Some(life) = self.control_clients.node_incarnation(at) else { return };
        if message.start_line_part(1) == "/health" {
            let bytes = wire::encode_response(200, &[("Node-Id", &life)], b"");
            return self.send_bytes(id, Endpoint::Node { at }, bytes);
        }
        conn.busy = true;
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let own = [("Attempt-Id", &attempt[..]), ("Not-Executed", "1")];
        self.trace(|| format!("node {at} ({life}) gets {} over connection {id}", message.start_line));
        let broken = self.traffic.checker.record_arrival(self.now, &message);
        self.report_broken_rule(broken);
        if message.header("Target-Node") != Some(&life) {
            self.traffic.checker.count("meant for another life");
            return self.node_sends(at, id, wire::encode_response(421, &own[..1], b"another"));
        }
        let by = self.gateways.connections.get(&id).map(|pipe| pipe.endpoints[0]);
        if let Some(Endpoint::Gateway { at: gateway, .. }) = by {
            self.check_drain(gateway, &life);
        }
        let crowded = self.now < self.traffic.overloaded_until && !self.rng.one_in(4);
        if crowded || self.rng.one_in(12) {
            self.traffic.checker.count("turned away");
            return self.node_sends(at, id, wire::encode_response(503, &own, b"full"));
        }
        self.trace(|| format!("node {at} ({life}) runs {}", message.start_line));
        let broken = self.traffic.checker.record_execution(&message);
        self.report_broken_rule(broken);
        self.check_version(&message);
        let wait = match self.rng.below(40) {
            0 => self.rng.between(millis(200), millis(2000)),
            1 => millis(60_000),
            _ => self.rng.between(millis(1), millis(30)),
        };
        self.schedule(wait, All::Traffic(Event::Done(at, life, id, Box::new(message))));
    }

    /// A node that said that it leaves gets nothing more from gateways in touch.
    fn check_drain(&mut self, gateway: usize, life: &str) {
        let (now, cutoff) = (self.now, self.settings.bounds.drain_cutoff);
        let late = self
            .observations
            .drains
            .iter()
            .find(|drain| drain.node == life && now - drain.acknowledged_at > cutoff);
        if let Some(drain) = late.filter(|_| self.is_gateway_in_touch(gateway)) {
            let ago = (now - drain.acknowledged_at).as_millis();
            let text = format!("gateway {gateway} hands on to {life} {ago:.0} ms after its drain");
            self.report_violation("DRAIN", text);
        }
    }

    /// A run on a route that one version alone has shows that version in force.
    fn check_version(&mut self, message: &Message) {
        let Some(no) = self.traffic.checker.find_request(message) else { return };
        let asked = self.traffic.checker.requests[no].clone();
        let RequestKind::Probe(body) = asked.kind else { return };
        let Some(order) = self.observations.changes.get(body as usize) else { return };
        let version = order.version;
        if matches!(order.completion, Some((_, OperationResult::Rejected))) {
            self.report_violation(
                "CONFIG",
                format!("gateway {} serves {version:?}, which was refused", asked.gateway),
            );
        }
        let moment = self.next_sequence();
        self.record_sighting(version, moment);
        self.traffic.checker.count("versions seen");
        let broken = self.traffic.checker.record_version(self.now, no, version.epoch, REVERT_SLACK);
        self.report_broken_rule(broken);
        let newer = self
            .due_version(asked.sent_at)
            .filter(|due| due.epoch > version.epoch && asked.is_gateway_in_touch);
        if let Some(due) = newer {
            let place = FIRST_GATEWAY + asked.gateway;
            self.report_violation("CONFIG", format!("{place} serves {version:?} although {due:?} is due"));
        }
    }

    fn node_responds(&mut self, at: usize, life: &str, id: u64, message: &Message) {
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let seal = format!("{attempt}.{life}.{}", self.rng.below(100_000));
        let body: Vec<u8> = (0..self.rng.below(60)).map(|at| b'a' + (at % 20) as u8).collect();
        let mut body = body;
        body.extend(attempt.bytes());
        let sealed = [("Attempt-Id", &attempt[..]), ("Answer-Seal", &seal[..])];
        let bytes = wire::encode_response(200, &sealed, &body);
        match self.rng.below(60) {
            0 => {
                // It ran, and its connection breaks, with a part of the answer or none.
                self.traffic.checker.count("broken off by nodes");
                let part = bytes[..self.rng.below(bytes.len())].to_vec();
                if !part.is_empty() {
                    self.send_bytes(id, Endpoint::Node { at }, part);
                }
                self.traffic.node_connections.remove(&id);
                return self.close_connection(id, Endpoint::Node { at }, true);
            }
            1 => {
                self.traffic.checker.count("surplus answers");
                let wait = self.rng.between(millis(0), millis(200));
                let again = Event::Says(at, life.to_string(), id, bytes.clone());
                self.schedule(wait, All::Traffic(again));
            }
            2 => {
                self.traffic.checker.count("ran and said 503");
                return self.node_sends(at, id, wire::encode_response(503, &sealed, b"no"));
            }
            _ => {}
        }
        self.traffic.checker.record_response(seal.clone(), &attempt, body);
        self.node_sends(at, id, bytes);
    }

    fn node_sends(&mut self, at: usize, id: u64, bytes: Vec<u8>) {
        let Some(conn) = self.traffic.node_connections.get_mut(&id) else { return };
        conn.busy = false;
        self.send_bytes(id, Endpoint::Node { at }, bytes);
        self.node_serves_next(at, id);
    }
}

//! Clients, and what nodes do with requests: turned away, answered late, twice or never, broken off.

use crate::gateways::{Endpoint, FIRST_GATEWAY};
use crate::play::Settings;
use crate::register::{OperationResult, Version};
use crate::wire::{self, Message};
use crate::wire_rules::{BrokenRule, RequestChecker, RequestKind};
use crate::world::{Event as All, Simulation, ms};
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// A client that hears nothing for so long goes on.
const SILENCE: Nanos = Nanos(1_500_000_000);
/// Tries of one client for one request.
const TRIES: usize = 3;
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
    pipe: Option<u64>,
    up: bool,
    input: Vec<u8>,
    /// The request in hand: its kind, and how often it may be tried still.
    errand: Option<(RequestKind, usize)>,
    gateway: usize,
    /// Its number among all that were asked.
    asked: Option<usize>,
    no: u64,
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
    conns: BTreeMap<u64, Conn>,
    /// Until then nodes turn most away.
    crowded: Nanos,
    pub rules: RequestChecker,
}

impl Traffic {
    pub fn new(facts: &Settings) -> Traffic {
        let clients = (0..facts.clients).map(|_| Client::default()).collect();
        Traffic { clients, conns: BTreeMap::new(), crowded: Nanos(0), rules: RequestChecker::default() }
    }
}

impl Simulation {
    pub fn begin_traffic(&mut self) {
        for client in 0..self.traffic.clients.len() {
            self.later(ms(1500 + 37 * client as u64), All::Traffic(Event::Client(client)));
        }
    }

    pub fn traffic(&mut self, event: Event) {
        match event {
            Event::Client(client) => self.client_acts(client),
            Event::Silence(client, no) => {
                if self.traffic.clients[client].no == no && self.traffic.clients[client].errand.is_some() {
                    self.client_fails(client, false);
                }
            }
            Event::Done(at, life, id, message) => {
                if self.callers.node_life(at).as_deref() == Some(&life) {
                    self.node_answers(at, &life, id, &message);
                }
            }
            Event::Says(at, life, id, bytes) => {
                if self.callers.node_life(at).as_deref() == Some(&life) {
                    self.pipe_send(id, Endpoint::Node { at }, bytes);
                }
            }
        }
    }

    fn broke(&mut self, broken: BrokenRule) {
        if let Some((rule, text)) = broken {
            self.found(rule, text);
        }
    }

    /// What can be judged only when all is over.
    pub fn judge_requests(&mut self) {
        for (rule, text) in self.traffic.rules.end() {
            self.found(rule, text);
        }
    }

    // Clients.

    fn client_acts(&mut self, client: usize) {
        // No traffic before there is a configuration.
        if self.seen.acknowledged.is_empty() {
            return self.later(ms(100), All::Traffic(Event::Client(client)));
        }
        if self.traffic.clients[client].errand.is_none() {
            let newest = self.seen.acknowledged.iter().map(|(version, _)| *version).max();
            let kind = match self.chance.below(5) {
                0 | 1 => RequestKind::Mutating,
                2 | 3 => RequestKind::Idempotent,
                _ => RequestKind::Probe(newest.map_or(0, |version| version.body)),
            };
            self.traffic.clients[client].errand = Some((kind, TRIES));
        }
        self.count += 1;
        let no = self.count;
        self.traffic.clients[client].no = no;
        self.later(SILENCE, All::Traffic(Event::Silence(client, no)));
        if let Some(id) = self.traffic.clients[client].pipe {
            return self.client_sends(client, id);
        }
        let at = self.chance.below(self.gateways.list.len());
        let id = self.pipe_to_gateway(client, at);
        let it = &mut self.traffic.clients[client];
        (it.pipe, it.up, it.gateway, it.asked) = (Some(id), false, at, None);
        it.input.clear();
    }

    pub fn client_is_up(&mut self, client: usize, id: u64) {
        let it = &mut self.traffic.clients[client];
        if it.pipe == Some(id) && !it.up {
            it.up = true;
            self.client_sends(client, id);
        }
    }

    fn client_sends(&mut self, client: usize, id: u64) {
        let Some((kind, _)) = self.traffic.clients[client].errand else { return };
        let at = self.traffic.clients[client].gateway;
        let attempt = format!("{:016x}", self.chance.draw());
        let (method, target, body) = match kind {
            RequestKind::Mutating => ("POST", format!("/m/{attempt}"), vec![b'x'; self.chance.below(300)]),
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
        self.say(|| format!("client {client} asks gateway {at}: {method} {target}"));
        let by = (at, self.gateways.list[at].life, self.gateway_in_touch(at));
        let asked = self.traffic.rules.asks((attempt, kind, target, body), self.now, by);
        self.traffic.clients[client].asked = Some(asked);
        self.pipe_send(id, Endpoint::Client(client), bytes);
    }

    pub fn client_gets(&mut self, client: usize, id: u64, bytes: &[u8]) {
        let it = &mut self.traffic.clients[client];
        if it.pipe != Some(id) {
            return;
        }
        it.input.extend(bytes);
        let message = match wire::message(&it.input) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(why) => return self.found("MIXED", format!("client {client} got {why}")),
        };
        it.input.drain(..message.length);
        let Some(asked) = it.asked.take() else {
            return self
                .found("MIXED", format!("client {client} got an answer to nothing: {}", message.first));
        };
        self.say(|| format!("client {client} gets {}", message.first));
        let broken = self.traffic.rules.answered(asked, &message);
        self.broke(broken);
        let status: u16 = message.word(1).parse().unwrap_or(0);
        self.judge_route(asked, status);
        let keeps = !message.closes() && self.chance.one_in(2);
        if !keeps {
            self.client_closes(client);
        }
        match status {
            408 | 421 | 429 | 503 => self.client_fails(client, true),
            500.. => self.client_fails(client, false),
            _ => {
                self.traffic.clients[client].errand = None;
                self.client_rests(client);
            }
        }
    }

    fn client_closes(&mut self, client: usize) {
        let it = &mut self.traffic.clients[client];
        it.asked = None;
        if let Some(id) = it.pipe.take() {
            self.pipe_close(id, Endpoint::Client(client), false);
        }
    }

    pub fn client_loses(&mut self, client: usize, id: u64) {
        let it = &mut self.traffic.clients[client];
        if it.pipe != Some(id) {
            return;
        }
        it.pipe = None;
        let waits = it.asked.take().is_some() || !it.up;
        if waits && it.errand.is_some() {
            self.client_fails(client, false);
        }
    }

    /// A try came to nothing; `promised` not to run.
    fn client_fails(&mut self, client: usize, promised: bool) {
        let sent = self.traffic.clients[client].asked.is_some() || self.traffic.clients[client].up;
        self.client_closes(client);
        let it = &mut self.traffic.clients[client];
        let again = it.errand.filter(|(kind, tries)| {
            let may = promised || !sent || *kind != RequestKind::Mutating;
            may && *tries > 1
        });
        it.errand = again.map(|(kind, tries)| (kind, tries - 1));
        self.client_rests(client);
    }

    fn client_rests(&mut self, client: usize) {
        // So that nobody's silence is counted any more.
        self.traffic.clients[client].no = 0;
        let wait = self.chance.between(ms(20), ms(250));
        self.later(wait, All::Traffic(Event::Client(client)));
    }

    /// Whether a request that was handled so shows a version older than it may.
    fn judge_route(&mut self, asked: usize, status: u16) {
        let asked = &self.traffic.rules.asked[asked];
        let (RequestKind::Probe(body), 404, true) = (asked.kind, status, asked.in_touch) else { return };
        let due = self.now_due(asked.sent);
        let newest = due.filter(|version| version.body == body);
        // Another version, sent by now, may be in force.
        let others =
            |version: Version| self.seen.orders.iter().any(|order| order.version.epoch > version.epoch);
        if let Some(version) = newest.filter(|version| !others(*version)) {
            let (at, id) = (asked.gateway, asked.attempt.clone());
            self.found("CONFIG", format!("gateway {at} has no route of {version:?} for {id}"));
        }
    }

    /// The newest version that all in touch must serve for what is sent at this moment.
    fn now_due(&self, sent: Nanos) -> Option<Version> {
        let apply = self.facts.bounds.apply;
        let due = self.seen.acknowledged.iter().filter(|(_, at)| sent > *at + apply);
        due.map(|(version, _)| *version).max()
    }

    // Nodes.

    pub fn node_is_up(&self, at: usize) -> bool {
        self.callers.node_life(at).is_some()
    }

    /// For some seconds nodes turn most requests away.
    pub fn crowd_nodes(&mut self) {
        self.traffic.crowded = self.now + self.chance.between(ms(2000), ms(8000));
        self.say(|| "nodes are crowded".into());
    }

    /// Its process ends; another may have its address later.
    pub fn node_ends(&mut self, at: usize) {
        let theirs: Vec<u64> = self.traffic.conns.keys().copied().collect();
        for id in theirs {
            let ends = self.gateways.pipes.get(&id).map(|pipe| pipe.ends[1]);
            if ends == Some(Endpoint::Node { at }) {
                self.traffic.conns.remove(&id);
                self.pipe_close(id, Endpoint::Node { at }, true);
            }
        }
    }

    pub fn node_loses(&mut self, _: usize, id: u64) {
        self.traffic.conns.remove(&id);
    }

    pub fn node_gets(&mut self, at: usize, id: u64, bytes: &[u8]) {
        let conn = self.traffic.conns.entry(id).or_default();
        conn.input.extend(bytes);
        loop {
            match wire::message(&conn.input) {
                Ok(Some(message)) => {
                    conn.input.drain(..message.length);
                    conn.queue.push_back(message);
                }
                Ok(None) => break,
                Err(why) => return self.found("UNASKED", format!("a node got {why}")),
            }
        }
        self.node_next(at, id);
    }

    fn node_next(&mut self, at: usize, id: u64) {
        let Some(conn) = self.traffic.conns.get_mut(&id).filter(|conn| !conn.busy) else { return };
        let Some(message) = conn.queue.pop_front() else { return };
        let Some(life) = self.callers.node_life(at) else { return };
        if message.word(1) == "/health" {
            let bytes = wire::answer(200, &[("Node-Id", &life)], b"");
            return self.pipe_send(id, Endpoint::Node { at }, bytes);
        }
        conn.busy = true;
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let own = [("Attempt-Id", &attempt[..]), ("Not-Executed", "1")];
        self.say(|| format!("node {at} ({life}) gets {} over connection {id}", message.first));
        let broken = self.traffic.rules.arrives(self.now, &message);
        self.broke(broken);
        if message.header("Target-Node") != Some(&life) {
            self.traffic.rules.add("meant for another life");
            return self.node_says(at, id, wire::answer(421, &own[..1], b"another"));
        }
        let by = self.gateways.pipes.get(&id).map(|pipe| pipe.ends[0]);
        if let Some(Endpoint::Gateway { at: gateway, .. }) = by {
            self.judge_drain(gateway, &life);
        }
        let crowded = self.now < self.traffic.crowded && !self.chance.one_in(4);
        if crowded || self.chance.one_in(12) {
            self.traffic.rules.add("turned away");
            return self.node_says(at, id, wire::answer(503, &own, b"full"));
        }
        self.say(|| format!("node {at} ({life}) runs {}", message.first));
        let broken = self.traffic.rules.runs(&message);
        self.broke(broken);
        self.judge_version(&message);
        let wait = match self.chance.below(40) {
            0 => self.chance.between(ms(200), ms(2000)),
            1 => ms(60_000),
            _ => self.chance.between(ms(1), ms(30)),
        };
        self.later(wait, All::Traffic(Event::Done(at, life, id, Box::new(message))));
    }

    /// A node that said that it leaves gets nothing more from gateways in touch.
    fn judge_drain(&mut self, gateway: usize, life: &str) {
        let (now, cutoff) = (self.now, self.facts.bounds.drain_cutoff);
        let late = self.seen.drains.iter().find(|drain| drain.node == life && now - drain.at > cutoff);
        if let Some(drain) = late.filter(|_| self.gateway_in_touch(gateway)) {
            let ago = (now - drain.at).as_millis();
            let text = format!("gateway {gateway} hands on to {life} {ago:.0} ms after its drain");
            self.found("DRAIN", text);
        }
    }

    /// A run on a route that one version alone has shows that version in force.
    fn judge_version(&mut self, message: &Message) {
        let Some(no) = self.traffic.rules.find(message) else { return };
        let asked = self.traffic.rules.asked[no].clone();
        let RequestKind::Probe(body) = asked.kind else { return };
        let Some(order) = self.seen.orders.get(body as usize) else { return };
        let version = order.version;
        if matches!(order.to, Some((_, OperationResult::Refused))) {
            self.found("CONFIG", format!("gateway {} serves {version:?}, which was refused", asked.gateway));
        }
        let moment = self.moment();
        self.sighted(version, moment);
        self.traffic.rules.add("versions seen");
        let broken = self.traffic.rules.sees(self.now, no, version.epoch, REVERT_SLACK);
        self.broke(broken);
        let newer = self.now_due(asked.sent).filter(|due| due.epoch > version.epoch && asked.in_touch);
        if let Some(due) = newer {
            let place = FIRST_GATEWAY + asked.gateway;
            self.found("CONFIG", format!("{place} serves {version:?} although {due:?} is due"));
        }
    }

    fn node_answers(&mut self, at: usize, life: &str, id: u64, message: &Message) {
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let seal = format!("{attempt}.{life}.{}", self.chance.below(100_000));
        let body: Vec<u8> = (0..self.chance.below(60)).map(|at| b'a' + (at % 20) as u8).collect();
        let mut body = body;
        body.extend(attempt.bytes());
        let sealed = [("Attempt-Id", &attempt[..]), ("Answer-Seal", &seal[..])];
        let bytes = wire::answer(200, &sealed, &body);
        match self.chance.below(60) {
            0 => {
                // It ran, and its connection breaks, with a part of the answer or none.
                self.traffic.rules.add("broken off by nodes");
                let part = bytes[..self.chance.below(bytes.len())].to_vec();
                if !part.is_empty() {
                    self.pipe_send(id, Endpoint::Node { at }, part);
                }
                self.traffic.conns.remove(&id);
                return self.pipe_close(id, Endpoint::Node { at }, true);
            }
            1 => {
                self.traffic.rules.add("surplus answers");
                let wait = self.chance.between(ms(0), ms(200));
                let again = Event::Says(at, life.to_string(), id, bytes.clone());
                self.later(wait, All::Traffic(again));
            }
            2 => {
                self.traffic.rules.add("ran and said 503");
                return self.node_says(at, id, wire::answer(503, &sealed, b"no"));
            }
            _ => {}
        }
        self.traffic.rules.issues(seal.clone(), &attempt, body);
        self.node_says(at, id, bytes);
    }

    fn node_says(&mut self, at: usize, id: u64, bytes: Vec<u8>) {
        let Some(conn) = self.traffic.conns.get_mut(&id) else { return };
        conn.busy = false;
        self.pipe_send(id, Endpoint::Node { at }, bytes);
        self.node_next(at, id);
    }
}

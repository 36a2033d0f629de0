//! Clients, which send one request at a time over new and reused connections.

use crate::checks::rule::Rule;
use crate::checks::sent_request::{RequestKind, SentRequest};
use crate::event::Event;
use crate::gateways::state::Side;
use crate::route_slots::{SLOT_COUNT, changed_slot, slot_path};
use crate::simulation::Simulation;
use crate::time::millis;
use crate::traffic::state::{Client, ClientRequest, TrafficEvent};
use crate::wire;
use fernknot::interface::Nanos;

/// Time after which an attempt without a response fails.
const ATTEMPT_TIMEOUT: Nanos = millis(1500);
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;
/// Number of the latest changes whose routes count as recently added or removed.
const RECENT_CHANGES: usize = 12;
/// Deadline in the clients' requests, in milliseconds.
const DEADLINE_MS: u64 = 1200;

impl Simulation {
    pub(crate) fn start_traffic(&mut self) {
        for client in 0..self.traffic.clients.len() {
            self.schedule_traffic(millis(1500 + 37 * client as u64), TrafficEvent::ClientTurn(client));
        }
    }

    pub(super) fn schedule_traffic(&mut self, delay: Nanos, event: TrafficEvent) {
        self.schedule(delay, Event::Traffic(event));
    }

    pub(crate) fn on_traffic_event(&mut self, event: TrafficEvent) {
        match event {
            TrafficEvent::ClientTurn(client) => self.client_turn(client),
            TrafficEvent::ClientTimeout { client, attempt } => {
                let state = &self.traffic.clients[client];
                if state.attempt == Some(attempt) && state.request.is_some() {
                    self.client_attempt_failed(client, false);
                }
            }
            TrafficEvent::Executed { node, incarnation, connection, request } => {
                if self.node_has_incarnation(node, &incarnation) {
                    self.node_responds(node, &incarnation, connection, &request);
                }
            }
            TrafficEvent::DuplicateResponse { node, incarnation, connection, bytes } => {
                if self.node_has_incarnation(node, &incarnation) {
                    self.send_bytes(connection, Side::Acceptor, bytes);
                }
            }
        }
    }

    fn client_turn(&mut self, index: usize) {
        // No traffic before there is a configuration.
        if self.observations.acknowledged.is_empty() {
            return self.schedule_traffic(millis(100), TrafficEvent::ClientTurn(index));
        }
        if self.traffic.clients[index].request.is_none() {
            let kind = match self.traffic.clients[index].only_gateway {
                Some(_) => self.draw_changing_route(),
                None => self.draw_request_kind(),
            };
            let request = ClientRequest { kind, attempts_left: MAX_ATTEMPTS };
            self.traffic.clients[index].request = Some(request);
        }
        let attempt = self.next_sequence();
        self.traffic.clients[index].attempt = Some(attempt);
        self.schedule_traffic(ATTEMPT_TIMEOUT, TrafficEvent::ClientTimeout { client: index, attempt });
        if let Some(connection) = self.traffic.clients[index].connection {
            return self.client_sends_request(index, connection);
        }
        let only_gateway = self.traffic.clients[index].only_gateway;
        let gateway = only_gateway.unwrap_or_else(|| self.rng.below(self.gateways.processes.len()));
        let connection = self.connect_client(index, gateway);
        let client = &mut self.traffic.clients[index];
        client.connection = Some(connection);
        client.is_connected = false;
        client.gateway = gateway;
        client.sent_request = None;
        client.input.clear();
    }

    fn draw_request_kind(&self) -> RequestKind {
        let newest = self.observations.newest_acknowledged();
        match self.rng.below(5) {
            0 | 1 => RequestKind::Mutating,
            2 | 3 => RequestKind::Idempotent,
            _ => RequestKind::Probe(newest.map_or(0, |version| version.body)),
        }
    }

    /// Draws a route that comes and goes: usually one that was added or removed recently.
    fn draw_changing_route(&self) -> RequestKind {
        let newest = self.observations.newest_acknowledged().map_or(0, |version| version.body);
        let recent = newest.saturating_sub(self.rng.below(RECENT_CHANGES) as u64);
        let any = self.rng.below(SLOT_COUNT as usize) as u64;
        RequestKind::ChangingRoute(if self.rng.one_in(4) { any } else { changed_slot(recent) })
    }

    pub(crate) fn client_connected(&mut self, index: usize, connection: u64) {
        let client = &mut self.traffic.clients[index];
        if client.connection == Some(connection) && !client.is_connected {
            client.is_connected = true;
            self.client_sends_request(index, connection);
        }
    }

    fn client_sends_request(&mut self, index: usize, connection: u64) {
        let Some(ClientRequest { kind, .. }) = self.traffic.clients[index].request else { return };
        let gateway = self.traffic.clients[index].gateway;
        let attempt_id = format!("{:016x}", self.rng.next_u64());
        let (target, body) = match kind {
            RequestKind::Mutating => (format!("/m/{attempt_id}"), vec![b'x'; self.rng.below(300)]),
            RequestKind::Idempotent => (format!("/i/{attempt_id}"), Vec::new()),
            RequestKind::Probe(body) => (format!("/{body}/{attempt_id}"), Vec::new()),
            RequestKind::ChangingRoute(slot) => (format!("{}{attempt_id}", slot_path(slot)), Vec::new()),
        };
        let method = kind.method();
        let mut bytes = format!(
            "{method} {target} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
            Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend(&body);
        self.trace(|| format!("client {index} sends to gateway {gateway}: {method} {target}"));
        let sent = SentRequest {
            attempt_id,
            kind,
            target,
            body,
            sent_at: self.now,
            gateway,
            incarnation: self.gateways.processes[gateway].incarnation,
            is_gateway_in_contact: self.is_gateway_in_contact(gateway),
        };
        self.traffic.clients[index].sent_request = Some(self.traffic.checker.record_request(sent));
        self.send_bytes(connection, Side::Opener, bytes);
    }

    pub(crate) fn client_receives(&mut self, index: usize, connection: u64, bytes: &[u8]) {
        let client = &mut self.traffic.clients[index];
        if client.connection != Some(connection) {
            return;
        }
        client.input.extend(bytes);
        let message = match wire::parse_message(&client.input) {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(error) => return self.report(Rule::Mixed, format!("client {index} got {error}")),
        };
        client.input.drain(..message.length);
        let Some(request) = client.sent_request.take() else {
            let text = format!("client {index} got a response to nothing: {}", message.start_line);
            return self.report(Rule::Mixed, text);
        };
        self.trace(|| format!("client {index} gets {}", message.start_line));
        let broken = self.traffic.checker.check_response(request, &message);
        self.report_broken_rule(broken);
        self.check_route(request, message.status());
        let keeps_connection = !message.closes_connection() && self.rng.one_in(2);
        if !keeps_connection {
            self.client_closes_connection(index);
        }
        match message.status() {
            408 | 421 | 429 | 503 => self.client_attempt_failed(index, true),
            500.. => self.client_attempt_failed(index, false),
            _ => {
                self.traffic.clients[index].request = None;
                self.schedule_next_client_turn(index);
            }
        }
    }

    fn client_closes_connection(&mut self, index: usize) {
        let client = &mut self.traffic.clients[index];
        client.sent_request = None;
        if let Some(connection) = client.connection.take() {
            self.close_connection(connection, Side::Opener, false);
        }
    }

    pub(crate) fn client_disconnected(&mut self, index: usize, connection: u64) {
        let client = &mut self.traffic.clients[index];
        if client.connection != Some(connection) {
            return;
        }
        client.connection = None;
        let is_waiting = client.sent_request.take().is_some() || !client.is_connected;
        if is_waiting && client.request.is_some() {
            self.client_attempt_failed(index, false);
        }
    }

    /// Handles a failed attempt; `has_not_run` if the gateway guaranteed that. A mutating request is resent only if it
    /// can't have been executed.
    fn client_attempt_failed(&mut self, index: usize, has_not_run: bool) {
        let client = &self.traffic.clients[index];
        let may_have_run = !has_not_run && (client.sent_request.is_some() || client.is_connected);
        self.client_closes_connection(index);
        let client = &mut self.traffic.clients[index];
        client.request = next_attempt(client, may_have_run);
        self.schedule_next_client_turn(index);
    }

    fn schedule_next_client_turn(&mut self, index: usize) {
        self.traffic.clients[index].attempt = None;
        let delay = self.rng.between(millis(20), millis(250));
        self.schedule_traffic(delay, TrafficEvent::ClientTurn(index));
    }
}

/// Returns the request with one attempt less, if it may be sent again.
fn next_attempt(client: &Client, may_have_run: bool) -> Option<ClientRequest> {
    let ClientRequest { kind, attempts_left } = client.request?;
    let may_repeat = !may_have_run || kind != RequestKind::Mutating;
    (may_repeat && attempts_left > 1).then(|| ClientRequest { kind, attempts_left: attempts_left - 1 })
}

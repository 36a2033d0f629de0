//! Simulated clients, which send single, consecutive and pipelined requests on reused and new connections, and
//! interrupt them at any point.

use super::checker::{ClientRequest, RequestKind};
use super::{Arrival, CLIENT_SEND_TIME, Peer, Scheduled, Simulation, configs};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_simulator::wire;
use std::collections::VecDeque;

#[derive(Default)]
pub struct Client {
    connection: Option<Connection>,
    /// Number of requests sent so far.
    attempt_count: u64,
}

struct Connection {
    id: ConnectionId,
    input: Vec<u8>,
    /// Requests that wait for their responses, oldest first, each with the byte offset of its end.
    pending: VecDeque<(usize, usize)>,
    /// All requests sent on this connection, each with the byte offset of its end.
    sent: Vec<(usize, usize)>,
    sent_bytes: usize,
    delivered_bytes: usize,
    /// Whether no more requests are sent on this connection.
    is_half_closed: bool,
}

/// An interruption of a connection by its client.
pub enum Interruption {
    Reset,
    HalfClose,
    /// Sends the rest of a partly sent request.
    SendRest(Vec<u8>),
    /// Resets the connection if this request is still waiting for its response.
    GiveUp(usize),
}

const KINDS: [RequestKind; 5] = [
    RequestKind::Mutating,
    RequestKind::Idempotent,
    RequestKind::Reclassified,
    RequestKind::Weighted,
    RequestKind::Fanout,
];

impl Simulation {
    fn new_request(&mut self, client: usize) -> (usize, Vec<u8>) {
        let attempt_count = &mut self.clients[client].attempt_count;
        *attempt_count += 1;
        let attempt_count = *attempt_count;
        // Some values of `Attempt-Id` are not ASCII; requests with them must not reach a node.
        let non_ascii_suffix = if self.rng.chance_per_mille(15) { "\u{e9}" } else { "" };
        let attempt = format!("t{client}x{attempt_count}{non_ascii_suffix}");
        let kind = KINDS[self.rng.below(KINDS.len())];
        let has_body = kind != RequestKind::Fanout && self.rng.chance_per_mille(500);
        let body: Vec<u8> = match has_body {
            // A body that looks like a request must not be parsed as one.
            true if self.rng.chance_per_mille(200) => {
                format!("POST /m/smuggled HTTP/1.1\r\nHost: {}\r\nAttempt-Id: z\r\n\r\n", configs::HOST)
                    .into()
            }
            true => (0..self.rng.below(300)).map(|_| b'A' + self.rng.below(26) as u8).collect(),
            false => Vec::new(),
        };
        let method = match has_body {
            true => "POST",
            false if self.rng.chance_per_mille(80) => "HEAD",
            false => "GET",
        };
        let target = format!("{}{}?q={}", configs::prefix(kind), self.rng.below(9), self.rng.below(99));
        let deadline = if self.rng.chance_per_mille(100) { 60 + self.rng.below(200) } else { 800 };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\n",
            configs::HOST
        );
        let mut bytes = head.into_bytes();
        if !non_ascii_suffix.is_empty() {
            let utf8_start = bytes.iter().position(|byte| *byte == 0xc3).unwrap_or_default();
            bytes.splice(utf8_start..utf8_start + 2, [0xe9]);
        }
        if has_body && self.rng.chance_per_mille(400) {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            bytes.extend(wire::encode_chunked(&body, 1 + self.rng.below(80)));
        } else if has_body {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(&body);
        } else {
            bytes.extend(b"\r\n");
        }
        let request = ClientRequest {
            attempt,
            kind,
            method,
            target,
            body,
            config_range: (None, None),
            is_non_idempotent: true,
        };
        (self.checker.add_request(request), bytes)
    }

    fn open_client_connection(&mut self, client: usize) -> ConnectionId {
        let id = self.network.new_id();
        self.peers.insert(id, Peer::Client(client));
        self.clients[client].connection = Some(Connection {
            id,
            input: Vec::new(),
            pending: VecDeque::new(),
            sent: Vec::new(),
            sent_bytes: 0,
            delivered_bytes: 0,
            is_half_closed: false,
        });
        let wait = self.rng.duration_ms(0.2, 3.0);
        let listener = self.listeners.front;
        self.send_to_gateway(id, wait, Arrival::Accepted { listener });
        id
    }

    pub fn client_sends(&mut self, client: usize) {
        if self.now >= CLIENT_SEND_TIME {
            return;
        }
        let current = self.clients[client].connection.as_ref();
        if current.is_some_and(|connection| !connection.pending.is_empty()) {
            return;
        }
        let id = match current {
            Some(connection) if !connection.is_half_closed && self.rng.chance_per_mille(850) => connection.id,
            Some(connection) => {
                let id = connection.id;
                self.close_client_connection(client, id, Arrival::Fin);
                self.open_client_connection(client)
            }
            None => self.open_client_connection(client),
        };
        let count = if self.rng.chance_per_mille(250) { 2 + self.rng.below(3) } else { 1 };
        let mut bytes_to_send = Vec::new();
        for _ in 0..count {
            let (index, bytes) = self.new_request(client);
            bytes_to_send.extend(bytes);
            let Some(connection) = &mut self.clients[client].connection else { return };
            let end = connection.sent_bytes + bytes_to_send.len();
            connection.pending.push_back((index, end));
            connection.sent.push((index, end));
            self.schedule(
                self.now + Nanos(1_300_000_000),
                Scheduled::Interruption(client, id, Interruption::GiveUp(index)),
            );
        }
        let Some(connection) = &mut self.clients[client].connection else { return };
        connection.sent_bytes += bytes_to_send.len();
        self.checker.coverage.add("client sends");
        match self.rng.below(100) {
            0..5 => {
                let sent_length = 1 + self.rng.below(bytes_to_send.len() - 1);
                self.checker.coverage.add("resets during a request");
                self.send_in_pieces(id, bytes_to_send[..sent_length].to_vec(), None);
                self.schedule_interruption(client, id, (0.0, 50.0), Interruption::Reset);
            }
            5..13 => {
                self.checker.coverage.add("resets during a response");
                self.send_in_pieces(id, bytes_to_send, None);
                self.schedule_interruption(client, id, (0.0, 80.0), Interruption::Reset);
            }
            13..19 => {
                self.checker.coverage.add("half-closes");
                self.send_in_pieces(id, bytes_to_send, None);
                self.schedule_interruption(client, id, (0.0, 40.0), Interruption::HalfClose);
            }
            19..25 => {
                let (first, rest) = bytes_to_send.split_at(1 + self.rng.below(bytes_to_send.len() - 1));
                self.checker.coverage.add("stalls during a request");
                self.send_in_pieces(id, first.to_vec(), None);
                let rest = rest.to_vec();
                self.schedule_interruption(client, id, (5.0, 1200.0), Interruption::SendRest(rest));
            }
            _ => self.send_in_pieces(id, bytes_to_send, None),
        }
    }

    fn schedule_interruption(
        &mut self,
        client: usize,
        id: ConnectionId,
        (from, to): (f64, f64),
        interruption: Interruption,
    ) {
        let wait = self.rng.duration_ms(from, to);
        self.schedule(self.now + wait, Scheduled::Interruption(client, id, interruption));
    }

    pub fn apply_interruption(&mut self, client: usize, id: ConnectionId, interruption: Interruption) {
        let Some(connection) =
            self.clients[client].connection.as_mut().filter(|connection| connection.id == id)
        else {
            return;
        };
        match interruption {
            Interruption::Reset => self.close_client_connection(client, id, Arrival::Reset),
            Interruption::HalfClose => {
                connection.is_half_closed = true;
                let wait = self.rng.duration_ms(0.1, 3.0);
                self.send_to_gateway(id, wait, Arrival::Fin);
            }
            Interruption::SendRest(rest) => self.send_in_pieces(id, rest, None),
            Interruption::GiveUp(index)
                if connection.pending.front().is_some_and(|(first, _)| *first == index) =>
            {
                self.checker.coverage.add("client time-outs");
                self.log_event(|| format!("{id:?} gives up"));
                self.close_client_connection(client, id, Arrival::Reset);
            }
            Interruption::GiveUp(_) => {}
        }
    }

    /// Closes a client's connection; the client continues on a new one later.
    fn close_client_connection(&mut self, client: usize, id: ConnectionId, end: Arrival) {
        self.clients[client].connection = None;
        let wait = self.rng.duration_ms(0.1, 3.0);
        self.send_to_gateway(id, wait, end);
        self.schedule_client(client);
    }

    fn schedule_client(&mut self, client: usize) {
        let wait = match self.rng.below(100) {
            0..3 => self.rng.duration_ms(300.0, 2000.0),
            _ => self.rng.duration_ms(0.0, 40.0),
        };
        self.schedule(self.now + wait, Scheduled::Client(client));
    }

    pub fn client_receives(&mut self, client: usize, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) =
            self.clients[client].connection.as_mut().filter(|connection| connection.id == id)
        else {
            return;
        };
        connection.input.extend(bytes);
        loop {
            let Some(connection) = self.clients[client].connection.as_mut() else { return };
            // The response to a `HEAD` has no body.
            let request = connection.pending.front().map(|(index, _)| &self.checker.requests[*index]);
            let read = match request.is_some_and(|request| request.method == "HEAD") {
                true => wire::parse_head_response(&connection.input),
                false => wire::parse_message(&connection.input),
            };
            let message = match read {
                Ok(Some(message)) => message,
                Ok(None) if connection.pending.is_empty() && !connection.input.is_empty() => {
                    return self.checker.violation(format!("MIXED: {id:?} received bytes without a request"));
                }
                Ok(None) => break,
                Err(error) => return self.checker.violation(format!("MIXED: {id:?} received {error}")),
            };
            connection.input.drain(..message.length);
            let Some((index, end)) = connection.pending.pop_front() else {
                return self
                    .checker
                    .violation(format!("MIXED: {id:?} received {} without a request", message.start_line));
            };
            // Only a rejection may arrive before its request was delivered completely.
            if connection.delivered_bytes < end
                && !matches!(message.start_line_part(1), "408" | "400" | "413" | "431")
            {
                self.checker.violation(format!(
                    "MIXED: {id:?} received {} before the end of its request",
                    message.start_line
                ));
            }
            let closes = message.closes_connection();
            self.log_event(|| format!("{id:?} received {} for request {index}", message.start_line));
            self.checker.record_client_response(index, &message);
            if closes {
                self.close_client_connection(client, id, Arrival::Fin);
                return;
            }
            self.record_read_request(client);
        }
        let idle =
            self.clients[client].connection.as_ref().is_some_and(|connection| connection.pending.is_empty());
        if idle {
            self.schedule_client(client);
        }
    }

    pub fn client_connection_closed(&mut self, client: usize, id: ConnectionId) {
        if self.clients[client].connection.as_ref().is_some_and(|connection| connection.id == id) {
            self.clients[client].connection = None;
            self.schedule_client(client);
        }
    }

    // ---- Configurations under which the gateway may have read a request ------------------------

    pub fn record_delivered_bytes(&mut self, client: usize, id: ConnectionId, count: usize) {
        if let Some(connection) =
            self.clients[client].connection.as_mut().filter(|connection| connection.id == id)
        {
            connection.delivered_bytes += count;
        }
    }

    /// Records a step of the gateway, in which it may have read the requests that were delivered completely before.
    pub fn record_step(&mut self) {
        let oldest = self.previous_config_index.or(self.config_index);
        for client in &self.clients {
            let Some(connection) = &client.connection else { continue };
            for (index, end) in &connection.sent {
                let config_range = &mut self.checker.requests[*index].config_range;
                if *end <= connection.delivered_bytes && config_range.0.is_none() {
                    config_range.0 = oldest;
                }
            }
        }
        self.previous_config_index = self.config_index;
        for client in 0..self.clients.len() {
            self.record_read_request(client);
        }
    }

    /// Records that the first pending request of a connection has been read, if it was complete in a step.
    fn record_read_request(&mut self, client: usize) {
        let Some(connection) = &self.clients[client].connection else { return };
        if let Some((index, _)) = connection.pending.front() {
            let config_range = &mut self.checker.requests[*index].config_range;
            if config_range.0.is_some() && config_range.1.is_none() {
                config_range.1 = self.config_index;
            }
        }
    }
}

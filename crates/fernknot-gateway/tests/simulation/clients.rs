//! Clients: requests alone, in a row and pipelined, on kept and on new connections, interrupted at any place.

use super::checker::{ClientRequest, Kind};
use super::{Arrival, Peer, SENDING, Scheduled, Simulation, configs};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_simulator::wire;
use std::collections::VecDeque;

#[derive(Default)]
pub struct Client {
    connection: Option<Connection>,
    /// Requests sent so far.
    attempts: u64,
}

struct Connection {
    id: ConnectionId,
    input: Vec<u8>,
    /// Requests that wait for their answers, oldest first, and where on the connection each ends.
    waiting: VecDeque<(usize, usize)>,
    /// All requests sent here, and where each ends, to know when the gateway has all of them.
    sent: Vec<(usize, usize)>,
    bytes: usize,
    reached: usize,
    /// Nothing more is sent here.
    last: bool,
}

/// What a client does to its connection in the midst of things.
pub enum Interruption {
    Reset,
    HalfClose,
    /// The rest of what it has begun to send.
    Rest(Vec<u8>),
    /// It has waited for long enough for this request.
    GiveUp(usize),
}

const KINDS: [Kind; 5] = [Kind::Mutating, Kind::Idempotent, Kind::Flips, Kind::Shared, Kind::Gathered];

impl Simulation {
    fn request(&mut self, client: usize) -> (usize, Vec<u8>) {
        let attempts = &mut self.clients[client].attempts;
        *attempts += 1;
        let attempts = *attempts;
        // Now and then an id that is no text, which no node may get.
        let odd = if self.rng.odds(15) { "\u{e9}" } else { "" };
        let attempt = format!("t{client}x{attempts}{odd}");
        let kind = KINDS[self.rng.under(KINDS.len())];
        let has_body = kind != Kind::Gathered && self.rng.odds(500);
        let body: Vec<u8> = match has_body {
            // A body that looks like a request must not become one.
            true if self.rng.odds(200) => {
                format!("POST /m/smuggled HTTP/1.1\r\nHost: {}\r\nAttempt-Id: z\r\n\r\n", configs::HOST)
                    .into()
            }
            true => (0..self.rng.under(300)).map(|_| b'A' + self.rng.under(26) as u8).collect(),
            false => Vec::new(),
        };
        let method = match has_body {
            true => "POST",
            false if self.rng.odds(80) => "HEAD",
            false => "GET",
        };
        let target = format!("{}{}?q={}", configs::prefix(kind), self.rng.under(9), self.rng.under(99));
        let deadline = if self.rng.odds(100) { 60 + self.rng.under(200) } else { 800 };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\n",
            configs::HOST
        );
        let mut bytes = head.into_bytes();
        if !odd.is_empty() {
            let latin = bytes.iter().position(|byte| *byte == 0xc3).unwrap_or_default();
            bytes.splice(latin..latin + 2, [0xe9]);
        }
        if has_body && self.rng.odds(400) {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            bytes.extend(wire::encode_chunked(&body, 1 + self.rng.under(80)));
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
            versions: (None, None),
            is_non_idempotent: true,
        };
        (self.checker.add_request(request), bytes)
    }

    fn open(&mut self, client: usize) -> ConnectionId {
        let id = self.network.new_id();
        self.peers.insert(id, Peer::Client(client));
        self.clients[client].connection = Some(Connection {
            id,
            input: Vec::new(),
            waiting: VecDeque::new(),
            sent: Vec::new(),
            bytes: 0,
            reached: 0,
            last: false,
        });
        let wait = self.rng.millis(0.2, 3.0);
        let listener = self.listeners.front;
        self.send_to_gateway(id, wait, Arrival::Accepted { listener });
        id
    }

    pub fn client_acts(&mut self, client: usize) {
        if self.now >= SENDING {
            return;
        }
        let current = self.clients[client].connection.as_ref();
        if current.is_some_and(|connection| !connection.waiting.is_empty()) {
            return;
        }
        let id = match current {
            Some(connection) if !connection.last && self.rng.odds(850) => connection.id,
            Some(connection) => {
                let id = connection.id;
                self.client_closes(client, id, Arrival::Fin);
                self.open(client)
            }
            None => self.open(client),
        };
        let count = if self.rng.odds(250) { 2 + self.rng.under(3) } else { 1 };
        let mut bytes_to_send = Vec::new();
        for _ in 0..count {
            let (index, bytes) = self.request(client);
            bytes_to_send.extend(bytes);
            let Some(connection) = &mut self.clients[client].connection else { return };
            let end = connection.bytes + bytes_to_send.len();
            connection.waiting.push_back((index, end));
            connection.sent.push((index, end));
            self.schedule(
                self.now + Nanos(1_300_000_000),
                Scheduled::Interruption(client, id, Interruption::GiveUp(index)),
            );
        }
        let Some(connection) = &mut self.clients[client].connection else { return };
        connection.bytes += bytes_to_send.len();
        self.checker.coverage.add("sendings");
        match self.rng.under(100) {
            0..5 => {
                let cut = 1 + self.rng.under(bytes_to_send.len() - 1);
                self.checker.coverage.add("resets amid a request");
                self.send_in_pieces(id, bytes_to_send[..cut].to_vec(), None);
                self.interrupt(client, id, (0.0, 50.0), Interruption::Reset);
            }
            5..13 => {
                self.checker.coverage.add("resets amid an answer");
                self.send_in_pieces(id, bytes_to_send, None);
                self.interrupt(client, id, (0.0, 80.0), Interruption::Reset);
            }
            13..19 => {
                self.checker.coverage.add("half-closes");
                self.send_in_pieces(id, bytes_to_send, None);
                self.interrupt(client, id, (0.0, 40.0), Interruption::HalfClose);
            }
            19..25 => {
                let (first, rest) = bytes_to_send.split_at(1 + self.rng.under(bytes_to_send.len() - 1));
                self.checker.coverage.add("stalls amid a request");
                self.send_in_pieces(id, first.to_vec(), None);
                let rest = rest.to_vec();
                self.interrupt(client, id, (5.0, 1200.0), Interruption::Rest(rest));
            }
            _ => self.send_in_pieces(id, bytes_to_send, None),
        }
    }

    fn interrupt(
        &mut self,
        client: usize,
        id: ConnectionId,
        (from, to): (f64, f64),
        interruption: Interruption,
    ) {
        let wait = self.rng.millis(from, to);
        self.schedule(self.now + wait, Scheduled::Interruption(client, id, interruption));
    }

    pub fn apply_interruption(&mut self, client: usize, id: ConnectionId, interruption: Interruption) {
        let Some(connection) =
            self.clients[client].connection.as_mut().filter(|connection| connection.id == id)
        else {
            return;
        };
        match interruption {
            Interruption::Reset => self.client_closes(client, id, Arrival::Reset),
            Interruption::HalfClose => {
                connection.last = true;
                let wait = self.rng.millis(0.1, 3.0);
                self.send_to_gateway(id, wait, Arrival::Fin);
            }
            Interruption::Rest(rest) => self.send_in_pieces(id, rest, None),
            Interruption::GiveUp(index)
                if connection.waiting.front().is_some_and(|(first, _)| *first == index) =>
            {
                self.checker.coverage.add("given up");
                self.note(|| format!("{id:?} gives up"));
                self.client_closes(client, id, Arrival::Reset);
            }
            Interruption::GiveUp(_) => {}
        }
    }

    /// The client closes its connection, and continues with a new one later.
    fn client_closes(&mut self, client: usize, id: ConnectionId, how: Arrival) {
        self.clients[client].connection = None;
        let wait = self.rng.millis(0.1, 3.0);
        self.send_to_gateway(id, wait, how);
        self.schedule_client(client);
    }

    fn schedule_client(&mut self, client: usize) {
        let wait = match self.rng.under(100) {
            0..3 => self.rng.millis(300.0, 2000.0),
            _ => self.rng.millis(0.0, 40.0),
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
            // What belongs to a `HEAD` has no body.
            let request = connection.waiting.front().map(|(index, _)| &self.checker.requests[*index]);
            let read = match request.is_some_and(|request| request.method == "HEAD") {
                true => wire::parse_head_response(&connection.input),
                false => wire::parse_message(&connection.input),
            };
            let message = match read {
                Ok(Some(message)) => message,
                Ok(None) if connection.waiting.is_empty() && !connection.input.is_empty() => {
                    return self
                        .checker
                        .violation(format!("MIXED: {id:?} got bytes that it did not ask for"));
                }
                Ok(None) => break,
                Err(error) => return self.checker.violation(format!("MIXED: {id:?} got {error}")),
            };
            connection.input.drain(..message.length);
            let Some((index, end)) = connection.waiting.pop_front() else {
                return self.checker.violation(format!("MIXED: {id:?} got {} unasked", message.start_line));
            };
            // A response before the end of its request says that it was not read: only a rejection may do so.
            if connection.reached < end
                && !matches!(message.start_line_part(1), "408" | "400" | "413" | "431")
            {
                self.checker.violation(format!("MIXED: {id:?} got {} too early", message.start_line));
            }
            let closes = message.closes_connection();
            self.note(|| format!("{id:?} got {} for request {index}", message.start_line));
            self.checker.record_response(index, &message);
            if closes {
                self.client_closes(client, id, Arrival::Fin);
                return;
            }
            self.record_head(client);
        }
        let idle =
            self.clients[client].connection.as_ref().is_some_and(|connection| connection.waiting.is_empty());
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

    // ---- Under which configurations the gateway may have read what was sent -------------------

    pub fn client_reached(&mut self, client: usize, id: ConnectionId, count: usize) {
        if let Some(connection) =
            self.clients[client].connection.as_mut().filter(|connection| connection.id == id)
        {
            connection.reached += count;
        }
    }

    /// The gateway has made a step: what was complete before it may have been read in it.
    pub fn record_step(&mut self) {
        let oldest = self.previous_version.or(self.version);
        for client in &self.clients {
            let Some(connection) = &client.connection else { continue };
            for (index, end) in &connection.sent {
                let versions = &mut self.checker.requests[*index].versions;
                if *end <= connection.reached && versions.0.is_none() {
                    versions.0 = oldest;
                }
            }
        }
        self.previous_version = self.version;
        for client in 0..self.clients.len() {
            self.record_head(client);
        }
    }

    /// The first request of a connection is read, if it was complete in a step.
    fn record_head(&mut self, client: usize) {
        let Some(connection) = &self.clients[client].connection else { return };
        if let Some((index, _)) = connection.waiting.front() {
            let versions = &mut self.checker.requests[*index].versions;
            if versions.0.is_some() && versions.1.is_none() {
                versions.1 = self.version;
            }
        }
    }
}

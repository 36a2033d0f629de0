//! Clients: requests alone, in a row and pipelined, on kept and on new connections, cut short at any place.

use super::checker::{Asked, Kind};
use super::{Arrival, Due, SENDING, Side, Stage, plans};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_simulator::wire;
use std::collections::VecDeque;

#[derive(Default)]
pub struct Client {
    conn: Option<Conn>,
    /// Tries made so far.
    tries: u64,
}

struct Conn {
    berth: ConnectionId,
    input: Vec<u8>,
    /// Requests that wait for their answers, oldest first, and where on the connection each ends.
    waiting: VecDeque<(usize, usize)>,
    /// All requests sent here, and where each ends, to know when the gateway has them whole.
    sent: Vec<(usize, usize)>,
    bytes: usize,
    reached: usize,
    /// Nothing more is sent here.
    last: bool,
}

/// What a client does to its connection in the midst of things.
pub enum Cut {
    Reset,
    HalfClose,
    /// The rest of what it has begun to send.
    Rest(Vec<u8>),
    /// It has waited for long enough for this request.
    GiveUp(usize),
}

const KINDS: [Kind; 5] = [Kind::Mutating, Kind::Idempotent, Kind::Flips, Kind::Shared, Kind::Gathered];

impl Stage {
    fn request(&mut self, client: usize) -> (usize, Vec<u8>) {
        let tries = &mut self.clients[client].tries;
        *tries += 1;
        let tries = *tries;
        // Now and then an id that is no text, which no node may get.
        let odd = if self.chance.odds(15) { "\u{e9}" } else { "" };
        let attempt = format!("t{client}x{tries}{odd}");
        let kind = KINDS[self.chance.under(KINDS.len())];
        let has_body = kind != Kind::Gathered && self.chance.odds(500);
        let body: Vec<u8> = match has_body {
            // A body that looks like a request must not become one.
            true if self.chance.odds(200) => {
                format!("POST /m/smuggled HTTP/1.1\r\nHost: {}\r\nAttempt-Id: z\r\n\r\n", plans::HOST).into()
            }
            true => (0..self.chance.under(300)).map(|_| b'A' + self.chance.under(26) as u8).collect(),
            false => Vec::new(),
        };
        let method = match has_body {
            true => "POST",
            false if self.chance.odds(80) => "HEAD",
            false => "GET",
        };
        let target = format!("{}{}?q={}", plans::prefix(kind), self.chance.under(9), self.chance.under(99));
        let deadline = if self.chance.odds(100) { 60 + self.chance.under(200) } else { 800 };
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\n",
            plans::HOST
        );
        let mut bytes = head.into_bytes();
        if !odd.is_empty() {
            let latin = bytes.iter().position(|byte| *byte == 0xc3).unwrap_or_default();
            bytes.splice(latin..latin + 2, [0xe9]);
        }
        if has_body && self.chance.odds(400) {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            bytes.extend(wire::encode_chunked(&body, 1 + self.chance.under(80)));
        } else if has_body {
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(&body);
        } else {
            bytes.extend(b"\r\n");
        }
        let asked = Asked { attempt, kind, method, target, body, versions: (None, None), once: true };
        (self.checker.sends(asked), bytes)
    }

    fn opens(&mut self, client: usize) -> ConnectionId {
        let berth = self.ports.new_id();
        self.sides.insert(berth, Side::Client(client));
        self.clients[client].conn = Some(Conn {
            berth,
            input: Vec::new(),
            waiting: VecDeque::new(),
            sent: Vec::new(),
            bytes: 0,
            reached: 0,
            last: false,
        });
        let wait = self.chance.millis(0.2, 3.0);
        let at = self.doors.front;
        self.arrives(berth, wait, Arrival::Accepted { at });
        berth
    }

    pub fn client_acts(&mut self, client: usize) {
        if self.now >= SENDING {
            return;
        }
        let held = self.clients[client].conn.as_ref();
        if held.is_some_and(|conn| !conn.waiting.is_empty()) {
            return;
        }
        let berth = match held {
            Some(conn) if !conn.last && self.chance.odds(850) => conn.berth,
            Some(conn) => {
                let berth = conn.berth;
                self.client_ends(client, berth, Arrival::Fin);
                self.opens(client)
            }
            None => self.opens(client),
        };
        let count = if self.chance.odds(250) { 2 + self.chance.under(3) } else { 1 };
        let mut all = Vec::new();
        for _ in 0..count {
            let (no, bytes) = self.request(client);
            all.extend(bytes);
            let Some(conn) = &mut self.clients[client].conn else { return };
            let end = conn.bytes + all.len();
            conn.waiting.push_back((no, end));
            conn.sent.push((no, end));
            self.at(self.now + Nanos(1_300_000_000), Due::Cut(client, berth, Cut::GiveUp(no)));
        }
        let Some(conn) = &mut self.clients[client].conn else { return };
        conn.bytes += all.len();
        self.checker.seen.add("sendings");
        match self.chance.under(100) {
            0..5 => {
                let cut = 1 + self.chance.under(all.len() - 1);
                self.checker.seen.add("resets amid a request");
                self.sends(berth, all[..cut].to_vec(), None);
                self.cut(client, berth, (0.0, 50.0), Cut::Reset);
            }
            5..13 => {
                self.checker.seen.add("resets amid an answer");
                self.sends(berth, all, None);
                self.cut(client, berth, (0.0, 80.0), Cut::Reset);
            }
            13..19 => {
                self.checker.seen.add("half-closes");
                self.sends(berth, all, None);
                self.cut(client, berth, (0.0, 40.0), Cut::HalfClose);
            }
            19..25 => {
                let (first, rest) = all.split_at(1 + self.chance.under(all.len() - 1));
                self.checker.seen.add("stalls amid a request");
                self.sends(berth, first.to_vec(), None);
                let rest = rest.to_vec();
                self.cut(client, berth, (5.0, 1200.0), Cut::Rest(rest));
            }
            _ => self.sends(berth, all, None),
        }
    }

    fn cut(&mut self, client: usize, berth: ConnectionId, (from, to): (f64, f64), cut: Cut) {
        let wait = self.chance.millis(from, to);
        self.at(self.now + wait, Due::Cut(client, berth, cut));
    }

    pub fn client_cuts(&mut self, client: usize, berth: ConnectionId, cut: Cut) {
        let Some(conn) = self.clients[client].conn.as_mut().filter(|conn| conn.berth == berth) else {
            return;
        };
        match cut {
            Cut::Reset => self.client_ends(client, berth, Arrival::Reset),
            Cut::HalfClose => {
                conn.last = true;
                let wait = self.chance.millis(0.1, 3.0);
                self.arrives(berth, wait, Arrival::Fin);
            }
            Cut::Rest(rest) => self.sends(berth, rest, None),
            Cut::GiveUp(no) if conn.waiting.front().is_some_and(|(first, _)| *first == no) => {
                self.checker.seen.add("given up");
                self.note(|| format!("{berth:?} gives up"));
                self.client_ends(client, berth, Arrival::Reset);
            }
            Cut::GiveUp(_) => {}
        }
    }

    /// The client leaves its connection, and goes on with a new one later.
    fn client_ends(&mut self, client: usize, berth: ConnectionId, how: Arrival) {
        self.clients[client].conn = None;
        let wait = self.chance.millis(0.1, 3.0);
        self.arrives(berth, wait, how);
        self.client_soon(client);
    }

    fn client_soon(&mut self, client: usize) {
        let wait = match self.chance.under(100) {
            0..3 => self.chance.millis(300.0, 2000.0),
            _ => self.chance.millis(0.0, 40.0),
        };
        self.at(self.now + wait, Due::Client(client));
    }

    pub fn client_gets(&mut self, client: usize, berth: ConnectionId, bytes: &[u8]) {
        let Some(conn) = self.clients[client].conn.as_mut().filter(|conn| conn.berth == berth) else {
            return;
        };
        conn.input.extend(bytes);
        loop {
            let Some(conn) = self.clients[client].conn.as_mut() else { return };
            // What belongs to a `HEAD` has no body.
            let asked = conn.waiting.front().map(|(no, _)| &self.checker.asked[*no]);
            let read = match asked.is_some_and(|asked| asked.method == "HEAD") {
                true => wire::parse_head_response(&conn.input),
                false => wire::parse_message(&conn.input),
            };
            let message = match read {
                Ok(Some(message)) => message,
                Ok(None) if conn.waiting.is_empty() && !conn.input.is_empty() => {
                    return self.checker.fault(format!("MIXED: {berth:?} got bytes that it did not ask for"));
                }
                Ok(None) => break,
                Err(why) => return self.checker.fault(format!("MIXED: {berth:?} got {why}")),
            };
            conn.input.drain(..message.length);
            let Some((no, end)) = conn.waiting.pop_front() else {
                return self.checker.fault(format!("MIXED: {berth:?} got {} unasked", message.start_line));
            };
            // An answer before the whole request says that it was not read: only a refusal may be.
            if conn.reached < end && !matches!(message.start_line_part(1), "408" | "400" | "413" | "431") {
                self.checker.fault(format!("MIXED: {berth:?} got {} too early", message.start_line));
            }
            let closes = message.closes_connection();
            self.note(|| format!("{berth:?} got {} for request {no}", message.start_line));
            self.checker.answered(no, &message);
            if closes {
                self.client_ends(client, berth, Arrival::Fin);
                return;
            }
            self.heads(client);
        }
        let idle = self.clients[client].conn.as_ref().is_some_and(|conn| conn.waiting.is_empty());
        if idle {
            self.client_soon(client);
        }
    }

    pub fn client_sees_end(&mut self, client: usize, berth: ConnectionId) {
        if self.clients[client].conn.as_ref().is_some_and(|conn| conn.berth == berth) {
            self.clients[client].conn = None;
            self.client_soon(client);
        }
    }

    // ---- Under which versions the gateway may have taken what was sent -----------------------

    pub fn client_reached(&mut self, client: usize, berth: ConnectionId, count: usize) {
        if let Some(conn) = self.clients[client].conn.as_mut().filter(|conn| conn.berth == berth) {
            conn.reached += count;
        }
    }

    /// The gateway has had a turn: what was whole before it may have been taken in it.
    pub fn saw_turn(&mut self) {
        let oldest = self.settled.or(self.version);
        for client in &self.clients {
            let Some(conn) = &client.conn else { continue };
            for (no, end) in &conn.sent {
                let versions = &mut self.checker.asked[*no].versions;
                if *end <= conn.reached && versions.0.is_none() {
                    versions.0 = oldest;
                }
            }
        }
        self.settled = self.version;
        for client in 0..self.clients.len() {
            self.heads(client);
        }
    }

    /// The request at the head of a connection is taken, if it has been whole in a turn.
    fn heads(&mut self, client: usize) {
        let Some(conn) = &self.clients[client].conn else { return };
        if let Some((no, _)) = conn.waiting.front() {
            let versions = &mut self.checker.asked[*no].versions;
            if versions.0.is_some() && versions.1.is_none() {
                versions.1 = self.version;
            }
        }
    }
}

//! Callers on many connections from one seed each: pipelined calls in pieces, replies that come later, twice or never,
//! callers that have gone, and connections that are reused. `FERNKNOT_SEEDS` sets how many seeds are played.

use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome, Reply, SeededBug};
use fernknot_protocol::buffer::Buffer;
use std::collections::{BTreeMap, VecDeque};

const SEEDS: u64 = 500;
/// Seeds within which the seeded bug must be found.
const WITHIN: u64 = 20;
const STEPS: usize = 1500;

/// SplitMix64, so that a seed replays its run.
struct Rng(u64);

impl Rng {
    fn under(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ mixed >> 31) % bound.max(1) as u64) as usize
    }
}

struct Connection {
    server: HttpServerConnection,
    input: Buffer,
    output: Buffer,
    /// Bytes that its caller has still to send, and the calls that wait for their replies.
    to_send: VecDeque<u8>,
    pending: VecDeque<String>,
    closing: bool,
}

/// A reply that the server has still to write.
struct DelayedReply {
    connection: u64,
    call: u64,
    reply: Reply,
}

#[derive(Default)]
struct Report {
    faults: Vec<String>,
    /// Replies that callers received, and those to calls that had one or whose callers were gone.
    received: usize,
    unclaimed: usize,
}

struct Callers {
    rng: Rng,
    bug: Option<SeededBug>,
    settings: HttpServerSettings,
    connections: BTreeMap<u64, Connection>,
    next_id: u64,
    delayed: Vec<DelayedReply>,
    report: Report,
}

fn reply(status: u16, name: &str) -> Reply {
    Reply::error(status, name)
}

impl Callers {
    fn open(&mut self) {
        self.next_id += 1;
        let server =
            self.bug.map_or_else(HttpServerConnection::default, HttpServerConnection::with_seeded_bug);
        let (input, output) = (Buffer::default(), Buffer::default());
        let connection = Connection {
            server,
            input,
            output,
            to_send: VecDeque::new(),
            pending: VecDeque::new(),
            closing: false,
        };
        self.connections.insert(self.next_id, connection);
    }

    /// A caller makes a call, behind those that are pending.
    fn send_call(&mut self, id: u64) {
        self.next_id += 1;
        let name = format!("call-{}", self.next_id);
        let body = "b".repeat(self.rng.under(30));
        let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.pending.len() < 5)
        else {
            return;
        };
        connection
            .to_send
            .extend(format!("POST /{name} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).bytes());
        connection.pending.push_back(name);
    }

    /// Some bytes of a connection arrive.
    fn transfer(&mut self, id: u64) {
        let count = 1 + self.rng.under(120);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes: Vec<u8> = connection.to_send.drain(..count.min(connection.to_send.len())).collect();
        connection.input.push(&bytes);
        self.read(id);
    }

    fn read(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let ReadOutcome::Request(request) =
            connection.server.read_request(&mut connection.input, &mut connection.output, &self.settings)
        else {
            return;
        };
        let (name, call) = (request.target[1..].to_string(), connection.server.last_call());
        match self.rng.under(10) {
            0..4 => self.reply_to(DelayedReply { connection: id, call, reply: reply(200, &name) }),
            4..7 => self.delayed.push(DelayedReply { connection: id, call, reply: reply(200, &name) }),
            // The call has timed out, and its result comes all the same.
            7..9 => {
                self.delayed.push(DelayedReply { connection: id, call, reply: reply(503, &name) });
                self.delayed.push(DelayedReply { connection: id, call, reply: reply(200, &name) });
            }
            _ => self.delayed.push(DelayedReply { connection: id, call, reply: reply(412, &name) }),
        }
    }

    fn reply_to(&mut self, delayed: DelayedReply) {
        let Some(connection) =
            self.connections.get_mut(&delayed.connection).filter(|connection| !connection.closing)
        else {
            self.report.unclaimed += 1;
            return;
        };
        let is_last = self.rng.under(60) == 0;
        let stays_open =
            connection.server.write_reply(&mut connection.output, delayed.call, &delayed.reply, is_last);
        connection.closing = !stays_open;
        self.receive(delayed.connection);
        if stays_open {
            self.read(delayed.connection);
        }
    }

    /// A caller reads one reply for each call, its own, in the order of the calls.
    fn receive(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let text = String::from_utf8_lossy(connection.output.data()).into_owned();
        connection.output.consume(text.len());
        let replies: Vec<&str> = text.split("HTTP/1.1 ").filter(|reply| !reply.is_empty()).collect();
        if replies.is_empty() {
            self.report.unclaimed += 1;
        }
        for reply in replies {
            self.report.received += 1;
            match connection.pending.pop_front() {
                Some(name) if reply.contains(&format!("\"{name}\"")) => {}
                other => self.report.faults.push(format!("{other:?} received {reply:?}")),
            }
        }
        if connection.closing {
            self.connections.remove(&id);
        }
    }

    fn play(&mut self) {
        for _ in 0..STEPS {
            let connections: Vec<u64> = self.connections.keys().copied().collect();
            let id = connections.get(self.rng.under(connections.len())).copied().unwrap_or_default();
            match self.rng.under(100) {
                0..5 if connections.len() < 8 => self.open(),
                0..7 => _ = self.connections.remove(&id),
                7..35 => self.send_call(id),
                35..75 => self.transfer(id),
                _ if !self.delayed.is_empty() => {
                    let delayed = self.delayed.remove(self.rng.under(self.delayed.len()));
                    self.reply_to(delayed);
                }
                _ => {}
            }
        }
    }
}

fn play(seed: u64, bug: Option<SeededBug>) -> Report {
    let settings = HttpServerSettings::new(100, 64.0, 1000).expect("enough of all");
    let (connections, delayed) = (BTreeMap::new(), Vec::new());
    let mut callers = Callers {
        rng: Rng(seed),
        bug,
        settings,
        connections,
        next_id: 0,
        delayed,
        report: Report::default(),
    };
    callers.play();
    callers.report
}

#[test]
fn given_any_seed_when_answers_come_late_or_twice_then_each_caller_gets_its_own_once() {
    let seeds = std::env::var("FERNKNOT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let (mut received, mut unclaimed) = (0, 0);
    for seed in 0..seeds {
        let report = play(seed, None);
        assert!(report.faults.is_empty(), "seed {seed}: {:?}", report.faults);
        (received, unclaimed) = (received + report.received, unclaimed + report.unclaimed);
    }
    println!("{received} replies, {unclaimed} unclaimed");
    assert!(received > 0 && unclaimed > 0, "a run in which nothing happens shows nothing");
}

#[test]
fn given_a_server_that_ignores_call_numbers_when_seeds_are_played_then_that_is_found() {
    let found =
        (0..WITHIN).find(|seed| !play(*seed, Some(SeededBug::ReplyIgnoresCallNumber)).faults.is_empty());
    println!("found first by {found:?}");
    assert!(found.is_some());
}

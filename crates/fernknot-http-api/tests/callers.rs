//! Simulated callers on many connections, one run per seed: pipelined calls that arrive in pieces, replies that are
//! delayed, duplicated or never sent, disconnected callers and reused connections. `FERNKNOT_SEEDS` sets the number of
//! seeds.

use fernknot_http_api::{HttpServerConnection, HttpServerSettings, ReadOutcome, Reply, SeededBug};
use fernknot_protocol::buffer::Buffer;
use std::collections::{BTreeMap, VecDeque};

const DEFAULT_SEED_COUNT: u64 = 500;
/// Number of seeds within which the seeded bug must be detected.
const MAX_SEEDS_TO_DETECTION: u64 = 20;
const STEPS_PER_SEED: usize = 1500;

/// SplitMix64 generator, so that a seed reproduces its run.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: usize) -> usize {
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
    /// Bytes that the caller has yet to send.
    unsent: VecDeque<u8>,
    /// Names of the calls that are waiting for their replies, oldest first. Each call has a name of its own, which
    /// its reply repeats.
    pending_calls: VecDeque<String>,
    closing: bool,
}

/// Reply that the server has yet to write.
struct DelayedReply {
    connection: u64,
    call: u64,
    reply: Reply,
}

#[derive(Default)]
struct Report {
    faults: Vec<String>,
    /// Number of replies that callers received.
    received: usize,
    /// Number of replies that were dropped: the call was already answered or its caller had disconnected.
    dropped: usize,
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

fn named_reply(status: u16, name: &str) -> Reply {
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
            unsent: VecDeque::new(),
            pending_calls: VecDeque::new(),
            closing: false,
        };
        self.connections.insert(self.next_id, connection);
    }

    /// Sends a call on a connection, after the pending ones.
    fn send_call(&mut self, id: u64) {
        self.next_id += 1;
        let name = format!("call-{}", self.next_id);
        let body = "b".repeat(self.rng.below(30));
        let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.pending_calls.len() < 5)
        else {
            return;
        };
        connection
            .unsent
            .extend(format!("POST /{name} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()).bytes());
        connection.pending_calls.push_back(name);
    }

    /// Delivers some of a connection's bytes to the server.
    fn transfer(&mut self, id: u64) {
        let count = 1 + self.rng.below(120);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes: Vec<u8> = connection.unsent.drain(..count.min(connection.unsent.len())).collect();
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
        match self.rng.below(10) {
            0..4 => self.reply_to(DelayedReply { connection: id, call, reply: named_reply(200, &name) }),
            4..7 => self.delayed.push(DelayedReply { connection: id, call, reply: named_reply(200, &name) }),
            // The call times out: it is answered with a 503, and its result arrives later.
            7..9 => {
                self.delayed.push(DelayedReply { connection: id, call, reply: named_reply(503, &name) });
                self.delayed.push(DelayedReply { connection: id, call, reply: named_reply(200, &name) });
            }
            _ => self.delayed.push(DelayedReply { connection: id, call, reply: named_reply(412, &name) }),
        }
    }

    fn reply_to(&mut self, delayed: DelayedReply) {
        let Some(connection) =
            self.connections.get_mut(&delayed.connection).filter(|connection| !connection.closing)
        else {
            self.report.dropped += 1;
            return;
        };
        let is_last = self.rng.below(60) == 0;
        let stays_open =
            connection.server.write_reply(&mut connection.output, delayed.call, &delayed.reply, is_last);
        connection.closing = !stays_open;
        self.receive(delayed.connection);
        if stays_open {
            self.read(delayed.connection);
        }
    }

    /// Checks that the caller receives exactly one reply for each call, its own, in the order of the calls.
    fn receive(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let text = String::from_utf8_lossy(connection.output.data()).into_owned();
        connection.output.consume(text.len());
        let replies: Vec<&str> = text.split("HTTP/1.1 ").filter(|reply| !reply.is_empty()).collect();
        if replies.is_empty() {
            self.report.dropped += 1;
        }
        for reply in replies {
            self.report.received += 1;
            match connection.pending_calls.pop_front() {
                Some(name) if reply.contains(&format!("\"{name}\"")) => {}
                other => self.report.faults.push(format!("{other:?} received {reply:?}")),
            }
        }
        if connection.closing {
            self.connections.remove(&id);
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS_PER_SEED {
            let connections: Vec<u64> = self.connections.keys().copied().collect();
            let id = connections.get(self.rng.below(connections.len())).copied().unwrap_or_default();
            match self.rng.below(100) {
                0..5 if connections.len() < 8 => self.open(),
                0..7 => _ = self.connections.remove(&id),
                7..35 => self.send_call(id),
                35..75 => self.transfer(id),
                _ if !self.delayed.is_empty() => {
                    let delayed = self.delayed.remove(self.rng.below(self.delayed.len()));
                    self.reply_to(delayed);
                }
                _ => {}
            }
        }
    }
}

fn run_seed(seed: u64, bug: Option<SeededBug>) -> Report {
    let settings = HttpServerSettings::new(100, 64.0, 1000).expect("valid settings");
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
    callers.run();
    callers.report
}

#[test]
fn given_any_seed_when_replies_are_delayed_or_duplicated_then_each_caller_receives_its_own_once() {
    let seeds =
        std::env::var("FERNKNOT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT);
    let (mut received, mut dropped) = (0, 0);
    for seed in 0..seeds {
        let report = run_seed(seed, None);
        assert!(report.faults.is_empty(), "seed {seed}: {:?}", report.faults);
        (received, dropped) = (received + report.received, dropped + report.dropped);
    }
    println!("{received} replies received, {dropped} dropped");
    assert!(received > 0 && dropped > 0, "the runs must include received and dropped replies");
}

#[test]
fn given_a_server_that_ignores_call_numbers_when_seeds_are_run_then_the_bug_is_detected() {
    let detecting_seed = (0..MAX_SEEDS_TO_DETECTION)
        .find(|seed| !run_seed(*seed, Some(SeededBug::ReplyIgnoresCallNumber)).faults.is_empty());
    println!("detected first by seed {detecting_seed:?}");
    assert!(detecting_seed.is_some());
}

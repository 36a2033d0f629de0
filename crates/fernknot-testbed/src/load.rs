//! Clients, and the platform that sends them to gateways that are ready.

use crate::checker::{Attempt, AttemptOutcome, Kind, Request};
use crate::nodes::lock;
use crate::paper::HOST;
use crate::wire::{self, Connection, Message};
use fernknot_simulator::chance::Rng;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A new connection gets this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Misses after which a gateway gets no new connections.
const MAX_MISSED_CHECKS: u32 = 2;

/// Asks each gateway whether it is ready, and tells clients where to connect.
pub struct LoadBalancer {
    gateways: Arc<GatewayList>,
    is_over: Arc<AtomicBool>,
}

struct GatewayList {
    entries: Mutex<Vec<GatewayEntry>>,
    rng: Rng,
}

#[derive(Clone, Copy)]
struct GatewayEntry {
    front: SocketAddrV4,
    ready: SocketAddrV4,
    missed_checks: u32,
}

impl LoadBalancer {
    /// `doors`: where clients connect and where readiness is asked, for each gateway.
    pub fn new(doors: &[(SocketAddrV4, SocketAddrV4)], every: Duration, seed: u64) -> LoadBalancer {
        let door = |(front, ready): &(SocketAddrV4, SocketAddrV4)| GatewayEntry {
            front: *front,
            ready: *ready,
            missed_checks: MAX_MISSED_CHECKS,
        };
        let list = Mutex::new(doors.iter().map(door).collect());
        let doors = Arc::new(GatewayList { entries: list, rng: Rng::new(seed) });
        let over = Arc::new(AtomicBool::new(false));
        let (seen, end) = (doors.clone(), over.clone());
        thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let all = lock(&seen.entries).clone();
                let asked: Vec<bool> = all.iter().map(|door| is_ready(door.ready)).collect();
                for (door, ready) in lock(&seen.entries).iter_mut().zip(asked) {
                    door.missed_checks = if ready { 0 } else { door.missed_checks.saturating_add(1) };
                }
                thread::sleep(every);
            }
        });
        LoadBalancer { gateways: doors, is_over: over }
    }

    /// Gateways that get new connections. With none in, all do.
    fn available(doors: &GatewayList) -> Vec<SocketAddrV4> {
        let doors = lock(&doors.entries);
        let fronts = |all: bool| {
            doors
                .iter()
                .filter(|door| all || door.missed_checks < MAX_MISSED_CHECKS)
                .map(|door| door.front)
                .collect::<Vec<_>>()
        };
        let open = fronts(false);
        if open.is_empty() { fronts(true) } else { open }
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Whether a process says that it is ready.
pub fn is_ready(addr: SocketAddrV4) -> bool {
    let ask = wire::encode_request(
        "GET",
        "/-/readiness",
        &[format!("Host: {addr}"), "Connection: close".into()],
        b"",
    );
    wire::exchange_once(addr, &ask, Duration::from_millis(500)).is_ok_and(|answer| answer.status() == 200)
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    pub clients: usize,
    /// Requests a second of all of them together.
    pub requests_per_s: f64,
    /// What they ask for in turn.
    pub mix: Vec<Kind>,
    pub deadline: Duration,
    /// Keep the answers, to be judged; without it only counts and times are kept.
    pub keeps_responses: bool,
}

/// Clients at work.
pub struct Load {
    is_over: Arc<AtomicBool>,
    completed: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(platform: &LoadBalancer, facts: &LoadSettings) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let done: Arc<Mutex<Vec<Request>>> = Arc::default();
        let begun = Instant::now();
        let client = |number: usize| {
            let (over, done, doors) = (over.clone(), done.clone(), platform.gateways.clone());
            let facts = facts.clone();
            thread::spawn(move || {
                let every = Duration::from_secs_f64(facts.clients as f64 / facts.requests_per_s.max(0.001));
                let mut at = begun + every.mul_f64(number as f64 / facts.clients as f64);
                let mut line = None;
                for turn in 0.. {
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    // One that fell behind does not catch up: the rest of its time would be a burst.
                    at = (at + every).max(Instant::now());
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let kind = facts.mix[(number + turn) % facts.mix.len()];
                    let mut request = ask(&doors, &facts, &mut line, kind);
                    if !facts.keeps_responses {
                        request.attempts.iter_mut().for_each(|tried| {
                            if let AttemptOutcome::Response { seals, body, .. } = &mut tried.outcome {
                                (*seals, *body) = (Vec::new(), Vec::new());
                            }
                        });
                    }
                    lock(&done).push(request);
                }
            })
        };
        let threads = (0..facts.clients).map(client).collect();
        Load { is_over: over, completed: done, threads }
    }

    /// Requests that ended so far.
    pub fn completed_count(&self) -> usize {
        lock(&self.completed).len()
    }

    pub fn served_count(&self) -> usize {
        lock(&self.completed).iter().filter(|request| request.is_served()).count()
    }

    /// Ends the clients once what each has in hand is answered.
    pub fn finish(mut self) -> Vec<Request> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        std::mem::take(&mut *lock(&self.completed))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

fn ask(doors: &GatewayList, facts: &LoadSettings, line: &mut Option<Connection>, kind: Kind) -> Request {
    let target = format!("{}{:08x}", kind.prefix(), doors.rng.next_u64() as u32);
    let begun = Instant::now();
    let until = begun + facts.deadline;
    let mut tries = Vec::new();
    loop {
        let tried = attempt_once(doors, facts, line, kind, &target, until);
        let again = match &tried.0.outcome {
            AttemptOutcome::Response { status: 200..=299 | 400 | 401 | 404 | 413 | 431, .. }
            | AttemptOutcome::Malformed(_) => false,
            AttemptOutcome::Response { status: 408 | 421 | 429 | 503, .. } => true,
            AttemptOutcome::Response { .. } => kind.repeats(),
            AttemptOutcome::Disconnected(_) => kind.repeats() || !tried.0.was_sent,
        };
        let wait = tried.1;
        tries.push(tried.0);
        let left = until.saturating_duration_since(Instant::now());
        if !again || left.is_zero() || tries.len() >= 4 {
            let took_ms = begun.elapsed().as_secs_f64() * 1e3;
            return Request { kind, target, attempts: tries, duration_ms: took_ms };
        }
        // Each further try is made on a new connection, and advice is heeded up to a third of the time left.
        *line = None;
        thread::sleep(wait.unwrap_or(Duration::from_millis(20)).min(left / 3));
    }
}

/// One try, and when the gateway said to come back.
fn attempt_once(
    doors: &GatewayList,
    facts: &LoadSettings,
    line: &mut Option<Connection>,
    kind: Kind,
    target: &str,
    until: Instant,
) -> (Attempt, Option<Duration>) {
    let attempt = format!("{:016x}", doors.rng.next_u64());
    let end = |sent, seen| (Attempt { id: attempt.clone(), was_sent: sent, outcome: seen }, None);
    let mut used = match line.take() {
        Some(line) => line,
        None => {
            let open = LoadBalancer::available(doors);
            let Some(door) = open.get(doors.rng.below(open.len())) else {
                return end(false, AttemptOutcome::Disconnected("no gateway".into()));
            };
            match Connection::connect(*door, CONNECT_TIMEOUT) {
                Ok(line) => line,
                Err(why) => return end(false, AttemptOutcome::Disconnected(why.to_string())),
            }
        }
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let method = if kind.repeats() { "GET" } else { "POST" };
    let lines =
        [format!("Host: {HOST}"), format!("Attempt-Id: {attempt}"), format!("Deadline-Ms: {}", left.max(1))];
    let body: &[u8] = if kind.repeats() { b"" } else { b"{\"prints\":3}" };
    let bytes = wire::encode_request(method, target, &lines, body);
    if let Err(why) = used.send(&bytes, until) {
        return end(false, AttemptOutcome::Disconnected(why.to_string()));
    }
    let answer = match used.read_response(until + facts.deadline.mul_f64(0.1)) {
        Ok(answer) => answer,
        Err(why) if used.buffered_bytes() > 0 => {
            return end(true, AttemptOutcome::Malformed(why.to_string()));
        }
        Err(why) => return end(true, AttemptOutcome::Disconnected(why.to_string())),
    };
    if used.buffered_bytes() > 0 {
        return end(true, AttemptOutcome::Malformed("bytes that no request waits for".into()));
    }
    let wait = answer.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
    let wait = wait.filter(|wait| (0.0..1e6).contains(wait)).map(Duration::from_secs_f64);
    if !answer.closes_connection() {
        *line = Some(used);
    }
    (Attempt { id: attempt, was_sent: true, outcome: response_outcome(kind, answer) }, wait)
}

fn response_outcome(kind: Kind, answer: Message) -> AttemptOutcome {
    let named = if kind == Kind::Gather { "part-seals" } else { "answer-seal" };
    let seals = answer.header_list(named);
    let seals = seals.split(',').map(str::trim).filter(|seal| !seal.is_empty()).map(String::from).collect();
    let missing = answer.header("parts-missing").and_then(|count| count.parse().ok()).unwrap_or(0);
    AttemptOutcome::Response { status: answer.status(), seals, missing, body: answer.body }
}

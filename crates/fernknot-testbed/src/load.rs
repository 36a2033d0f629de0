//! Clients, and the platform that sends them to gateways that are ready.

use crate::checker::{Attempt, AttemptOutcome, Kind, Request};
use crate::nodes::held;
use crate::paper::HOST;
use crate::wire::{self, Connection, Message};
use fernknot_simulator::chance::Rng;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A new connection gets this long to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Misses after which a gateway gets no new connections.
const MISSES: u32 = 2;

/// Asks each gateway whether it is ready, and tells clients where to connect.
pub struct LoadBalancer {
    doors: Arc<GatewayList>,
    over: Arc<AtomicBool>,
}

struct GatewayList {
    list: Mutex<Vec<GatewayEntry>>,
    chance: Rng,
}

#[derive(Clone, Copy)]
struct GatewayEntry {
    front: SocketAddrV4,
    ready: SocketAddrV4,
    missed: u32,
}

impl LoadBalancer {
    /// `doors`: where clients connect and where readiness is asked, for each gateway.
    pub fn new(doors: &[(SocketAddrV4, SocketAddrV4)], every: Duration, seed: u64) -> LoadBalancer {
        let door = |(front, ready): &(SocketAddrV4, SocketAddrV4)| GatewayEntry {
            front: *front,
            ready: *ready,
            missed: MISSES,
        };
        let list = Mutex::new(doors.iter().map(door).collect());
        let doors = Arc::new(GatewayList { list, chance: Rng::new(seed) });
        let over = Arc::new(AtomicBool::new(false));
        let (seen, end) = (doors.clone(), over.clone());
        thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                let all = held(&seen.list).clone();
                let asked: Vec<bool> = all.iter().map(|door| is_ready(door.ready)).collect();
                for (door, ready) in held(&seen.list).iter_mut().zip(asked) {
                    door.missed = if ready { 0 } else { door.missed.saturating_add(1) };
                }
                thread::sleep(every);
            }
        });
        LoadBalancer { doors, over }
    }

    /// Gateways that get new connections. With none in, all do.
    fn open(doors: &GatewayList) -> Vec<SocketAddrV4> {
        let doors = held(&doors.list);
        let fronts = |all: bool| {
            doors.iter().filter(|door| all || door.missed < MISSES).map(|door| door.front).collect::<Vec<_>>()
        };
        let open = fronts(false);
        if open.is_empty() { fronts(true) } else { open }
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// Whether a process says that it is ready.
pub fn is_ready(addr: SocketAddrV4) -> bool {
    let ask =
        wire::request("GET", "/-/readiness", &[format!("Host: {addr}"), "Connection: close".into()], b"");
    wire::once(addr, &ask, Duration::from_millis(500)).is_ok_and(|answer| answer.status() == 200)
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    pub clients: usize,
    /// Requests a second of all of them together.
    pub per_s: f64,
    /// What they ask for in turn.
    pub mix: Vec<Kind>,
    pub deadline: Duration,
    /// Keep the answers, to be judged; without it only counts and times are kept.
    pub judged: bool,
}

/// Clients at work.
pub struct Load {
    over: Arc<AtomicBool>,
    done: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(platform: &LoadBalancer, facts: &LoadSettings) -> Load {
        let over = Arc::new(AtomicBool::new(false));
        let done: Arc<Mutex<Vec<Request>>> = Arc::default();
        let begun = Instant::now();
        let client = |number: usize| {
            let (over, done, doors) = (over.clone(), done.clone(), platform.doors.clone());
            let facts = facts.clone();
            thread::spawn(move || {
                let every = Duration::from_secs_f64(facts.clients as f64 / facts.per_s.max(0.001));
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
                    if !facts.judged {
                        request.tries.iter_mut().for_each(|tried| {
                            if let AttemptOutcome::Answer { seals, body, .. } = &mut tried.seen {
                                (*seals, *body) = (Vec::new(), Vec::new());
                            }
                        });
                    }
                    held(&done).push(request);
                }
            })
        };
        let threads = (0..facts.clients).map(client).collect();
        Load { over, done, threads }
    }

    /// Requests that ended so far.
    pub fn count(&self) -> usize {
        held(&self.done).len()
    }

    pub fn served(&self) -> usize {
        held(&self.done).iter().filter(|request| request.served()).count()
    }

    /// Ends the clients once what each has in hand is answered.
    pub fn finish(mut self) -> Vec<Request> {
        self.over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        std::mem::take(&mut *held(&self.done))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn ask(doors: &GatewayList, facts: &LoadSettings, line: &mut Option<Connection>, kind: Kind) -> Request {
    let target = format!("{}{:08x}", kind.prefix(), doors.chance.draw() as u32);
    let begun = Instant::now();
    let until = begun + facts.deadline;
    let mut tries = Vec::new();
    loop {
        let tried = one_try(doors, facts, line, kind, &target, until);
        let again = match &tried.0.seen {
            AttemptOutcome::Answer { status: 200..=299 | 400 | 401 | 404 | 413 | 431, .. }
            | AttemptOutcome::Broken(_) => false,
            AttemptOutcome::Answer { status: 408 | 421 | 429 | 503, .. } => true,
            AttemptOutcome::Answer { .. } => kind.repeats(),
            AttemptOutcome::Cut(_) => kind.repeats() || !tried.0.sent,
        };
        let wait = tried.1;
        tries.push(tried.0);
        let left = until.saturating_duration_since(Instant::now());
        if !again || left.is_zero() || tries.len() >= 4 {
            let took_ms = begun.elapsed().as_secs_f64() * 1e3;
            return Request { kind, target, tries, took_ms };
        }
        // Each further try is made on a new connection, and advice is heeded up to a third of the time left.
        *line = None;
        thread::sleep(wait.unwrap_or(Duration::from_millis(20)).min(left / 3));
    }
}

/// One try, and when the gateway said to come back.
fn one_try(
    doors: &GatewayList,
    facts: &LoadSettings,
    line: &mut Option<Connection>,
    kind: Kind,
    target: &str,
    until: Instant,
) -> (Attempt, Option<Duration>) {
    let attempt = format!("{:016x}", doors.chance.draw());
    let end = |sent, seen| (Attempt { attempt: attempt.clone(), sent, seen }, None);
    let mut used = match line.take() {
        Some(line) => line,
        None => {
            let open = LoadBalancer::open(doors);
            let Some(door) = open.get(doors.chance.below(open.len())) else {
                return end(false, AttemptOutcome::Cut("no gateway".into()));
            };
            match Connection::open(*door, CONNECT) {
                Ok(line) => line,
                Err(why) => return end(false, AttemptOutcome::Cut(why.to_string())),
            }
        }
    };
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    let method = if kind.repeats() { "GET" } else { "POST" };
    let lines =
        [format!("Host: {HOST}"), format!("Attempt-Id: {attempt}"), format!("Deadline-Ms: {}", left.max(1))];
    let body: &[u8] = if kind.repeats() { b"" } else { b"{\"prints\":3}" };
    let bytes = wire::request(method, target, &lines, body);
    if let Err(why) = used.send(&bytes, until) {
        return end(false, AttemptOutcome::Cut(why.to_string()));
    }
    let answer = match used.answer(until + facts.deadline.mul_f64(0.1)) {
        Ok(answer) => answer,
        Err(why) if used.ahead() > 0 => return end(true, AttemptOutcome::Broken(why.to_string())),
        Err(why) => return end(true, AttemptOutcome::Cut(why.to_string())),
    };
    if used.ahead() > 0 {
        return end(true, AttemptOutcome::Broken("bytes that no request waits for".into()));
    }
    let wait = answer.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
    let wait = wait.filter(|wait| (0.0..1e6).contains(wait)).map(Duration::from_secs_f64);
    if !answer.closes() {
        *line = Some(used);
    }
    (Attempt { attempt, sent: true, seen: seen(kind, answer) }, wait)
}

fn seen(kind: Kind, answer: Message) -> AttemptOutcome {
    let named = if kind == Kind::Gather { "part-seals" } else { "answer-seal" };
    let seals = answer.joined(named);
    let seals = seals.split(',').map(str::trim).filter(|seal| !seal.is_empty()).map(String::from).collect();
    let missing = answer.header("parts-missing").and_then(|count| count.parse().ok()).unwrap_or(0);
    AttemptOutcome::Answer { status: answer.status(), seals, missing, body: answer.body }
}

//! Stand-in nodes, as PROTOCOL says of the routers of a service: each life has an id of its own, beats, works on so
//! many requests at once, turns the rest away, drains before a planned end and says nothing before a crash.

use crate::wire::{self, Connection, Message};
use fernknot_simulator::chance::{Rng, SPLITMIX64_INCREMENT, splitmix64};
use serde_json::json;
use std::collections::HashMap;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A connection that is idle for longer is closed, as the answers tell.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A call to a registrar is acknowledged within this, or another one is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Threads that beat for all nodes.
const HEARTBEAT_THREADS: usize = 4;
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub service: String,
    pub zone: String,
    /// Requests at work at once, and more that wait.
    pub capacity: usize,
    pub queue_capacity: usize,
    /// How long it works on each.
    pub service_time: Duration,
    /// Records of 16 bytes in a part.
    pub records_per_part: usize,
    /// Whether it takes requests at all; one that does not only beats, at an address where nobody listens.
    pub accepts_requests: bool,
}

/// One run of a request at a node.
#[derive(Clone, Debug)]
pub struct Execution {
    pub service: String,
    pub target: String,
    /// The seal of its answer and the bytes that went with it; none where it failed.
    pub seal: Option<String>,
    pub body: Vec<u8>,
}

/// What nodes ran, by the ids of requests. What they turned away is only counted.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    pub executions: HashMap<String, Vec<Execution>>,
    pub rejected: u64,
    pub misdirected: u64,
}

/// Nothing is lost where another thread panicked: what it held is plain values.
pub fn lock<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Node {
    id: String,
    addr: SocketAddrV4,
    settings: NodeSettings,
    /// At work, and waiting.
    slots: Mutex<(usize, usize)>,
    slot_freed: Condvar,
    is_draining: AtomicBool,
    /// The leave has been acknowledged.
    has_left: AtomicBool,
    has_ended: AtomicBool,
    call_sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// To the registrar that took its last call.
    controller_connection: Mutex<Option<Connection>>,
}

struct Shared {
    execution_log: Mutex<ExecutionLog>,
    control_addrs: Mutex<Vec<SocketAddrV4>>,
    nodes: Mutex<Vec<Arc<Node>>>,
    heartbeat_interval: Duration,
    next_seal: AtomicU64,
    heartbeats: AtomicUsize,
    /// Beats that nobody acknowledged.
    missed_heartbeats: AtomicUsize,
    is_over: AtomicBool,
    rng: Rng,
}

/// All stand-in nodes of a rig.
pub struct Nodes {
    shared: Arc<Shared>,
    ip: Ipv4Addr,
}

/// The records of a part: the same at every node of a service.
pub fn part_records(service: &str, target: &str, count: usize) -> Vec<u8> {
    let mut state = [service, "\n", target]
        .iter()
        .flat_map(|text| text.bytes())
        .fold(7u64, |state, byte| (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3).rotate_left(23));
    let mut next = || {
        state = state.wrapping_add(SPLITMIX64_INCREMENT);
        splitmix64(state)
    };
    (0..count).flat_map(|_| [next().to_be_bytes(), next().to_be_bytes()].concat()).collect()
}

impl Nodes {
    /// `ip` is the address of all nodes, each with a port of its own; `beat` is how often each beats.
    pub fn new(ip: Ipv4Addr, control: Vec<SocketAddrV4>, beat: Duration, seed: u64) -> Nodes {
        let shared = Arc::new(Shared {
            execution_log: Mutex::default(),
            control_addrs: Mutex::new(control),
            nodes: Mutex::default(),
            heartbeat_interval: beat,
            next_seal: AtomicU64::new(1),
            heartbeats: AtomicUsize::new(0),
            missed_heartbeats: AtomicUsize::new(0),
            is_over: AtomicBool::new(false),
            rng: Rng::new(seed),
        });
        for part in 0..HEARTBEAT_THREADS {
            let shared = shared.clone();
            thread::spawn(move || heartbeat_loop(&shared, part));
        }
        Nodes { shared, ip }
    }

    /// Starts a node; its name in this rig comes back.
    ///
    /// # Errors
    /// Where the system gives no port or no thread.
    pub fn start(&self, facts: NodeSettings) -> std::io::Result<usize> {
        let id = format!("i-{:016x}", self.shared.rng.next_u64());
        let listener = match facts.accepts_requests {
            true => Some(TcpListener::bind((self.ip, 0))?),
            false => None,
        };
        let mut nodes = lock(&self.shared.nodes);
        let addr = match listener.as_ref().map(TcpListener::local_addr).transpose()? {
            Some(SocketAddr::V4(addr)) => addr,
            // No two share an address: the later one would be taken for the earlier one's heir.
            _ => SocketAddrV4::new(self.ip, 1 + (nodes.len() % 65_000) as u16),
        };
        let node = Arc::new(Node {
            id,
            addr,
            settings: facts,
            slots: Mutex::default(),
            slot_freed: Condvar::new(),
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            call_sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            controller_connection: Mutex::default(),
        });
        nodes.push(node.clone());
        let name = nodes.len() - 1;
        drop(nodes);
        if let Some(listener) = listener {
            let shared = self.shared.clone();
            thread::Builder::new()
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || accept(&shared, &node, &listener))?;
        }
        Ok(name)
    }

    /// Beats that were acknowledged, and those that nobody took.
    pub fn heartbeat_counts(&self) -> (usize, usize) {
        (
            self.shared.heartbeats.load(Ordering::Relaxed),
            self.shared.missed_heartbeats.load(Ordering::Relaxed),
        )
    }

    pub fn id(&self, name: usize) -> String {
        lock(&self.shared.nodes).get(name).map(|node| node.id.clone()).unwrap_or_default()
    }

    /// It says that it drains until that is acknowledged; it goes on serving.
    pub fn drain(&self, name: usize) {
        if let Some(node) = lock(&self.shared.nodes).get(name) {
            node.is_draining.store(true, Ordering::Relaxed);
        }
    }

    /// Tells all registrars in turn that it is out, then ends. True where one acknowledged it.
    pub fn deregister(&self, name: usize) -> bool {
        let Some(node) = lock(&self.shared.nodes).get(name).cloned() else { return false };
        node.is_draining.store(true, Ordering::Relaxed);
        let heard = call_controller(&self.shared, &node, "deregister");
        node.has_left.store(true, Ordering::Relaxed);
        end_node(&node);
        heard
    }

    /// It ends and says nothing.
    pub fn crash(&self, name: usize) {
        if let Some(node) = lock(&self.shared.nodes).get(name).cloned() {
            end_node(&node);
        }
    }

    /// What they ran so far.
    pub fn execution_log(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.shared.execution_log)
    }

    /// Where nodes call from now on.
    pub fn set_control_addrs(&self, control: Vec<SocketAddrV4>) {
        *lock(&self.shared.control_addrs) = control;
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        let nodes = std::mem::take(&mut *lock(&self.shared.nodes));
        nodes.iter().for_each(|node| end_node(node));
    }
}

fn end_node(node: &Node) {
    if node.has_ended.swap(true, Ordering::Relaxed) {
        return;
    }
    lock(&node.connections).drain(..).for_each(|link| _ = link.shutdown(Shutdown::Both));
    // The thread that accepts waits for one more.
    if node.settings.accepts_requests {
        let _ = TcpStream::connect_timeout(&SocketAddr::V4(node.addr), CALL_TIMEOUT);
    }
}

// ---- Calls to registrars ---------------------------------------------------------------------

fn heartbeat_loop(shared: &Shared, part: usize) {
    let mut due: HashMap<usize, (Instant, bool)> = HashMap::new();
    while !shared.is_over.load(Ordering::Relaxed) {
        let mine: Vec<(usize, Arc<Node>)> = lock(&shared.nodes)
            .iter()
            .enumerate()
            .filter(|(name, node)| {
                name % HEARTBEAT_THREADS == part && !node.has_ended.load(Ordering::Relaxed)
            })
            .map(|(name, node)| (name, node.clone()))
            .collect();
        let count = mine.len().max(1);
        for (name, node) in mine {
            let now = Instant::now();
            let drains = node.is_draining.load(Ordering::Relaxed);
            // All of a new lot of nodes are told of at once; their later beats are spread over the span.
            let spread =
                shared.heartbeat_interval.mul_f64((name / HEARTBEAT_THREADS % count) as f64 / count as f64);
            let (at, told) = due.get(&name).copied().unwrap_or((now, drains));
            if now < at && drains == told {
                continue;
            }
            let first = !due.contains_key(&name);
            if call_controller(shared, &node, "heartbeat") {
                shared.heartbeats.fetch_add(1, Ordering::Relaxed);
                let next = now + if first { spread } else { shared.heartbeat_interval };
                due.insert(name, (next.max(now + shared.heartbeat_interval.mul_f64(0.05)), drains));
            } else {
                shared.missed_heartbeats.fetch_add(1, Ordering::Relaxed);
                due.insert(name, (now + shared.heartbeat_interval.mul_f64(0.1), !drains));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// One call, at one registrar after the other until one takes it.
fn call_controller(shared: &Shared, node: &Node, what: &str) -> bool {
    let control = lock(&shared.control_addrs).clone();
    let mut line = lock(&node.controller_connection);
    let state = if node.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
    let body = json!({
        "backend": node.settings.service, "address": node.addr.to_string(), "zone": node.settings.zone,
        "epoch": "v1", "capacity": node.settings.capacity, "state": state, "warmup_left_ms": 0,
        "call_seq": node.call_sequence.fetch_add(1, Ordering::Relaxed) + 1,
    });
    let path = format!("/-/nodes/{}/{what}", node.id);
    let lines = ["Content-Type: application/json".to_string()];
    let bytes = wire::encode_request("POST", &path, &lines, body.to_string().as_bytes());
    let mut tell = |line: &mut Connection| {
        let until = Instant::now() + CALL_TIMEOUT;
        let answer = line.send(&bytes, until).and_then(|()| line.read_response(until));
        answer.is_ok_and(|answer| answer.status() / 100 == 2 && answer.body.len() <= 4096)
    };
    if line.as_mut().is_some_and(&mut tell) {
        return true;
    }
    let from = shared.rng.below(control.len());
    for at in 0..control.len() {
        let addr = control[(from + at) % control.len()];
        *line = Connection::connect(addr, CALL_TIMEOUT).ok();
        if line.as_mut().is_some_and(&mut tell) {
            return true;
        }
    }
    *line = None;
    false
}

// ---- Requests ---------------------------------------------------------------------------------

fn accept(shared: &Arc<Shared>, node: &Arc<Node>, listener: &TcpListener) {
    while let Ok((stream, from)) = listener.accept() {
        if node.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let (SocketAddr::V4(from), Ok(twin)) = (from, stream.try_clone()) else { continue };
        let mut links = lock(&node.connections);
        // Those that have ended are forgotten now and then.
        if links.len() > 256 {
            links.retain(|link| link.peer_addr().is_ok());
        }
        links.push(twin);
        drop(links);
        let (shared, node) = (shared.clone(), node.clone());
        let serve = move || serve(&shared, &node, Connection::from_stream(stream, from));
        if thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(serve).is_err() {
            return;
        }
    }
}

fn serve(shared: &Shared, node: &Node, mut line: Connection) {
    while !node.has_ended.load(Ordering::Relaxed) {
        let Ok(Some(request)) = line.read_request(Instant::now() + IDLE_TIMEOUT) else { break };
        let (status, mut lines, body) = handle_request(shared, node, &request);
        if let Some(attempt) = request.header("attempt-id") {
            lines.push(format!("Attempt-Id: {attempt}"));
        }
        lines.push(format!("Keep-Alive: timeout={}", IDLE_TIMEOUT.as_secs()));
        let bytes = wire::encode_response(status, &lines, &body);
        if line.send(&bytes, Instant::now() + IDLE_TIMEOUT).is_err() {
            break;
        }
    }
}

type HandlerResponse = (u16, Vec<String>, Vec<u8>);

fn reject(shared: &Shared, status: u16, why: &str) -> HandlerResponse {
    lock(&shared.execution_log).rejected += 1;
    (status, vec![format!("Not-Executed: {why}")], Vec::new())
}

fn handle_request(shared: &Shared, node: &Node, request: &Message) -> HandlerResponse {
    let begun = Instant::now();
    let (method, target) = &request.start_line;
    let probes = method == "GET" && target == "/health";
    let attempt = request.header("attempt-id").unwrap_or_default();
    if !probes && attempt.is_empty() {
        return reject(shared, 400, "no id");
    }
    if request.header("target-node").is_some_and(|meant| meant != node.id) {
        lock(&shared.execution_log).misdirected += 1;
        return reject(shared, 421, "another node is meant");
    }
    let deadline = request.header("deadline-ms").and_then(|ms| ms.trim().parse().ok()).unwrap_or(10_000);
    let until = begun + Duration::from_millis(deadline);
    let mut slots = lock(&node.slots);
    if slots.0 >= node.settings.capacity && slots.1 >= node.settings.queue_capacity {
        drop(slots);
        return reject(shared, 503, "full");
    }
    slots.1 += 1;
    while slots.0 >= node.settings.capacity {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            slots.1 -= 1;
            drop(slots);
            return reject(shared, 503, "its time passed in the queue");
        }
        slots = node.slot_freed.wait_timeout(slots, left).unwrap_or_else(PoisonError::into_inner).0;
    }
    *slots = (slots.0 + 1, slots.1 - 1);
    drop(slots);
    let answer = if probes {
        let well = !node.is_draining.load(Ordering::Relaxed);
        (if well { 200 } else { 503 }, vec![format!("Node-Id: {}", node.id)], Vec::new())
    } else {
        execute(shared, node, attempt, target, until)
    };
    lock(&node.slots).0 -= 1;
    node.slot_freed.notify_one();
    answer
}

fn execute(shared: &Shared, node: &Node, attempt: &str, target: &str, until: Instant) -> HandlerResponse {
    let left = until.saturating_duration_since(Instant::now());
    let late = node.settings.service_time > left;
    let service = node.settings.service.clone();
    let body = if late { Vec::new() } else { part_records(&service, target, node.settings.records_per_part) };
    let number = shared.next_seal.fetch_add(1, Ordering::Relaxed);
    let seal = (!late).then(|| format!("{number:08x}.{:08x}", shared.rng.next_u64() as u32));
    let ran = Execution { service, target: target.to_string(), seal: seal.clone(), body: body.clone() };
    // Noted before the work: what was begun has run, whatever comes of it.
    lock(&shared.execution_log).executions.entry(attempt.to_string()).or_default().push(ran);
    thread::sleep(node.settings.service_time.min(left));
    match seal {
        Some(seal) => (200, vec![format!("Answer-Seal: {seal}")], body),
        None => (504, Vec::new(), body),
    }
}

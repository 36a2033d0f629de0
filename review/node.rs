//! Stand-in of a data node (PROTOCOL.md calls it a router of a service): it sends heartbeats and answers requests.

use crate::http::{Message, call, read_message};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What a node did with one request.
#[derive(Clone, Debug)]
pub struct Execution {
    pub node: String,
    pub attempt_id: String,
    pub started_at: f64,
    /// Whether the whole answer was written to the connection.
    pub answered: bool,
}

#[derive(Default)]
pub struct ExecutionLog(pub Mutex<Vec<Execution>>);

pub struct NodeSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub capacity: usize,
    pub queue: usize,
    pub work: Duration,
    pub body: Vec<u8>,
}

struct Slots {
    working: usize,
    waiting: usize,
}

pub struct Node {
    settings: NodeSettings,
    address: SocketAddrV4,
    slots: Mutex<Slots>,
    freed: Condvar,
    log: Arc<ExecutionLog>,
    started_at: Instant,
    next_seal: AtomicU64,
}

static STOPPED: AtomicBool = AtomicBool::new(false);

/// Ends the heartbeats of all nodes.
pub fn stop_all() {
    STOPPED.store(true, Ordering::Relaxed);
}

/// Starts a node at a free port of this address.
pub fn start(
    ip: Ipv4Addr,
    settings: NodeSettings,
    controllers: Vec<SocketAddrV4>,
    log: Arc<ExecutionLog>,
    started_at: Instant,
) -> Result<Arc<Node>, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| format!("node at {ip}: {error}"))?;
    let port = listener.local_addr().map_err(|error| error.to_string())?.port();
    let node = Arc::new(Node {
        settings,
        address: SocketAddrV4::new(ip, port),
        slots: Mutex::new(Slots { working: 0, waiting: 0 }),
        freed: Condvar::new(),
        log,
        started_at,
        next_seal: AtomicU64::new(1),
    });
    let serving = node.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let node = serving.clone();
            std::thread::spawn(move || {
                let _ = node.serve(stream);
            });
        }
    });
    let beating = node.clone();
    std::thread::spawn(move || beating.beat(&controllers));
    Ok(node)
}

impl Node {
    fn beat(&self, controllers: &[SocketAddrV4]) {
        let NodeSettings { id, service, zone, capacity, .. } = &self.settings;
        let mut next = id.len() + id.bytes().map(usize::from).sum::<usize>();
        for sequence in 1u64.. {
            let body = format!(
                r#"{{"backend":"{service}","address":"{}","zone":"{zone}","epoch":"v1","capacity":{capacity},"state":"ready","warmup_left_ms":0,"call_seq":{sequence}}}"#,
                self.address
            );
            let target = format!("/-/nodes/{id}/heartbeat");
            let fields = [("Content-Type", "application/json".to_string())];
            for _ in 0..controllers.len() {
                let to = controllers[next % controllers.len()];
                match call(to, "POST", &target, &fields, body.as_bytes(), Duration::from_secs(1)) {
                    Ok(answer) if (200..300).contains(&answer.status()) => break,
                    _ => next += 1,
                }
            }
            if STOPPED.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(Duration::from_millis(1200));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut pending = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut pending)? {
            self.answer(&mut stream, &request)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let method = request.start_line.split(' ').next().unwrap_or("");
        let path = request.start_line.split(' ').nth(1).unwrap_or("");
        if method == "GET" && path == "/health" {
            let head = format!("HTTP/1.1 200 OK\r\nNode-Id: {}\r\nContent-Length: 0\r\n\r\n", self.settings.id);
            return stream.write_all(head.as_bytes());
        }
        let Some(attempt_id) = request.header("attempt-id").map(str::to_string) else {
            return stream
                .write_all(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: no id\r\nContent-Length: 0\r\n\r\n");
        };
        let refuse = |stream: &mut TcpStream, status: &str| {
            let head = format!(
                "HTTP/1.1 {status}\r\nNot-Executed: 1\r\nAttempt-Id: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes())
        };
        if request.header("target-node").is_some_and(|target| target != self.settings.id) {
            return refuse(stream, "421 Misdirected Request");
        }
        let deadline = request.header("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(10_000u64);
        let deadline = Instant::now() + Duration::from_millis(deadline);
        if !self.take_slot(deadline) {
            return refuse(stream, "503 Service Unavailable");
        }
        let started_at = self.started_at.elapsed().as_secs_f64();
        std::thread::sleep(self.settings.work);
        self.release_slot();
        let seal = self.next_seal.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nAnswer-Seal: {}.{seal:x}\r\nKeep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n",
            self.settings.id,
            self.settings.body.len()
        );
        let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&self.settings.body));
        if let Ok(mut log) = self.log.0.lock() {
            log.push(Execution {
                node: self.settings.id.clone(),
                attempt_id,
                started_at,
                answered: sent.is_ok(),
            });
        }
        sent
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let Ok(mut slots) = self.slots.lock() else { return false };
        if slots.working >= self.settings.capacity {
            if slots.waiting >= self.settings.queue {
                return false;
            }
            slots.waiting += 1;
            while slots.working >= self.settings.capacity {
                let left = deadline.saturating_duration_since(Instant::now());
                let Ok((locked, timeout)) = self.freed.wait_timeout(slots, left) else { return false };
                slots = locked;
                if timeout.timed_out() && slots.working >= self.settings.capacity {
                    slots.waiting -= 1;
                    return false;
                }
            }
            slots.waiting -= 1;
        }
        slots.working += 1;
        true
    }

    fn release_slot(&self) {
        if let Ok(mut slots) = self.slots.lock() {
            slots.working -= 1;
        }
        self.freed.notify_one();
    }
}

/// Executions by the id of the client's try.
pub fn by_attempt(log: &ExecutionLog) -> HashMap<String, Vec<Execution>> {
    let mut found: HashMap<String, Vec<Execution>> = HashMap::new();
    if let Ok(log) = log.0.lock() {
        for execution in log.iter() {
            found.entry(execution.attempt_id.clone()).or_default().push(execution.clone());
        }
    }
    found
}

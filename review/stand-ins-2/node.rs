//! Stand-ins of nodes, of the operator and of the platform, as the users' pages describe them.

use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// What a node has run: the time, the request's id, the request line and the tenant.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    /// Time of day in milliseconds.
    pub unix_ms: u64,
    pub attempt_id: String,
    pub line: String,
    pub tenant: String,
}

/// Time of day in milliseconds since the beginning of 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// One life of a node.
pub struct Node {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddrV4,
    pub draining: AtomicBool,
    pub silent: AtomicBool,
    sequence: AtomicU64,
    pub runs: Mutex<Vec<Run>>,
    pub work: Duration,
}

impl Node {
    /// Starts a node that serves at this address and sends heartbeats.
    pub fn start(id: &str, service: &str, zone: &str, addr: SocketAddrV4, controllers: &[SocketAddrV4], work: Duration) -> Arc<Node> {
        let node = Arc::new(Node {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            addr,
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            runs: Mutex::new(Vec::new()),
            work,
        });
        let listener = TcpListener::bind(addr).expect("a free port for a node");
        let server = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = server.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
        let (beating, controllers) = (node.clone(), controllers.to_vec());
        std::thread::spawn(move || {
            while !beating.silent.load(Ordering::SeqCst) {
                beating.send_heartbeat(&controllers);
                std::thread::sleep(Duration::from_millis(1200));
            }
        });
        node
    }

    pub fn heartbeat_body(&self) -> String {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","epoch":"v1","capacity":4,"state":"{state}","warmup_left_ms":0,"call_seq":{sequence}}}"#,
            self.service, self.addr, self.zone
        )
    }

    /// Sends a heartbeat to one controller after another until one acknowledges it.
    pub fn send_heartbeat(&self, controllers: &[SocketAddrV4]) -> bool {
        let path = format!("/-/nodes/{}/heartbeat", self.id);
        let first = self.sequence.load(Ordering::SeqCst) as usize;
        let body = self.heartbeat_body();
        for step in 0..controllers.len() {
            let addr = controllers[(first + step) % controllers.len()];
            let headers = [("Content-Type", "application/json")];
            let reply = http::call(addr, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            if reply.is_ok_and(|reply| (200..300).contains(&reply.status)) {
                return true;
            }
        }
        false
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(request) = http::read_message(&mut reader) {
            let reply = self.answer(&request);
            if reader.get_mut().write_all(&reply).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        if request.start.starts_with("GET /health ") {
            return format!("HTTP/1.1 200 OK\r\nNode-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id).into_bytes();
        }
        let attempt_id = request.header("Attempt-Id").unwrap_or_default().to_string();
        if request.header("Target-Node").is_some_and(|target| target != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt_id}\r\nNode-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            unix_ms: unix_ms(),
            attempt_id: attempt_id.clone(),
            line: request.start.clone(),
            tenant: request.header("Tenant").unwrap_or_default().to_string(),
        });
        std::thread::sleep(self.work);
        let body = format!("{} {}\n", self.service, self.id);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nAnswer-Seal: {}.{attempt_id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }
}

/// Sends a configuration until a controller answers with 200 or refuses it. Returns the status, or 0 without one in time.
pub fn replace_config(controllers: &[SocketAddrV4], base: u64, body: &str, timeout: Duration) -> u16 {
    let end = Instant::now() + timeout;
    let base = base.to_string();
    let mut step = 0;
    while Instant::now() < end {
        let addr = controllers[step % controllers.len()];
        let headers = [("Base-Epoch", base.as_str()), ("Content-Type", "application/json")];
        match http::call(addr, "POST", "/-/config/replace", &headers, body.as_bytes(), Duration::from_secs(1)) {
            Ok(reply) if matches!(reply.status, 200 | 400 | 409 | 412 | 413 | 422) => return reply.status,
            _ => {}
        }
        step += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    0
}

/// A report that the platform has accepted or refused.
#[derive(Clone, Debug)]
pub struct PlatformCall {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
    pub body: String,
    pub status: u16,
}

/// The platform's interface: takes usage reports, and refuses those with a lower fence than one seen before.
pub fn start_platform(addr: SocketAddrV4) -> Arc<Mutex<Vec<PlatformCall>>> {
    let calls = Arc::new(Mutex::new(Vec::<PlatformCall>::new()));
    let listener = TcpListener::bind(addr).expect("a free port for the platform");
    let taken = calls.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let calls = taken.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Ok(request) = http::read_message(&mut reader) {
                    let token = request.header("Fence-Token").and_then(|token| token.parse().ok()).unwrap_or(0);
                    let holder = request.header("Duty-Holder").unwrap_or_default().to_string();
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    let status = {
                        let mut calls = calls.lock().unwrap();
                        let newest = calls.iter().map(|call| call.token).max().unwrap_or(0);
                        let status = if token < newest { 409 } else { 200 };
                        calls.push(PlatformCall { at: Instant::now(), holder, token, body, status });
                        status
                    };
                    let reply = format!("HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\n\r\n");
                    if reader.get_mut().write_all(reply.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    calls
}

//! The real binary against stand-ins on free loopback ports.
#![allow(dead_code)]

use fernknot_stand_in::{CONFIG, DataNode, Discovery, NodeBehaviour};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub static NUMBER: AtomicU32 = AtomicU32::new(0);

/// Waits for a condition, for as long as a busy machine may need.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(30), "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

/// A running router, killed when dropped.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    pub config: std::path::PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Router {
    pub fn spawn(config: &Value, address: SocketAddr, discovery: SocketAddr) -> Router {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("fernknot-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_fernknot-router"))
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Router { child, address, config: path }
    }

    /// Starts one that is up; another port is tried where one is taken meanwhile.
    pub fn start(config: &Value, discovery: SocketAddr) -> Router {
        loop {
            let mut router = Router::spawn(config, free_address(), discovery);
            let mut ended = false;
            until("a router that is up", || {
                ended = router.child.try_wait().unwrap().is_some();
                ended || router.try_get("/up").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
            });
            if !ended {
                return router;
            }
        }
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    pub fn try_get(&self, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    pub fn counter(&self, name: &str) -> u64 {
        let text = self.try_get("/counters").unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no counter {name}: {text}")).parse().unwrap()
    }

    /// One multiget on a connection of its own.
    pub fn ask(&self, use_case: &str, shards: &[u32], deadline: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(request(use_case, shards, deadline, "Connection: close\r\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

pub fn request(use_case: &str, shards: &[u32], deadline: &str, headers: &str) -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let part = 1.0 / shards.len() as f64;
    let buckets: Vec<Value> = shards.iter().map(|shard| json!({"bucket": shard, "part": part})).collect();
    let body = json!({"buckets": buckets, "body": "te\"xt\n\u{e9}"}).to_string();
    format!(
        "POST /{use_case} HTTP/1.1\r\nreq-ID: r{number}\r\nReq-Deadline: {deadline}\r\n\
         Idempotency-Key: k{number}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn config() -> Value {
    serde_json::from_str(CONFIG).unwrap()
}

/// A router, and nodes at places 0, 1, 0, 1 in turn, listed as up.
pub fn deployment(behaviours: &[NodeBehaviour]) -> (Router, Vec<DataNode>, Discovery) {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let start = |(index, behaviour): (usize, &NodeBehaviour)| {
        let node = DataNode::start(*behaviour).unwrap();
        discovery.put(&format!("s-{index}"), node.address, index as u32 % 2, "up");
        node
    };
    let nodes = behaviours.iter().enumerate().map(start).collect();
    (Router::start(&config(), discovery.address), nodes, discovery)
}

pub fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"]}") {
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "cut off: {}", String::from_utf8_lossy(&answer));
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap()
}

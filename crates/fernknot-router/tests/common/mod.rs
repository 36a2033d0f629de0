//! Helpers that run the router binary against stand-ins on free loopback ports.
#![allow(dead_code)]

use fernknot_stand_in::{CONFIG, DataNode, Discovery, NodeBehaviour};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Number for the next unique file name or request id.
pub static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Waits for a condition; `expected` describes it in the message of the panic after a time-out.
pub fn wait_until(expected: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(30), "not met in time: {expected}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Returns a loopback address whose port is free.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

/// Running router process, killed when dropped.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    /// Path of the configuration file.
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
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
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

    /// Starts a router and waits until it is ready. Tries another port if the chosen one is in use.
    pub fn start(config: &Value, discovery: SocketAddr) -> Router {
        loop {
            let mut router = Router::spawn(config, free_address(), discovery);
            let mut has_exited = false;
            wait_until("the router is ready", || {
                has_exited = router.child.try_wait().unwrap().is_some();
                has_exited || router.try_get("/up").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
            });
            if !has_exited {
                return router;
            }
        }
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Returns the response to a GET request; `None` if the connection fails.
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

    /// Sends a multiget on a new connection and returns the response.
    pub fn multiget(&self, use_case: &str, shards: &[u32], deadline: &str) -> String {
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

/// Returns the text of a request for a multiget with a new id.
pub fn request(use_case: &str, shards: &[u32], deadline: &str, headers: &str) -> String {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
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

/// Starts a router and nodes with these behaviours, which are listed as up at places 0, 1, 0, 1 and so on.
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

/// Reads one response to a multiget from a connection.
pub fn read_response(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"]}") {
        assert_eq!(
            stream.read(&mut byte).unwrap(),
            1,
            "connection closed after: {}",
            String::from_utf8_lossy(&answer)
        );
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap()
}

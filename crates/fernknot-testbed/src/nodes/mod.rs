//! Stand-in nodes, by the users' protocol for the routers of a service: each incarnation has an id of its own, sends
//! heartbeats, works on so many requests at once, rejects the rest, drains before a planned end and says nothing before a
//! crash.

mod control;
mod node;
mod records;
mod server;

pub use node::NodeSettings;
pub use records::shard_records;

use crate::execution_log::ExecutionLog;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use node::{Node, Shared};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Threads that send heartbeats for all nodes.
const HEARTBEAT_THREADS: usize = 4;
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Heartbeats of all nodes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatCounts {
    /// Those that a controller acknowledged.
    pub acknowledged: usize,
    /// Those that no controller took.
    pub missed: usize,
}

/// All stand-in nodes of a cluster. They go by their numbers, from 0 on.
pub struct Nodes {
    shared: Arc<Shared>,
    ip: Ipv4Addr,
}

impl Nodes {
    /// `ip` is the address of all nodes, each with a port of its own; `control_addrs` are the controllers that they call.
    pub fn new(
        ip: Ipv4Addr,
        control_addrs: Vec<SocketAddrV4>,
        heartbeat_interval: Duration,
        seed: u64,
    ) -> Nodes {
        let shared = Arc::new(Shared {
            execution_log: Mutex::default(),
            control_addrs: Mutex::new(control_addrs),
            nodes: Mutex::default(),
            heartbeat_interval,
            next_seal: AtomicU64::new(1),
            heartbeats: AtomicUsize::new(0),
            missed_heartbeats: AtomicUsize::new(0),
            is_over: AtomicBool::new(false),
            rng: Rng::new(seed),
        });
        for part in 0..HEARTBEAT_THREADS {
            let shared = shared.clone();
            thread::spawn(move || control::send_heartbeats(&shared, part, HEARTBEAT_THREADS));
        }
        Nodes { shared, ip }
    }

    /// Starts a node; its number comes back.
    ///
    /// # Errors
    /// The system gives no port or no thread.
    pub fn start(&self, settings: NodeSettings) -> std::io::Result<usize> {
        let id = format!("i-{:016x}", self.shared.rng.next_u64());
        let listener = match settings.accepts_requests {
            true => Some(TcpListener::bind((self.ip, 0))?),
            false => None,
        };
        let mut nodes = lock(&self.shared.nodes);
        let number = nodes.len();
        let addr = match listener.as_ref().map(TcpListener::local_addr).transpose()? {
            Some(SocketAddr::V4(addr)) => addr,
            // No two share an address: the later one would be taken for the earlier one's next incarnation.
            _ => SocketAddrV4::new(self.ip, 1 + (number % 65_000) as u16),
        };
        let node = Arc::new(Node::new(id, addr, settings));
        nodes.push(node.clone());
        drop(nodes);
        if let Some(listener) = listener {
            let shared = self.shared.clone();
            thread::Builder::new()
                .stack_size(THREAD_STACK_BYTES)
                .spawn(move || server::accept(&shared, &node, &listener))?;
        }
        Ok(number)
    }

    /// Heartbeats so far.
    pub fn heartbeat_counts(&self) -> HeartbeatCounts {
        HeartbeatCounts {
            acknowledged: self.shared.heartbeats.load(Ordering::Relaxed),
            missed: self.shared.missed_heartbeats.load(Ordering::Relaxed),
        }
    }

    /// The id of a node; empty where there is no such node.
    pub fn id(&self, number: usize) -> String {
        self.node(number).map(|node| node.id.clone()).unwrap_or_default()
    }

    /// The node says that it drains until that is acknowledged; it goes on serving.
    pub fn drain(&self, number: usize) {
        if let Some(node) = self.node(number) {
            node.is_draining.store(true, Ordering::Relaxed);
        }
    }

    /// The node deregisters at one controller after the other, then ends. True where one acknowledged it.
    pub fn deregister(&self, number: usize) -> bool {
        let Some(node) = self.node(number) else { return false };
        node.is_draining.store(true, Ordering::Relaxed);
        let is_acknowledged = control::call_controller(&self.shared, &node, control::NodeCall::Deregister);
        node.end();
        is_acknowledged
    }

    /// The node ends and says nothing.
    pub fn crash(&self, number: usize) {
        if let Some(node) = self.node(number) {
            node.end();
        }
    }

    /// What the nodes ran so far.
    pub fn execution_log(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.shared.execution_log)
    }

    /// Which controllers nodes call from now on.
    pub fn set_control_addrs(&self, control_addrs: Vec<SocketAddrV4>) {
        *lock(&self.shared.control_addrs) = control_addrs;
    }

    fn node(&self, number: usize) -> Option<Arc<Node>> {
        lock(&self.shared.nodes).get(number).cloned()
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        let nodes = std::mem::take(&mut *lock(&self.shared.nodes));
        nodes.iter().for_each(|node| node.end());
    }
}

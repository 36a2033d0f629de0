//! Stand-in nodes, which follow the protocol between the system and the nodes of a service. Each incarnation has its
//! own id, sends heartbeats to the controllers, serves a limited number of requests at once, queues a limited number
//! and rejects further ones. A node drains before a planned stop: it reports this state in its heartbeats, so that
//! gateways send it no new requests. It sends no notice before a crash.

mod control;
mod node;
mod records;
mod server;

pub use node::NodeSettings;
pub use records::shard_records;

use crate::execution_log::ExecutionLog;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use node::{Node, SharedState};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Number of threads that send the heartbeats of all nodes.
const HEARTBEAT_THREAD_COUNT: usize = 4;
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Numbers of heartbeats of all nodes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatCounts {
    /// Number of heartbeats that a controller acknowledged.
    pub acknowledged: usize,
    /// Number of heartbeats that no controller acknowledged.
    pub unacknowledged: usize,
}

/// Stand-in nodes of a cluster, identified by numbers from 0 on.
pub struct Nodes {
    shared: Arc<SharedState>,
    ip: Ipv4Addr,
}

impl Nodes {
    /// Starts the heartbeat threads. `ip` is the address of all nodes, each on its own port; `control_addrs` are the
    /// controllers that nodes call.
    pub fn new(
        ip: Ipv4Addr,
        control_addrs: Vec<SocketAddrV4>,
        heartbeat_interval: Duration,
        seed: u64,
    ) -> Nodes {
        let shared = Arc::new(SharedState {
            execution_log: Mutex::default(),
            control_addrs: Mutex::new(control_addrs),
            nodes: Mutex::default(),
            heartbeat_interval,
            next_seal: AtomicU64::new(1),
            acknowledged_heartbeats: AtomicUsize::new(0),
            unacknowledged_heartbeats: AtomicUsize::new(0),
            stop_requested: AtomicBool::new(false),
            rng: Rng::new(seed),
        });
        for thread_index in 0..HEARTBEAT_THREAD_COUNT {
            let shared = shared.clone();
            thread::spawn(move || control::send_heartbeats(&shared, thread_index, HEARTBEAT_THREAD_COUNT));
        }
        Nodes { shared, ip }
    }

    /// Starts a node. Returns its number.
    ///
    /// # Errors
    /// No port or thread is available.
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
            // Addresses are unique: controllers treat a second node at an address as the next incarnation of the first.
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

    /// Returns the numbers of heartbeats so far.
    pub fn heartbeat_counts(&self) -> HeartbeatCounts {
        HeartbeatCounts {
            acknowledged: self.shared.acknowledged_heartbeats.load(Ordering::Relaxed),
            unacknowledged: self.shared.unacknowledged_heartbeats.load(Ordering::Relaxed),
        }
    }

    /// Returns the id of a node; empty if there is no such node.
    pub fn id(&self, number: usize) -> String {
        self.node(number).map(|node| node.id.clone()).unwrap_or_default()
    }

    /// Makes a node report that it is draining, from the next heartbeat on. The node continues to serve requests.
    pub fn drain(&self, number: usize) {
        if let Some(node) = self.node(number) {
            node.is_draining.store(true, Ordering::Relaxed);
        }
    }

    /// Deregisters a node at the first controller that acknowledges it, then stops the node. Returns whether a controller
    /// acknowledged it.
    pub fn deregister(&self, number: usize) -> bool {
        let Some(node) = self.node(number) else { return false };
        node.is_draining.store(true, Ordering::Relaxed);
        let is_acknowledged = control::call_controller(&self.shared, &node, control::NodeCall::Deregister);
        node.stop();
        is_acknowledged
    }

    /// Stops a node without notifying a controller.
    pub fn crash(&self, number: usize) {
        if let Some(node) = self.node(number) {
            node.stop();
        }
    }

    /// Returns the log of executions so far, locked.
    pub fn execution_log(&self) -> MutexGuard<'_, ExecutionLog> {
        lock(&self.shared.execution_log)
    }

    /// Sets the controllers that nodes call from now on.
    pub fn set_control_addrs(&self, control_addrs: Vec<SocketAddrV4>) {
        *lock(&self.shared.control_addrs) = control_addrs;
    }

    fn node(&self, number: usize) -> Option<Arc<Node>> {
        lock(&self.shared.nodes).get(number).cloned()
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.shared.stop_requested.store(true, Ordering::Relaxed);
        let nodes = std::mem::take(&mut *lock(&self.shared.nodes));
        nodes.iter().for_each(|node| node.stop());
    }
}

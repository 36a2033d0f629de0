//! One node, and what all nodes share.

use crate::execution_log::ExecutionLog;
use crate::http::Connection;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A call to a controller is acknowledged within this, or another one is called.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections of a node after which those that have ended are forgotten.
const MAX_KNOWN_CONNECTIONS: usize = 256;

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The service that it belongs to.
    pub service: String,
    /// The zone where it is.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: usize,
    /// Requests more that wait.
    pub queue_capacity: usize,
    /// How long it works on each.
    pub service_time: Duration,
    /// Records of 16 bytes in a response.
    pub records: usize,
    /// Whether it takes requests at all; one that does not only sends heartbeats, for an address where nobody listens.
    pub accepts_requests: bool,
}

/// Requests at a node.
#[derive(Default)]
pub(super) struct NodeLoad {
    pub running: usize,
    pub queued: usize,
}

/// One node.
pub(super) struct Node {
    pub id: String,
    pub addr: SocketAddrV4,
    pub settings: NodeSettings,
    pub load: Mutex<NodeLoad>,
    /// Notified as a request ends.
    pub slot_freed: Condvar,
    pub is_draining: AtomicBool,
    pub has_ended: AtomicBool,
    pub call_sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// To the controller that took its last call.
    pub controller_connection: Mutex<Option<Connection>>,
}

impl Node {
    pub fn new(id: String, addr: SocketAddrV4, settings: NodeSettings) -> Node {
        Node {
            id,
            addr,
            settings,
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            call_sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            controller_connection: Mutex::default(),
        }
    }

    /// Remembers a connection, which ends with the node.
    pub fn add_connection(&self, stream: TcpStream) {
        let mut connections = lock(&self.connections);
        if connections.len() > MAX_KNOWN_CONNECTIONS {
            connections.retain(|connection| connection.peer_addr().is_ok());
        }
        connections.push(stream);
    }

    /// Ends the node and its connections.
    pub fn end(&self) {
        if self.has_ended.swap(true, Ordering::Relaxed) {
            return;
        }
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The thread that accepts waits for one more.
        if self.settings.accepts_requests {
            let _ = TcpStream::connect_timeout(&SocketAddr::V4(self.addr), CALL_TIMEOUT);
        }
    }
}

/// What all nodes share.
pub(super) struct Shared {
    pub execution_log: Mutex<ExecutionLog>,
    pub control_addrs: Mutex<Vec<SocketAddrV4>>,
    pub nodes: Mutex<Vec<Arc<Node>>>,
    pub heartbeat_interval: Duration,
    pub next_seal: AtomicU64,
    pub heartbeats: AtomicUsize,
    pub missed_heartbeats: AtomicUsize,
    pub is_over: AtomicBool,
    pub rng: Rng,
}

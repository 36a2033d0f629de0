//! State of one node, and state shared by all nodes.

use crate::execution_log::ExecutionLog;
use crate::http::Connection;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time-out of a call to a controller, after which the next controller is called.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of tracked connections of a node above which closed ones are removed.
const MAX_TRACKED_CONNECTIONS: usize = 256;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Service that the node belongs to.
    pub service: String,
    /// Zone of the node.
    pub zone: String,
    /// Maximum number of requests that run at once.
    pub capacity: usize,
    /// Maximum number of requests that wait while `capacity` requests run; further requests are rejected.
    pub queue_capacity: usize,
    /// Time that the execution of a request takes.
    pub service_time: Duration,
    /// Number of 16-byte records in a response.
    pub records: usize,
    /// Whether the node accepts requests. If not, the node only sends heartbeats, with an address where nothing listens.
    pub accepts_requests: bool,
}

/// Numbers of running and queued requests at a node.
#[derive(Default)]
pub(super) struct NodeLoad {
    pub running: usize,
    pub queued: usize,
}

/// One incarnation of a stand-in node.
pub(super) struct Node {
    pub id: String,
    pub addr: SocketAddrV4,
    pub settings: NodeSettings,
    pub load: Mutex<NodeLoad>,
    /// Notified when a running request ends.
    pub slot_released: Condvar,
    pub is_draining: AtomicBool,
    pub has_stopped: AtomicBool,
    /// Time at which a controller acknowledged the node's drain.
    pub drain_acknowledged_at: Mutex<Option<Instant>>,
    pub call_sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    /// Connection to the controller that acknowledged the last call; none if the last call failed.
    pub controller_connection: Mutex<Option<Connection>>,
}

impl Node {
    pub fn new(id: String, addr: SocketAddrV4, settings: NodeSettings) -> Node {
        Node {
            id,
            addr,
            settings,
            load: Mutex::default(),
            slot_released: Condvar::new(),
            is_draining: AtomicBool::new(false),
            has_stopped: AtomicBool::new(false),
            drain_acknowledged_at: Mutex::default(),
            call_sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            controller_connection: Mutex::default(),
        }
    }

    /// Tracks a connection, to close it when the node stops.
    pub fn add_connection(&self, stream: TcpStream) {
        let mut connections = lock(&self.connections);
        if connections.len() > MAX_TRACKED_CONNECTIONS {
            connections.retain(|connection| connection.peer_addr().is_ok());
        }
        connections.push(stream);
    }

    /// Stops the node and closes its connections.
    pub fn stop(&self) {
        if self.has_stopped.swap(true, Ordering::Relaxed) {
            return;
        }
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which ends only after one more connection.
        if self.settings.accepts_requests {
            let _ = TcpStream::connect_timeout(&SocketAddr::V4(self.addr), CALL_TIMEOUT);
        }
    }
}

/// State shared by all nodes.
pub(super) struct SharedState {
    pub execution_log: Mutex<ExecutionLog>,
    pub control_addrs: Mutex<Vec<SocketAddrV4>>,
    pub nodes: Mutex<Vec<Arc<Node>>>,
    pub heartbeat_interval: Duration,
    pub next_seal: AtomicU64,
    pub acknowledged_heartbeats: AtomicUsize,
    pub unacknowledged_heartbeats: AtomicUsize,
    pub stop_requested: AtomicBool,
    pub rng: Rng,
}

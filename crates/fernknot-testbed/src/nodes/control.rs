//! Calls of nodes to controllers: heartbeats and deregistrations.

use crate::http::{Connection, encode_request};
use crate::nodes::node::{CALL_TIMEOUT, Node, SharedState};
use crate::sync::lock;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Time between checks for due heartbeats.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum body size of an acknowledgement, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;

#[derive(Clone, Copy)]
pub(super) enum NodeCall {
    Heartbeat,
    Deregister,
}

impl NodeCall {
    fn path_segment(self) -> &'static str {
        match self {
            NodeCall::Heartbeat => "heartbeat",
            NodeCall::Deregister => "deregister",
        }
    }
}

/// Time of a node's next heartbeat, and the draining state that its last one reported.
#[derive(Clone, Copy)]
struct NextHeartbeat {
    due_at: Instant,
    was_draining: bool,
}

/// Sends the heartbeats of the nodes whose number modulo `thread_count` is `thread_index`, until the nodes are dropped.
pub(super) fn send_heartbeats(shared: &SharedState, thread_index: usize, thread_count: usize) {
    let mut next_heartbeats: HashMap<usize, NextHeartbeat> = HashMap::new();
    while !shared.stop_requested.load(Ordering::Relaxed) {
        let nodes = live_nodes(shared, thread_index, thread_count);
        let count = nodes.len().max(1);
        for (number, node) in nodes {
            let previous = next_heartbeats.get(&number).copied();
            // A new node sends its first heartbeat at once; later heartbeats of all nodes are spread over the interval.
            let first_interval =
                shared.heartbeat_interval.mul_f64((number / thread_count % count) as f64 / count as f64);
            let interval = if previous.is_none() { first_interval } else { shared.heartbeat_interval };
            if let Some(next) = send_due_heartbeat(shared, &node, previous, interval) {
                next_heartbeats.insert(number, next);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn live_nodes(shared: &SharedState, thread_index: usize, thread_count: usize) -> Vec<(usize, Arc<Node>)> {
    let nodes = lock(&shared.nodes);
    let assigned = nodes.iter().enumerate().filter(|(number, _)| number % thread_count == thread_index);
    let live = assigned.filter(|(_, node)| !node.has_stopped.load(Ordering::Relaxed));
    live.map(|(number, node)| (number, node.clone())).collect()
}

/// Sends a heartbeat if one is due, or if the node has begun to drain since the last one. Returns the next heartbeat if
/// one was sent.
fn send_due_heartbeat(
    shared: &SharedState,
    node: &Node,
    previous: Option<NextHeartbeat>,
    interval: Duration,
) -> Option<NextHeartbeat> {
    let now = Instant::now();
    let is_draining = node.is_draining.load(Ordering::Relaxed);
    if previous.is_some_and(|previous| now < previous.due_at && is_draining == previous.was_draining) {
        return None;
    }
    if call_controller(shared, node, NodeCall::Heartbeat) {
        shared.acknowledged_heartbeats.fetch_add(1, Ordering::Relaxed);
        if is_draining {
            lock(&node.drain_acknowledged_at).get_or_insert_with(Instant::now);
        }
        let due_at = (now + interval).max(now + shared.heartbeat_interval.mul_f64(0.05));
        Some(NextHeartbeat { due_at, was_draining: is_draining })
    } else {
        shared.unacknowledged_heartbeats.fetch_add(1, Ordering::Relaxed);
        let due_at = now + shared.heartbeat_interval.mul_f64(0.1);
        // The inverted draining state makes the next check send the unacknowledged heartbeat again.
        Some(NextHeartbeat { due_at, was_draining: !is_draining })
    }
}

/// Sends a call to one controller after another until one acknowledges it. Returns whether one did.
pub(super) fn call_controller(shared: &SharedState, node: &Node, call: NodeCall) -> bool {
    let control_addrs = lock(&shared.control_addrs).clone();
    let mut connection = lock(&node.controller_connection);
    let request = encode_call(node, call);
    if connection.as_mut().is_some_and(|connection| is_acknowledged(connection, &request)) {
        return true;
    }
    let first = shared.rng.below(control_addrs.len());
    for offset in 0..control_addrs.len() {
        let addr = control_addrs[(first + offset) % control_addrs.len()];
        *connection = Connection::connect(addr, CALL_TIMEOUT).ok();
        if connection.as_mut().is_some_and(|connection| is_acknowledged(connection, &request)) {
            return true;
        }
    }
    *connection = None;
    false
}

fn encode_call(node: &Node, call: NodeCall) -> Vec<u8> {
    let state = if node.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
    let settings = &node.settings;
    let body = json!({
        "backend": settings.service, "address": node.addr.to_string(), "zone": settings.zone,
        "epoch": "v1", "capacity": settings.capacity, "state": state, "warmup_left_ms": 0,
        "call_seq": node.call_sequence.fetch_add(1, Ordering::Relaxed) + 1,
    });
    let path = format!("/-/nodes/{}/{}", node.id, call.path_segment());
    let headers = ["Content-Type: application/json".to_string()];
    encode_request("POST", &path, &headers, body.to_string().as_bytes())
}

fn is_acknowledged(connection: &mut Connection, request: &[u8]) -> bool {
    let until = Instant::now() + CALL_TIMEOUT;
    let response = connection.send(request, until).and_then(|()| connection.read_response(until));
    response.is_ok_and(|response| response.status() / 100 == 2 && response.body.len() <= MAX_RESPONSE_BYTES)
}

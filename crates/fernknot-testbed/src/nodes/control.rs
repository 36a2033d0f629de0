//! Calls of nodes to controllers.

use crate::http::{Connection, encode_request};
use crate::nodes::node::{CALL_TIMEOUT, Node, Shared};
use crate::sync::lock;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How often the due heartbeats are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The longest response to a call that counts, in bytes.
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

/// When a node sends its next heartbeat, and with what it sent the last.
#[derive(Clone, Copy)]
struct NextHeartbeat {
    due_at: Instant,
    was_draining: bool,
}

/// Sends the heartbeats of every `parts`th node until all is over.
pub(super) fn send_heartbeats(shared: &Shared, part: usize, parts: usize) {
    let mut next_heartbeats: HashMap<usize, NextHeartbeat> = HashMap::new();
    while !shared.is_over.load(Ordering::Relaxed) {
        let nodes = live_nodes(shared, part, parts);
        let count = nodes.len().max(1);
        for (number, node) in nodes {
            let known = next_heartbeats.get(&number).copied();
            // All new nodes are known at once; their later heartbeats are spread over the interval.
            let spread = shared.heartbeat_interval.mul_f64((number / parts % count) as f64 / count as f64);
            let interval = if known.is_none() { spread } else { shared.heartbeat_interval };
            if let Some(next) = send_due_heartbeat(shared, &node, known, interval) {
                next_heartbeats.insert(number, next);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn live_nodes(shared: &Shared, part: usize, parts: usize) -> Vec<(usize, Arc<Node>)> {
    let nodes = lock(&shared.nodes);
    let mine = nodes.iter().enumerate().filter(|(number, _)| number % parts == part);
    let live = mine.filter(|(_, node)| !node.has_ended.load(Ordering::Relaxed));
    live.map(|(number, node)| (number, node.clone())).collect()
}

/// Sends a heartbeat if one is due, or if the node has begun to drain since the last; says when the next one is due.
fn send_due_heartbeat(
    shared: &Shared,
    node: &Node,
    known: Option<NextHeartbeat>,
    interval: Duration,
) -> Option<NextHeartbeat> {
    let now = Instant::now();
    let is_draining = node.is_draining.load(Ordering::Relaxed);
    if known.is_some_and(|known| now < known.due_at && is_draining == known.was_draining) {
        return None;
    }
    if call_controller(shared, node, NodeCall::Heartbeat) {
        shared.heartbeats.fetch_add(1, Ordering::Relaxed);
        let due_at = (now + interval).max(now + shared.heartbeat_interval.mul_f64(0.05));
        Some(NextHeartbeat { due_at, was_draining: is_draining })
    } else {
        shared.missed_heartbeats.fetch_add(1, Ordering::Relaxed);
        let due_at = now + shared.heartbeat_interval.mul_f64(0.1);
        // What was not acknowledged goes again at once.
        Some(NextHeartbeat { due_at, was_draining: !is_draining })
    }
}

/// One call, at one controller after the other until one takes it.
pub(super) fn call_controller(shared: &Shared, node: &Node, call: NodeCall) -> bool {
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

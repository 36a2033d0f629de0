//! HTTP server of nodes.

use crate::execution_log::Execution;
use crate::http::{Connection, Message, StartLine, encode_response};
use crate::nodes::THREAD_STACK_BYTES;
use crate::nodes::node::{Node, SharedState};
use crate::nodes::records::shard_records;
use crate::sync::lock;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which an idle connection is closed, stated in the `Keep-Alive` header of responses.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of a request without a `Deadline-Ms` header, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

struct Response {
    status: u16,
    /// Header lines without their line ends.
    headers: Vec<String>,
    body: Vec<u8>,
}

pub(super) fn accept(shared: &Arc<SharedState>, node: &Arc<Node>, listener: &TcpListener) {
    while let Ok((stream, from)) = listener.accept() {
        if node.has_stopped.load(Ordering::Relaxed) {
            return;
        }
        let (SocketAddr::V4(from), Ok(handle)) = (from, stream.try_clone()) else { continue };
        node.add_connection(handle);
        let (shared, node) = (shared.clone(), node.clone());
        let serve = move || serve(&shared, &node, Connection::from_stream(stream, from));
        if thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(serve).is_err() {
            return;
        }
    }
}

fn serve(shared: &SharedState, node: &Node, mut connection: Connection) {
    while !node.has_stopped.load(Ordering::Relaxed) {
        let Ok(Some(request)) = connection.read_request(Instant::now() + IDLE_TIMEOUT) else { break };
        let Response { status, mut headers, body } = handle_request(shared, node, &request);
        if let Some(attempt_id) = request.header("attempt-id") {
            headers.push(format!("Attempt-Id: {attempt_id}"));
        }
        headers.push(format!("Keep-Alive: timeout={}", IDLE_TIMEOUT.as_secs()));
        let bytes = encode_response(status, &headers, &body);
        if connection.send(&bytes, Instant::now() + IDLE_TIMEOUT).is_err() {
            break;
        }
    }
}

fn reject(shared: &SharedState, status: u16, reason: &str) -> Response {
    lock(&shared.execution_log).rejected += 1;
    Response { status, headers: vec![format!("Not-Executed: {reason}")], body: Vec::new() }
}

fn handle_request(shared: &SharedState, node: &Node, request: &Message) -> Response {
    let started_at = Instant::now();
    let StartLine::Request { method, target } = &request.start_line else {
        return reject(shared, 400, "no request");
    };
    let is_health_check = method == "GET" && target == "/health";
    let attempt_id = request.header("attempt-id").unwrap_or_default();
    if !is_health_check && attempt_id.is_empty() {
        return reject(shared, 400, "no id");
    }
    if request.header("target-node").is_some_and(|id| id != node.id) {
        lock(&shared.execution_log).misdirected += 1;
        return reject(shared, 421, "another node is meant");
    }
    let deadline_ms = request.header("deadline-ms").and_then(|ms| ms.trim().parse().ok());
    let until = started_at + Duration::from_millis(deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
    if let Err(reason) = acquire_slot(node, until) {
        return reject(shared, 503, reason);
    }
    let response =
        if is_health_check { check_health(node) } else { execute(shared, node, attempt_id, target, until) };
    release_slot(node);
    response
}

/// Waits until the request may run. The error is the reason for rejecting the request.
fn acquire_slot(node: &Node, until: Instant) -> Result<(), &'static str> {
    let mut load = lock(&node.load);
    if load.running >= node.settings.capacity && load.queued >= node.settings.queue_capacity {
        return Err("full");
    }
    load.queued += 1;
    while load.running >= node.settings.capacity {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            load.queued -= 1;
            return Err("its time passed in the queue");
        }
        load = node.slot_released.wait_timeout(load, remaining).unwrap_or_else(PoisonError::into_inner).0;
    }
    load.queued -= 1;
    load.running += 1;
    Ok(())
}

fn release_slot(node: &Node) {
    lock(&node.load).running -= 1;
    node.slot_released.notify_one();
}

fn check_health(node: &Node) -> Response {
    let status = if node.is_draining.load(Ordering::Relaxed) { 503 } else { 200 };
    Response { status, headers: vec![format!("Node-Id: {}", node.id)], body: Vec::new() }
}

fn execute(shared: &SharedState, node: &Node, attempt_id: &str, target: &str, until: Instant) -> Response {
    let settings = &node.settings;
    let remaining = until.saturating_duration_since(Instant::now());
    let is_too_late = settings.service_time > remaining;
    let body =
        if is_too_late { Vec::new() } else { shard_records(&settings.service, target, settings.records) };
    let number = shared.next_seal.fetch_add(1, Ordering::Relaxed);
    let seal = (!is_too_late).then(|| format!("{number:08x}.{:08x}", shared.rng.next_u64() as u32));
    let execution = Execution {
        service: settings.service.clone(),
        target: target.to_string(),
        seal: seal.clone(),
        body: body.clone(),
        since_drain: lock(&node.drain_acknowledged_at).map(|at| at.elapsed()),
    };
    // Logged before the service time: a request counts as executed once its execution begins.
    lock(&shared.execution_log).executions.entry(attempt_id.to_string()).or_default().push(execution);
    thread::sleep(settings.service_time.min(remaining));
    match seal {
        Some(seal) => Response { status: 200, headers: vec![format!("Answer-Seal: {seal}")], body },
        None => Response { status: 504, headers: Vec::new(), body },
    }
}

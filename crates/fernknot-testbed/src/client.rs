//! HTTP client of the gateways: retries requests and reuses connections.

use crate::config_draft::HOST;
use crate::error::ConnectionError;
use crate::http::{Connection, Message, encode_request};
use crate::load_balancer::GatewayList;
use crate::requests::{Attempt, AttemptOutcome, AttemptTiming, ClientResponse, Request, RequestKind};
use fernknot_simulator::route_slots::slot_path;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time-out for establishing a connection to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a request on a route that comes and goes.
const OBSERVER_DEADLINE: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: usize = 4;
/// Delay before a retry if the response has no `Retry-After` header.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a client waits for a response after the deadline, as a share of the deadline.
const LATE_RESPONSE_SHARE: f64 = 0.1;

/// Error on connecting to a gateway.
#[derive(Debug, Error)]
enum ConnectError {
    #[error("there is no gateway to connect to")]
    NoGateway,
    #[error(transparent)]
    Failed(#[from] ConnectionError),
}

/// Client that sends one request at a time, and keeps its connection to a gateway for the next one.
pub(crate) struct Client {
    gateways: Arc<GatewayList>,
    deadline: Duration,
    /// Persistent connection left open by the last request.
    connection: Option<Connection>,
}

/// Outcome of an attempt, and the delay that the response asks for before a retry.
struct AttemptResult {
    was_sent: bool,
    outcome: AttemptOutcome,
    retry_after: Option<Duration>,
    timing: Option<AttemptTiming>,
}

impl AttemptResult {
    fn failed(was_sent: bool, outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { was_sent, outcome, retry_after: None, timing: None }
    }
}

impl Client {
    pub fn new(gateways: Arc<GatewayList>, deadline: Duration) -> Client {
        Client { gateways, deadline, connection: None }
    }

    /// Sends a request, and retries it until it succeeds, must not be retried, or reaches its deadline or attempt limit.
    pub fn send_request(&mut self, kind: RequestKind) -> Request {
        let target = format!("{}{:08x}", kind.prefix(), self.gateways.rng.next_u64() as u32);
        let started_at = Instant::now();
        let until = started_at + self.deadline;
        let mut attempts = Vec::new();
        loop {
            let id = format!("{:016x}", self.gateways.rng.next_u64());
            let result = self.attempt(&id, kind, &target, until);
            let (may_retry, retry_after) = (may_retry(kind, &result), result.retry_after);
            let AttemptResult { was_sent, outcome, timing, .. } = result;
            attempts.push(Attempt { id, was_sent, outcome, timing, may_be_cut_off: false });
            let remaining = until.saturating_duration_since(Instant::now());
            if !may_retry || remaining.is_zero() || attempts.len() >= MAX_ATTEMPTS {
                let duration_ms = started_at.elapsed().as_secs_f64() * 1e3;
                return Request { kind, target, attempts, duration_ms };
            }
            // Each retry uses a new connection. The delay is at most a third of the time until the request's deadline.
            self.connection = None;
            thread::sleep(retry_after.unwrap_or(RETRY_DELAY).min(remaining / 3));
        }
    }

    /// Sends an attempt on the persistent connection, or on a new one.
    fn attempt(&mut self, id: &str, kind: RequestKind, target: &str, until: Instant) -> AttemptResult {
        let connection = match self.take_connection() {
            Ok(connection) => connection,
            Err(error) => {
                return AttemptResult::failed(false, AttemptOutcome::Disconnected(error.to_string()));
            }
        };
        let read_until = until + self.deadline.mul_f64(LATE_RESPONSE_SHARE);
        let (result, connection) = timed_exchange(connection, id, kind, target, [until, read_until]);
        self.connection = connection;
        result
    }

    /// Returns the persistent connection, or a new one to a gateway that is ready.
    fn take_connection(&mut self) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.connection.take() {
            return Ok(connection);
        }
        let gateway = self.gateways.choose().ok_or(ConnectError::NoGateway)?;
        Ok(Connection::connect(gateway, CONNECT_TIMEOUT)?)
    }
}

/// Sends one request on a new connection to a gateway, on a route that comes and goes.
pub(crate) fn request_on_route(gateway: SocketAddrV4, slot: u64, number: u64) -> Request {
    let kind = RequestKind::Single;
    let (id, target) = (format!("{number:016x}"), format!("{}{:08x}", slot_path(slot), number as u32));
    let started_at = Instant::now();
    let until = started_at + OBSERVER_DEADLINE;
    let result = match Connection::connect(gateway, CONNECT_TIMEOUT) {
        Ok(connection) => timed_exchange(connection, &id, kind, &target, [until, until]).0,
        Err(error) => AttemptResult::failed(false, AttemptOutcome::Disconnected(error.to_string())),
    };
    let AttemptResult { was_sent, outcome, timing, .. } = result;
    let attempts = vec![Attempt { id, was_sent, outcome, timing, may_be_cut_off: false }];
    Request { kind, target, attempts, duration_ms: started_at.elapsed().as_secs_f64() * 1e3 }
}

/// Sends a request and reads its response, until the two given times. Returns the connection too if it stays open.
fn timed_exchange(
    connection: Connection,
    id: &str,
    kind: RequestKind,
    target: &str,
    [send_until, read_until]: [Instant; 2],
) -> (AttemptResult, Option<Connection>) {
    let (gateway, sent_at) = (connection.peer, Instant::now());
    let request = encode_attempt(id, kind, target, send_until);
    let (result, connection) = exchange(connection, kind, &request, [send_until, read_until]);
    let timing = AttemptTiming { gateway, sent_at, ended_at: Instant::now() };
    (AttemptResult { timing: Some(timing), ..result }, connection)
}

fn exchange(
    mut connection: Connection,
    kind: RequestKind,
    request: &[u8],
    [send_until, read_until]: [Instant; 2],
) -> (AttemptResult, Option<Connection>) {
    if let Err(error) = connection.send(request, send_until) {
        return (AttemptResult::failed(false, AttemptOutcome::Disconnected(error.to_string())), None);
    }
    let response = match connection.read_response(read_until) {
        Ok(response) => response,
        Err(error) if connection.buffered_bytes() > 0 => {
            return (AttemptResult::failed(true, AttemptOutcome::Malformed(error.to_string())), None);
        }
        Err(error) => {
            return (AttemptResult::failed(true, AttemptOutcome::Disconnected(error.to_string())), None);
        }
    };
    if connection.buffered_bytes() > 0 {
        let reason = "unexpected bytes after the response".to_string();
        return (AttemptResult::failed(true, AttemptOutcome::Malformed(reason)), None);
    }
    let connection = (!response.closes_connection()).then_some(connection);
    let retry_after = retry_after(&response);
    let outcome = AttemptOutcome::Response(client_response(kind, response));
    (AttemptResult { was_sent: true, outcome, retry_after, timing: None }, connection)
}

fn encode_attempt(id: &str, kind: RequestKind, target: &str, until: Instant) -> Vec<u8> {
    let remaining_ms = until.saturating_duration_since(Instant::now()).as_millis();
    let headers = [
        format!("Host: {HOST}"),
        format!("Attempt-Id: {id}"),
        format!("Deadline-Ms: {}", remaining_ms.max(1)),
    ];
    match kind.is_idempotent() {
        true => encode_request("GET", target, &headers, b""),
        false => encode_request("POST", target, &headers, b"{\"prints\":3}"),
    }
}

/// Whether a request may be retried after this result of an attempt.
fn may_retry(kind: RequestKind, result: &AttemptResult) -> bool {
    match &result.outcome {
        AttemptOutcome::Malformed(_) => false,
        AttemptOutcome::Disconnected(_) => kind.is_idempotent() || !result.was_sent,
        AttemptOutcome::Response(response) => match response.status {
            200..=299 | 400 | 401 | 404 | 413 | 431 => false,
            408 | 421 | 429 | 503 => true,
            _ => kind.is_idempotent(),
        },
    }
}

fn retry_after(response: &Message) -> Option<Duration> {
    let seconds = response.header("retry-after")?.parse::<f64>().ok()?;
    (0.0..1e6).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

fn client_response(kind: RequestKind, response: Message) -> ClientResponse {
    let seal_header = if kind == RequestKind::Gather { "part-seals" } else { "answer-seal" };
    let seals = response.header_list(seal_header);
    let seals = seals.split(',').map(str::trim).filter(|seal| !seal.is_empty()).map(String::from).collect();
    let missing_parts = response.header("parts-missing").and_then(|count| count.parse().ok()).unwrap_or(0);
    ClientResponse { status: response.status(), seals, missing_parts, body: response.body }
}

//! Requests of clients, with the outcomes of their attempts.

use std::net::SocketAddrV4;
use std::time::Instant;

/// Kind of request, each with its own route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Query for the greatest records of all shards.
    Gather,
    /// Query for the records of one node.
    Single,
    /// Order, which must not be executed twice.
    Mutating,
}

impl RequestKind {
    /// Returns the path prefix of the route.
    pub fn prefix(self) -> &'static str {
        match self {
            RequestKind::Gather => "/gather/",
            RequestKind::Single => "/one/",
            RequestKind::Mutating => "/order/",
        }
    }

    /// Whether the request may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        self != RequestKind::Mutating
    }
}

/// Complete response, reduced to the parts that the checker reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status of the response.
    pub status: u16,
    /// Seals of the parts of a gathered response, or the one seal of another response. A seal identifies an execution.
    pub seals: Vec<String>,
    /// Number of missing parts that the response reports.
    pub missing_parts: usize,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Outcome of one attempt, as the client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response, whatever its status.
    Response(ClientResponse),
    /// No connection, or a connection that failed before the first byte of the response. Contains the reason.
    Disconnected(String),
    /// An incomplete or invalid response, or bytes after the response. Contains the reason.
    Malformed(String),
}

/// Gateway and times of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTiming {
    /// Address at which the gateway accepts clients.
    pub gateway: SocketAddrV4,
    /// Time at which the client began to send the request.
    pub sent_at: Instant,
    /// Time at which the attempt ended.
    pub ended_at: Instant,
}

/// Attempt of a request, sent to one gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Unique id of the attempt, sent as the header `Attempt-Id`.
    pub id: String,
    /// Whether the complete request was written to the connection.
    pub was_sent: bool,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Gateway and times of the attempt; none if there was no gateway to send it to.
    pub timing: Option<AttemptTiming>,
    /// Whether the response may be lost or cut off, because the gateway was killed or suspended around the attempt.
    pub may_be_cut_off: bool,
}

/// Request of a client with all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Path of the request, the same in all attempts.
    pub target: String,
    /// Attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// Time from the beginning of the first attempt to the end of the last one, in milliseconds.
    pub duration_ms: f64,
}

impl Request {
    /// Returns the response to the last attempt, if that attempt succeeded.
    pub fn success(&self) -> Option<&ClientResponse> {
        match &self.attempts.last()?.outcome {
            AttemptOutcome::Response(response) if response.is_success() => Some(response),
            _ => None,
        }
    }

    /// Whether the request was served: its last attempt succeeded.
    pub fn is_served(&self) -> bool {
        self.success().is_some()
    }
}

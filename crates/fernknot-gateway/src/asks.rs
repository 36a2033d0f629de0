//! Requests of clients in hand: what goes to nodes for each, and the answer that is made of what comes back.

use crate::routes::ConfigSnapshot;
use fernknot::interface::*;
use fernknot_merge::{ShardAnswer, merge_answers};
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Request, Response};
use fernknot_schema::RouteTarget;
use std::io::Write;
use std::rc::Rc;

/// Wire names of this system's requests and answers.
pub mod wire {
    pub const ATTEMPT_ID: &str = "Attempt-Id";
    pub const DEADLINE_MS: &str = "Deadline-Ms";
    pub const TARGET_NODE: &str = "Target-Node";
    pub const ANSWER_SEAL: &str = "Answer-Seal";
    pub const NOT_EXECUTED: &str = "Not-Executed";
    pub const PART_SEALS: &str = "Part-Seals";
    pub const PARTS_MISSING: &str = "Parts-Missing";
}

/// Lines of a head that concern one connection only, or that are written anew.
const UNFORWARDED_HEADERS: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "deadline-ms",
];

fn is_forwarded_header(name: &str) -> bool {
    !UNFORWARDED_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own))
        && !name.eq_ignore_ascii_case(wire::TARGET_NODE)
}

/// A request that is owed an answer.
pub struct PendingRequest {
    pub client: ConnectionId,
    pub multiget: MultigetId,
    pub config: Rc<ConfigSnapshot>,
    pub route: usize,
    pub attempt_id: String,
    pub deadline: Nanos,
    /// A `HEAD`: answers to it have no body.
    pub expects_no_body: bool,
    /// The head as nodes get it, but for what differs from one to the other.
    head: Vec<u8>,
    body: Vec<u8>,
    /// What is in of each part.
    parts: Vec<Option<Response>>,
    /// A node's whole answer that is a failure, kept for want of a better one.
    failure: Option<Response>,
    /// The connections that it went over, one for each hand-off. Guards against a late or doubled answer to one
    /// hand-off in the place of the answer to another: both bear the same id, so that only the connection tells.
    pub used_connections: Vec<ConnectionId>,
    /// It went out on a connection that was up.
    pub was_sent: bool,
    /// Connections begun for it that are not known to have failed before they were up: what was written on one has not
    /// gone out only while it is still opening.
    pub opening_connections: Vec<ConnectionId>,
}

/// What a node's answer is worth.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseClass {
    Part,
    /// The node did not run it; it is another one where `stranger` is true.
    NotExecuted {
        wrong_node: bool,
    },
    Failure,
    /// It belongs to no request of this line.
    Mismatched,
}

/// Judges an answer by its head. Guards against a late answer in another's place, an answer cut short, and
/// a failure that bears a seal.
pub fn classify_response(response: &Response, attempt: &str) -> ResponseClass {
    if response.header(wire::ATTEMPT_ID) != Some(attempt) {
        return ResponseClass::Mismatched;
    }
    let sealed = response.header(wire::ANSWER_SEAL).is_some_and(|seal| !seal.is_empty());
    let coded = response.header("content-encoding").is_some();
    match response.status {
        200..300 if sealed && response.framed && !coded => ResponseClass::Part,
        421 => ResponseClass::NotExecuted { wrong_node: true },
        _ if response.header(wire::NOT_EXECUTED).is_some() => {
            ResponseClass::NotExecuted { wrong_node: false }
        }
        _ => ResponseClass::Failure,
    }
}

/// A final answer as it is written.
pub struct FinalResponse<'a> {
    pub status: u16,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
    /// The length that the head tells where the body does not come: of an answer to a `HEAD`.
    pub content_length: Option<&'a str>,
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

impl FinalResponse<'_> {
    pub fn write(&self, out: &mut Buffer, keep: bool, idle_s: u64) {
        // Writing to a buffer does not fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        let _ = match keep {
            true if idle_s > 0 => write!(out, "Keep-Alive: timeout={idle_s}\r\n"),
            true => Ok(()),
            false => write!(out, "Connection: close\r\n"),
        };
        let _ = match self.content_length {
            Some(length) => write!(out, "Content-Length: {length}\r\n\r\n"),
            None => write!(out, "Content-Length: {}\r\n\r\n", self.body.len()),
        };
        out.push(self.body);
    }
}

impl PendingRequest {
    pub fn new(
        client: ConnectionId,
        pinned: Rc<ConfigSnapshot>,
        route: usize,
        attempt: String,
        client_end: Nanos,
        request: Request,
        parts: usize,
    ) -> PendingRequest {
        let mut head = Vec::with_capacity(256);
        // Writing to a vector does not fail.
        let _ = write!(head, "{} {} HTTP/1.1\r\n", request.method, request.target);
        for (name, value) in request.headers().iter().filter(|(name, _)| is_forwarded_header(name)) {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if !request.body.is_empty() || matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
            let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
        }
        PendingRequest {
            client,
            multiget: MultigetId(0),
            config: pinned,
            route,
            attempt_id: attempt,
            deadline: client_end,
            expects_no_body: request.method == "HEAD",
            head,
            body: request.body,
            parts: (0..parts).map(|_| None).collect(),
            failure: None,
            used_connections: Vec::new(),
            was_sent: false,
            opening_connections: Vec::new(),
        }
    }

    /// Writes the request for one node, which stops working on it when the time left is over.
    pub fn write_to_node(&self, out: &mut Buffer, life: &str, left: Nanos) {
        out.push(&self.head);
        let left = (left.0 / 1_000_000).max(1);
        let _ = write!(out, "{}: {left}\r\n{}: {life}\r\n\r\n", wire::DEADLINE_MS, wire::TARGET_NODE);
        out.push(&self.body);
    }

    /// Keeps the first answer to a part.
    pub fn add_part(&mut self, index: usize, response: Response) {
        if let Some(part) = self.parts.get_mut(index) {
            part.get_or_insert(response);
        }
    }

    /// Keeps a failure for want of a better answer, where it makes no promise that may be untrue.
    pub fn record_failure(&mut self, response: Response) {
        let promises = matches!(response.status, 408 | 421 | 429 | 503);
        if self.parts.len() == 1 && response.framed && response.status >= 400 && !promises {
            self.failure = Some(response);
        }
    }

    fn forward_response<'a>(&self, response: &'a Response) -> FinalResponse<'a> {
        let kept = response.headers().iter().filter(|(name, _)| is_forwarded_header(name));
        let headers = kept.map(|(name, value)| (name.as_str(), value.clone())).collect();
        let length = response.header("content-length").filter(|_| self.expects_no_body);
        FinalResponse { status: response.status, headers, body: &response.body, content_length: length }
    }

    /// The answer of what is in; a gathered one is written into `merged`.
    pub fn merged_response<'a>(&'a self, merged: &'a mut Vec<u8>) -> Option<FinalResponse<'a>> {
        let RouteTarget::Fanout { top_k, quorum, .. } = &self.config.route(self.route).target else {
            return self.parts.first()?.as_ref().map(|part| self.forward_response(part));
        };
        let is_in = self.parts.iter().flatten();
        let parts: Vec<ShardAnswer> = is_in
            .map(|part| ShardAnswer {
                seal: part.header(wire::ANSWER_SEAL).unwrap_or_default(),
                body: &part.body,
            })
            .collect();
        let got = merge_answers(&parts, self.parts.len(), *top_k, *quorum)?;
        *merged = got.body;
        let mut headers = vec![(wire::ATTEMPT_ID, self.attempt_id.clone()), (wire::PART_SEALS, got.seals)];
        if got.missing_shards > 0 {
            headers.push((wire::PARTS_MISSING, got.missing_shards.to_string()));
        }
        Some(FinalResponse { status: 200, headers, body: merged, content_length: None })
    }

    /// The answer where there is none: a node's own failure, or ours.
    pub fn error_response(&self, status: u16) -> FinalResponse<'_> {
        match &self.failure {
            Some(failure) => self.forward_response(failure),
            None => {
                let headers = vec![(wire::ATTEMPT_ID, self.attempt_id.clone())];
                FinalResponse { status, headers, body: b"", content_length: None }
            }
        }
    }
}

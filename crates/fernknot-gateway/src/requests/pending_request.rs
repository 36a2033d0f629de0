//! One request of a client while nodes work on it.

use super::response::FinalResponse;
use crate::config_snapshot::ConfigSnapshot;
use crate::headers::{self, is_forwarded_header};
use fernknot::interface::*;
use fernknot_merge::{ShardAnswer, merge_answers};
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Request, Response};
use fernknot_schema::RouteTarget;
use std::io::Write;
use std::rc::Rc;

/// Bytes that the head of a request usually fits in.
const HEAD_CAPACITY_BYTES: usize = 256;

/// A request that waits for its response.
pub struct PendingRequest {
    /// The client's connection.
    pub client: ConnectionId,
    /// The engine's identifier of the request.
    pub multiget: MultigetId,
    /// The configuration that was in force when the request was read; it stays until the response is written.
    pub config: Rc<ConfigSnapshot>,
    /// The index of its route in the configuration.
    pub route: usize,
    /// The client's `Attempt-Id`.
    pub attempt_id: String,
    /// Until when the client waits.
    pub deadline: Nanos,
    /// The method is `HEAD`: responses have no body.
    pub expects_no_body: bool,
    /// The connections that it was sent over, one for each attempt. Guards against a late or duplicate response to one
    /// attempt in the place of the response to another: both have the same `Attempt-Id`, so that only the connection
    /// tells them apart.
    pub used_connections: Vec<ConnectionId>,
    /// It was sent over a connection that was open.
    pub was_sent: bool,
    /// Connections that were begun for it and are not known to have failed before they were open: what was written to
    /// one has not been sent only while it is still opening.
    pub opening_connections: Vec<ConnectionId>,
    /// The head as nodes get it, without the fields that differ from node to node.
    head: Vec<u8>,
    body: Vec<u8>,
    /// The first answer of each shard.
    parts: Vec<Option<Response>>,
    /// A complete response of a node that is a failure, for want of a better one.
    failure: Option<Response>,
}

impl PendingRequest {
    /// A request that nothing has been sent for.
    pub fn new(
        client: ConnectionId,
        config: Rc<ConfigSnapshot>,
        route: usize,
        attempt_id: String,
        deadline: Nanos,
        request: Request,
        shard_count: usize,
    ) -> PendingRequest {
        PendingRequest {
            client,
            multiget: MultigetId(0),
            config,
            route,
            attempt_id,
            deadline,
            expects_no_body: request.method == "HEAD",
            used_connections: Vec::new(),
            was_sent: false,
            opening_connections: Vec::new(),
            head: forwarded_head(&request),
            body: request.body,
            parts: (0..shard_count).map(|_| None).collect(),
            failure: None,
        }
    }

    /// Writes the request for one node, which stops working on it when `time_left` is over.
    pub fn write_to_node(&self, output: &mut Buffer, incarnation: &str, time_left: Nanos) {
        output.push(&self.head);
        let left_ms = (time_left.0 / 1_000_000).max(1);
        let (deadline, target) = (headers::DEADLINE_MS, headers::TARGET_NODE);
        // Writing to a buffer does not fail.
        let _ = write!(output, "{deadline}: {left_ms}\r\n{target}: {incarnation}\r\n\r\n");
        output.push(&self.body);
    }

    /// Keeps the first answer of a shard.
    pub fn add_part(&mut self, index: usize, response: Response) {
        if let Some(part) = self.parts.get_mut(index) {
            part.get_or_insert(response);
        }
    }

    /// Keeps a failure for want of a better response, unless its status promises what may be untrue: that the request
    /// was not executed, or that it may be repeated.
    pub fn record_failure(&mut self, response: Response) {
        let is_promise = matches!(response.status, 408 | 421 | 429 | 503);
        if self.parts.len() == 1 && response.is_self_delimited && response.status >= 400 && !is_promise {
            self.failure = Some(response);
        }
    }

    /// The response made of the answers that were received, if they reach the quorum. A merged body is written into
    /// `merged`.
    pub fn merged_response<'a>(&'a self, merged: &'a mut Vec<u8>) -> Option<FinalResponse<'a>> {
        let RouteTarget::Fanout { top_k, quorum, .. } = &self.config.route(self.route).target else {
            return self.parts.first()?.as_ref().map(|part| self.forward_response(part));
        };
        let answer = |part: &'a Response| ShardAnswer {
            seal: part.header(headers::ANSWER_SEAL).unwrap_or_default(),
            body: &part.body,
        };
        let answers: Vec<ShardAnswer> = self.parts.iter().flatten().map(answer).collect();
        let found = merge_answers(&answers, self.parts.len(), *top_k, *quorum)?;
        *merged = found.body;
        let mut fields = vec![self.attempt_id_field(), (headers::PART_SEALS, found.seals)];
        if found.missing_shards > 0 {
            fields.push((headers::PARTS_MISSING, found.missing_shards.to_string()));
        }
        Some(FinalResponse { status: 200, headers: fields, body: merged, content_length: None })
    }

    /// The response where no answer reaches the quorum: a node's own failure, or else an empty one of this status.
    pub fn error_response(&self, status: u16) -> FinalResponse<'_> {
        match &self.failure {
            Some(failure) => self.forward_response(failure),
            None => {
                let fields = vec![self.attempt_id_field()];
                FinalResponse { status, headers: fields, body: b"", content_length: None }
            }
        }
    }

    /// The response to a request that was not executed and may be repeated after this time.
    pub fn rejection(&self, retry_after: Nanos) -> FinalResponse<'_> {
        let retry_after_s = retry_after.as_millis() / 1e3;
        let fields = vec![self.attempt_id_field(), ("Retry-After", format!("{retry_after_s:.3}"))];
        FinalResponse { status: 503, headers: fields, body: b"", content_length: None }
    }

    fn attempt_id_field(&self) -> (&'static str, String) {
        (headers::ATTEMPT_ID, self.attempt_id.clone())
    }

    fn forward_response<'a>(&self, response: &'a Response) -> FinalResponse<'a> {
        let forwarded = response.headers().iter().filter(|(name, _)| is_forwarded_header(name));
        let fields = forwarded.map(|(name, value)| (name.as_str(), value.clone())).collect();
        let content_length = response.header("content-length").filter(|_| self.expects_no_body);
        FinalResponse { status: response.status, headers: fields, body: &response.body, content_length }
    }
}

/// The request line and the fields that all nodes get.
fn forwarded_head(request: &Request) -> Vec<u8> {
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    // Writing to a vector does not fail.
    let _ = write!(head, "{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in request.headers().iter().filter(|(name, _)| is_forwarded_header(name)) {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !request.body.is_empty() || matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    head
}

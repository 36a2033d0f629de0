//! A request of a client that is in flight.

use super::execution_start::ExecutionStart;
use super::response::FinalResponse;
use crate::access::TenantIndex;
use crate::config_snapshot::ConfigSnapshot;
use crate::headers::{self, is_forwarded_header};
use fernknot::interface::*;
use fernknot_merge::{ShardAnswer, merge_answers};
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Request, Response};
use fernknot_schema::RouteTarget;
use std::io::Write;
use std::rc::Rc;

/// Initial capacity for the head of a request, in bytes.
const INITIAL_HEAD_CAPACITY_BYTES: usize = 256;

/// A request of a tenant that a node has begun to execute.
pub struct StartedRequest {
    /// Configuration that was in force when the request was read.
    pub config: Rc<ConfigSnapshot>,
    /// Tenant that the request belongs to.
    pub tenant: TenantIndex,
    /// Time at which the node began, as far as it is known.
    pub at: Nanos,
}

/// A request that waits for its response.
pub struct PendingRequest {
    /// Connection of the client.
    pub client: ConnectionId,
    /// Identifier of the request in the engine.
    pub multiget: MultigetId,
    /// Configuration that was in force when the request was read, which applies until the response is written.
    pub config: Rc<ConfigSnapshot>,
    /// Index of the request's route in the configuration.
    pub route: usize,
    /// Tenant that the request belongs to.
    pub tenant: Option<TenantIndex>,
    /// Attempts that nodes may have begun to execute, of a request of a tenant.
    pub execution_start: ExecutionStart,
    /// `Attempt-Id` of the client.
    pub attempt_id: String,
    /// Time until which the client waits.
    pub deadline: Nanos,
    /// Whether the method is `HEAD`, whose responses have no body.
    pub expects_no_body: bool,
    /// Connections that the attempts were sent over; none is used twice. All attempts have the same `Attempt-Id`, so
    /// that only the connection distinguishes the response to one from a late or duplicate response to another.
    pub used_connections: Vec<ConnectionId>,
    /// Whether the request was sent over a connection that was already open.
    pub was_sent: bool,
    /// Connections that were started for the request, except those known to have failed before they opened. Output for
    /// one of them is certain to be unsent only while the connection is still opening.
    pub opening_connections: Vec<ConnectionId>,
    /// Head as sent to nodes, without the fields that differ between nodes.
    head: Vec<u8>,
    body: Vec<u8>,
    /// First answer of each shard; `None` until the shard has answered.
    parts: Vec<Option<Response>>,
    /// Last complete error response of a node, which is forwarded if the request gets no answer.
    failure: Option<Response>,
}

impl PendingRequest {
    /// Creates a request for which no attempt has been sent.
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
            tenant: None,
            execution_start: ExecutionStart::default(),
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

    /// Returns the tenant of the request and the time at which a node began to execute it, once at most; `None` if no
    /// node may have executed it.
    pub fn take_start(&mut self) -> Option<StartedRequest> {
        let tenant = self.tenant?;
        let at = self.execution_start.take()?;
        Some(StartedRequest { config: self.config.clone(), tenant, at })
    }

    /// Writes the request for one node, with `time_left` as its deadline.
    pub fn write_to_node(&self, output: &mut Buffer, incarnation: &str, time_left: Nanos) {
        output.push(&self.head);
        let time_left_ms = (time_left.0 / 1_000_000).max(1);
        let (deadline, target) = (headers::DEADLINE_MS, headers::TARGET_NODE);
        // Writing to a buffer does not fail.
        let _ = write!(output, "{deadline}: {time_left_ms}\r\n{target}: {incarnation}\r\n\r\n");
        output.push(&self.body);
    }

    /// Stores the answer of a shard, unless the shard has answered before.
    pub fn add_part(&mut self, index: usize, response: Response) {
        if let Some(part) = self.parts.get_mut(index) {
            part.get_or_insert(response);
        }
    }

    /// Stores a complete response with a status from 400 up, to be forwarded if a request of one part gets no answer;
    /// other responses are ignored. So are statuses that tell the client that the request was not executed or may be
    /// repeated, since the node may have executed it.
    pub fn record_failure(&mut self, response: Response) {
        let implies_not_executed = matches!(response.status, 408 | 421 | 429 | 503);
        if self.parts.len() == 1
            && response.is_self_delimited
            && response.status >= 400
            && !implies_not_executed
        {
            self.failure = Some(response);
        }
    }

    /// Whether the answers received are enough for a response.
    pub fn has_answer(&self) -> bool {
        self.merged_response(&mut Vec::new()).is_some()
    }

    /// Returns the response made from the answers received, if they reach the quorum. A merged body is written into
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

    /// Returns the response to a request without a quorum of answers: a node's error response, or else an empty
    /// response with this status.
    pub fn error_response(&self, status: u16) -> FinalResponse<'_> {
        match &self.failure {
            Some(failure) => self.forward_response(failure),
            None => {
                let fields = vec![self.attempt_id_field()];
                FinalResponse { status, headers: fields, body: b"", content_length: None }
            }
        }
    }

    /// Returns the response to a request that was not executed and may be repeated after this time.
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
        let fields = forwarded.map(|(name, value)| (name, value.to_string())).collect();
        let content_length = response.header("content-length").filter(|_| self.expects_no_body);
        FinalResponse { status: response.status, headers: fields, body: &response.body, content_length }
    }
}

/// Returns the request line and the fields that are sent to every node.
fn forwarded_head(request: &Request) -> Vec<u8> {
    let mut head = Vec::with_capacity(INITIAL_HEAD_CAPACITY_BYTES);
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

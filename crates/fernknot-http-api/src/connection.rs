//! Server side of one HTTP/1.1 connection: reads requests one at a time and writes their replies.

use crate::reply::Reply;
use crate::settings::HttpServerSettings;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{CONTINUE, Request, RequestReader, ResponseHead};

/// Result of reading a request from the received bytes.
#[derive(Debug)]
pub enum ReadOutcome {
    /// No request yet: the next one is incomplete, or the previous one has not been answered.
    Incomplete,
    /// Complete request, which is pending until its reply is written.
    Request(Request),
    /// Malformed or too large request. The reply is written, and the connection has to be closed.
    Rejected,
}

/// Bug that tests put into a connection on purpose, to show that a checker detects it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// Writes a reply to the call that is pending on its connection, even if the reply is meant for an earlier one.
    ReplyIgnoresCallNumber,
}

/// HTTP/1.1 server connection. It reads a request only after the previous one has been answered.
#[derive(Debug, Default)]
pub struct HttpServerConnection {
    reader: RequestReader,
    pending_reply: Option<PendingReply>,
    call_count: u64,
    seeded_bug: Option<SeededBug>,
}

/// Properties of the reply to a pending request, from the request's head.
#[derive(Clone, Copy, Debug)]
struct PendingReply {
    /// Whether the connection stays open after the reply.
    keep_alive: bool,
    /// Whether the caller uses HTTP/1.0.
    is_http_1_0: bool,
}

impl HttpServerConnection {
    /// Creates a connection with a bug, for the tests of checkers.
    #[doc(hidden)]
    pub fn with_seeded_bug(bug: SeededBug) -> HttpServerConnection {
        HttpServerConnection { seeded_bug: Some(bug), ..HttpServerConnection::default() }
    }

    /// Number of the last call on this connection, counted from 1; 0 before the first call.
    pub fn last_call(&self) -> u64 {
        self.call_count
    }

    /// Whether a request is waiting for its reply; no other request is read until then.
    pub fn has_pending_call(&self) -> bool {
        self.pending_reply.is_some()
    }

    /// Reads the next request, once it is complete and the previous one has been answered. An immediate response
    /// (`100 Continue` or an error) is written to `output`.
    pub fn read_request(
        &mut self,
        input: &mut Buffer,
        output: &mut Buffer,
        settings: &HttpServerSettings,
    ) -> ReadOutcome {
        if self.has_pending_call() || (input.is_empty() && !self.reader.has_pending_body()) {
            return ReadOutcome::Incomplete;
        }
        match self.reader.read(input, &settings.limits) {
            Ok(Some(request)) => {
                let pending =
                    PendingReply { keep_alive: request.keeps_connection, is_http_1_0: request.is_http_1_0 };
                self.pending_reply = Some(pending);
                self.call_count += 1;
                ReadOutcome::Request(request)
            }
            Ok(None) => {
                if self.reader.take_expects_continue() {
                    output.push(CONTINUE);
                }
                ReadOutcome::Incomplete
            }
            Err(error) => {
                let pending = PendingReply { keep_alive: false, is_http_1_0: false };
                write_response(output, &Reply::error(error.status, error.reason), pending);
                ReadOutcome::Rejected
            }
        }
    }

    /// Writes the reply to the call with this number, if that call is pending; with `is_last` the connection closes
    /// after it. Returns whether the connection stays open.
    ///
    /// A late reply to a call that was already answered is ignored, so that it does not go to the next pending call.
    pub fn write_reply(&mut self, output: &mut Buffer, call: u64, reply: &Reply, is_last: bool) -> bool {
        if call != self.call_count && self.seeded_bug != Some(SeededBug::ReplyIgnoresCallNumber) {
            return true;
        }
        let Some(pending) = self.pending_reply.take() else { return true };
        let keep_alive = pending.keep_alive && !is_last;
        write_response(output, reply, PendingReply { keep_alive, ..pending });
        keep_alive
    }
}

fn write_response(output: &mut Buffer, reply: &Reply, pending: PendingReply) {
    let head = ResponseHead {
        status: reply.status,
        content_type: reply.content_type,
        retry_after_s: reply.retry_after_s,
        keeps_connection: pending.keep_alive,
        is_http_1_0: pending.is_http_1_0,
    };
    head.write(output, reply.body.bytes());
}

//! The server's side of one HTTP/1.1 connection: one request after the other, and their replies.

use crate::reply::Reply;
use crate::settings::HttpServerSettings;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{CONTINUE, Request, RequestReader, ResponseHead};

/// What the bytes that were received amount to.
#[derive(Debug)]
pub enum ReadOutcome {
    /// No complete request, or the one before is not answered yet.
    Incomplete,
    /// A complete request, which is pending until its reply is written.
    Request(Request),
    /// Bytes that are no request, or one that is too large. The reply is written, and the connection is to be closed.
    Rejected,
}

/// A bug that tests seed to prove that a checker finds it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// A reply goes to whichever call is pending on its connection.
    ReplyIgnoresCallNumber,
}

/// One connection. It reads a request only once the one before is answered.
#[derive(Debug, Default)]
pub struct HttpServerConnection {
    reader: RequestReader,
    pending_reply: Option<PendingReply>,
    call_count: u64,
    seeded_bug: Option<SeededBug>,
}

/// What the head of a pending request says about its reply.
#[derive(Clone, Copy, Debug)]
struct PendingReply {
    /// The connection stays open after the reply.
    keep_alive: bool,
    /// The caller speaks HTTP/1.0.
    is_http_1_0: bool,
}

impl HttpServerConnection {
    /// A connection with a bug, for the tests of checkers.
    #[doc(hidden)]
    pub fn with_seeded_bug(bug: SeededBug) -> HttpServerConnection {
        HttpServerConnection { seeded_bug: Some(bug), ..HttpServerConnection::default() }
    }

    /// The number on this connection of the last call, from 1; 0 before the first one.
    pub fn last_call(&self) -> u64 {
        self.call_count
    }

    /// Whether a request waits for its reply.
    pub fn has_pending_call(&self) -> bool {
        self.pending_reply.is_some()
    }

    /// The next request, once it is complete. What the caller has to be told at once is written to `output`.
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

    /// Writes the reply to the call of this number, if that one is pending; `is_last` closes the connection. Returns
    /// whether the connection stays open.
    ///
    /// Guards against a reply to a call that was answered otherwise meanwhile, while another call is pending.
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

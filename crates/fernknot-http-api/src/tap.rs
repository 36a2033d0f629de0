//! One connection's requests, one after the other, and their answers.

use crate::call::Reply;
use fernknot::interface::Nanos;
use fernknot_protocol::buffer::Buffer;
use fernknot_protocol::http::{Answer, GO_ON, Request, RequestReader};
use fernknot_router_config::{Limits, SocketFacts};

/// What callers may send.
#[derive(Clone, Debug)]
pub struct HttpServerSettings {
    limits: Limits,
}

impl HttpServerSettings {
    /// Bodies of at most so many bytes, for a process with so many connections and so much memory, in megabytes.
    ///
    /// # Errors
    /// Fewer connections, or less memory, than anything can be done with.
    pub fn new(links: usize, memory_mb: f64, body: usize) -> Result<HttpServerSettings, String> {
        // Only sizes are taken from these limits; the times and numbers of them are of other programs.
        let sockets = SocketFacts {
            use_cases: Vec::new(),
            shards: 0,
            streams: 0,
            batch: 0,
            idle: Nanos(0),
            connect_within: Nanos(0),
            drain_grace: Nanos(0),
            longest_wait: Nanos(0),
            phases: Vec::new(),
            position: 0,
            zones: Vec::new(),
        };
        let mut limits = Limits::new(links, memory_mb, &sockets)?;
        limits.body = body;
        Ok(HttpServerSettings { limits })
    }
}

/// What came of the bytes that are there.
#[derive(Debug)]
pub enum ReadOutcome {
    /// Nothing whole yet, or the one before is unanswered.
    Incomplete,
    Request(Request),
    /// No request, or one too large: its answer is written, and the connection ends after it.
    Rejected,
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// An answer goes to whatever waits on its connection.
    ReplyIgnoresCallNumber,
}

/// One connection: reads a request only once the one before is answered.
#[derive(Debug, Default)]
pub struct HttpServerConnection {
    reader: RequestReader,
    /// Whether the connection goes on, and the caller's older HTTP, of the request that waits for its answer.
    pending_reply: Option<(bool, bool)>,
    call_count: u64,
    seeded_bug: Option<SeededBug>,
}

impl HttpServerConnection {
    /// One with a break in it.
    #[doc(hidden)]
    pub fn with_seeded_bug(plant: SeededBug) -> HttpServerConnection {
        HttpServerConnection { seeded_bug: Some(plant), ..HttpServerConnection::default() }
    }

    /// The number on this connection of the call that came last, from 1; 0 before the first.
    pub fn last_call(&self) -> u64 {
        self.call_count
    }

    /// A request waits for its answer.
    pub fn has_pending_call(&self) -> bool {
        self.pending_reply.is_some()
    }

    /// A request has begun to come.
    pub fn is_receiving(&self) -> bool {
        self.reader.is_open()
    }

    /// The next request, once all of it has come.
    pub fn read_request(
        &mut self,
        input: &mut Buffer,
        out: &mut Buffer,
        facts: &HttpServerSettings,
    ) -> ReadOutcome {
        if self.pending_reply.is_some() || (input.is_empty() && !self.reader.is_open()) {
            return ReadOutcome::Incomplete;
        }
        match self.reader.read(input, &facts.limits) {
            Ok(Some(request)) => {
                self.pending_reply = Some((request.keep, request.old));
                self.call_count += 1;
                ReadOutcome::Request(request)
            }
            Ok(None) => {
                if self.reader.wants_leave() {
                    out.push(GO_ON);
                }
                ReadOutcome::Incomplete
            }
            Err(bad) => {
                write_response(out, &Reply::error(bad.status, bad.why), false, false);
                ReadOutcome::Rejected
            }
        }
    }

    /// Writes the answer to the call of this number, if that is the one that waits. True where the connection goes on
    /// after it; `last` ends it. Guards against an answer that comes when its call has been answered otherwise, and
    /// another one waits on the connection.
    pub fn write_reply(&mut self, out: &mut Buffer, call: u64, reply: &Reply, last: bool) -> bool {
        if call != self.call_count && self.seeded_bug != Some(SeededBug::ReplyIgnoresCallNumber) {
            return true;
        }
        let Some((keep, old)) = self.pending_reply.take() else { return true };
        let keep = keep && !last;
        write_response(out, reply, keep, old);
        keep
    }
}

fn write_response(out: &mut Buffer, reply: &Reply, keep: bool, old: bool) {
    Answer { status: reply.status, kind: reply.content_type, wait: reply.retry_after_s, keep, old }
        .write(out, reply.body.bytes());
}

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
    Nothing,
    Call(Request),
    /// No request, or one too large: its answer is written, and the connection ends after it.
    Bad,
}

/// Breaks planted for the checkers, which must find each one.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// An answer goes to whatever waits on its connection.
    AnswerByConnection,
}

/// One connection: reads a request only once the one before is answered.
#[derive(Debug, Default)]
pub struct HttpServerConnection {
    reader: RequestReader,
    /// Whether the connection goes on, and the caller's older HTTP, of the request that waits for its answer.
    waits: Option<(bool, bool)>,
    calls: u64,
    plant: Option<SeededBug>,
}

impl HttpServerConnection {
    /// One with a break in it.
    #[doc(hidden)]
    pub fn planted(plant: SeededBug) -> HttpServerConnection {
        HttpServerConnection { plant: Some(plant), ..HttpServerConnection::default() }
    }

    /// The number on this connection of the call that came last, from 1; 0 before the first.
    pub fn call(&self) -> u64 {
        self.calls
    }

    /// A request waits for its answer.
    pub fn waits(&self) -> bool {
        self.waits.is_some()
    }

    /// A request has begun to come.
    pub fn is_open(&self) -> bool {
        self.reader.is_open()
    }

    /// The next request, once all of it has come.
    pub fn pull(&mut self, input: &mut Buffer, out: &mut Buffer, facts: &HttpServerSettings) -> ReadOutcome {
        if self.waits.is_some() || (input.is_empty() && !self.reader.is_open()) {
            return ReadOutcome::Nothing;
        }
        match self.reader.read(input, &facts.limits) {
            Ok(Some(request)) => {
                self.waits = Some((request.keep, request.old));
                self.calls += 1;
                ReadOutcome::Call(request)
            }
            Ok(None) => {
                if self.reader.wants_leave() {
                    out.push(GO_ON);
                }
                ReadOutcome::Nothing
            }
            Err(bad) => {
                write(out, &Reply::refused(bad.status, bad.why), false, false);
                ReadOutcome::Bad
            }
        }
    }

    /// Writes the answer to the call of this number, if that is the one that waits. True where the connection goes on
    /// after it; `last` ends it. Guards against an answer that comes when its call has been answered otherwise, and
    /// another one waits on the connection.
    pub fn answer(&mut self, out: &mut Buffer, call: u64, reply: &Reply, last: bool) -> bool {
        if call != self.calls && self.plant != Some(SeededBug::AnswerByConnection) {
            return true;
        }
        let Some((keep, old)) = self.waits.take() else { return true };
        let keep = keep && !last;
        write(out, reply, keep, old);
        keep
    }
}

fn write(out: &mut Buffer, reply: &Reply, keep: bool, old: bool) {
    Answer { status: reply.status, kind: reply.kind, wait: reply.wait, keep, old }
        .write(out, reply.body.bytes());
}

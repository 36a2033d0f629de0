//! Sizes, counts and times that bound what a router holds and waits for, filled once at its start.

use crate::facts::SocketFacts;
use fernknot::interface::Nanos;

/// Descriptors that are neither clients' nor nodes': the loop's own, listener, discovery, datagrams,
/// signals, the three standard ones, and a few in reserve.
const RESERVE: usize = 24;
const LEAST_SOCKETS: usize = 40;
const LEAST_MEMORY_MB: f64 = 8.0;

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Connections of clients and to nodes.
    pub clients: usize,
    pub node_links: usize,
    /// Bytes of a request's head and body, of a frame, and of a list.
    pub head: usize,
    pub body: usize,
    pub frame: usize,
    pub list: usize,
    pub headers: usize,
    /// Bytes that a chunk's head, or all trailers, may take.
    pub chunk_line: usize,
    /// Bytes of a name given by others: a request's id or key, a part's id.
    pub name: usize,
    /// How far the shares of a multiget's parts may be from one in all, by rounding.
    pub share_slack: f64,
    /// The longest wait that a client may ask for.
    pub client_wait: Nanos,
    /// Past so many, the place of a node that is gone is given to a new one.
    pub nodes: usize,
    /// Bytes that an idle connection's buffer may keep.
    pub kept: usize,
    /// Bytes of one connection that are read, or made ready to be written, ahead of what is done
    /// with them; more than a head's.
    pub turn: usize,
    /// Bytes of a datagram, and datagrams that one turn reads.
    pub datagram: usize,
    pub datagrams: usize,
    /// Given-up parts that a connection remembers, to tell a late answer from a strange one.
    pub given_up: usize,
    /// Bytes that summaries of blocks may take, terms that a query may name, and bytes of one.
    pub sketches: usize,
    pub terms: usize,
    pub term: usize,
    /// Bytes of log that wait for standard error.
    pub log: usize,
    /// A connection to a node is closed after so long without use, before the node closes it.
    pub node_idle: Nanos,
    pub connect_within: Nanos,
    /// A frame that has begun to come may take so long.
    pub frame_within: Nanos,
    pub drain_grace: Nanos,
    /// A client's connection may be idle for so long.
    pub client_idle: Nanos,
    /// A client may take so long for all of a request, and for any of its answer.
    pub request_within: Nanos,
    pub client_stalls: Nanos,
    /// How long the other side may take to close a connection that has been ended.
    pub closing: Nanos,
    /// How long a watch waits, how much longer its answer may take, and the waits between tries.
    pub watch: Nanos,
    pub watch_late: Nanos,
    /// The least time between two calls of a watch, well under what it may pause.
    pub watch_pace: Nanos,
    pub retry_first: Nanos,
    pub retry_most: Nanos,
    /// How long clients are still served after the order to stop, and how long the answers to the last of
    /// them may take.
    pub linger: Nanos,
    pub last_answers: Nanos,
    /// The last part of the linger, in which connections are handed over one by one.
    pub hand_over: Nanos,
    /// When accepting is tried again after descriptors ran out.
    pub accept_again: Nanos,
}

impl Limits {
    pub fn new(sockets: usize, memory_mb: f64, facts: &SocketFacts) -> Result<Limits, String> {
        if sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets: {sockets} is under {LEAST_SOCKETS}"));
        }
        if memory_mb.is_nan() || memory_mb < LEAST_MEMORY_MB {
            return Err(format!("limits.memory_mb: {memory_mb} is under {LEAST_MEMORY_MB}"));
        }
        let seconds = |count: u64| Nanos(count * 1_000_000_000);
        let millis = |count: u64| Nanos(count * 1_000_000);
        let free = sockets - RESERVE;
        let body = 64 * 1024;
        let turn = 24 * 1024;
        // Half the memory at most may stand in buffers, were every client to send all it may: a
        // body, and as much of what follows as is read ahead, in a buffer of up to twice that.
        let affordable = (memory_mb * 1024.0 * 1024.0 / 2.0) as usize / (body + 2 * turn);
        // The order to stop leaves the longest wait, three seconds at most, and 0.7 s.
        let linger = facts.longest_wait.clamp(millis(700), seconds(3));
        Ok(Limits {
            clients: (free * 2 / 3).min(affordable),
            node_links: free / 3,
            head: 16 * 1024,
            body,
            frame: body,
            list: 1024 * 1024,
            headers: 64,
            chunk_line: 4 * 1024,
            name: 128,
            share_slack: 0.01,
            client_wait: seconds(24 * 3600),
            nodes: 4096,
            kept: 4 * 1024,
            turn,
            datagram: 256,
            datagrams: 4096,
            given_up: 1024,
            // A sixteenth of the memory; none is taken where no use case has phases.
            sketches: (memory_mb * 1024.0 * 1024.0 / 16.0) as usize,
            terms: 64,
            term: 256,
            log: 64 * 1024,
            node_idle: facts.idle.times(0.8),
            connect_within: facts.connect_within,
            frame_within: facts.connect_within,
            drain_grace: facts.drain_grace,
            client_idle: seconds(60),
            request_within: facts.longest_wait.min(millis(2500)),
            client_stalls: seconds(30),
            closing: seconds(2),
            watch: seconds(10),
            watch_late: seconds(2),
            watch_pace: millis(20),
            retry_first: millis(50),
            retry_most: seconds(1),
            linger,
            last_answers: millis(600),
            hand_over: linger.times(0.5),
            accept_again: millis(100),
        })
    }
}

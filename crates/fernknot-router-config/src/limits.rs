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
    pub max_clients: usize,
    pub max_node_connections: usize,
    /// Bytes of a request's head and body, of a frame, and of a list.
    pub head: usize,
    pub body: usize,
    pub max_frame_bytes: usize,
    pub max_list_bytes: usize,
    pub max_headers: usize,
    /// Bytes that a chunk's head, or all trailers, may take.
    pub max_chunk_line_bytes: usize,
    /// Bytes of a name given by others: a request's id or key, a part's id.
    pub max_name_bytes: usize,
    /// How far the shares of a multiget's parts may be from one in all, by rounding.
    pub share_tolerance: f64,
    /// The longest wait that a client may ask for.
    pub max_client_wait: Nanos,
    /// Past so many, the place of a node that is gone is given to a new one.
    pub nodes_before_reuse: usize,
    /// Bytes that an idle connection's buffer may keep.
    pub idle_buffer_bytes: usize,
    /// Bytes of one connection that are read, or made ready to be written, ahead of what is done
    /// with them; more than a head's.
    pub read_ahead_bytes: usize,
    /// Bytes of a datagram, and datagrams that one turn reads.
    pub max_datagram_bytes: usize,
    pub max_datagrams_per_turn: usize,
    /// Given-up parts that a connection remembers, to tell a late answer from a strange one.
    pub max_remembered_cancellations: usize,
    /// Bytes that summaries of blocks may take, terms that a query may name, and bytes of one.
    pub max_sketch_bytes: usize,
    pub max_terms: usize,
    pub max_term_bytes: usize,
    /// Bytes of log that wait for standard error.
    pub max_pending_log_bytes: usize,
    /// A connection to a node is closed after so long without use, before the node closes it.
    pub node_idle_timeout: Nanos,
    pub connect_timeout: Nanos,
    /// A frame that has begun to come may take so long.
    pub frame_timeout: Nanos,
    pub drain_grace: Nanos,
    /// A client's connection may be idle for so long.
    pub client_idle_timeout: Nanos,
    /// A client may take so long for all of a request, and for any of its answer.
    pub request_timeout: Nanos,
    pub response_stall_timeout: Nanos,
    /// How long the other side may take to close a connection that has been ended.
    pub close_timeout: Nanos,
    /// How long a watch waits, how much longer its answer may take, and the waits between tries.
    pub watch_wait: Nanos,
    pub watch_grace: Nanos,
    /// The least time between two calls of a watch, well under what it may pause.
    pub min_watch_interval: Nanos,
    pub initial_backoff: Nanos,
    pub max_backoff: Nanos,
    /// How long clients are still served after the order to stop, and how long the answers to the last of
    /// them may take.
    pub shutdown_linger: Nanos,
    pub final_response_timeout: Nanos,
    /// The last part of the linger, in which connections are handed over one by one.
    pub connection_handover: Nanos,
    /// When accepting is tried again after descriptors ran out.
    pub accept_retry_delay: Nanos,
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
            max_clients: (free * 2 / 3).min(affordable),
            max_node_connections: free / 3,
            head: 16 * 1024,
            body,
            max_frame_bytes: body,
            max_list_bytes: 1024 * 1024,
            max_headers: 64,
            max_chunk_line_bytes: 4 * 1024,
            max_name_bytes: 128,
            share_tolerance: 0.01,
            max_client_wait: seconds(24 * 3600),
            nodes_before_reuse: 4096,
            idle_buffer_bytes: 4 * 1024,
            read_ahead_bytes: turn,
            max_datagram_bytes: 256,
            max_datagrams_per_turn: 4096,
            max_remembered_cancellations: 1024,
            // A sixteenth of the memory; none is taken where no use case has phases.
            max_sketch_bytes: (memory_mb * 1024.0 * 1024.0 / 16.0) as usize,
            max_terms: 64,
            max_term_bytes: 256,
            max_pending_log_bytes: 64 * 1024,
            node_idle_timeout: facts.idle.times(0.8),
            connect_timeout: facts.connect_within,
            frame_timeout: facts.connect_within,
            drain_grace: facts.drain_grace,
            client_idle_timeout: seconds(60),
            request_timeout: facts.longest_wait.min(millis(2500)),
            response_stall_timeout: seconds(30),
            close_timeout: seconds(2),
            watch_wait: seconds(10),
            watch_grace: seconds(2),
            min_watch_interval: millis(20),
            initial_backoff: millis(50),
            max_backoff: seconds(1),
            shutdown_linger: linger,
            final_response_timeout: millis(600),
            connection_handover: linger.times(0.5),
            accept_retry_delay: millis(100),
        })
    }
}

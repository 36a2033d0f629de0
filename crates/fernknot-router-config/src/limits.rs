//! Sizes, counts and times that bound what a router uses and waits for, fixed at its start.

use crate::error::{ConfigError, ConfigFault};
use crate::sockets::SocketSettings;
use fernknot::interface::Nanos;

/// Descriptors that are neither clients' nor nodes': the event loop's own, listener, discovery, datagrams,
/// signals, the three standard ones, and a few in reserve.
const RESERVED_DESCRIPTORS: usize = 24;
const MIN_SOCKETS: usize = 40;
const MIN_MEMORY_MB: f64 = 8.0;

const KIB: usize = 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const MAX_BODY_BYTES: usize = 64 * KIB;
const READ_AHEAD_BYTES: usize = 24 * KIB;
/// The share of the memory that buffers of clients may take.
const BUFFER_MEMORY_SHARE: f64 = 1.0 / 2.0;
/// The share of the memory that summaries of blocks may take.
const SKETCH_MEMORY_SHARE: f64 = 1.0 / 16.0;

/// Bounds of a router, from the memory and sockets that it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most connections of clients.
    pub max_clients: usize,
    /// The most connections to nodes.
    pub max_node_connections: usize,
    /// The most bytes of a request's head.
    pub max_head_bytes: usize,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
    /// The most bytes of a frame.
    pub max_frame_bytes: usize,
    /// The most bytes of an endpoint list.
    pub max_list_bytes: usize,
    /// The most header lines of a request or response.
    pub max_headers: usize,
    /// The most bytes that a chunk's head, or all trailers, may take.
    pub max_chunk_line_bytes: usize,
    /// The most bytes of a name given by others: a request's id or key, a part's id.
    pub max_name_bytes: usize,
    /// How far the sum of the shares of a multiget's parts may be from one, by rounding.
    pub share_tolerance: f64,
    /// The longest wait that a client may ask for.
    pub max_client_wait: Nanos,
    /// Beyond so many nodes, the id of a node that is gone is given to a new one.
    pub max_nodes_before_id_reuse: usize,
    /// The most bytes that an idle connection's buffer may keep.
    pub idle_buffer_bytes: usize,
    /// Bytes of one connection that are read, or made ready to be written, ahead of what is done
    /// with them; more than a head's.
    pub read_ahead_bytes: usize,
    /// The most bytes of a datagram.
    pub max_datagram_bytes: usize,
    /// The most datagrams that are read in one turn of the event loop.
    pub max_datagrams_per_turn: usize,
    /// The most cancelled parts that a connection remembers, to tell a late answer from an unknown one.
    pub max_remembered_cancellations: usize,
    /// The most bytes that summaries of blocks may take.
    pub max_sketch_bytes: usize,
    /// The most terms that a query may name.
    pub max_terms: usize,
    /// The most bytes of a term.
    pub max_term_bytes: usize,
    /// The most bytes of log that wait for standard error.
    pub max_pending_log_bytes: usize,
    /// A connection to a node is closed after so long without use, before the node closes it.
    pub node_idle_timeout: Nanos,
    /// The time-out of a connection attempt.
    pub connect_timeout: Nanos,
    /// A frame that has begun to arrive must be complete within this time.
    pub frame_timeout: Nanos,
    /// For how long calls are still sent to a node that drains or has left the list.
    pub drain_grace: Nanos,
    /// A client's connection may be idle for so long.
    pub client_idle_timeout: Nanos,
    /// A client must have sent all of a request within this time.
    pub request_timeout: Nanos,
    /// A client must take some of its response within this time.
    pub response_stall_timeout: Nanos,
    /// How long the other side may take to close a connection that has been ended.
    pub close_timeout: Nanos,
    /// How long discovery may wait for a change before it answers a watch.
    pub watch_wait: Nanos,
    /// How much longer than `watch_wait` the answer to a watch may take.
    pub watch_grace: Nanos,
    /// The least time between two calls of a watch, well under the longest pause that it may make.
    pub min_watch_interval: Nanos,
    /// The backoff after the first failed call of discovery; it doubles with each further one.
    pub initial_backoff: Nanos,
    /// The longest backoff.
    pub max_backoff: Nanos,
    /// How long clients are still served after the signal to stop.
    pub shutdown_linger: Nanos,
    /// How long the responses to the last of them may take.
    pub final_response_timeout: Nanos,
    /// The last part of `shutdown_linger`, in which clients' connections are closed one by one.
    pub connection_handover: Nanos,
    /// When accepting is tried again after the process ran out of descriptors.
    pub accept_retry_delay: Nanos,
}

impl Limits {
    /// The limits of a process that may use so many sockets and so much memory, in mebibytes.
    ///
    /// # Errors
    /// Fewer sockets or less memory than a router can work with.
    pub fn new(sockets: usize, memory_mb: f64, settings: &SocketSettings) -> Result<Limits, ConfigError> {
        check_minimum("limits.sockets", sockets as f64, MIN_SOCKETS as f64)?;
        check_minimum("limits.memory_mb", memory_mb, MIN_MEMORY_MB)?;
        let free_sockets = sockets - RESERVED_DESCRIPTORS;
        // The signal to stop leaves the longest wait, three seconds at most, and 0.7 s.
        let shutdown_linger = settings.longest_deadline.clamp(millis(700), seconds(3));
        Ok(Limits {
            max_clients: (free_sockets * 2 / 3).min(affordable_clients(memory_mb)),
            max_node_connections: free_sockets / 3,
            max_head_bytes: 16 * KIB,
            max_body_bytes: MAX_BODY_BYTES,
            max_frame_bytes: MAX_BODY_BYTES,
            max_list_bytes: 1024 * KIB,
            max_headers: 64,
            max_chunk_line_bytes: 4 * KIB,
            max_name_bytes: 128,
            share_tolerance: 0.01,
            max_client_wait: seconds(24 * 3600),
            max_nodes_before_id_reuse: 4096,
            idle_buffer_bytes: 4 * KIB,
            read_ahead_bytes: READ_AHEAD_BYTES,
            max_datagram_bytes: 256,
            max_datagrams_per_turn: 4096,
            max_remembered_cancellations: 1024,
            // None is taken where no use case has phases.
            max_sketch_bytes: (memory_mb * BYTES_PER_MB * SKETCH_MEMORY_SHARE) as usize,
            max_terms: 64,
            max_term_bytes: 256,
            max_pending_log_bytes: 64 * KIB,
            node_idle_timeout: settings.node_idle_timeout.times(0.8),
            connect_timeout: settings.connect_timeout,
            frame_timeout: settings.connect_timeout,
            drain_grace: settings.drain_grace,
            client_idle_timeout: seconds(60),
            request_timeout: settings.longest_deadline.min(millis(2500)),
            response_stall_timeout: seconds(30),
            close_timeout: seconds(2),
            watch_wait: seconds(10),
            watch_grace: seconds(2),
            min_watch_interval: millis(20),
            initial_backoff: millis(50),
            max_backoff: seconds(1),
            shutdown_linger,
            final_response_timeout: millis(600),
            connection_handover: shutdown_linger.times(0.5),
            accept_retry_delay: millis(100),
        })
    }
}

/// How many clients may send all that they are allowed to within the memory set apart for buffers: a body, and as much
/// of what follows as is read ahead, in a buffer of up to twice that.
fn affordable_clients(memory_mb: f64) -> usize {
    (memory_mb * BYTES_PER_MB * BUFFER_MEMORY_SHARE) as usize / (MAX_BODY_BYTES + 2 * READ_AHEAD_BYTES)
}

fn check_minimum(key: &str, value: f64, min: f64) -> Result<(), ConfigError> {
    if value.is_nan() || value < min {
        return Err(ConfigError::new(key, ConfigFault::TooSmall { value, min }));
    }
    Ok(())
}

fn seconds(count: u64) -> Nanos {
    Nanos(count * 1_000_000_000)
}

fn millis(count: u64) -> Nanos {
    Nanos(count * 1_000_000)
}

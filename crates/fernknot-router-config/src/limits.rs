//! Limits on the sizes, counts and durations of a router, some of which are derived from the resources that it may
//! use. Discovery is the service that lists the data nodes; a watch is a series of calls to discovery that are
//! answered once the list changes. A frame is a message to or from a data node.

use crate::error::{ConfigError, ConfigFault};
use crate::sockets::SocketSettings;
use fernknot::interface::Nanos;

/// File descriptors that are not available for clients and nodes: event loop, listener, discovery, datagrams, signals,
/// the three standard streams, and a few spare ones.
const RESERVED_DESCRIPTORS: usize = 24;
const MIN_SOCKETS: usize = 40;
const MIN_MEMORY_MB: f64 = 8.0;

const KIB: usize = 1024;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const MAX_BODY_BYTES: usize = 64 * KIB;
const READ_AHEAD_BYTES: usize = 24 * KIB;
/// Share of the memory that the buffers of clients may use, from 0 to 1.
const BUFFER_MEMORY_SHARE: f64 = 1.0 / 2.0;
/// Share of the memory that term filters of blocks may use, from 0 to 1.
const TERM_FILTER_MEMORY_SHARE: f64 = 1.0 / 16.0;

/// Limits of a router, from the memory and sockets that it may use and from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of connections to nodes.
    pub max_node_connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a frame without its length field, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum size of a node list from discovery, and of any other body of an HTTP response that is read, in bytes.
    pub max_list_bytes: usize,
    /// Maximum number of header lines of a request or response.
    pub max_headers: usize,
    /// Maximum size of the size line of a chunk, or of all trailer fields, in a chunked HTTP body, in bytes.
    pub max_chunk_line_bytes: usize,
    /// Maximum length of an identifier chosen by clients, in bytes: a request's id or key, or a part's id.
    pub max_name_bytes: usize,
    /// Tolerance for rounding errors in the sum of the shares of a multiget's parts, which must be 1.
    pub share_tolerance: f64,
    /// Longest time until its deadline that a client may set.
    pub max_client_wait: Nanos,
    /// Number of known nodes from which on a new node reuses the id of a removed one.
    pub max_nodes_before_id_reuse: usize,
    /// Maximum capacity that an idle connection's buffer keeps, in bytes.
    pub idle_buffer_bytes: usize,
    /// Maximum number of bytes of a connection that are read ahead of their processing or encoded ahead of their
    /// writing; more than the maximum size of a head.
    pub read_ahead_bytes: usize,
    /// Maximum size of a datagram to other routers, in bytes.
    pub max_datagram_bytes: usize,
    /// Maximum number of datagrams that the router reads before it handles other events.
    pub max_datagrams_per_iteration: usize,
    /// Maximum number of cancelled parts that a connection to a node remembers, to tell a late answer from one to an
    /// unknown part.
    pub max_remembered_cancellations: usize,
    /// Maximum size of all cached term filters, in bytes. A term filter is the approximate set of the search terms in
    /// a block, the data of one shard; queries in two phases use it.
    pub max_term_filter_bytes: usize,
    /// Maximum number of search terms in a query in two phases.
    pub max_terms: usize,
    /// Maximum length of a search term, in bytes.
    pub max_term_bytes: usize,
    /// Maximum size of the log lines that are not yet written to standard error, in bytes.
    pub max_pending_log_bytes: usize,
    /// Idle time after which a connection to a node is closed; shorter than the idle time-out at the node, so that the
    /// node does not close it while a call is sent.
    pub node_idle_timeout: Nanos,
    /// Time-out of opening a connection to a node.
    pub connect_timeout: Nanos,
    /// Time from the first byte of a frame from a node within which the frame must be complete.
    pub frame_timeout: Nanos,
    /// Time during which calls are still sent to a node that drains (accepts no new work and will stop) or was removed
    /// from the list.
    pub drain_grace: Nanos,
    /// Idle time after which a client's connection is closed.
    pub client_idle_timeout: Nanos,
    /// Time from the first byte of a request within which the request must be complete.
    pub request_timeout: Nanos,
    /// Time without progress after which the writing of a response is abandoned.
    pub response_stall_timeout: Nanos,
    /// Time that the client has to close a connection whose sending direction the router has shut down.
    pub close_timeout: Nanos,
    /// Time that discovery may wait for a change before it answers a watch.
    pub watch_wait: Nanos,
    /// Additional time after `watch_wait` within which discovery has to answer a watch.
    pub watch_grace: Nanos,
    /// Minimum time between the starts of two calls of a watch.
    pub min_watch_interval: Nanos,
    /// Time between the first failed call to discovery and the next call; it doubles with each further failure, up to
    /// `max_backoff`.
    pub initial_backoff: Nanos,
    /// Maximum time between two failed calls to discovery.
    pub max_backoff: Nanos,
    /// Time during which clients are still served after the process got the signal to stop.
    pub shutdown_linger: Nanos,
    /// Time after `shutdown_linger` within which the last pending requests must be answered.
    pub final_response_timeout: Nanos,
    /// Period at the end of `shutdown_linger` during which clients' connections are closed one by one.
    pub connection_handover: Nanos,
    /// Delay before the next attempt to accept a client's connection after the process ran out of file descriptors.
    pub accept_retry_delay: Nanos,
}

impl Limits {
    /// Returns the limits of a process that may use this number of sockets and this amount of memory, in mebibytes.
    ///
    /// # Errors
    /// There are fewer sockets or there is less memory than a router needs.
    pub fn new(sockets: usize, memory_mb: f64, settings: &SocketSettings) -> Result<Limits, ConfigError> {
        check_minimum("limits.sockets", sockets as f64, MIN_SOCKETS as f64)?;
        check_minimum("limits.memory_mb", memory_mb, MIN_MEMORY_MB)?;
        let free_sockets = sockets - RESERVED_DESCRIPTORS;
        // The longest deadline of a use case, at least 0.7 s and at most 3 s.
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
            max_datagrams_per_iteration: 4096,
            max_remembered_cancellations: 1024,
            // Unused where no use case has two phases.
            max_term_filter_bytes: (memory_mb * BYTES_PER_MB * TERM_FILTER_MEMORY_SHARE) as usize,
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

/// Number of clients whose buffers fit into the memory for buffers, if each client fills its buffer: a body, and the
/// bytes read ahead, whose buffer may have twice their size.
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

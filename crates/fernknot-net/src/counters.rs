//! Counters of an event loop.

/// System calls of one started connection: `socket`, `connect`, two `setsockopt` and one `epoll_ctl`.
const SYSTEM_CALLS_PER_CONNECT: u64 = 5;
/// System calls of an accepted connection: `accept4`, two `setsockopt` and one `epoll_ctl`.
const SYSTEM_CALLS_PER_ACCEPT: u64 = 4;
/// System calls of an opened connection, to find out whether it is open: `getsockopt` and `getpeername`.
const SYSTEM_CALLS_PER_OPEN: u64 = 2;
/// System calls of a closed connection: `epoll_ctl` and `close`.
const SYSTEM_CALLS_PER_CLOSE: u64 = 2;

/// What an event loop has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventLoopCounters {
    /// Waits for events.
    pub polls: u64,
    /// Reads from connections.
    pub reads: u64,
    /// Writes to connections.
    pub writes: u64,
    /// Connections that were started.
    pub connects: u64,
    /// Started connections that have opened.
    pub opens: u64,
    /// Connections that were accepted.
    pub accepts: u64,
    /// Connections that were closed.
    pub closes: u64,
}

impl EventLoopCounters {
    /// Number of system calls for all of these, without datagrams and listening sockets.
    pub fn system_calls(&self) -> u64 {
        self.polls
            + self.reads
            + self.writes
            + self.connects * SYSTEM_CALLS_PER_CONNECT
            + self.opens * SYSTEM_CALLS_PER_OPEN
            + self.accepts * SYSTEM_CALLS_PER_ACCEPT
            + self.closes * SYSTEM_CALLS_PER_CLOSE
    }
}

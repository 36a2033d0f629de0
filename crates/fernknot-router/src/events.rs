//! What the event loop knows its sources and timers by, and what one turn of it brought.

use calloop::Readiness;
use calloop::signals::Signal;
use fernknot::interface::NodeId;

/// A client's connection; ids are given in the order of accepting and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A connection to a data node; ids are given in the order of opening and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeConnectionId(pub u64);

/// A socket that the event loop watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Listener,
    Client(ClientId),
    Node(NodeConnectionId),
    Discovery,
    Peers,
}

/// What a time that has come is for. A timer whose cause is gone is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A connection to a node must be up, or a frame that has begun to arrive must be complete.
    NodeConnection(NodeConnectionId),
    NodeIdle(NodeConnectionId),
    DrainGrace(NodeId),
    Client(ClientId),
    /// Accepting is tried again.
    Accept,
    Discovery,
    /// New connections are no longer accepted.
    ShutdownLinger,
}

/// Which sockets the event loop has found ready, and the signals that came.
#[derive(Default)]
pub struct ReadyEvents {
    /// Sockets that are ready, in the order in which they were found.
    pub sockets: Vec<(Source, Readiness)>,
    /// Signals, in the order in which they came.
    pub signals: Vec<Signal>,
}

//! Identifiers of the event loop's sources and timers, and the events of one iteration.

use calloop::Readiness;
use calloop::signals::Signal;
use fernknot::interface::NodeId;

/// Identifier of a client's connection. Ids are assigned in the order of accepting and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifier of a connection to a data node. Ids are assigned in the order of opening and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeConnectionId(pub u64);

/// Socket that is registered with the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Listener,
    Client(ClientId),
    Node(NodeConnectionId),
    Discovery,
    Peers,
}

/// Purpose of a timer. An expired timer whose connection or node no longer exists is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Deadline for a connection to a node to be established, or for a frame that has begun to arrive to be complete.
    NodeConnection(NodeConnectionId),
    NodeIdle(NodeConnectionId),
    DrainGrace(NodeId),
    Client(ClientId),
    /// Next attempt to accept connections.
    Accept,
    Discovery,
    /// End of the period in which a stopping router still accepts connections.
    ShutdownLinger,
}

/// Ready sockets and received signals of one iteration.
#[derive(Default)]
pub struct ReadyEvents {
    /// Ready sockets, in the order in which the event loop reported them.
    pub sockets: Vec<(Source, Readiness)>,
    /// Signals, in the order in which they were received.
    pub signals: Vec<Signal>,
}

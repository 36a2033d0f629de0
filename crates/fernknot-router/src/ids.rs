//! What the loop knows things by, and what it has heard.

use calloop::Readiness;
use calloop::signals::Signal;
use fernknot::interface::NodeId;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Listener,
    Client(ClientId),
    Node(LinkId),
    Discovery,
    Peers,
}

/// What a time that has come is for. One that no longer matters is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Link(LinkId),
    NodeIdle(LinkId),
    DrainGrace(NodeId),
    Client(ClientId),
    Accept,
    Discovery,
    Linger,
}

/// Which sockets the loop has found ready, and the signals that came.
#[derive(Default)]
pub struct Heard {
    pub ready: Vec<(Source, Readiness)>,
    pub signals: Vec<Signal>,
}

//! What the host of a state machine is to do.

use crate::source::{SourceHeartbeat, SourceKind};
use crate::topic::Topic;
use std::net::SocketAddrV4;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to this process unless connected, and subscribe to these topics there and to no others. Given again
    /// when the topics change.
    Subscribe {
        /// The address of the source.
        addr: SocketAddrV4,
        /// What the source is.
        kind: SourceKind,
        /// All topics of the subscription.
        topics: Vec<Topic>,
    },
    /// Close the connection to this process.
    Unsubscribe {
        /// The address of the source.
        addr: SocketAddrV4,
        /// What the source is.
        kind: SourceKind,
    },
    /// Pass a heartbeat on to these subscribers.
    ForwardHeartbeat {
        /// The addresses of the subscribers.
        to: Vec<SocketAddrV4>,
        /// The heartbeat, with this gateway's hop counted.
        heartbeat: SourceHeartbeat,
    },
}

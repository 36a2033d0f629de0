//! Actions that the host, the program that drives the state machine, has to execute.

use crate::source::{SourceHeartbeat, SourceKind};
use crate::topic::Topic;
use std::net::SocketAddrV4;

/// Action that the host has to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a source unless connected, and replace the subscription there by these topics. Issued again when the
    /// topics change.
    Subscribe {
        /// Address of the source.
        addr: SocketAddrV4,
        /// Kind of the source.
        kind: SourceKind,
        /// All topics of the subscription, sorted.
        topics: Vec<Topic>,
    },
    /// Close the connection to a source.
    Unsubscribe {
        /// Address of the source.
        addr: SocketAddrV4,
        /// Kind of the source.
        kind: SourceKind,
    },
    /// Forward a heartbeat to subscribers.
    ForwardHeartbeat {
        /// Addresses of the subscribers.
        to: Vec<SocketAddrV4>,
        /// Heartbeat to send; its hops include this gateway.
        heartbeat: SourceHeartbeat,
    },
}

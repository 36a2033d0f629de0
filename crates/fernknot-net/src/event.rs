//! Identifiers of sockets, and the events that an event loop reports about them.

use crate::error::NetError;
use std::net::SocketAddrV4;

/// Names one connection or listening socket of a process. An identifier is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What happened to a socket since the last call of [`EventLoop::poll`](crate::EventLoop::poll).
#[derive(Debug)]
pub enum Event {
    /// A listening socket accepted a connection, which is open.
    Accepted {
        /// The new connection.
        connection: ConnectionId,
        /// The listening socket that accepted it.
        listener: ConnectionId,
        /// The remote address.
        peer: SocketAddrV4,
    },
    /// A connection that was begun with [`Network::connect`](crate::Network::connect) is open.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// Bytes were received; [`Network::input`](crate::Network::input) has them.
    Received {
        /// The connection.
        connection: ConnectionId,
    },
    /// The peer has closed its sending side. What it sent before is in [`Network::input`](crate::Network::input).
    ReadClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection has failed and is closed. Input that was not consumed can be taken with
    /// [`Network::take_unread_input`](crate::Network::take_unread_input).
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the connection was ever open.
        was_open: bool,
        /// Why it failed.
        error: NetError,
    },
    /// A datagram was received.
    Datagram {
        /// The sender's address.
        from: SocketAddrV4,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// Another thread used the loop's waker.
    Woken,
}

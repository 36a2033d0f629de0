//! Identifiers and events of sockets.

use crate::error::NetError;
use std::net::SocketAddrV4;

/// Identifier of a connection or listening socket of a process, which is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Event of a socket since the last call of [`EventLoop::poll`](crate::EventLoop::poll).
#[derive(Debug)]
pub enum Event {
    /// A listening socket accepted a connection, which is now open.
    Accepted {
        /// The new connection.
        connection: ConnectionId,
        /// The listening socket that accepted it.
        listener: ConnectionId,
        /// The remote address.
        peer: SocketAddrV4,
    },
    /// A connection started with [`Network::connect`](crate::Network::connect) is open now.
    Connected {
        /// Identifier that [`Network::connect`](crate::Network::connect) returned.
        connection: ConnectionId,
    },
    /// Bytes were received; [`Network::input`](crate::Network::input) returns them.
    Received {
        /// Connection with the new input.
        connection: ConnectionId,
    },
    /// The peer has closed its sending side. [`Network::input`](crate::Network::input) returns the bytes that it sent
    /// before.
    ReadClosed {
        /// Connection whose input has ended; output can still be written.
        connection: ConnectionId,
    },
    /// The connection has failed and is closed. Input that was not consumed can be taken with
    /// [`Network::take_unread_input`](crate::Network::take_unread_input).
    Closed {
        /// Identifier of the closed connection, which is not used again.
        connection: ConnectionId,
        /// Whether the connection was ever open.
        was_open: bool,
        /// Failed operation, and the error of the operating system.
        error: NetError,
    },
    /// A datagram was received.
    Datagram {
        /// The sender's address.
        from: SocketAddrV4,
        /// Payload of the datagram.
        bytes: Vec<u8>,
    },
    /// Another thread woke the loop through its waker.
    Woken,
}

//! Interface between a state machine and the connections that its host, the program that drives it, owns.

use crate::counters::EventLoopCounters;
use crate::error::NetError;
use crate::event::ConnectionId;
use crate::event_loop::EventLoop;
use fernknot_protocol::buffer::Buffer;
use std::net::SocketAddrV4;

/// Network of connections by identifier: the [`EventLoop`] of a process, or a simulated network.
///
/// The host passes on the [`Event`](crate::Event)s of the connections. After the caller closes a connection, only
/// events that had already occurred may follow.
pub trait Network {
    /// Starts a connection; [`Event::Connected`](crate::Event::Connected) or [`Event::Closed`](crate::Event::Closed)
    /// follows. Output that is written earlier is sent once the connection is open.
    ///
    /// # Errors
    /// The connection cannot be started: no file descriptor left, no route, or too many connections.
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError>;

    /// Whether the connection exists and is open.
    fn is_open(&self, connection: ConnectionId) -> bool;

    /// Whether the connection exists and is not open yet, so that no output has been sent. False for a closed
    /// connection, for which [`Event::Closed`](crate::Event::Closed) tells whether it was ever open.
    fn is_opening(&self, connection: ConnectionId) -> bool;

    /// Returns the input that was received and not yet consumed; `None` if the connection does not exist or is closed.
    fn input(&mut self, connection: ConnectionId) -> Option<&mut Buffer>;

    /// Removes and returns the unconsumed input of a connection whose [`Event::Closed`](crate::Event::Closed) is being
    /// handled.
    fn take_unread_input(&mut self, connection: ConnectionId) -> Option<Buffer>;

    /// Returns the output buffer; `None` once the connection is closing.
    fn output(&mut self, connection: ConnectionId) -> Option<&mut Buffer>;

    /// Returns the number of output bytes that are not yet written.
    fn pending_output_bytes(&self, connection: ConnectionId) -> usize;

    /// Closes the connection at once and drops its pending output.
    fn close(&mut self, connection: ConnectionId);

    /// Closes the connection once all of its output is written.
    fn close_after_flush(&mut self, connection: ConnectionId);

    /// Closes a listening socket, which accepts no further connections.
    fn stop_listening(&mut self, listener: ConnectionId);

    /// Sends a datagram, which may be lost.
    fn send_datagram(&mut self, to: SocketAddrV4, bytes: &[u8]);

    /// Returns the counters of the event loop; a simulated network has none.
    fn counters(&self) -> EventLoopCounters {
        EventLoopCounters::default()
    }
}

impl Network for EventLoop {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        EventLoop::connect(self, peer)
    }

    fn is_open(&self, connection: ConnectionId) -> bool {
        EventLoop::is_open(self, connection)
    }

    fn is_opening(&self, connection: ConnectionId) -> bool {
        EventLoop::is_opening(self, connection)
    }

    fn input(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        EventLoop::input(self, connection)
    }

    fn take_unread_input(&mut self, connection: ConnectionId) -> Option<Buffer> {
        EventLoop::take_unread_input(self, connection)
    }

    fn output(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        EventLoop::output(self, connection)
    }

    fn pending_output_bytes(&self, connection: ConnectionId) -> usize {
        EventLoop::pending_output_bytes(self, connection)
    }

    fn close(&mut self, connection: ConnectionId) {
        EventLoop::close(self, connection);
    }

    fn close_after_flush(&mut self, connection: ConnectionId) {
        EventLoop::close_after_flush(self, connection);
    }

    fn stop_listening(&mut self, listener: ConnectionId) {
        EventLoop::stop_listening(self, listener);
    }

    fn send_datagram(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        EventLoop::send_datagram(self, to, bytes);
    }

    fn counters(&self) -> EventLoopCounters {
        EventLoop::counters(self)
    }
}

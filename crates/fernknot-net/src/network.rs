//! What a state machine may do to its connections, whoever holds them.

use crate::error::NetError;
use crate::event::ConnectionId;
use crate::event_loop::EventLoop;
use fernknot_protocol::buffer::Buffer;
use std::net::SocketAddrV4;

/// Connections by their identifiers: the [`EventLoop`] of a process, or a simulated network.
///
/// What happens to them is reported by [`Event`](crate::Event)s. Of a connection that the caller itself closes nothing
/// further is reported, except what had happened already.
pub trait Network {
    /// Begins a connection; [`Event::Connected`](crate::Event::Connected) or [`Event::Closed`](crate::Event::Closed)
    /// follows. What is written before is sent once the connection is open.
    ///
    /// # Errors
    /// No connection can be begun: no descriptors, no route, too many connections.
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError>;

    /// Whether the connection exists and is open.
    fn is_open(&self, connection: ConnectionId) -> bool;

    /// Whether the connection exists and is not open yet: nothing that was written has been sent. One that is closed
    /// may have been open before; [`Event::Closed`](crate::Event::Closed) says so.
    fn is_opening(&self, connection: ConnectionId) -> bool;

    /// What was received and is not consumed yet.
    fn input(&mut self, connection: ConnectionId) -> Option<&mut Buffer>;

    /// Takes what was received and not consumed over a connection whose [`Event::Closed`](crate::Event::Closed) is
    /// being handled.
    fn take_unread_input(&mut self, connection: ConnectionId) -> Option<Buffer>;

    /// The buffer to write to; `None` once the connection is closing.
    fn output(&mut self, connection: ConnectionId) -> Option<&mut Buffer>;

    /// Bytes that wait to be written.
    fn pending_output_bytes(&self, connection: ConnectionId) -> usize;

    /// Closes the connection at once and drops its pending output.
    fn close(&mut self, connection: ConnectionId);

    /// Closes the connection once all of its output is written.
    fn close_after_flush(&mut self, connection: ConnectionId);

    /// Accepts no further connections at this listening socket.
    fn stop_listening(&mut self, listener: ConnectionId);

    /// Sends a datagram, which may be lost.
    fn send_datagram(&mut self, to: SocketAddrV4, bytes: &[u8]);
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
}

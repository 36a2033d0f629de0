//! What a brain may do to connections, whoever holds them: the [`Dock`] of a process, or a simulation.

use crate::{ConnectionId, EventLoop, NetError};
use fernknot_protocol::buffer::Buffer;
use std::net::SocketAddrV4;

/// Connections by their [`Berth`], which is never given to another. What happens to them is told by
/// [`Event`](crate::Event)s; of what the caller itself closes nothing is told but what had happened already.
pub trait Network {
    /// Begins a connection; `Opened` or `Gone` follows. What is written before goes out once it is up.
    ///
    /// # Errors
    /// Where none can be begun: no descriptors, no route, too many connections.
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError>;

    /// Whether the connection is there and up.
    fn is_open(&self, berth: ConnectionId) -> bool;

    /// Whether the connection is there and not yet up: nothing that was written has gone out. One that is gone may have
    /// been up before; its `Gone` tells.
    fn is_opening(&self, berth: ConnectionId) -> bool;

    /// What came and is not yet consumed.
    fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer>;

    /// What had come and was not consumed over a connection whose `Gone` this turn tells; once.
    fn take_unread_input(&mut self, berth: ConnectionId) -> Option<Buffer>;

    /// Where to write; none once the connection closes.
    fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer>;

    /// Bytes that wait to be written.
    fn pending_output_bytes(&self, berth: ConnectionId) -> usize;

    /// Closes at once. What waits to be written is dropped.
    fn close(&mut self, berth: ConnectionId);

    /// Closes once all is written.
    fn close_after_flush(&mut self, berth: ConnectionId);

    /// Takes no further connections at this listening socket.
    fn stop_listening(&mut self, berth: ConnectionId);

    /// Sends a datagram, which may be lost.
    fn send_datagram(&mut self, to: SocketAddrV4, bytes: &[u8]);
}

impl Network for EventLoop {
    fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        EventLoop::connect(self, peer)
    }

    fn is_open(&self, berth: ConnectionId) -> bool {
        EventLoop::is_open(self, berth)
    }

    fn is_opening(&self, berth: ConnectionId) -> bool {
        EventLoop::is_opening(self, berth)
    }

    fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        EventLoop::input(self, berth)
    }

    fn take_unread_input(&mut self, berth: ConnectionId) -> Option<Buffer> {
        EventLoop::take_unread_input(self, berth)
    }

    fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        EventLoop::output(self, berth)
    }

    fn pending_output_bytes(&self, berth: ConnectionId) -> usize {
        EventLoop::pending_output_bytes(self, berth)
    }

    fn close(&mut self, berth: ConnectionId) {
        EventLoop::close(self, berth);
    }

    fn close_after_flush(&mut self, berth: ConnectionId) {
        EventLoop::close_after_flush(self, berth);
    }

    fn stop_listening(&mut self, berth: ConnectionId) {
        EventLoop::stop_listening(self, berth);
    }

    fn send_datagram(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        EventLoop::send_datagram(self, to, bytes);
    }
}

//! TCP connection: its socket, its registration with the event loop, and a buffer for each direction.

use crate::events::{ReadyEvents, Source};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use fernknot_protocol::buffer::Buffer;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Minimum free space of the input buffer for a read, in bytes.
const MIN_READ_SPACE_BYTES: usize = 2048;

/// Handle of the event loop, with which sockets are registered.
pub type EventLoopHandle = LoopHandle<'static, ReadyEvents>;

/// TCP connection that is registered with the event loop and removed from it when dropped.
pub struct TcpConnection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    event_loop: EventLoopHandle,
    /// Input that has been read and not yet consumed.
    pub input: Buffer,
    /// Output that is not yet written.
    pub output: Buffer,
    /// Whether the socket may have unread bytes. The event loop is edge-triggered: it reports only new bytes.
    pub is_readable: bool,
    /// Whether the peer has closed its sending side.
    pub read_closed: bool,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available bytes were read.
    Drained,
    /// The read stopped at its limit; there may be more bytes.
    MoreAvailable,
}

/// Registers a socket with the event loop, which then reports its readiness under `source`.
pub fn watch<F: std::os::fd::AsFd + 'static>(
    event_loop: &EventLoopHandle,
    fd: F,
    source: Source,
) -> Result<RegistrationToken> {
    let source_of_events = Generic::new(fd, Interest::BOTH, Mode::Edge);
    let registered = event_loop.insert_source(source_of_events, move |readiness, _, events| {
        events.sockets.push((source, readiness));
        Ok(PostAction::Continue)
    });
    registered.map_err(|error| std::io::Error::other(error.error))
}

impl TcpConnection {
    /// Registers an accepted or connecting stream.
    pub fn new(event_loop: &EventLoopHandle, stream: TcpStream, source: Source) -> Result<TcpConnection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = watch(event_loop, stream.clone(), source)?;
        Ok(TcpConnection {
            stream,
            token,
            event_loop: event_loop.clone(),
            input: Buffer::default(),
            output: Buffer::default(),
            is_readable: true,
            read_closed: false,
        })
    }

    /// Starts a connection; the event loop reports when it is established or has failed.
    pub fn connect(
        event_loop: &EventLoopHandle,
        address: SocketAddr,
        source: Source,
    ) -> Result<TcpConnection> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            // On Linux a connection in progress is reported as EINPROGRESS.
            Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        TcpConnection::new(event_loop, socket.into(), source)
    }

    /// Returns whether the connection is established (true) or still being established (false), or the error with which
    /// it failed.
    pub fn check_connected(&self) -> Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads the available bytes until the buffer holds `max_bytes`.
    pub fn fill(&mut self, max_bytes: usize) -> Result<ReadOutcome> {
        while self.is_readable && !self.read_closed {
            if self.input.len() >= max_bytes {
                return Ok(ReadOutcome::MoreAvailable);
            }
            match (&*self.stream).read(self.input.reserve(MIN_READ_SPACE_BYTES)) {
                Ok(0) => self.read_closed = true,
                Ok(count) => self.input.commit(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_readable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadOutcome::Drained)
    }

    /// Writes as much output as the socket accepts, and returns the number of bytes written.
    pub fn flush(&mut self) -> Result<usize> {
        let mut written = 0;
        while !self.output.is_empty() {
            match (&*self.stream).write(self.output.data()) {
                Ok(count) => {
                    self.output.consume(count);
                    written += count;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) if written > 0 => break,
                Err(error) => return Err(error),
            }
        }
        Ok(written)
    }

    /// Shuts down the sending direction. Output in flight still arrives.
    pub fn shut_down_writing(&self) {
        // This fails if the peer has already closed the connection, which has the same effect.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl Drop for TcpConnection {
    fn drop(&mut self) {
        self.event_loop.remove(self.token);
    }
}

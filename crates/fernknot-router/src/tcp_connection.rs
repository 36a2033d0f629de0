//! One TCP connection: its socket, its registration with the event loop, and a buffer for each direction.

use crate::events::{ReadyEvents, Source};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use fernknot_protocol::buffer::Buffer;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Least space for a read.
const READ_BYTES: usize = 2048;

/// The event loop, as far as sockets are registered with it.
pub type EventLoopHandle = LoopHandle<'static, ReadyEvents>;

/// A TCP connection that is registered with the event loop, and removed from it when dropped.
pub struct TcpConnection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    event_loop: EventLoopHandle,
    /// Bytes that have been read.
    pub input: Buffer,
    /// Bytes to be written.
    pub output: Buffer,
    /// Bytes may be waiting; the event loop reports only new ones.
    pub is_readable: bool,
    /// The other side will send nothing further.
    pub has_ended: bool,
}

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Everything that there is.
    Drained,
    /// As much as one turn may read; there is more.
    MoreAvailable,
}

/// Registers a socket with the event loop, which then reports its owner as ready.
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
    /// Takes over a stream.
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
            has_ended: false,
        })
    }

    /// Begins to connect; the event loop reports when that is done.
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

    /// Whether the connection is up, or still being set up; an error if it failed.
    pub fn connected(&self) -> Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads what is there, up to `max_bytes` in the buffer.
    pub fn fill(&mut self, max_bytes: usize) -> Result<ReadOutcome> {
        while self.is_readable && !self.has_ended {
            if self.input.len() >= max_bytes {
                return Ok(ReadOutcome::MoreAvailable);
            }
            match (&*self.stream).read(self.input.reserve(READ_BYTES)) {
                Ok(0) => self.has_ended = true,
                Ok(count) => self.input.commit(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.is_readable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadOutcome::Drained)
    }

    /// Writes what the socket takes, and returns how many bytes that was.
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

    /// Ends the sending direction. What is in flight still arrives.
    pub fn finish(&self) {
        // The other side may be gone already, which has the same effect.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl Drop for TcpConnection {
    fn drop(&mut self) {
        self.event_loop.remove(self.token);
    }
}

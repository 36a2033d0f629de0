//! One TCP connection: its socket, its place in the loop, and a buffer for each direction.

use crate::ids::{Heard, Source};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use fernknot_protocol::buffer::Buffer;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

pub type Handle = LoopHandle<'static, Heard>;

pub struct Link {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: Handle,
    pub input: Buffer,
    pub output: Buffer,
    /// Bytes may be waiting; the loop tells only of new ones.
    pub readable: bool,
    pub ended: bool,
}

/// What reading brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    /// All that there is.
    All,
    /// As much as one turn may read; there is more.
    Some,
}

/// A source of the loop that marks its owner as ready.
pub fn watch<F: std::os::fd::AsFd + 'static>(
    handle: &Handle,
    fd: F,
    source: Source,
) -> Result<RegistrationToken> {
    let generic = Generic::new(fd, Interest::BOTH, Mode::Edge);
    let marked = handle.insert_source(generic, move |readiness, _, heard| {
        heard.ready.push((source, readiness));
        Ok(PostAction::Continue)
    });
    marked.map_err(|error| std::io::Error::other(error.error))
}

impl Link {
    pub fn new(handle: &Handle, stream: TcpStream, source: Source) -> Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = watch(handle, stream.clone(), source)?;
        Ok(Link {
            stream,
            token,
            handle: handle.clone(),
            input: Buffer::default(),
            output: Buffer::default(),
            readable: true,
            ended: false,
        })
    }

    /// Begins to connect; the loop tells when that is done.
    pub fn connect(handle: &Handle, to: SocketAddr, source: Source) -> Result<Link> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            // On Linux a connection under way is told as EINPROGRESS.
            Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        Link::new(handle, socket.into(), source)
    }

    /// Whether the connection is up, still coming or failed.
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

    /// Reads what is there, up to `most` bytes held.
    pub fn fill(&mut self, most: usize) -> Result<Filled> {
        while self.readable && !self.ended {
            if self.input.len() >= most {
                return Ok(Filled::Some);
            }
            match (&*self.stream).read(self.input.space(2048)) {
                Ok(0) => self.ended = true,
                Ok(count) => self.input.filled(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.readable = false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(Filled::All)
    }

    /// Writes what the socket takes, and says how much that was.
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

    /// Says that nothing further will be sent. What is under way still arrives.
    pub fn finish(&self) {
        // The other side may be gone already, which is as good.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

//! A TCP connection with its buffers.

use fernknot_protocol::buffer::Buffer;
use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddrV4;

/// Maximum number of bytes that one system call reads.
pub(crate) const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum capacity that a buffer of an idle connection keeps.
const MAX_IDLE_BUFFER_BYTES: usize = 4 * 1024;

/// A connection with its unconsumed input and unwritten output.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) peer: SocketAddrV4,
    /// Whether the handshake is complete.
    pub(crate) is_open: bool,
    /// Whether the peer has closed its sending side and all of its bytes have been read.
    pub(crate) read_closed: bool,
    /// Whether the peer has closed or reset the connection, so that the end follows the bytes that are still unread.
    pub(crate) hung_up: bool,
    pub(crate) input: Buffer,
    pub(crate) output: Buffer,
    /// Whether the connection is to be closed once the output is written.
    pub(crate) closing: bool,
}

/// Result of one pass of reading.
pub(crate) struct ReadProgress {
    /// Whether any bytes were received.
    pub(crate) received: bool,
    /// Number of system calls.
    pub(crate) reads: u64,
    /// Reason for the end of the pass.
    pub(crate) end: ReadEnd,
}

/// Reason for the end of a pass of reading.
pub(crate) enum ReadEnd {
    /// The socket has no more bytes for now.
    Drained,
    /// The input buffer is full; the socket may have more.
    BufferFull,
    /// The peer has closed its sending side.
    Closed,
    /// The connection failed.
    Failed(std::io::Error),
}

/// Result of one pass of writing.
pub(crate) enum WriteProgress {
    /// All output is written.
    Flushed,
    /// The socket accepts no more bytes for now.
    Blocked,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, peer: SocketAddrV4, is_open: bool) -> Connection {
        Connection {
            stream,
            peer,
            is_open,
            read_closed: false,
            hung_up: false,
            input: Buffer::default(),
            output: Buffer::default(),
            closing: false,
        }
    }

    /// Reads until the socket is empty or the input holds `read_ahead` bytes. Each system call reads into `chunk`, so that
    /// the input grows by what has arrived only.
    pub(crate) fn read(&mut self, chunk: &mut [u8], read_ahead: usize) -> ReadProgress {
        let mut received = false;
        let mut reads = 0;
        let end = loop {
            if self.input.len() >= read_ahead {
                break ReadEnd::BufferFull;
            }
            reads += 1;
            match self.stream.read(chunk) {
                Ok(0) => {
                    self.read_closed = true;
                    break ReadEnd::Closed;
                }
                Ok(count) => {
                    self.input.push(&chunk[..count]);
                    received = true;
                    // A short read has emptied the socket, and mio reports bytes that arrive later. After the peer has
                    // hung up mio reports nothing more: the end or reset after the bytes must be read now.
                    if count < chunk.len() && !self.hung_up {
                        break ReadEnd::Drained;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break ReadEnd::Drained,
                Err(error) => break ReadEnd::Failed(error),
            }
        };
        ReadProgress { received, reads, end }
    }

    /// Writes as much of the output as the socket accepts.
    ///
    /// # Errors
    /// The connection failed.
    pub(crate) fn write(&mut self) -> std::io::Result<WriteProgress> {
        while !self.output.is_empty() {
            match self.stream.write(self.output.data()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.output.consume(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(WriteProgress::Blocked),
                Err(error) => return Err(error),
            }
        }
        self.output.shrink(MAX_IDLE_BUFFER_BYTES);
        Ok(WriteProgress::Flushed)
    }
}

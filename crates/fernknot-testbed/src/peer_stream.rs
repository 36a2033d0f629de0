//! Messages of the programs' own protocol, on a blocking socket.

use crate::error::ConnectionError;
use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{ControllerToGateway, GatewayToController, read_message, write_message};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// The largest message that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Bytes that are read at one time.
const READ_BYTES: usize = 64 * 1024;

/// A connection to a process at its port for its own kind.
pub(crate) struct PeerStream {
    stream: TcpStream,
    peer: SocketAddrV4,
    input: Buffer,
    /// What is being done, for errors.
    step: &'static str,
}

impl PeerStream {
    pub fn connect(
        peer: SocketAddrV4,
        timeout: Duration,
        step: &'static str,
    ) -> Result<PeerStream, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(peer), timeout);
        let stream = stream.map_err(ConnectionError::at("connect to", peer))?;
        Ok(PeerStream { stream, peer, input: Buffer::default(), step })
    }

    pub fn send(&mut self, message: &GatewayToController) -> Result<(), ConnectionError> {
        let mut output = Buffer::default();
        write_message(&mut output, message);
        self.stream.write_all(output.data()).map_err(ConnectionError::at("write to", self.peer))
    }

    /// Reads what comes within the time, which may be nothing.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn receive(&mut self, timeout: Duration) -> Result<(), ConnectionError> {
        let timeout_set = self.stream.set_read_timeout(Some(timeout));
        timeout_set.map_err(ConnectionError::at("read from", self.peer))?;
        match self.stream.read(self.input.reserve(READ_BYTES)) {
            Ok(0) => Err(self.error(ErrorKind::UnexpectedEof, "it closed without a response")),
            Ok(count) => {
                self.input.commit(count);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => Ok(()),
            Err(error) => Err(ConnectionError::at(self.step, self.peer)(error)),
        }
    }

    /// The next message that has come whole, and its bytes.
    ///
    /// # Errors
    /// Bytes that are no message.
    pub fn next_message(&mut self) -> Result<Option<(ControllerToGateway, usize)>, ConnectionError> {
        let before = self.input.len();
        let message = read_message(&mut self.input, MAX_MESSAGE_BYTES).map_err(|error| {
            let source = std::io::Error::new(ErrorKind::InvalidData, error);
            ConnectionError::at(self.step, self.peer)(source)
        })?;
        Ok(message.map(|message| (message, before - self.input.len())))
    }

    pub fn error(&self, kind: ErrorKind, text: &'static str) -> ConnectionError {
        ConnectionError::new(self.step, self.peer, kind, text)
    }
}

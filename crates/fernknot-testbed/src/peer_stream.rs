//! Messages of the protocol between gateways and controllers, on a blocking socket.

use crate::error::ConnectionError;
use fernknot_protocol::buffer::Buffer;
use fernknot_rpc::{ControllerToGateway, GatewayToController, read_message, write_message};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Size of one read, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Connection to a controller or gateway, at its port for messages between processes.
pub(crate) struct PeerStream {
    stream: TcpStream,
    peer: SocketAddrV4,
    input: Buffer,
    /// Verb phrase that names the connection's purpose in errors, such as "subscribe to".
    operation: &'static str,
}

impl PeerStream {
    pub fn connect(
        peer: SocketAddrV4,
        timeout: Duration,
        operation: &'static str,
    ) -> Result<PeerStream, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(peer), timeout);
        let stream = stream.map_err(ConnectionError::from_io("connect to", peer))?;
        Ok(PeerStream { stream, peer, input: Buffer::default(), operation })
    }

    pub fn send(&mut self, message: &GatewayToController) -> Result<(), ConnectionError> {
        let mut output = Buffer::default();
        write_message(&mut output, message);
        self.stream.write_all(output.data()).map_err(ConnectionError::from_io("write to", self.peer))
    }

    /// Waits for bytes until the time-out, and buffers those received, if any.
    ///
    /// # Errors
    /// The connection is closed or broken.
    pub fn receive(&mut self, timeout: Duration) -> Result<(), ConnectionError> {
        let set_result = self.stream.set_read_timeout(Some(timeout));
        set_result.map_err(ConnectionError::from_io("read from", self.peer))?;
        match self.stream.read(self.input.reserve(READ_BYTES)) {
            Ok(0) => Err(self.error(ErrorKind::UnexpectedEof, "connection closed by the peer")),
            Ok(count) => {
                self.input.commit(count);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::WouldBlock) => Ok(()),
            Err(error) => Err(ConnectionError::from_io(self.operation, self.peer)(error)),
        }
    }

    /// Returns the next complete message in the buffer, and its size in bytes.
    ///
    /// # Errors
    /// The bytes are not a valid message.
    pub fn next_message(&mut self) -> Result<Option<(ControllerToGateway, usize)>, ConnectionError> {
        let before = self.input.len();
        let message = read_message(&mut self.input, MAX_MESSAGE_BYTES).map_err(|error| {
            let source = std::io::Error::new(ErrorKind::InvalidData, error);
            ConnectionError::from_io(self.operation, self.peer)(source)
        })?;
        Ok(message.map(|message| (message, before - self.input.len())))
    }

    pub fn error(&self, kind: ErrorKind, text: &'static str) -> ConnectionError {
        ConnectionError::new(self.operation, self.peer, kind, text)
    }
}

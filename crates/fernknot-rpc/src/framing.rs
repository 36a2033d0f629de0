//! Framing of messages in a byte stream: a length prefix of four bytes in little-endian order, then the message.

use bitcode::{DecodeOwned, Encode};
use fernknot_protocol::buffer::Buffer;
use std::cell::RefCell;
use thiserror::Error;

/// Size of the length prefix of a message.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum capacity that a [`MessageReader`] keeps without an incomplete message, in bytes.
const MAX_IDLE_BYTES: usize = 4 * 1024;

thread_local! {
    /// Working memory of encoding and decoding, which is reused: a message has dozens of fields with a buffer each.
    static CODEC: RefCell<bitcode::Buffer> = RefCell::new(bitcode::Buffer::new());
}

/// Error of decoding received bytes. The connection has to be closed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// Length prefix over the limit that the receiver sets for messages of this sender.
    #[error("message of {length} bytes exceeds the limit of {max} bytes")]
    TooLong {
        /// Value of the length prefix, in bytes.
        length: usize,
        /// Limit in bytes.
        max: usize,
    },
    /// Bytes that cannot be decoded to a message of the expected type.
    #[error("message of {length} bytes cannot be decoded")]
    Malformed {
        /// Value of the length prefix, in bytes.
        length: usize,
    },
}

/// Appends one framed message to `output`.
pub fn write_message<M: Encode + ?Sized>(output: &mut Buffer, message: &M) {
    CODEC.with_borrow_mut(|codec| {
        let bytes = codec.encode(message);
        output.push(&(bytes.len() as u32).to_le_bytes());
        output.push(bytes);
    });
}

/// Takes the next message from `input`, or returns `None` if it is incomplete. `max_bytes` limits its length.
///
/// # Errors
/// Returns an error if the message is too long or cannot be decoded.
pub fn read_message<M: DecodeOwned>(input: &mut Buffer, max_bytes: usize) -> Result<Option<M>, DecodeError> {
    let Some(prefix) = input.data().first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > max_bytes {
        return Err(DecodeError::TooLong { length, max: max_bytes });
    }
    if input.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    let bytes = &input.data()[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length];
    let message = CODEC.with_borrow_mut(|codec| codec.decode(bytes));
    input.consume(LENGTH_PREFIX_BYTES + length);
    message.map(Some).map_err(|_| DecodeError::Malformed { length })
}

/// Reader of the messages of one connection, which takes over the bytes of an incomplete message.
///
/// [`read_message`] leaves them in the input, and an event loop does not read a connection further whose input it holds
/// many bytes of: there, a message larger than that never becomes complete.
#[derive(Debug, Default)]
pub struct MessageReader {
    incomplete: Buffer,
}

impl MessageReader {
    /// Takes the next message, or returns `None` if it is incomplete; `input` is empty then. `max_bytes` limits the
    /// length of a message, and thereby what the reader holds.
    ///
    /// # Errors
    /// Returns an error if the message is too long or cannot be decoded.
    pub fn read<M: DecodeOwned>(
        &mut self,
        input: &mut Buffer,
        max_bytes: usize,
    ) -> Result<Option<M>, DecodeError> {
        if self.incomplete.is_empty() {
            let message = read_message(input, max_bytes)?;
            if message.is_some() {
                return Ok(message);
            }
        }
        self.incomplete.push(input.data());
        input.consume(input.len());
        let message = read_message(&mut self.incomplete, max_bytes)?;
        self.incomplete.shrink(MAX_IDLE_BYTES);
        Ok(message)
    }

    /// Whether it holds no bytes of an incomplete message.
    pub fn is_empty(&self) -> bool {
        self.incomplete.is_empty()
    }
}

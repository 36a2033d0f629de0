//! How a message stands in a stream of bytes: its length in four bytes, little end first, then the message.

use bitcode::{DecodeOwned, Encode};
use fernknot_protocol::buffer::Buffer;
use thiserror::Error;

/// Bytes of the length in front of a message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why bytes that were received are no message. The connection has to be closed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length is over the limit for this sender.
    #[error("a message of {length} bytes is over {max}")]
    TooLong {
        /// The length in front of the message, in bytes.
        length: usize,
        /// The limit in bytes.
        max: usize,
    },
    /// The bytes are no message of the expected type.
    #[error("a message of {length} bytes cannot be decoded")]
    Malformed {
        /// The length in front of the message, in bytes.
        length: usize,
    },
}

/// Appends one message to `output`.
pub fn write_message<M: Encode + ?Sized>(output: &mut Buffer, message: &M) {
    let bytes = bitcode::encode(message);
    output.push(&(bytes.len() as u32).to_le_bytes());
    output.push(&bytes);
}

/// Takes the next message from `input`, if all of it has come; `max_bytes` limits its length.
///
/// # Errors
/// A message that is too long or can't be decoded.
pub fn read_message<M: DecodeOwned>(input: &mut Buffer, max_bytes: usize) -> Result<Option<M>, DecodeError> {
    let Some(prefix) = input.data().first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > max_bytes {
        return Err(DecodeError::TooLong { length, max: max_bytes });
    }
    if input.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    let message = bitcode::decode(&input.data()[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length]);
    input.consume(LENGTH_PREFIX_BYTES + length);
    message.map(Some).map_err(|_| DecodeError::Malformed { length })
}

//! Words between the system's own processes: whole messages in `bitcode`, each behind its length.
//!
//! A connection carries one type each way. What cannot be read ends the connection: there is no telling
//! where the next word begins.

mod shuffles;
mod words;

pub use shuffles::{ShuffleDatagram, ShuffleProtocol};
pub use words::{
    ControllerEndpoint, ControllerMessage, ControllerToGateway, GatewayToController, InspectionTopic,
    Subscription,
};

use bitcode::{DecodeOwned, Encode};
use fernknot_protocol::buffer::Buffer;
use thiserror::Error;

/// Bytes of the length in front of a word.
const LENGTH_PREFIX_BYTES: usize = 4;

/// What came is no word.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("a word of {length} bytes is over {most}")]
    TooLong { length: usize, most: usize },
    #[error("a word of {length} bytes cannot be read")]
    Malformed { length: usize },
}

/// Writes one word.
pub fn write_message<W: Encode + ?Sized>(out: &mut Buffer, word: &W) {
    let bytes = bitcode::encode(word);
    out.push(&(bytes.len() as u32).to_le_bytes());
    out.push(&bytes);
}

/// Reads the next word, if all of it has come; `most` bounds its bytes.
///
/// # Errors
/// A word that is too long or cannot be read.
pub fn read_message<W: DecodeOwned>(input: &mut Buffer, most: usize) -> Result<Option<W>, DecodeError> {
    let Some(head) = input.data().first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length > most {
        return Err(DecodeError::TooLong { length, most });
    }
    if input.len() < LENGTH_PREFIX_BYTES + length {
        return Ok(None);
    }
    let word = bitcode::decode(&input.data()[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length]);
    input.consume(LENGTH_PREFIX_BYTES + length);
    word.map(Some).map_err(|_| DecodeError::Malformed { length })
}

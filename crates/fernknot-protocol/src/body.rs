//! Body of an HTTP message: with a content length, chunked, or up to the end of the connection.

use crate::buffer::Buffer;
use crate::http_error::{CONTENT_TOO_LARGE, HttpError};
use httparse::Status;

const BODY_TOO_LARGE: HttpError = HttpError { status: CONTENT_TOO_LARGE, reason: "body too large" };
const BAD_CHUNK: HttpError = HttpError { status: 400, reason: "bad chunk" };

/// Framing of a body, with the progress of reading it.
#[derive(Debug)]
pub(crate) enum BodyFraming {
    /// Body with this length in bytes.
    Length(usize),
    /// Body in the chunked transfer coding.
    Chunked(ChunkState),
    /// Body that ends where the connection is closed.
    UntilClose,
}

/// Element that is read next of a chunked body.
#[derive(Debug, Default)]
pub(crate) enum ChunkState {
    /// Line with the size of a chunk.
    #[default]
    Size,
    /// Data of a chunk, with the number of its bytes still to be read.
    Data(usize),
    /// Line end after the data of a chunk.
    DataEnd,
    /// Trailer fields, with the number of their bytes read so far.
    Trailers(usize),
}

/// Limits on the size of a body.
#[derive(Clone, Copy)]
pub(crate) struct BodyLimits {
    pub(crate) max_body_bytes: usize,
    /// Largest size in bytes of a chunk's size line, and of all trailer fields together.
    pub(crate) max_line_bytes: usize,
}

/// Returns the framing that the header fields declare; `None` if they declare none.
///
/// # Errors
/// The fields contradict each other, or name an unsupported transfer coding.
pub(crate) fn framing(headers: &[httparse::Header]) -> Result<Option<BodyFraming>, HttpError> {
    let mut transfer_codings = values(headers, "transfer-encoding");
    let lengths: Vec<&[u8]> = values(headers, "content-length").collect();
    let Some(coding) = transfer_codings.next() else { return content_length(&lengths) };
    // Both fields at once, or an unsupported coding, leave the end of the message ambiguous, which would allow request
    // smuggling.
    if !lengths.is_empty() || transfer_codings.next().is_some() {
        return Err(HttpError { status: 400, reason: "length and coding both" });
    }
    if !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError { status: 501, reason: "unknown transfer coding" });
    }
    Ok(Some(BodyFraming::Chunked(ChunkState::default())))
}

fn values<'a>(headers: &'a [httparse::Header<'a>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

fn content_length(lengths: &[&[u8]]) -> Result<Option<BodyFraming>, HttpError> {
    let Some(first) = lengths.first() else { return Ok(None) };
    if lengths.iter().any(|other| other != first) {
        return Err(HttpError { status: 400, reason: "lengths differ" });
    }
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(first).ok().filter(|_| is_number).and_then(|text| text.parse().ok());
    match length {
        Some(length) => Ok(Some(BodyFraming::Length(length))),
        None => Err(HttpError { status: 400, reason: "bad length" }),
    }
}

impl BodyFraming {
    /// Moves the received bytes of the body from `buffer` to `body`; returns true once the body is complete.
    ///
    /// # Errors
    /// The body is larger than its limit, or its chunks are malformed.
    pub(crate) fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        limits: BodyLimits,
    ) -> Result<bool, HttpError> {
        match self {
            BodyFraming::Length(length) if *length > limits.max_body_bytes => Err(BODY_TOO_LARGE),
            BodyFraming::Length(length) => {
                let missing = *length - body.len();
                body.reserve_exact(missing);
                move_bytes(buffer, body, missing);
                Ok(body.len() == *length)
            }
            BodyFraming::UntilClose => {
                move_bytes(buffer, body, usize::MAX);
                if body.len() > limits.max_body_bytes { Err(BODY_TOO_LARGE) } else { Ok(false) }
            }
            BodyFraming::Chunked(state) => state.read(buffer, body, limits),
        }
    }
}

/// Result of reading one element of a chunked body.
enum ChunkProgress {
    /// The element is complete; the given one follows.
    Next(ChunkState),
    /// More bytes are needed.
    Incomplete,
    /// The body is complete.
    Complete,
}

impl ChunkState {
    fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        limits: BodyLimits,
    ) -> Result<bool, HttpError> {
        loop {
            let progress = match self {
                ChunkState::Size => read_chunk_size(buffer, body.len(), limits)?,
                ChunkState::Data(remaining) => read_chunk_data(buffer, body, remaining),
                ChunkState::DataEnd => read_chunk_end(buffer)?,
                ChunkState::Trailers(read) => read_trailer(buffer, read, limits.max_line_bytes)?,
            };
            match progress {
                ChunkProgress::Next(state) => *self = state,
                ChunkProgress::Incomplete => return Ok(false),
                ChunkProgress::Complete => return Ok(true),
            }
        }
    }
}

fn read_chunk_size(
    buffer: &mut Buffer,
    body_bytes: usize,
    limits: BodyLimits,
) -> Result<ChunkProgress, HttpError> {
    match httparse::parse_chunk_size(buffer.data()) {
        Ok(Status::Complete((_, size))) if size > (limits.max_body_bytes - body_bytes) as u64 => {
            Err(BODY_TOO_LARGE)
        }
        Ok(Status::Complete((head, size))) => {
            buffer.consume(head);
            let next = if size == 0 { ChunkState::Trailers(0) } else { ChunkState::Data(size as usize) };
            Ok(ChunkProgress::Next(next))
        }
        Ok(Status::Partial) if buffer.len() <= limits.max_line_bytes => Ok(ChunkProgress::Incomplete),
        _ => Err(BAD_CHUNK),
    }
}

fn read_chunk_data(buffer: &mut Buffer, body: &mut Vec<u8>, remaining: &mut usize) -> ChunkProgress {
    *remaining -= move_bytes(buffer, body, *remaining);
    if *remaining > 0 { ChunkProgress::Incomplete } else { ChunkProgress::Next(ChunkState::DataEnd) }
}

fn read_chunk_end(buffer: &mut Buffer) -> Result<ChunkProgress, HttpError> {
    match buffer.data() {
        [b'\r', b'\n', ..] => {
            buffer.consume(2);
            Ok(ChunkProgress::Next(ChunkState::Size))
        }
        [] | [b'\r'] => Ok(ChunkProgress::Incomplete),
        _ => Err(BAD_CHUNK),
    }
}

/// Skips one line of the trailer section, of which `read` bytes have been skipped before; an empty line ends the body.
fn read_trailer(
    buffer: &mut Buffer,
    read: &mut usize,
    max_line_bytes: usize,
) -> Result<ChunkProgress, HttpError> {
    let Some(end) = buffer.data().iter().position(|byte| *byte == b'\n') else {
        let is_too_long = *read + buffer.len() > max_line_bytes;
        return if is_too_long { Err(BAD_CHUNK) } else { Ok(ChunkProgress::Incomplete) };
    };
    let is_empty = matches!(&buffer.data()[..end], [] | [b'\r']);
    let read = *read + end + 1;
    buffer.consume(end + 1);
    if is_empty {
        return Ok(ChunkProgress::Complete);
    }
    if read > max_line_bytes { Err(BAD_CHUNK) } else { Ok(ChunkProgress::Next(ChunkState::Trailers(read))) }
}

/// Moves up to `max` bytes from the buffer to the body, and returns their number.
fn move_bytes(buffer: &mut Buffer, body: &mut Vec<u8>, max: usize) -> usize {
    let count = buffer.len().min(max);
    body.extend_from_slice(&buffer.data()[..count]);
    buffer.consume(count);
    count
}

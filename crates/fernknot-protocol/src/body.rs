//! A message's body: of a known length, in chunks, or up to the end of the connection.

use crate::buffer::Buffer;
use crate::http_error::HttpError;
use httparse::Status;

const BODY_TOO_LARGE: HttpError = HttpError { status: 413, reason: "body too large" };
const BAD_CHUNK: HttpError = HttpError { status: 400, reason: "bad chunk" };

/// How the end of a body is told, and how far it has been read.
#[derive(Debug)]
pub(crate) enum BodyFraming {
    /// A body of so many bytes.
    Length(usize),
    /// A body in chunks, the last of which is empty.
    Chunks(ChunkState),
    /// All that comes until the connection ends.
    ToEnd,
}

/// What comes next of a body in chunks.
#[derive(Debug, Default)]
pub(crate) enum ChunkState {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// So many bytes of a chunk.
    Data(usize),
    /// The line end behind a chunk.
    DataEnd,
    /// The trailers, of which so many bytes have been read.
    Trailers(usize),
}

/// Bounds on the bytes of a body.
#[derive(Clone, Copy)]
pub(crate) struct BodyLimits {
    pub(crate) max_body_bytes: usize,
    /// The most bytes of a chunk's head, or of all trailers.
    pub(crate) max_line_bytes: usize,
}

/// The framing that a head's lines give; `None` where they give none.
///
/// # Errors
/// The lines contradict each other, or name a coding that is not known here.
pub(crate) fn framing(headers: &[httparse::Header]) -> Result<Option<BodyFraming>, HttpError> {
    let mut codings = values(headers, "transfer-encoding");
    let lengths: Vec<&[u8]> = values(headers, "content-length").collect();
    let Some(coding) = codings.next() else { return content_length(&lengths) };
    // Guards against two readings of one message: with both, or with an unknown coding, its end is not certain.
    if !lengths.is_empty() || codings.next().is_some() {
        return Err(HttpError { status: 400, reason: "length and coding both" });
    }
    if !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError { status: 501, reason: "unknown transfer coding" });
    }
    Ok(Some(BodyFraming::Chunks(ChunkState::default())))
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
    /// Moves what has come from `buffer` to `body`; true once the body is complete.
    ///
    /// # Errors
    /// The body is larger than its limit, or its chunks cannot be read.
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
            BodyFraming::ToEnd => {
                move_bytes(buffer, body, usize::MAX);
                if body.len() > limits.max_body_bytes { Err(BODY_TOO_LARGE) } else { Ok(false) }
            }
            BodyFraming::Chunks(state) => state.read(buffer, body, limits),
        }
    }
}

/// What reading one element of a body in chunks came to.
enum ChunkProgress {
    /// This comes next.
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
                ChunkState::Data(left) => read_chunk_data(buffer, body, left),
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

fn read_chunk_data(buffer: &mut Buffer, body: &mut Vec<u8>, left: &mut usize) -> ChunkProgress {
    *left -= move_bytes(buffer, body, *left);
    if *left > 0 { ChunkProgress::Incomplete } else { ChunkProgress::Next(ChunkState::DataEnd) }
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

/// Skips one line of the trailers, of which `read` bytes came before; an empty line ends the body.
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

/// Moves up to so many bytes from the buffer to the body, and returns how many.
fn move_bytes(buffer: &mut Buffer, body: &mut Vec<u8>, max: usize) -> usize {
    let count = buffer.len().min(max);
    body.extend_from_slice(&buffer.data()[..count]);
    buffer.consume(count);
    count
}

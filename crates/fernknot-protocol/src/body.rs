//! A message's body: by its length, in chunks, or up to the end of the connection.

use crate::buffer::Buffer;
use crate::http::HttpError;

#[derive(Debug)]
pub enum BodyFraming {
    Length(usize),
    Chunks(ChunkState),
    ToEnd,
}

#[derive(Debug, Default)]
pub enum ChunkState {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    /// Bytes of trailers passed over so far.
    Trailers(usize),
}

const TOO_LARGE: HttpError = HttpError { status: 413, why: "body too large" };
const BAD_CHUNK: HttpError = HttpError { status: 400, why: "bad chunk" };

/// The framing that a head's lines tell; `None` where they tell none.
pub fn framing(headers: &[httparse::Header]) -> Result<Option<BodyFraming>, HttpError> {
    let named = |name: &str| {
        let name = name.to_string();
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(&name))
            .map(|header| header.value)
    };
    let bad = |why| Err(HttpError { status: 400, why });
    let lengths: Vec<&[u8]> = named("content-length").collect();
    let mut coded = named("transfer-encoding");
    if let Some(coding) = coded.next() {
        // Guards against two readings of one message: with both, or with an unknown coding, its end
        // is not certain.
        if !lengths.is_empty() || coded.next().is_some() {
            return bad("length and coding both");
        }
        return match coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            true => Ok(Some(BodyFraming::Chunks(ChunkState::default()))),
            false => Err(HttpError { status: 501, why: "unknown transfer coding" }),
        };
    }
    let Some(first) = lengths.first() else { return Ok(None) };
    if lengths.iter().any(|other| other != first) {
        return bad("lengths differ");
    }
    let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    match std::str::from_utf8(first).ok().filter(|_| digits).and_then(|text| text.parse().ok()) {
        Some(length) => Ok(Some(BodyFraming::Length(length))),
        None => bad("bad length"),
    }
}

impl BodyFraming {
    /// Moves what has come into `body`; true once it is all there. `line` bounds a chunk's head.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        most: usize,
        line: usize,
    ) -> Result<bool, HttpError> {
        match self {
            BodyFraming::Length(length) if *length > most => Err(TOO_LARGE),
            BodyFraming::Length(length) => {
                body.reserve_exact(*length - body.len());
                take(buffer, body, *length - body.len());
                Ok(body.len() == *length)
            }
            BodyFraming::ToEnd => {
                take(buffer, body, usize::MAX);
                if body.len() > most { Err(TOO_LARGE) } else { Ok(false) }
            }
            BodyFraming::Chunks(chunks) => chunks.read(buffer, body, most, line),
        }
    }
}

impl ChunkState {
    fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        most: usize,
        line: usize,
    ) -> Result<bool, HttpError> {
        loop {
            match self {
                ChunkState::Size => match httparse::parse_chunk_size(buffer.data()) {
                    Ok(httparse::Status::Complete((_, size))) if size > (most - body.len()) as u64 => {
                        return Err(TOO_LARGE);
                    }
                    Ok(httparse::Status::Complete((head, size))) => {
                        buffer.consume(head);
                        *self =
                            if size == 0 { ChunkState::Trailers(0) } else { ChunkState::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= line => return Ok(false),
                    _ => return Err(BAD_CHUNK),
                },
                ChunkState::Data(left) => {
                    *left -= take(buffer, body, *left);
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => match buffer.data() {
                    [b'\r', b'\n', ..] => {
                        buffer.consume(2);
                        *self = ChunkState::Size;
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(BAD_CHUNK),
                },
                ChunkState::Trailers(passed) => {
                    let end = buffer.data().iter().position(|byte| *byte == b'\n');
                    let Some(end) = end else {
                        return if *passed + buffer.len() > line { Err(BAD_CHUNK) } else { Ok(false) };
                    };
                    let empty = matches!(&buffer.data()[..end], [] | [b'\r']);
                    *passed += end + 1;
                    buffer.consume(end + 1);
                    if empty {
                        return Ok(true);
                    }
                    if *passed > line {
                        return Err(BAD_CHUNK);
                    }
                }
            }
        }
    }
}

fn take(buffer: &mut Buffer, body: &mut Vec<u8>, most: usize) -> usize {
    let count = buffer.len().min(most);
    body.extend_from_slice(&buffer.data()[..count]);
    buffer.consume(count);
    count
}

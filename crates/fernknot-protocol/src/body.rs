//! A message's body: by its length, in chunks, or up to the end of the connection.

use crate::buffer::Buffer;
use crate::http::BadHttp;

#[derive(Debug)]
pub enum Framing {
    Length(usize),
    Chunks(Chunks),
    ToEnd,
}

#[derive(Debug, Default)]
pub enum Chunks {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    /// Bytes of trailers passed over so far.
    Trailers(usize),
}

const TOO_LARGE: BadHttp = BadHttp { status: 413, why: "body too large" };
const BAD_CHUNK: BadHttp = BadHttp { status: 400, why: "bad chunk" };

/// The framing that a head's lines tell; `None` where they tell none.
pub fn framing(headers: &[httparse::Header]) -> Result<Option<Framing>, BadHttp> {
    let named = |name: &str| {
        let name = name.to_string();
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(&name))
            .map(|header| header.value)
    };
    let bad = |why| Err(BadHttp { status: 400, why });
    let lengths: Vec<&[u8]> = named("content-length").collect();
    let mut coded = named("transfer-encoding");
    if let Some(coding) = coded.next() {
        // Guards against two readings of one message: with both, or with an unknown coding, its end
        // is not certain.
        if !lengths.is_empty() || coded.next().is_some() {
            return bad("length and coding both");
        }
        return match coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            true => Ok(Some(Framing::Chunks(Chunks::default()))),
            false => Err(BadHttp { status: 501, why: "unknown transfer coding" }),
        };
    }
    let Some(first) = lengths.first() else { return Ok(None) };
    if lengths.iter().any(|other| other != first) {
        return bad("lengths differ");
    }
    let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    match std::str::from_utf8(first).ok().filter(|_| digits).and_then(|text| text.parse().ok()) {
        Some(length) => Ok(Some(Framing::Length(length))),
        None => bad("bad length"),
    }
}

impl Framing {
    /// Moves what has come into `body`; true once it is all there. `line` bounds a chunk's head.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        most: usize,
        line: usize,
    ) -> Result<bool, BadHttp> {
        match self {
            Framing::Length(length) if *length > most => Err(TOO_LARGE),
            Framing::Length(length) => {
                body.reserve_exact(*length - body.len());
                take(buffer, body, *length - body.len());
                Ok(body.len() == *length)
            }
            Framing::ToEnd => {
                take(buffer, body, usize::MAX);
                if body.len() > most { Err(TOO_LARGE) } else { Ok(false) }
            }
            Framing::Chunks(chunks) => chunks.read(buffer, body, most, line),
        }
    }
}

impl Chunks {
    fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        most: usize,
        line: usize,
    ) -> Result<bool, BadHttp> {
        loop {
            match self {
                Chunks::Size => match httparse::parse_chunk_size(buffer.data()) {
                    Ok(httparse::Status::Complete((_, size))) if size > (most - body.len()) as u64 => {
                        return Err(TOO_LARGE);
                    }
                    Ok(httparse::Status::Complete((head, size))) => {
                        buffer.consume(head);
                        *self = if size == 0 { Chunks::Trailers(0) } else { Chunks::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= line => return Ok(false),
                    _ => return Err(BAD_CHUNK),
                },
                Chunks::Data(left) => {
                    *left -= take(buffer, body, *left);
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = Chunks::DataEnd;
                }
                Chunks::DataEnd => match buffer.data() {
                    [b'\r', b'\n', ..] => {
                        buffer.consume(2);
                        *self = Chunks::Size;
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(BAD_CHUNK),
                },
                Chunks::Trailers(passed) => {
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

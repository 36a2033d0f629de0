//! HTTP/1.1 parser and encoder of the simulation, independent of the code under test.

use thiserror::Error;

/// Parse error of an HTTP message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The head is not valid UTF-8.
    #[error("a head that is no text")]
    HeadNotText,
    /// The first line is neither a request line nor a status line.
    #[error("bytes that begin no message: {0:?}")]
    BadStartLine(String),
    /// A header line has no colon.
    #[error("a line without a colon: {0:?}")]
    BadHeader(String),
    /// The content length is not a number.
    #[error("a length of {0:?}")]
    BadLength(String),
    /// A chunk does not begin with its size.
    #[error("a chunk without a size")]
    BadChunkSize,
}

/// A complete request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// First line, without its line end.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// Body, without the chunked encoding.
    pub body: Vec<u8>,
    /// Length of the encoded message, in bytes.
    pub length: usize,
}

impl Message {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the part of the start line at `index`: 0 is a request's method or a response's version, 1 is a request's
    /// target or a response's status. Empty if there is none.
    pub fn start_line_part(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line_part(1).parse().unwrap_or(0)
    }

    /// Returns whether the connection closes after this message.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Parses the first message of `bytes`; `None` if it is incomplete. A message without a length has no body.
///
/// # Errors
/// The bytes are not an HTTP message.
pub fn parse_message(bytes: &[u8]) -> Result<Option<Message>, WireError> {
    parse(bytes, false)
}

/// Parses a response to a `HEAD` request, which has no body whatever its headers say.
///
/// # Errors
/// The bytes are not an HTTP message.
pub fn parse_head_response(bytes: &[u8]) -> Result<Option<Message>, WireError> {
    parse(bytes, true)
}

fn parse(bytes: &[u8], has_no_body: bool) -> Result<Option<Message>, WireError> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return Ok(None) };
    let mut message = parse_head(&bytes[..end])?;
    let rest = &bytes[end + 4..];
    let body = if has_no_body { Some((Vec::new(), 0)) } else { parse_body(&message, rest)? };
    Ok(body.map(|(body, body_length)| {
        message.body = body;
        message.length = end + 4 + body_length;
        message
    }))
}

fn parse_head(head: &[u8]) -> Result<Message, WireError> {
    let head = std::str::from_utf8(head).map_err(|_| WireError::HeadNotText)?;
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_string();
    if !start_line.starts_with("HTTP/1.1 ") && !start_line.ends_with(" HTTP/1.1") {
        return Err(WireError::BadStartLine(start_line));
    }
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or_else(|| WireError::BadHeader(line.to_string()))?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
    Ok(Message { start_line, headers, body: Vec::new(), length: 0 })
}

/// Parses the body of a message and returns it with its encoded length in bytes; `None` if it is incomplete.
fn parse_body(message: &Message, rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, WireError> {
    if message.header("transfer-encoding").is_some() {
        return parse_chunks(rest);
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(|_| WireError::BadLength(length.to_string()))?;
    Ok(rest.get(..length).map(|body| (body.to_vec(), length)))
}

fn parse_chunks(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, WireError> {
    let (total_bytes, mut body) = (rest.len(), Vec::new());
    loop {
        let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else { return Ok(None) };
        let size = std::str::from_utf8(&rest[..end]).ok();
        let size =
            size.and_then(|text| usize::from_str_radix(text, 16).ok()).ok_or(WireError::BadChunkSize)?;
        if rest.len() < end + 2 + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 2 + size + 2..];
        if size == 0 {
            return Ok(Some((body, total_bytes - rest.len())));
        }
    }
}

/// Encodes a body in chunks of at most `max_chunk_bytes`.
pub fn encode_chunked(body: &[u8], max_chunk_bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(max_chunk_bytes.max(1)) {
        out.extend(format!("{:x}\r\n", chunk.len()).bytes());
        out.extend(chunk);
        out.extend(b"\r\n");
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// Encodes a response with a `Content-Length`.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Said\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

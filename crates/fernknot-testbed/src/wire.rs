//! HTTP/1.1 as callers and nodes speak it, on blocking sockets. What the programs read and write is judged by this
//! code, so it shares none with them.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The largest message that is read, in bytes.
const MOST: usize = 64 << 20;
const MAX_HEADERS: usize = 64;

/// A step of an exchange that failed, and with whom.
#[derive(Debug, Error)]
#[error("{step} {peer}: {why}")]
pub struct WireError {
    pub step: &'static str,
    pub peer: SocketAddrV4,
    pub why: Error,
}

/// A request or an answer: the words of its first line, its lines and its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Method and target, or the status as a number and nothing.
    pub start_line: (String, String),
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first line of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// All lines of this name, as one with commas.
    pub fn header_list(&self, name: &str) -> String {
        let named = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect::<Vec<_>>().join(",")
    }

    /// The status of an answer; 0 where it is none.
    pub fn status(&self) -> u16 {
        self.start_line.0.parse().unwrap_or(0)
    }

    /// Whether the connection ends after it.
    pub fn closes_connection(&self) -> bool {
        self.header_list("connection").split(',').any(|word| word.trim().eq_ignore_ascii_case("close"))
    }
}

/// A connection with what was read ahead on it.
pub struct Connection {
    stream: TcpStream,
    pub peer: SocketAddrV4,
    buffered: Vec<u8>,
}

fn bad(why: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, why)
}

/// Which kind of message is to be read.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Request,
    Answer,
}

/// The head, and its length in bytes, once all of it is there.
fn parse_head(kind: Kind, bytes: &[u8]) -> Result<Option<(Message, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let (first, length) = match kind {
        Kind::Request => {
            let mut parsed = httparse::Request::new(&mut headers);
            match parsed.parse(bytes).map_err(|_| bad("not a request"))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(length) => {
                    let word = |word: Option<&str>| word.unwrap_or_default().to_string();
                    ((word(parsed.method), word(parsed.path)), length)
                }
            }
        }
        Kind::Answer => {
            let mut parsed = httparse::Response::new(&mut headers);
            match parsed.parse(bytes).map_err(|_| bad("not an answer"))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(length) => {
                    ((parsed.code.unwrap_or(0).to_string(), String::new()), length)
                }
            }
        }
    };
    let lines = headers.iter().take_while(|header| !header.name.is_empty());
    let lines = lines
        .map(|header| (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned()))
        .collect();
    Ok(Some((Message { start_line: first, headers: lines, body: Vec::new() }, length)))
}

impl Connection {
    /// # Errors
    /// Where nobody takes the connection within the time.
    pub fn connect(peer: SocketAddrV4, within: Duration) -> Result<Connection, WireError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(peer), within);
        let stream = stream.map_err(|why| WireError { step: "connect to", peer, why })?;
        Ok(Connection::from_stream(stream, peer))
    }

    /// A line over a connection that came in.
    pub fn from_stream(stream: TcpStream, peer: SocketAddrV4) -> Connection {
        // Without it a short message may wait for the acknowledgement of the one before; no fault if refused.
        let _ = stream.set_nodelay(true);
        Connection { stream, peer, buffered: Vec::new() }
    }

    /// Bytes that came behind the last message; on the side of a client they belong to no request.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// # Errors
    /// Where not all could be written until then.
    pub fn send(&mut self, bytes: &[u8], until: Instant) -> Result<(), WireError> {
        let peer = self.peer;
        let fail = |why| WireError { step: "write to", peer, why };
        self.stream.set_write_timeout(Some(remaining(until))).map_err(fail)?;
        self.stream.write_all(bytes).map_err(fail)
    }

    fn read_more(&mut self, until: Instant) -> Result<usize, WireError> {
        let peer = self.peer;
        let fail = |why| WireError { step: "read from", peer, why };
        if Instant::now() >= until {
            return Err(fail(Error::new(ErrorKind::TimedOut, "nothing whole came in time")));
        }
        self.stream.set_read_timeout(Some(remaining(until))).map_err(fail)?;
        let mut bytes = [0; 16 * 1024];
        let count = loop {
            match self.stream.read(&mut bytes) {
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                read => break read.map_err(fail)?,
            }
        };
        self.buffered.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn read_message(&mut self, kind: Kind, until: Instant) -> Result<Option<Message>, WireError> {
        let peer = self.peer;
        let fail = |why| WireError { step: "read from", peer, why };
        let cut = || fail(Error::new(ErrorKind::UnexpectedEof, "closed within a message"));
        let (mut message, mut from) = loop {
            if let Some(found) = parse_head(kind, &self.buffered).map_err(fail)? {
                break found;
            }
            if self.buffered.len() > MOST {
                return Err(fail(bad("the head has no end")));
            }
            match (self.read_more(until)?, self.buffered.is_empty()) {
                (0, true) => return Ok(None),
                (0, false) => return Err(cut()),
                _ => {}
            }
        };
        let chunked = message.header_list("transfer-encoding").to_ascii_lowercase().contains("chunked");
        let empty = kind == Kind::Answer && matches!(message.status(), 100..200 | 204 | 304);
        let length = message.header("content-length").map(str::parse::<usize>);
        let length = match length {
            Some(Ok(length)) if length <= MOST => Some(length),
            Some(_) => return Err(fail(bad("the length is none"))),
            None if kind == Kind::Request || empty => Some(0),
            None => None,
        };
        if chunked {
            loop {
                let (head, size) = loop {
                    match httparse::parse_chunk_size(&self.buffered[from..]) {
                        Ok(httparse::Status::Complete(found)) => break found,
                        Ok(httparse::Status::Partial) if self.read_more(until)? > 0 => {}
                        _ => return Err(cut()),
                    }
                };
                let size = usize::try_from(size).ok().filter(|size| *size <= MOST);
                let size = size.ok_or_else(|| fail(bad("a chunk is too long")))?;
                from += head;
                while self.buffered.len() < from + size + 2 {
                    if self.read_more(until)? == 0 {
                        return Err(cut());
                    }
                }
                message.body.extend_from_slice(&self.buffered[from..from + size]);
                from += size + 2;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            while self.buffered.len() < from + length {
                if self.read_more(until)? == 0 {
                    return Err(cut());
                }
            }
            message.body = self.buffered[from..from + length].to_vec();
            from += length;
        } else {
            return Err(fail(bad("the answer tells no length")));
        }
        self.buffered.drain(..from);
        Ok(Some(message))
    }

    /// The next request; none where the connection ended between two.
    ///
    /// # Errors
    /// Where none came whole until then.
    pub fn read_request(&mut self, until: Instant) -> Result<Option<Message>, WireError> {
        self.read_message(Kind::Request, until)
    }

    /// The answer to the request that was sent last.
    ///
    /// # Errors
    /// Where none came whole until then.
    pub fn read_response(&mut self, until: Instant) -> Result<Message, WireError> {
        let why = || Error::new(ErrorKind::UnexpectedEof, "closed without an answer");
        let peer = self.peer;
        self.read_message(Kind::Answer, until)?.ok_or_else(|| WireError {
            step: "read from",
            peer,
            why: why(),
        })
    }
}

/// A time-out of nothing is refused by the system.
fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}

/// A request as bytes. `lines` are whole header lines.
pub fn encode_request(method: &str, target: &str, lines: &[String], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    lines.iter().for_each(|line| out += &format!("{line}\r\n"));
    if !body.is_empty() || method == "POST" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    [out.as_bytes(), body].concat()
}

/// An answer as bytes.
pub fn encode_response(status: u16, lines: &[String], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n");
    lines.iter().for_each(|line| out += &format!("{line}\r\n"));
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

/// One exchange on a connection of its own.
///
/// # Errors
/// The step that failed.
pub fn exchange_once(peer: SocketAddrV4, bytes: &[u8], within: Duration) -> Result<Message, WireError> {
    let until = Instant::now() + within;
    let mut line = Connection::connect(peer, within)?;
    line.send(bytes, until)?;
    line.read_response(until)
}

//! HTTP/1.1 for clients and nodes, on blocking sockets. It shares no code with the controller and gateway programs, so
//! that a fault in their HTTP code is detected.

use crate::error::ConnectionError;
use httparse::Status;
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
const MAX_HEADERS: usize = 64;
/// Maximum number of bytes received by one read.
const READ_BYTES: usize = 16 * 1024;

/// First line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Request line.
    Request {
        /// Method, such as `GET`.
        method: String,
        /// Path with its query.
        target: String,
    },
    /// Status line.
    Response {
        /// Status code, such as 200.
        status: u16,
    },
}

/// HTTP request or response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub start_line: StartLine,
    /// Names and values of the headers, in their order.
    pub headers: Vec<(String, String)>,
    /// Body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the values of all headers with this name, joined with commas.
    pub fn header_list(&self, name: &str) -> String {
        let named = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect::<Vec<_>>().join(",")
    }

    /// Returns the status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.start_line {
            StartLine::Response { status } => status,
            StartLine::Request { .. } => 0,
        }
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.header_list("connection").split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    }

    fn is_chunked(&self) -> bool {
        self.header_list("transfer-encoding").to_ascii_lowercase().contains("chunked")
    }

    /// Whether the message has no body unless a header gives its length.
    fn has_no_body(&self) -> bool {
        match self.start_line {
            StartLine::Request { .. } => true,
            StartLine::Response { status } => matches!(status, 100..200 | 204 | 304),
        }
    }

    /// Returns the length of a body that is not chunked.
    fn body_length(&self) -> Result<usize, Error> {
        match self.header("content-length").map(str::parse::<usize>) {
            Some(Ok(length)) if length <= MAX_MESSAGE_BYTES => Ok(length),
            Some(_) => Err(invalid("invalid Content-Length")),
            None if self.has_no_body() => Ok(0),
            None => Err(invalid("the response has no Content-Length")),
        }
    }
}

fn invalid(text: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, text)
}

/// Kind of message to read.
#[derive(Clone, Copy, PartialEq)]
enum MessageKind {
    Request,
    Response,
}

/// Parses the head of a message. Returns the message without its body, and the head's length in bytes; none if the head
/// is incomplete.
fn parse_head(kind: MessageKind, bytes: &[u8]) -> Result<Option<(Message, usize)>, Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = match kind {
        MessageKind::Request => parse_request_line(bytes, &mut headers)?,
        MessageKind::Response => parse_status_line(bytes, &mut headers)?,
    };
    let Some((start_line, length)) = parsed else { return Ok(None) };
    let headers = headers.iter().take_while(|header| !header.name.is_empty());
    let headers = headers
        .map(|header| (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned()))
        .collect();
    Ok(Some((Message { start_line, headers, body: Vec::new() }, length)))
}

fn parse_request_line<'bytes>(
    bytes: &'bytes [u8],
    headers: &mut [httparse::Header<'bytes>],
) -> Result<Option<(StartLine, usize)>, Error> {
    let mut request = httparse::Request::new(headers);
    let parsed = request.parse(bytes).map_err(|_| invalid("malformed request head"))?;
    let Status::Complete(length) = parsed else { return Ok(None) };
    let method = request.method.unwrap_or_default().to_string();
    let target = request.path.unwrap_or_default().to_string();
    Ok(Some((StartLine::Request { method, target }, length)))
}

fn parse_status_line<'bytes>(
    bytes: &'bytes [u8],
    headers: &mut [httparse::Header<'bytes>],
) -> Result<Option<(StartLine, usize)>, Error> {
    let mut response = httparse::Response::new(headers);
    let parsed = response.parse(bytes).map_err(|_| invalid("malformed response head"))?;
    let Status::Complete(length) = parsed else { return Ok(None) };
    let status = response.code.unwrap_or(0);
    Ok(Some((StartLine::Response { status }, length)))
}

/// Connection with the received bytes that are not consumed yet.
pub struct Connection {
    stream: TcpStream,
    /// Address of the peer.
    pub peer: SocketAddrV4,
    buffered: Vec<u8>,
}

impl Connection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// The peer does not accept the connection before the time-out.
    pub fn connect(peer: SocketAddrV4, timeout: Duration) -> Result<Connection, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(peer), timeout);
        Ok(Connection::from_stream(stream.map_err(ConnectionError::from_io("connect to", peer))?, peer))
    }

    /// Wraps an established connection.
    pub fn from_stream(stream: TcpStream, peer: SocketAddrV4) -> Connection {
        // Otherwise a short message may wait for the acknowledgement of the previous one. Errors only cost latency.
        let _ = stream.set_nodelay(true);
        Connection { stream, peer, buffered: Vec::new() }
    }

    /// Returns the number of received bytes after the last message. A client sends one request at a time, so that these
    /// bytes belong to none of its requests.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Writes bytes, at the latest until the given instant.
    ///
    /// # Errors
    /// The bytes could not all be written in time.
    pub fn send(&mut self, bytes: &[u8], until: Instant) -> Result<(), ConnectionError> {
        let to_error = ConnectionError::from_io("write to", self.peer);
        self.stream.set_write_timeout(Some(remaining(until))).map_err(&to_error)?;
        self.stream.write_all(bytes).map_err(&to_error)
    }

    /// Reads the next request; none if the peer closed the connection between two requests.
    ///
    /// # Errors
    /// No complete and valid message arrived in time.
    pub fn read_request(&mut self, until: Instant) -> Result<Option<Message>, ConnectionError> {
        self.read_message(MessageKind::Request, until)
    }

    /// Reads the response to the last request.
    ///
    /// # Errors
    /// No complete and valid message arrived in time.
    pub fn read_response(&mut self, until: Instant) -> Result<Message, ConnectionError> {
        let peer = self.peer;
        let to_closed_error = || {
            ConnectionError::new(
                "read from",
                peer,
                ErrorKind::UnexpectedEof,
                "connection closed without a response",
            )
        };
        self.read_message(MessageKind::Response, until)?.ok_or_else(to_closed_error)
    }

    fn read_message(
        &mut self,
        kind: MessageKind,
        until: Instant,
    ) -> Result<Option<Message>, ConnectionError> {
        let to_error = ConnectionError::from_io("read from", self.peer);
        let Some((mut message, head_length)) = self.read_head(kind, until)? else { return Ok(None) };
        let length = if message.is_chunked() {
            let (body, end) = self.read_chunks(head_length, until)?;
            message.body = body;
            end
        } else {
            let end = head_length + message.body_length().map_err(&to_error)?;
            self.fill(end, until)?;
            message.body = self.buffered[head_length..end].to_vec();
            end
        };
        self.buffered.drain(..length);
        Ok(Some(message))
    }

    /// Reads a head. Returns it and its length in bytes; none if the connection was closed before its first byte.
    fn read_head(
        &mut self,
        kind: MessageKind,
        until: Instant,
    ) -> Result<Option<(Message, usize)>, ConnectionError> {
        let to_error = ConnectionError::from_io("read from", self.peer);
        loop {
            if let Some(head) = parse_head(kind, &self.buffered).map_err(&to_error)? {
                return Ok(Some(head));
            }
            if self.buffered.len() > MAX_MESSAGE_BYTES {
                return Err(to_error(invalid("the message head is too long")));
            }
            match (self.read_more(until)?, self.buffered.is_empty()) {
                (0, true) => return Ok(None),
                (0, false) => return Err(self.closed_within_message()),
                _ => {}
            }
        }
    }

    /// Reads a chunked body that begins at the given offset. Returns it and the offset of its end.
    fn read_chunks(&mut self, begin: usize, until: Instant) -> Result<(Vec<u8>, usize), ConnectionError> {
        let mut body = Vec::new();
        let mut end = begin;
        loop {
            let (head_length, size) = self.read_chunk_size(end, until)?;
            end += head_length;
            self.fill(end + size + 2, until)?;
            body.extend_from_slice(&self.buffered[end..end + size]);
            end += size + 2;
            if size == 0 {
                return Ok((body, end));
            }
        }
    }

    /// Reads the size line of a chunk. Returns the length of that line and the size of the chunk, in bytes.
    fn read_chunk_size(&mut self, begin: usize, until: Instant) -> Result<(usize, usize), ConnectionError> {
        let (length, size) = loop {
            match httparse::parse_chunk_size(&self.buffered[begin..]) {
                Ok(Status::Complete(found)) => break found,
                Ok(Status::Partial) if self.read_more(until)? > 0 => {}
                _ => return Err(self.closed_within_message()),
            }
        };
        let size = usize::try_from(size).ok().filter(|size| *size <= MAX_MESSAGE_BYTES);
        let to_size_error =
            || ConnectionError::new("read from", self.peer, ErrorKind::InvalidData, "chunk is too long");
        Ok((length, size.ok_or_else(to_size_error)?))
    }

    /// Reads until at least `length` bytes are buffered.
    fn fill(&mut self, length: usize, until: Instant) -> Result<(), ConnectionError> {
        while self.buffered.len() < length {
            if self.read_more(until)? == 0 {
                return Err(self.closed_within_message());
            }
        }
        Ok(())
    }

    fn closed_within_message(&self) -> ConnectionError {
        ConnectionError::new(
            "read from",
            self.peer,
            ErrorKind::UnexpectedEof,
            "connection closed within a message",
        )
    }

    /// Waits for bytes and reads them. Returns their number; 0 if the peer has closed the connection.
    fn read_more(&mut self, until: Instant) -> Result<usize, ConnectionError> {
        let to_error = ConnectionError::from_io("read from", self.peer);
        if Instant::now() >= until {
            return Err(to_error(Error::new(ErrorKind::TimedOut, "no complete message arrived in time")));
        }
        self.stream.set_read_timeout(Some(remaining(until))).map_err(&to_error)?;
        let mut bytes = [0; READ_BYTES];
        let count = loop {
            match self.stream.read(&mut bytes) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                read => break read.map_err(&to_error)?,
            }
        };
        self.buffered.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

/// Returns the time until an instant, at least 1 ms: a socket time-out must not be zero.
pub(crate) fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}

/// Encodes a request. `headers` are header lines without their line ends.
pub fn encode_request(method: &str, target: &str, headers: &[String], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    headers.iter().for_each(|line| out += &format!("{line}\r\n"));
    if !body.is_empty() || method == "POST" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    [out.as_bytes(), body].concat()
}

/// Encodes a response. `headers` are header lines without their line ends.
pub fn encode_response(status: u16, headers: &[String], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n");
    headers.iter().for_each(|line| out += &format!("{line}\r\n"));
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

/// Sends a request on a new connection and returns the response.
///
/// # Errors
/// The connection, the request or the response fails.
pub fn exchange_once(
    peer: SocketAddrV4,
    request: &[u8],
    timeout: Duration,
) -> Result<Message, ConnectionError> {
    let until = Instant::now() + timeout;
    let mut connection = Connection::connect(peer, timeout)?;
    connection.send(request, until)?;
    connection.read_response(until)
}

/// Whether the process at this address reports readiness (`GET /-/readiness`) within half a second.
pub fn is_ready(addr: SocketAddrV4) -> bool {
    let headers = [format!("Host: {addr}"), "Connection: close".into()];
    let request = encode_request("GET", "/-/readiness", &headers, b"");
    let response = exchange_once(addr, &request, Duration::from_millis(500));
    response.is_ok_and(|response| response.status() == 200)
}

//! HTTP/1.1, both sides: requests read and answers written for clients, the reverse for discovery.

use crate::body::{BodyFraming, framing};
use crate::buffer::Buffer;
use fernknot_router_config::Limits;
use httparse::Status;
use std::io::Write;

/// What cannot be read. Where the message ends is not certain then, so the connection ends too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    pub status: u16,
    pub why: &'static str,
}

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The connection goes on after the answer.
    pub keep: bool,
    /// HTTP/1.0 is told so.
    pub old: bool,
    /// The client waits to be told to send the body.
    pub expects: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// All lines of the head, in the order in which they came.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// Reads one request after the other.
#[derive(Debug, Default)]
pub struct RequestReader {
    open: Option<(Request, BodyFraming)>,
}

impl RequestReader {
    /// A head has been read whose body has not all come.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Bytes kept for a body that has not all come: those that came, and room for the length that its head told.
    pub fn kept(&self) -> usize {
        self.open.as_ref().map_or(0, |(request, _)| request.body.capacity())
    }

    /// Whether the client waits for leave to send its body; says so once.
    pub fn wants_leave(&mut self) -> bool {
        self.open.as_mut().is_some_and(|(request, _)| std::mem::take(&mut request.expects))
    }

    pub fn read(&mut self, buffer: &mut Buffer, limits: &Limits) -> Result<Option<Request>, HttpError> {
        if self.open.is_none() {
            self.open = request_head(buffer, limits)?;
        }
        let Some((request, framing)) = &mut self.open else { return Ok(None) };
        let done = framing.read(buffer, &mut request.body, limits.body, limits.max_chunk_line_bytes)?;
        Ok(self.open.take_if(|_| done).map(|(request, _)| request))
    }
}

fn text(header: &httparse::Header) -> (String, String) {
    (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
}

fn request_head(buffer: &mut Buffer, limits: &Limits) -> Result<Option<(Request, BodyFraming)>, HttpError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(buffer.data()) {
        Ok(Status::Complete(head)) if head <= limits.head => head,
        Ok(Status::Partial) if buffer.len() <= limits.head => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError { status: 431, why: "head too large" });
        }
        Err(_) => return Err(HttpError { status: 400, why: "not HTTP" }),
    };
    let old = parsed.version == Some(0);
    let says = |name: &str, word: &str| {
        let named = parsed.headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named
            .flat_map(|header| header.value.split(|byte| *byte == b','))
            .any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_string(),
        target: parsed.path.unwrap_or_default().to_string(),
        headers: parsed.headers.iter().map(text).collect(),
        body: Vec::new(),
        keep: if old { says("connection", "keep-alive") } else { !says("connection", "close") },
        old,
        expects: !old && says("expect", "100-continue"),
    };
    let framing = framing(parsed.headers)?.unwrap_or(BodyFraming::Length(0));
    buffer.consume(head);
    Ok(Some((request, framing)))
}

/// An answer's head and how the connection goes on.
pub struct Answer<'a> {
    pub status: u16,
    pub kind: &'a str,
    /// When to return, in seconds.
    pub wait: Option<f64>,
    pub keep: bool,
    pub old: bool,
}

/// Tells the client that its request has been heard and the answer is to come.
pub const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl Answer<'_> {
    pub fn write(&self, out: &mut Buffer, body: &[u8]) {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            501 => "Not Implemented",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Unknown",
        };
        let kept = match (self.keep, self.old) {
            (false, _) => "Connection: close\r\n",
            (true, true) => "Connection: keep-alive\r\n",
            (true, false) => "",
        };
        let wait = self.wait.map(|wait| format!("Retry-After: {wait:.3}\r\n")).unwrap_or_default();
        // Writing to a buffer does not fail.
        let _ = write!(
            out,
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{kept}{wait}\r\n",
            self.status,
            self.kind,
            body.len()
        );
        out.push(body);
    }
}

#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub keep: bool,
    /// The head tells where the body ends, so that one cut short cannot pass for whole.
    pub framed: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// All lines of the head, in the order in which they came.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }
}

#[derive(Debug, Default)]
pub struct ResponseReader {
    open: Option<(Response, BodyFraming)>,
}

impl ResponseReader {
    /// `ended` says that nothing further will come, which ends a body without a length.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> Result<Option<Response>, HttpError> {
        while self.open.is_none() {
            let Some((response, framing)) = response_head(buffer, limits)? else { return Ok(None) };
            // An interim answer announces the real one.
            if response.status >= 200 {
                self.open = Some((response, framing));
            }
        }
        let Some((response, framing)) = &mut self.open else { return Ok(None) };
        let done =
            framing.read(buffer, &mut response.body, limits.max_list_bytes, limits.max_chunk_line_bytes)?;
        let done = done || ended && matches!(framing, BodyFraming::ToEnd);
        Ok(self.open.take_if(|_| done).map(|(response, _)| response))
    }
}

impl ResponseReader {
    /// The same for an answer that has no body, whatever length its head tells: one to a `HEAD`.
    ///
    /// # Errors
    /// Bytes that begin no answer.
    pub fn read_bodiless(
        &mut self,
        buffer: &mut Buffer,
        limits: &Limits,
    ) -> Result<Option<Response>, HttpError> {
        while let Some((response, _)) = response_head(buffer, limits)? {
            if response.status >= 200 {
                return Ok(Some(Response { framed: true, ..response }));
            }
        }
        Ok(None)
    }
}

fn response_head(buffer: &mut Buffer, limits: &Limits) -> Result<Option<(Response, BodyFraming)>, HttpError> {
    let mut headers = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(buffer.data()) {
        Ok(Status::Complete(head)) => head,
        Ok(Status::Partial) if buffer.len() <= limits.head => return Ok(None),
        _ => return Err(HttpError { status: 502, why: "not an HTTP answer" }),
    };
    let status = parsed.code.unwrap_or_default();
    let closes = parsed.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("connection") && header.value.eq_ignore_ascii_case(b"close")
    });
    let empty = matches!(status, 100..200 | 204 | 304);
    let headers = parsed.headers.iter().map(text).collect();
    let framing = framing(parsed.headers)?;
    let to_end = framing.is_none() && !empty;
    let keep = parsed.version == Some(1) && !closes && !to_end;
    buffer.consume(head);
    let framing = if empty { BodyFraming::Length(0) } else { framing.unwrap_or(BodyFraming::ToEnd) };
    Ok(Some((Response { status, headers, body: Vec::new(), keep, framed: !to_end }, framing)))
}

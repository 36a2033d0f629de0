//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins of operators, clients and nodes.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// A message that was read: request or status line, header fields and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a `Content-Length` (0 if absent). `pending` keeps bytes that follow it.
pub fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut chunk = [0u8; 65536];
    loop {
        if let Some(end) = pending.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut message = Message { start_line: lines.next().unwrap_or("").to_string(), ..Message::default() };
            for line in lines {
                if let Some((name, value)) = line.split_once(':') {
                    message.headers.push((name.trim().to_string(), value.trim().to_string()));
                }
            }
            let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
            while pending.len() < end + 4 + length {
                let count = stream.read(&mut chunk)?;
                if count == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                pending.extend_from_slice(&chunk[..count]);
            }
            message.body = pending[end + 4..end + 4 + length].to_vec();
            pending.drain(..end + 4 + length);
            return Ok(Some(message));
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return if pending.is_empty() { Ok(None) } else { Err(std::io::ErrorKind::UnexpectedEof.into()) };
        }
        pending.extend_from_slice(&chunk[..count]);
    }
}

/// Sends one request over a new connection and reads the response.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    target: &str,
    fields: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Message> {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout)?;
    stream.set_nodelay(true)?;
    let left = timeout.saturating_sub(started_at.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_message(&mut stream, &mut Vec::new())?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

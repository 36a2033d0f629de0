//! HTTP/1.1 messages, for the stand-ins of clients, operators, nodes and the platform.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line: the request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Debug, Default, Clone)]
pub struct Reply {
    pub status: u16,
    pub message: Message,
}

/// Reads one message. Returns an error at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let eof = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(eof());
    }
    message.start = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(eof());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(eof)?;
        message.headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0usize);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

pub fn connect(addr: SocketAddrV4, timeout: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr.into(), timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    if !body.is_empty() || method == "POST" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

pub fn read_reply(reader: &mut BufReader<TcpStream>) -> std::io::Result<Reply> {
    let message = read_message(reader)?;
    let status = message.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Reply { status, message })
}

/// Sends one request over a connection of its own and returns the reply.
pub fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Reply> {
    let mut stream = connect(addr, timeout)?;
    let host = addr.to_string();
    let mut all = Vec::new();
    if !headers.iter().any(|(name, _)| *name == "Host") {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    all.push(("Connection", "close"));
    stream.write_all(&request(method, path, &all, body))?;
    read_reply(&mut BufReader::new(stream))
}

/// A connection that is kept for many requests.
pub struct KeptConnection {
    addr: SocketAddrV4,
    reader: Option<BufReader<TcpStream>>,
}

impl KeptConnection {
    pub fn new(addr: SocketAddrV4) -> KeptConnection {
        KeptConnection { addr, reader: None }
    }

    /// Sends one request and returns the reply. Opens a connection where none is open.
    pub fn call(&mut self, request: &[u8], timeout: Duration) -> std::io::Result<Reply> {
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => BufReader::new(connect(self.addr, timeout)?),
        };
        reader.get_ref().set_read_timeout(Some(timeout))?;
        reader.get_mut().write_all(request)?;
        let reply = read_reply(&mut reader)?;
        let closes = reply.message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.reader = Some(reader);
        }
        Ok(reply)
    }
}

//! HTTP/1.1 as the stage reads and writes it: an own reading, which shares no code with what it judges.

/// One whole message, and how many bytes it took.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub length: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// A word of the first line: a request's method and target, an answer's status.
    pub fn start_line_part(&self, no: usize) -> &str {
        self.start_line.split(' ').nth(no).unwrap_or_default()
    }

    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// The first message of these bytes, once it is whole. One without a length has no body.
pub fn parse_message(bytes: &[u8]) -> Result<Option<Message>, String> {
    read(bytes, false)
}

/// The same for an answer to a `HEAD`, which has no body whatever its head says.
pub fn parse_head_response(bytes: &[u8]) -> Result<Option<Message>, String> {
    read(bytes, true)
}

fn read(bytes: &[u8], bodiless: bool) -> Result<Option<Message>, String> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return Ok(None) };
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "a head that is no text".to_string())?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    if !first.starts_with("HTTP/1.1 ") && !first.ends_with(" HTTP/1.1") {
        return Err(format!("bytes that begin no message: {first:?}"));
    }
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(format!("a line without a colon: {line:?}"))?;
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let mut message = Message { start_line: first, headers, body: Vec::new(), length: 0 };
    let rest = &bytes[end + 4..];
    let taken = match message.header("transfer-encoding") {
        _ if bodiless => 0,
        Some(_) => match parse_chunks(rest)? {
            Some((body, taken)) => {
                message.body = body;
                taken
            }
            None => return Ok(None),
        },
        None => {
            let length = message.header("content-length").unwrap_or("0");
            let length: usize = length.parse().map_err(|_| format!("a length of {length:?}"))?;
            if rest.len() < length {
                return Ok(None);
            }
            message.body = rest[..length].to_vec();
            length
        }
    };
    message.length = end + 4 + taken;
    Ok(Some(message))
}

fn parse_chunks(mut rest: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (all, mut body) = (rest.len(), Vec::new());
    loop {
        let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else { return Ok(None) };
        let size =
            std::str::from_utf8(&rest[..end]).ok().and_then(|text| usize::from_str_radix(text, 16).ok());
        let size = size.ok_or("a chunk without a size".to_string())?;
        if rest.len() < end + 2 + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 2 + size + 2..];
        if size == 0 {
            return Ok(Some((body, all - rest.len())));
        }
    }
}

/// A body in chunks of at most so many bytes.
pub fn encode_chunked(body: &[u8], most: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(most.max(1)) {
        out.extend(format!("{:x}\r\n", chunk.len()).bytes());
        out.extend(chunk);
        out.extend(b"\r\n");
    }
    out.extend(b"0\r\n\r\n");
    out
}

/// An answer with its length.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Said\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}

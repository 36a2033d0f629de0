//! Replies to calls, and the JSON of errors.

use std::borrow::Cow;
use std::sync::Arc;

const CONTENT_TYPE_JSON: &str = "application/json";

/// HTTP response of an endpoint, without the headers that depend on the connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Response body.
    pub body: Body,
    /// Value of the `Retry-After` header in seconds; `None` omits the header.
    pub retry_after_s: Option<f64>,
}

/// Bytes of a body, which may be shared so that a large body is not copied for each caller.
#[derive(Clone, Debug)]
pub enum Body {
    /// Constant bytes of the program.
    Static(&'static [u8]),
    /// Bytes made for this reply only.
    Owned(Vec<u8>),
    /// Bytes shared by several bodies.
    Shared(Arc<[u8]>),
}

impl Body {
    /// Returns the bytes of the body.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Body::Static(bytes) => bytes,
            Body::Owned(bytes) => bytes,
            Body::Shared(bytes) => bytes,
        }
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Body) -> bool {
        self.bytes() == other.bytes()
    }
}

impl Reply {
    /// Creates a reply with status 200 and an empty JSON object.
    pub fn ok() -> Reply {
        Reply::json(Body::Static(b"{}"))
    }

    /// Creates a reply with status 200 and this JSON body.
    pub fn json(body: Body) -> Reply {
        Reply { status: 200, content_type: CONTENT_TYPE_JSON, body, retry_after_s: None }
    }

    /// Creates an error reply with the body `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> Reply {
        let body = format!("{{\"error\":\"{}\"}}", escape_json(reason));
        Reply { status, ..Reply::json(Body::Owned(body.into_bytes())) }
    }

    /// Sets the `Retry-After` header, in seconds.
    pub fn with_retry_after(self, seconds: f64) -> Reply {
        Reply { retry_after_s: Some(seconds), ..self }
    }
}

/// Escapes a text for use in a JSON string. Control characters other than a line feed become spaces.
fn escape_json(text: &str) -> Cow<'_, str> {
    if !text.contains(|character: char| character.is_control() || character == '"' || character == '\\') {
        return Cow::Borrowed(text);
    }
    let mut escaped = String::with_capacity(text.len() + 8);
    for character in text.chars() {
        match character {
            '"' => escaped.push_str("\\\""),
            '\\' => escaped.push_str("\\\\"),
            '\n' => escaped.push_str("\\n"),
            character if character.is_control() => escaped.push(' '),
            character => escaped.push(character),
        }
    }
    Cow::Owned(escaped)
}

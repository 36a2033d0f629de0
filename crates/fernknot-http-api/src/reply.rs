//! What a call is answered with.

use std::borrow::Cow;
use std::sync::Arc;

const CONTENT_TYPE_JSON: &str = "application/json";

/// An HTTP response as endpoints give it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The value of `Content-Type`.
    pub content_type: &'static str,
    /// The body.
    pub body: Body,
    /// The value of `Retry-After`, in seconds.
    pub retry_after_s: Option<f64>,
}

/// The bytes of a body. They may be shared, so that a large body is not copied for each caller.
#[derive(Clone, Debug)]
pub enum Body {
    /// Bytes of the program.
    Static(&'static [u8]),
    /// Bytes of this body alone.
    Owned(Vec<u8>),
    /// Bytes that several bodies share.
    Shared(Arc<[u8]>),
}

impl Body {
    /// The bytes, whoever owns them.
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
    /// 200 with an empty JSON object.
    pub fn ok() -> Reply {
        Reply::json(Body::Static(b"{}"))
    }

    /// 200 with this JSON.
    pub fn json(body: Body) -> Reply {
        Reply { status: 200, content_type: CONTENT_TYPE_JSON, body, retry_after_s: None }
    }

    /// An error with its reason, as `{"error": reason}`.
    pub fn error(status: u16, reason: &str) -> Reply {
        let body = format!("{{\"error\":\"{}\"}}", escape_json(reason));
        Reply { status, ..Reply::json(Body::Owned(body.into_bytes())) }
    }

    /// The same reply with a `Retry-After` of so many seconds.
    pub fn with_retry_after(self, seconds: f64) -> Reply {
        Reply { retry_after_s: Some(seconds), ..self }
    }
}

/// A text as it stands between the quotes of a JSON string. Control characters other than a line feed become spaces.
fn escape_json(text: &str) -> Cow<'_, str> {
    if !text.contains(|letter: char| letter.is_control() || letter == '"' || letter == '\\') {
        return Cow::Borrowed(text);
    }
    let mut escaped = String::with_capacity(text.len() + 8);
    for letter in text.chars() {
        match letter {
            '"' => escaped.push_str("\\\""),
            '\\' => escaped.push_str("\\\\"),
            '\n' => escaped.push_str("\\n"),
            letter if letter.is_control() => escaped.push(' '),
            letter => escaped.push(letter),
        }
    }
    Cow::Owned(escaped)
}

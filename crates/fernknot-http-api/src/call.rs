//! A call, what it is read from, and what answers it.

use fernknot_protocol::http::Request;
use std::borrow::Cow;
use std::sync::Arc;

/// What a call is read from: the request, and the segments of its path that stand where the pattern has `*`.
#[derive(Clone, Copy, Debug)]
pub struct MatchedRequest<'a> {
    pub request: &'a Request,
    /// The first such segment; empty where the pattern has none.
    pub segment: &'a str,
}

/// One kind of call, paired with the type of its answer.
pub trait Endpoint: Sized {
    type Answer: Into<Reply>;
    const METHOD: &'static str;
    /// `*` stands for any one segment that is not empty.
    const PATH: &'static str;

    /// # Errors
    /// The answer to a call that is none of this kind: every fault of it, in words for the caller.
    fn parse(asked: MatchedRequest<'_>) -> Result<Self, Reply>;
}

/// An answer as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Body,
    /// When to come back, in seconds.
    pub retry_after_s: Option<f64>,
}

/// Bytes that may be shared, so that a large one isn't copied for each caller.
#[derive(Clone, Debug)]
pub enum Body {
    Static(&'static [u8]),
    Owned(Vec<u8>),
    Shared(Arc<[u8]>),
}

impl Body {
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

const CONTENT_TYPE_JSON: &str = "application/json";

impl Reply {
    /// 200 with an empty object.
    pub fn ok() -> Reply {
        Reply { status: 200, content_type: CONTENT_TYPE_JSON, body: Body::Static(b"{}"), retry_after_s: None }
    }

    /// 200 with this JSON.
    pub fn json(body: Body) -> Reply {
        Reply { status: 200, content_type: CONTENT_TYPE_JSON, body, retry_after_s: None }
    }

    /// A refusal, with its reason as `{"error": ...}`.
    pub fn error(status: u16, why: &str) -> Reply {
        let body = format!("{{\"error\":\"{}\"}}", escape_json(why));
        Reply {
            status,
            content_type: CONTENT_TYPE_JSON,
            body: Body::Owned(body.into_bytes()),
            retry_after_s: None,
        }
    }

    /// The same, with word of when to come back, in seconds.
    pub fn with_retry_after(self, seconds: f64) -> Reply {
        Reply { retry_after_s: Some(seconds), ..self }
    }
}

/// A text as it stands in a JSON string.
fn escape_json(text: &str) -> Cow<'_, str> {
    if !text.contains(|letter: char| letter.is_control() || letter == '"' || letter == '\\') {
        return Cow::Borrowed(text);
    }
    let mut out = String::with_capacity(text.len() + 8);
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            letter if letter.is_control() => out.push(' '),
            letter => out.push(letter),
        }
    }
    Cow::Owned(out)
}

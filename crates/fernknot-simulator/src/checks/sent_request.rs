//! Requests as clients send them.

use fernknot::interface::Nanos;

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Mutating,
    Idempotent,
    /// On the route that only the version with this body has.
    Probe(u64),
}

impl RequestKind {
    pub fn method(self) -> &'static str {
        if self == RequestKind::Mutating { "POST" } else { "GET" }
    }
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub attempt_id: String,
    pub kind: RequestKind,
    pub target: String,
    pub body: Vec<u8>,
    pub sent_at: Nanos,
    /// The gateway that gets it, with its incarnation at that time.
    pub gateway: usize,
    pub incarnation: u64,
    /// The gateway was in touch as it was sent.
    pub is_gateway_in_touch: bool,
}

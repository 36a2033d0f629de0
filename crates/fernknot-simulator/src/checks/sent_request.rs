//! Requests of clients to gateways.

use fernknot::interface::Nanos;

/// Kind of a request, which determines its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Mutating,
    Idempotent,
    /// Request on the route that only the version with this body contains.
    Probe(u64),
    /// Request on a route that comes and goes.
    ChangingRoute(u64),
}

impl RequestKind {
    pub fn method(self) -> &'static str {
        if self == RequestKind::Mutating { "POST" } else { "GET" }
    }
}

/// An attempt of a client's request, as sent to a gateway. A client's retry is another one, with another id.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub attempt_id: String,
    pub kind: RequestKind,
    pub target: String,
    pub body: Vec<u8>,
    pub sent_at: Nanos,
    /// Gateway to which the request is sent, and in the next field the incarnation of the gateway at that time.
    pub gateway: usize,
    pub incarnation: u64,
    /// Whether the gateway was in contact when the request was sent.
    pub is_gateway_in_contact: bool,
}

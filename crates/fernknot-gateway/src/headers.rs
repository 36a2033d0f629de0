//! Header fields of the system's protocol, and which fields a gateway forwards.

/// Identifies a client's attempt; every response to it has the same value.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// How long the sender waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// The node incarnation that a request is meant for.
pub const TARGET_NODE: &str = "Target-Node";
/// Proof that a response was produced for its attempt.
pub const ANSWER_SEAL: &str = "Answer-Seal";
/// Says that the node did not execute the request.
pub const NOT_EXECUTED: &str = "Not-Executed";
/// The seals of the shards whose answers a response merges.
pub const PART_SEALS: &str = "Part-Seals";
/// How many shards a merged response lacks.
pub const PARTS_MISSING: &str = "Parts-Missing";

/// Longest `Attempt-Id`, in bytes.
const MAX_ATTEMPT_ID_BYTES: usize = 256;

/// Fields that concern one connection only (RFC 9110, 7.6.1), or that the gateway writes itself.
const UNFORWARDED_HEADERS: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "deadline-ms",
    "target-node",
];

/// Whether a field is passed on between a client and a node.
pub(crate) fn is_forwarded_header(name: &str) -> bool {
    !UNFORWARDED_HEADERS.iter().any(|unforwarded| name.eq_ignore_ascii_case(unforwarded))
}

/// Whether a node would get an `Attempt-Id` exactly as the client sent it.
pub(crate) fn is_valid_attempt_id(id: &str) -> bool {
    (1..=MAX_ATTEMPT_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The time-out of a `Keep-Alive` field, in seconds.
pub(crate) fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

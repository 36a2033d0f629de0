//! Header fields of the system's protocol, and the selection of the fields that a gateway forwards.

/// Identifier that a client gives to one attempt at its request. Nodes repeat it in their responses, and so does the
/// gateway in the response to a request that it has routed.
pub const ATTEMPT_ID: &str = "Attempt-Id";
/// Time that the sender waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "Deadline-Ms";
/// Identifier of the node incarnation (one run of a node's process) that a request is addressed to.
pub const TARGET_NODE: &str = "Target-Node";
/// Name of the tenant that a request belongs to.
pub const TENANT: &str = "Tenant";
/// Credentials of a client, among them the keys of tenants.
pub const AUTHORIZATION: &str = "Authorization";
/// Opaque value by which a node marks its response as the answer to this attempt. The gateway requires that it is not
/// empty, but does not verify it.
pub const ANSWER_SEAL: &str = "Answer-Seal";
/// Marks the response to a request that the node did not execute.
pub const NOT_EXECUTED: &str = "Not-Executed";
/// `Answer-Seal` values of the shards whose answers a merged response contains.
pub const PART_SEALS: &str = "Part-Seals";
/// Number of shards whose answers are missing from a merged response.
pub const PARTS_MISSING: &str = "Parts-Missing";

/// Maximum length of an `Attempt-Id`, in bytes.
const MAX_ATTEMPT_ID_BYTES: usize = 256;

/// Hop-by-hop fields (RFC 9110, 7.6.1), and fields that the gateway writes itself.
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

/// Whether a field is forwarded between a client and a node.
pub(crate) fn is_forwarded_header(name: &str) -> bool {
    !UNFORWARDED_HEADERS.iter().any(|unforwarded| name.eq_ignore_ascii_case(unforwarded))
}

/// Whether an `Attempt-Id` is acceptable: 1 to 256 printable ASCII characters without spaces, which reach a node
/// exactly as the client sent them.
pub(crate) fn is_valid_attempt_id(id: &str) -> bool {
    (1..=MAX_ATTEMPT_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns the time-out that a `Keep-Alive` value states, in seconds.
pub(crate) fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

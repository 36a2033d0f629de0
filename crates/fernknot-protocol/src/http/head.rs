//! Access to the header fields of requests and responses.

use fernknot_router_config::Limits;

/// Returns room for the header fields of the head that `input` begins with, complete or not: one for each of its lines,
/// and at most `max_headers` of the limits.
pub(super) fn room_for_fields<'a>(input: &[u8], limits: &Limits) -> Vec<httparse::Header<'a>> {
    let is_empty = |line: &&[u8]| matches!(*line, b"" | b"\r");
    // Empty lines before a head are ignored.
    let lines = input.split(|byte| *byte == b'\n').skip_while(is_empty).take_while(|line| !is_empty(line));
    vec![httparse::EMPTY_HEADER; lines.count().min(limits.max_headers)]
}

/// Returns the name and the value of a header field; bytes that are not UTF-8 are replaced.
pub(super) fn to_strings(header: &httparse::Header) -> (String, String) {
    (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
}

/// Returns the value of the first header field of this name, compared without regard to case.
pub(super) fn find_value<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let named = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    named.map(|(_, value)| value.as_str())
}

/// Returns whether a header field of this name lists the token among its comma-separated values.
pub(super) fn has_token(headers: &[httparse::Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|value| value.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

//! Lines of a message's head, for requests and responses.

/// A line as text; bytes that are not UTF-8 are replaced.
pub(super) fn text(header: &httparse::Header) -> (String, String) {
    (header.name.to_string(), String::from_utf8_lossy(header.value).into_owned())
}

/// The value of the first line of this name, in any case of letters.
pub(super) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let named = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    named.map(|(_, value)| value.as_str())
}

/// Whether the comma-separated values of the lines of this name have this token.
pub(super) fn has_token(headers: &[httparse::Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|value| value.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

//! Conversion between bytes and hexadecimal digits.

/// Decodes pairs of hexadecimal digits. Ignores other characters, and a last digit without a pair.
pub fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u8> =
        text.chars().filter_map(|digit| digit.to_digit(16)).map(|digit| digit as u8).collect();
    digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

/// Encodes each byte as two lowercase hexadecimal digits.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

//! Bytes as hexadecimal digits.

/// The bytes of these digits; what is no digit is passed over, and so is a last digit without a pair.
pub fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u8> =
        text.chars().filter_map(|digit| digit.to_digit(16)).map(|digit| digit as u8).collect();
    digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

/// Two lowercase digits for each byte.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

//! Digest of JSON values, used to compare configurations.

use serde_json::{Number, Value};
use xxhash_rust::xxh3::Xxh3;

/// Exponent of the power of 2 below which a float without a fraction is hashed as an integer.
const FLOAT_INTEGER_LIMIT_EXPONENT: i32 = 63;

/// Hashes a body, the text of a configuration, by its JSON value: the order of keys, white space and the notation of
/// numbers make no difference. The bytes of a body that is not JSON are hashed as they are. The digest is the same on
/// every machine and in every build.
pub fn json_digest(bytes: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    match serde_json::from_slice::<Value>(bytes) {
        Ok(value) => hash_value(&mut hash, &value),
        Err(_) => {
            hash.update(b"!");
            hash.update(bytes);
        }
    }
    hash.digest()
}

/// Hashes a value with a tag for its type and with its length, if it has one, so that different values cannot produce
/// the same input to the hash.
fn hash_value(hash: &mut Xxh3, value: &Value) {
    match value {
        Value::Null => hash.update(b"n"),
        Value::Bool(boolean) => hash.update(if *boolean { b"t" } else { b"f" }),
        Value::String(string) => hash_string(hash, string),
        Value::Number(number) => hash_number(hash, number),
        Value::Array(items) => {
            hash.update(b"a");
            hash_length(hash, items.len());
            items.iter().for_each(|item| hash_value(hash, item));
        }
        Value::Object(object) => {
            // Sorted here, because the features of the build decide whether the map itself is sorted.
            let mut entries: Vec<(&String, &Value)> = object.iter().collect();
            entries.sort_unstable_by_key(|(key, _)| *key);
            hash.update(b"o");
            hash_length(hash, entries.len());
            for (key, value) in entries {
                hash_string(hash, key);
                hash_value(hash, value);
            }
        }
    }
}

fn hash_string(hash: &mut Xxh3, string: &str) {
    hash.update(b"s");
    hash_length(hash, string.len());
    hash.update(string.as_bytes());
}

fn hash_length(hash: &mut Xxh3, length: usize) {
    hash.update(&(length as u64).to_le_bytes());
}

/// Hashes integers and floats of the same value alike, such as 600 and 600.0.
fn hash_number(hash: &mut Xxh3, number: &Number) {
    let float = number.as_f64().unwrap_or(f64::NAN);
    let is_integer = float.fract() == 0.0 && float.abs() < 2f64.powi(FLOAT_INTEGER_LIMIT_EXPONENT);
    match number.as_i128().or_else(|| is_integer.then_some(float as i128)) {
        Some(integer) => {
            hash.update(b"i");
            hash.update(&integer.to_le_bytes());
        }
        None => {
            hash.update(b"d");
            hash.update(&float.to_bits().to_le_bytes());
        }
    }
}

//! Keys of one tenant in the operator's JSON. No error and no debug output contains one of them.

use std::fmt;

use schematic::Schematic;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use zeroize::Zeroizing;

/// Text in place of the keys wherever they could be printed.
const REDACTED: &str = "[redacted]";

/// List of keys, overwritten in memory when it is dropped.
#[derive(Clone, Default, PartialEq)]
pub(crate) struct RawApiKeys(pub(crate) Vec<Zeroizing<String>>);

impl Schematic for RawApiKeys {}

impl fmt::Debug for RawApiKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl Serialize for RawApiKeys {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(REDACTED)
    }
}

impl<'de> Deserialize<'de> for RawApiKeys {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<RawApiKeys, D::Error> {
        from.deserialize_any(ListVisitor)
    }
}

/// Errors of `serde` name the value that was found, which may be a key, so every type of value has its own error here.
struct ListVisitor;

impl<'de> de::Visitor<'de> for ListVisitor {
    type Value = RawApiKeys;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of strings")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<RawApiKeys, A::Error> {
        let mut keys = Vec::new();
        while let Some(RawApiKey(key)) = items.next_element()? {
            keys.push(key);
        }
        Ok(RawApiKeys(keys))
    }

    fn visit_str<E: de::Error>(self, _: &str) -> Result<RawApiKeys, E> {
        Err(E::custom("is not a list of strings"))
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<RawApiKeys, E> {
        Err(E::custom("is not a list of strings"))
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<RawApiKeys, E> {
        Err(E::custom("is not a list of strings"))
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<RawApiKeys, E> {
        Err(E::custom("is not a list of strings"))
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<RawApiKeys, E> {
        Err(E::custom("is not a list of strings"))
    }
}

struct RawApiKey(Zeroizing<String>);

impl<'de> Deserialize<'de> for RawApiKey {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<RawApiKey, D::Error> {
        from.deserialize_any(KeyVisitor)
    }
}

struct KeyVisitor;

impl de::Visitor<'_> for KeyVisitor {
    type Value = RawApiKey;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_str<E: de::Error>(self, key: &str) -> Result<RawApiKey, E> {
        Ok(RawApiKey(Zeroizing::new(key.to_string())))
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<RawApiKey, E> {
        Err(E::custom("holds a key that is not a string"))
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<RawApiKey, E> {
        Err(E::custom("holds a key that is not a string"))
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<RawApiKey, E> {
        Err(E::custom("holds a key that is not a string"))
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<RawApiKey, E> {
        Err(E::custom("holds a key that is not a string"))
    }
}

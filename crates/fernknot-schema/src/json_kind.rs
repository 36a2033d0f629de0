//! Types of JSON values, found without keeping the values, which may be secret.

use std::fmt;

use serde::de::{self, IgnoredAny};
use serde::{Deserialize, Deserializer};

/// Type of a JSON value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JsonKind {
    /// An object.
    Object,
    /// A value of any other type.
    Other,
}

impl<'de> Deserialize<'de> for JsonKind {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<JsonKind, D::Error> {
        from.deserialize_any(KindVisitor)
    }
}

struct KindVisitor;

impl<'de> de::Visitor<'de> for KindVisitor {
    type Value = JsonKind;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut entries: A) -> Result<JsonKind, A::Error> {
        while entries.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(JsonKind::Object)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<JsonKind, A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(JsonKind::Other)
    }

    fn visit_str<E: de::Error>(self, _: &str) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }

    fn visit_u64<E: de::Error>(self, _: u64) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }

    fn visit_i64<E: de::Error>(self, _: i64) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }

    fn visit_f64<E: de::Error>(self, _: f64) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }

    fn visit_unit<E: de::Error>(self) -> Result<JsonKind, E> {
        Ok(JsonKind::Other)
    }
}

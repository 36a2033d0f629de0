//! A walk over a JSON value that keeps every fault it meets instead of ending at the first.

use std::fmt;
use std::str::FromStr;

use serde_json::{Map, Value};

/// What is wrong with something that was read, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ValidationError {
    /// A path such as `limits.cpu_share`; empty for the whole.
    pub path: String,
    pub reason: String,
}

impl ValidationError {
    pub fn new(place: impl Into<String>, why: impl Into<String>) -> ValidationError {
        ValidationError { path: place.into(), reason: why.into() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.is_empty() {
            true => f.write_str(&self.reason),
            false => write!(f, "{}: {}", self.path, self.reason),
        }
    }
}

/// One object being read. A missing or null key is no fault unless it is asked for with `need`.
pub(crate) struct ObjectReader<'a> {
    path: String,
    object: Option<&'a Map<String, Value>>,
}

/// The whole of the bytes as one object, or the one fault that leaves nothing to read.
pub(crate) fn parse_object(bytes: &[u8]) -> Result<Value, Vec<ValidationError>> {
    match serde_json::from_slice::<Value>(bytes) {
        Ok(value) if value.is_object() => Ok(value),
        Ok(_) => Err(vec![ValidationError::new("", "is not a JSON object")]),
        Err(error) => Err(vec![ValidationError::new("", format!("cannot be read whole: {error}"))]),
    }
}

impl<'a> ObjectReader<'a> {
    pub(crate) fn root(value: &'a Value) -> ObjectReader<'a> {
        ObjectReader { path: String::new(), object: value.as_object() }
    }

    pub(crate) fn path_of(&self, key: &str) -> String {
        match self.path.is_empty() {
            true => key.to_string(),
            false => format!("{}.{key}", self.path),
        }
    }

    pub(crate) fn report(&self, faults: &mut Vec<ValidationError>, key: &str, why: &str) {
        faults.push(ValidationError::new(self.path_of(key), why));
    }

    pub(crate) fn get(&self, key: &str) -> Option<&'a Value> {
        self.object.and_then(|map| map.get(key)).filter(|value| !value.is_null())
    }

    /// Says so where a key is not there.
    pub(crate) fn require(&self, faults: &mut Vec<ValidationError>, key: &str) {
        if self.get(key).is_none() {
            self.report(faults, key, "is missing");
        }
    }

    /// The object under a key; an empty one where there is none.
    pub(crate) fn nested(&self, faults: &mut Vec<ValidationError>, key: &str) -> ObjectReader<'a> {
        let value = self.get(key);
        if value.is_some_and(|value| !value.is_object()) {
            self.report(faults, key, "is not an object");
        }
        ObjectReader { path: self.path_of(key), object: value.and_then(Value::as_object) }
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.object.into_iter().flatten()
    }

    pub(crate) fn string(&self, faults: &mut Vec<ValidationError>, key: &str) -> Option<String> {
        let value = self.get(key)?;
        if let Some(text) = value.as_str() {
            return Some(text.to_string());
        }
        self.report(faults, key, "is not a string");
        None
    }

    pub(crate) fn boolean(&self, faults: &mut Vec<ValidationError>, key: &str) -> Option<bool> {
        let value = self.get(key)?;
        if value.as_bool().is_none() {
            self.report(faults, key, "is not true or false");
        }
        value.as_bool()
    }

    /// A number of 0 or more, whole or a fraction.
    pub(crate) fn number(&self, faults: &mut Vec<ValidationError>, key: &str) -> Option<f64> {
        let number = self.get(key)?.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            self.report(faults, key, "is not a number of 0 or more");
        }
        number
    }

    /// A number of 0 or more, rounded up: a time or an amount is never cut to nothing.
    pub(crate) fn rounded_up(&self, faults: &mut Vec<ValidationError>, key: &str) -> Option<u64> {
        if let Some(whole) = self.get(key)?.as_u64() {
            return Some(whole);
        }
        // A float turns into the nearest whole number that fits; nothing here wraps around.
        self.number(faults, key).map(|number| number.ceil() as u64)
    }

    pub(crate) fn parsed<T: FromStr>(
        &self,
        faults: &mut Vec<ValidationError>,
        key: &str,
        what: &str,
    ) -> Option<T> {
        let text = self.string(faults, key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(faults, key, &format!("is not {what}"));
        }
        parsed
    }

    /// A list of strings that all read as `T`; what does not is a fault with its index.
    pub(crate) fn list<T: FromStr>(
        &self,
        faults: &mut Vec<ValidationError>,
        key: &str,
        what: &str,
    ) -> Vec<T> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.report(faults, key, "is not a list");
            return Vec::new();
        };
        let mut read = Vec::with_capacity(items.len());
        for (at, item) in items.iter().enumerate() {
            match item.as_str().and_then(|text| text.parse().ok()) {
                Some(item) => read.push(item),
                None => faults.push(ValidationError::new(
                    format!("{}[{at}]", self.path_of(key)),
                    format!("is not {what}"),
                )),
            }
        }
        read
    }
}

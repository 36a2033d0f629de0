//! Reading of JSON objects key by key, which collects all errors instead of stopping at the first.

use std::cell::RefCell;
use std::str::FromStr;

use serde_json::{Map, Value};

use crate::validation_error::ValidationError;

/// Collects the errors of one JSON text.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector {
    errors: RefCell<Vec<ValidationError>>,
}

impl ErrorCollector {
    /// Adds an error.
    pub fn push(&self, error: ValidationError) {
        self.errors.borrow_mut().push(error);
    }

    /// Returns the value if there was no error, otherwise all errors.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<ValidationError>> {
        let errors = self.errors.into_inner();
        if errors.is_empty() { Ok(value) } else { Err(errors) }
    }
}

/// Parses the bytes as one JSON object.
pub(crate) fn parse_object(bytes: &[u8]) -> Result<Value, Vec<ValidationError>> {
    match serde_json::from_slice::<Value>(bytes) {
        Ok(value) if value.is_object() => Ok(value),
        Ok(_) => Err(vec![ValidationError::new("", "is not a JSON object")]),
        Err(error) => Err(vec![ValidationError::new("", format!("cannot be read whole: {error}"))]),
    }
}

/// Reader of one object. A key that is missing or null is not an error unless it is required.
pub(crate) struct ObjectReader<'a> {
    path: String,
    object: Option<&'a Map<String, Value>>,
    errors: &'a ErrorCollector,
}

impl<'a> ObjectReader<'a> {
    /// Returns the reader of the outermost object.
    pub fn root(value: &'a Value, errors: &'a ErrorCollector) -> ObjectReader<'a> {
        ObjectReader { path: String::new(), object: value.as_object(), errors }
    }

    /// Records an error at a key.
    pub fn report(&self, key: &str, reason: &str) {
        self.errors.push(ValidationError::new(self.path_of(key), reason));
    }

    /// Returns the value of a key, unless it is missing or null.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.object.and_then(|object| object.get(key)).filter(|value| !value.is_null())
    }

    /// Records an error for each of the keys that is missing.
    pub fn require(&self, keys: &[&str]) {
        for key in keys {
            if self.get(key).is_none() {
                self.report(key, "is missing");
            }
        }
    }

    /// Returns the reader of the object under a key; it is empty if there is none.
    pub fn nested(&self, key: &str) -> ObjectReader<'a> {
        let value = self.get(key);
        if value.is_some_and(|value| !value.is_object()) {
            self.report(key, "is not an object");
        }
        let object = value.and_then(Value::as_object);
        ObjectReader { path: self.path_of(key), object, errors: self.errors }
    }

    /// Returns all keys of the object with their values.
    pub fn entries(&self) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.object.into_iter().flatten()
    }

    /// Returns the string under a key; `None` if there is none, which is an error if the value is not a string.
    pub fn string(&self, key: &str) -> Option<String> {
        let string = self.get(key)?.as_str().map(str::to_string);
        if string.is_none() {
            self.report(key, "is not a string");
        }
        string
    }

    /// Returns the boolean under a key; `None` if there is none, which is an error if the value is not a boolean.
    pub fn boolean(&self, key: &str) -> Option<bool> {
        let boolean = self.get(key)?.as_bool();
        if boolean.is_none() {
            self.report(key, "is not true or false");
        }
        boolean
    }

    /// Returns the number under a key; `None` if there is none. Another value than a finite number of at least 0 is an
    /// error.
    pub fn number(&self, key: &str) -> Option<f64> {
        let number = self.get(key)?.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        if number.is_none() {
            self.report(key, "is not a number of 0 or more");
        }
        number
    }

    /// Returns the number under a key, or the default if there is none; 0 is an error. For divisors and intervals.
    pub fn positive_or(&self, key: &str, default: f64) -> f64 {
        let number = self.number(key).unwrap_or(default);
        if number == 0.0 {
            self.report(key, "is 0");
        }
        number
    }

    /// Returns the number under a key, which has to be at least 0, rounded up, so that no time or amount becomes 0 by
    /// rounding.
    pub fn rounded_up(&self, key: &str) -> Option<u64> {
        if let Some(integer) = self.get(key)?.as_u64() {
            return Some(integer);
        }
        // The conversion to an integer saturates.
        self.number(key).map(|number| number.ceil() as u64)
    }

    /// Returns the string under a key parsed as `T`; `expected` describes the expected value in the error.
    pub fn parsed<T: FromStr>(&self, key: &str, expected: &str) -> Option<T> {
        let parsed = self.string(key)?.parse().ok();
        if parsed.is_none() {
            self.report(key, &format!("is not {expected}"));
        }
        parsed
    }

    /// Returns the list of strings under a key, each parsed as `T`; an invalid string is left out and is an error with
    /// its index, described by `expected`. The list is empty if there is none.
    pub fn list<T: FromStr>(&self, key: &str, expected: &str) -> Vec<T> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.report(key, "is not a list");
            return Vec::new();
        };
        let mut list = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            match item.as_str().and_then(|text| text.parse().ok()) {
                Some(item) => list.push(item),
                None => self.report(&format!("{key}[{index}]"), &format!("is not {expected}")),
            }
        }
        list
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }
}

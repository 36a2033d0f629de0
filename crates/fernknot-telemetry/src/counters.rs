//! Counters and gauges by name.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Counters and gauges of one process by name. Names are constants of the program.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    values: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Adds to a counter. The sum saturates instead of overflowing.
    pub fn add(&mut self, name: &'static str, count: u64) {
        let value = self.values.entry(name).or_default();
        *value = value.saturating_add(count);
    }

    /// Sets a gauge.
    pub fn set(&mut self, name: &'static str, level: u64) {
        self.values.insert(name, level);
    }

    /// Returns the value of a counter or gauge; 0 if it was never set.
    pub fn get(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or_default()
    }

    /// Returns all values as one JSON object, sorted by name.
    pub fn to_json(&self) -> String {
        let mut json = String::from("{");
        for (name, value) in &self.values {
            let separator = if json.len() > 1 { "," } else { "" };
            // Writing to a string cannot fail.
            let _ = write!(json, "{separator}\"{name}\":{value}");
        }
        json.push('}');
        json
    }
}

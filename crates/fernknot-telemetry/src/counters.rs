//! Counters by name.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Counts and levels of one process, by names that are fixed in its code.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    values: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Counts so many more.
    pub fn add(&mut self, name: &'static str, count: u64) {
        let value = self.values.entry(name).or_default();
        *value = value.saturating_add(count);
    }

    /// Sets a level.
    pub fn set(&mut self, name: &'static str, level: u64) {
        self.values.insert(name, level);
    }

    /// What has been counted under a name; 0 where nothing was.
    pub fn get(&self, name: &str) -> u64 {
        self.values.get(name).copied().unwrap_or_default()
    }

    /// All of them as one JSON object, in the order of their names.
    pub fn to_json(&self) -> String {
        let mut out = String::from("{");
        for (name, value) in &self.values {
            let comma = if out.len() > 1 { "," } else { "" };
            // Writing to a string does not fail.
            let _ = write!(out, "{comma}\"{name}\":{value}");
        }
        out.push('}');
        out
    }
}

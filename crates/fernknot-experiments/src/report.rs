//! Figures as JSON lines and as a table.

use serde::Serialize;
use serde_json::Value;

/// One object a line, keys in the order of the fields.
pub fn json<T: Serialize>(rows: &[T]) -> String {
    // Rows are plain structs of numbers and strings, which always serialize.
    rows.iter().map(|row| serde_json::to_string(row).unwrap_or_default() + "\n").collect()
}

/// A table in Markdown.
pub fn table<T: Serialize>(rows: &[T]) -> String {
    let cells: Vec<Vec<(String, String)>> = rows
        .iter()
        .filter_map(|row| match serde_json::to_value(row) {
            Ok(Value::Object(fields)) => Some(fields),
            _ => None,
        })
        .map(|fields| fields.into_iter().map(|(key, value)| (key, plain(&value))).collect())
        .collect();
    let Some(first) = cells.first() else { return String::new() };
    let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
    let heads = line(first.iter().map(|(key, _)| key.as_str()).collect());
    let rule = line(first.iter().map(|_| "---").collect());
    let body = cells.iter().map(|row| line(row.iter().map(|(_, value)| value.as_str()).collect()));
    heads + &rule + &body.collect::<String>()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// So many decimals, so that a figure reads the same wherever it is printed.
pub fn rounded(value: f64, decimals: i32) -> f64 {
    let scale = 10f64.powi(decimals);
    (value * scale).round() / scale
}

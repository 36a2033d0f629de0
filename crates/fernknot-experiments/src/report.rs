//! Output of figures as JSON lines or as a table.

use serde::Serialize;
use serde_json::Value;

/// Formats each row as a JSON object on its own line, with keys in the order of the fields.
pub fn json<T: Serialize>(rows: &[T]) -> String {
    // Serialising plain structs of numbers and strings cannot fail.
    rows.iter().map(|row| serde_json::to_string(row).unwrap_or_default() + "\n").collect()
}

/// Formats the rows as a Markdown table whose header has the names of the fields.
pub fn table<T: Serialize>(rows: &[T]) -> String {
    let rows: Vec<Vec<Cell>> = rows.iter().filter_map(cells).collect();
    let Some(first) = rows.first() else { return String::new() };
    let header = table_line(first.iter().map(|cell| cell.key.as_str()).collect());
    let separator = table_line(first.iter().map(|_| "---").collect());
    let body = rows.iter().map(|row| table_line(row.iter().map(|cell| cell.text.as_str()).collect()));
    header + &separator + &body.collect::<String>()
}

struct Cell {
    key: String,
    text: String,
}

fn cells<T: Serialize>(row: &T) -> Option<Vec<Cell>> {
    let Ok(Value::Object(fields)) = serde_json::to_value(row) else { return None };
    Some(fields.into_iter().map(|(key, value)| Cell { key, text: unquoted(&value) }).collect())
}

fn table_line(cells: Vec<&str>) -> String {
    format!("| {} |\n", cells.join(" | "))
}

fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Rounds `value` to this number of decimals, so that JSON and tables show the same figure.
pub(crate) fn rounded(value: f64, decimals: i32) -> f64 {
    let scale = 10f64.powi(decimals);
    (value * scale).round() / scale
}

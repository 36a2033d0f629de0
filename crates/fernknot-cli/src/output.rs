//! Printing to standard output.

use std::fmt::Display;
use std::io::Write;

/// Prints a line. Exits with code 0 if standard output is closed.
pub fn print_line(text: impl Display) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

/// Joins values with commas.
pub fn comma_separated<T: Display>(values: impl IntoIterator<Item = T>) -> String {
    values.into_iter().map(|value| value.to_string()).collect::<Vec<_>>().join(",")
}

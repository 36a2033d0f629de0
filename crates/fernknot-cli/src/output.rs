//! Printing to standard output.

use std::fmt::Display;
use std::io::Write;

/// Prints a line. Ends the process with exit code 0 if standard output cannot be written, as when its reader has closed
/// it.
pub fn print_line(text: impl Display) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

/// Joins values with commas.
pub fn comma_separated<T: Display>(values: impl IntoIterator<Item = T>) -> String {
    values.into_iter().map(|value| value.to_string()).collect::<Vec<_>>().join(",")
}

//! What is printed.

use std::fmt::Display;
use std::io::Write;

/// Prints a line. A reader that has gone is none of our faults, and ends the command quietly.
pub fn print_line(text: impl Display) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(0);
    }
}

/// Addresses and the like, with commas between them.
pub fn comma_separated<T: Display>(values: impl IntoIterator<Item = T>) -> String {
    values.into_iter().map(|value| value.to_string()).collect::<Vec<_>>().join(",")
}

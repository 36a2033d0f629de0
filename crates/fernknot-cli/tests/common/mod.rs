//! What the tests of this package share.

use std::process::{Command, Output};

/// Runs the command line with these words.
pub fn fernknot(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fernknot")).args(words).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

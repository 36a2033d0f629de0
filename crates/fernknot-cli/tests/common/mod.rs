//! Functions shared by the tests of this package.

use std::process::{Command, Output};

/// Runs the command line with these arguments.
pub fn fernknot(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fernknot")).args(arguments).output().unwrap()
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

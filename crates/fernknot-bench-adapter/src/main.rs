//! Runs fernknot's decision module on the bench's wire: batches of events in on standard input, replies out on standard
//! output, one JSON object a line each.
//!
//! This program owns the translation between the wire's names and the module's ids. The bench starts it
//! (`deploy/balancer.toml`); one process hosts many instances of the module, which share nothing.

mod adapter;
mod error;
mod hex;
mod instance;
mod names;
mod wire;

use adapter::Adapter;
use error::AdapterError;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// Answers each batch with a reply, until the input ends.
fn run() -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(AdapterError::ReadBatch)? == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let reply = adapter.apply(&wire::parse_batch(&line)?)?;
        serde_json::to_writer(&mut output, &reply).map_err(AdapterError::WriteReply)?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fernknot-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

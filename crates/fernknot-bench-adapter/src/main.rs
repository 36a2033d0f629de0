//! Adapter between fernknot's decision module and the bench, a program that simulates clients' queries and the nodes
//! that answer them. Each instance of the decision module decides for one simulated router. Reads batches of events
//! from standard input and writes replies to standard output, one JSON object per line.
//!
//! The adapter translates between the names of the wire format, that of the bench's messages, and the ids of the
//! decision module. The bench starts it (`deploy/balancer.toml`); one process of the adapter has many instances of the
//! decision module, which share no state.

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

/// Answers each batch, a line of input with events, with a reply until the end of the input.
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

//! The query router in service: the engine on sockets, driven by one event loop.
//!
//! Clients ask over HTTP, data nodes are called over frames, discovery is watched for the list of nodes, and peers
//! exchange datagrams. The process is configured by its environment and a file; see `fernknot_router_config`.

mod app;
mod attempts;
mod client;
mod client_io;
mod client_requests;
mod clients;
mod clock;
mod context;
mod counters;
mod discovery;
mod error;
mod events;
mod log_queue;
mod membership;
mod node_connection;
mod node_connections;
mod node_reader;
mod node_writer;
mod nodes;
mod peers;
mod tcp_connection;

use fernknot_router_config::{Precedence, RouterConfig};
use std::process::ExitCode;

/// The exit code of a process whose configuration cannot be used.
const INVALID_CONFIG: u8 = 2;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn main() -> ExitCode {
    let config = match RouterConfig::read(Precedence::Environment, variable) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("fernknot-router: {error}");
            return ExitCode::from(INVALID_CONFIG);
        }
    };
    match app::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fernknot-router: {error}");
            ExitCode::FAILURE
        }
    }
}

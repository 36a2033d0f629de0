//! The query router as a process: the engine (`fernknot-engine`), which decides on the attempts of each request, with
//! sockets, in one event loop.
//!
//! Clients send requests over HTTP, data nodes receive calls in frames over TCP, discovery provides the list of nodes,
//! and routers exchange datagrams with the other routers, their peers. A request is a multiget: it has a part for each
//! shard that it queries, and each part is answered in one or several attempts. A call is a frame with the parts of one
//! or several attempts at one node. The environment and a file configure the process; see `fernknot_router_config`.

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

/// Exit code for an invalid configuration.
const INVALID_CONFIG_EXIT_CODE: u8 = 2;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn main() -> ExitCode {
    let config = match RouterConfig::read(Precedence::Environment, variable) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("fernknot-router: {error}");
            return ExitCode::from(INVALID_CONFIG_EXIT_CODE);
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

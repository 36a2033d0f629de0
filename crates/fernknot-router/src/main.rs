//! fernknot-router: the decision module on sockets.

mod app;
mod clients;
mod clock;
mod core;
mod counters;
mod discovery;
mod hand_offs;
mod ids;
mod link;
mod logs;
mod membership;
mod node_link;
mod node_links;
mod nodes;
mod peers;

use fernknot_router_config::{Precedence, RouterConfig};
use std::process::ExitCode;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn main() -> ExitCode {
    let start = match RouterConfig::read(Precedence::Environment, variable) {
        Ok(start) => start,
        Err(message) => {
            eprintln!("fernknot-router: {message}");
            return ExitCode::from(2);
        }
    };
    match app::run(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fernknot-router: {message}");
            ExitCode::FAILURE
        }
    }
}

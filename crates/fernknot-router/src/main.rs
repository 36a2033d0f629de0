//! fernknot-router: the decision module on sockets.

mod app;
mod clients;
mod clock;
mod counters;
mod discovery;
mod hand_offs;
mod link;
mod logs;
mod node_links;
mod nodes;
mod peers;
mod table;

use fernknot_config::Start;
use std::process::ExitCode;

fn main() -> ExitCode {
    let start = match Start::read(|name| std::env::var(name).ok()) {
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

//! One query router without sockets or a clock: the decision module (`fernknot`), and the table of multigets in
//! flight. A multiget is one client's query. It has a part for each shard that it asks; a part is sent to a node as an
//! attempt, and may be sent again as further attempts. A query in two phases first asks blocks of data which blocks
//! hold matches, and then fetches those blocks; each block is a shard of its own.
//!
//! The host is the program that drives the engine: it has the sockets and the clock. It passes inputs to an
//! [`Engine`], each with the current time ([`submit`](Engine::submit), [`attempt_ended`](Engine::attempt_ended),
//! [`apply_node_list`](Engine::apply_node_list), ...). Inputs only update the engine's state; the host then calls
//! [`poll_action`](Engine::poll_action) until it returns `None`. [`next_due`](Engine::next_due) returns the time of
//! the next poll if no input arrives before. The router and the gateway in real time, the experiments in simulated
//! time and the tests run this same code.

#![deny(missing_docs)]

mod action;
mod counters;
mod engine;
mod multiget;
mod part;
mod table;
mod two_phase;

pub use action::{Action, Verdict};
pub use counters::Counters;
pub use engine::Engine;
pub use multiget::{MultigetState, RequesterId, Stage};
pub use part::{AttemptState, PartState, Phase};
pub use table::MultigetTable;

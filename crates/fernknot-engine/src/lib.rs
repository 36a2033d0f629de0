//! One query router without sockets or a clock: the decision module, and the table of multigets in flight.
//!
//! A host passes inputs to an [`Engine`], each with the current time ([`submit`](Engine::submit),
//! [`attempt_ended`](Engine::attempt_ended), [`apply_node_list`](Engine::apply_node_list), ...). Inputs only update the
//! engine's state; the host then calls [`poll_action`](Engine::poll_action) until it returns `None`.
//! [`next_due`](Engine::next_due) returns the time of the next poll if no input arrives before. The router and the
//! gateway in real time, the experiments in simulated time and the tests run this same code.

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

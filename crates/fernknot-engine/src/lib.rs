//! One query router without sockets or a clock: the decision module, and the table of multigets in flight.
//!
//! A host feeds an [`Engine`] inputs with a time (`take`, `ended`, `answered`, `list`, ...), which only update its
//! state, and then pulls actions with `next` until there are none. `due` returns when it has to be pulled again without
//! an input. The router in service and the gateway in real time, the experiments in simulated time and the tests run
//! this same code.

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

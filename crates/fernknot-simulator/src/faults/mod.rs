//! Faults of the controllers' machines: a schedule drawn from the seed, and its injection.

mod injection;
pub mod schedule;
pub(crate) mod series;
pub(crate) mod state;
mod triggers;

//! Faults of the core: a schedule drawn from the seed, and their injection.

mod injection;
pub mod schedule;
pub(crate) mod state;
mod triggers;

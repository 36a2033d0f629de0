//! Experiments in simulated time on the code that the router runs.
//!
//! This crate owns two experiments: [`two_phase`] plays queries against one real engine (`fernknot-engine`) with
//! scripted [`stores`], and [`membership`] plays many real membership protocols (`fernknot-membership`) on a network
//! with faults. All of it runs in one process, from one seed, the same byte for byte each time. Its program
//! (`fernknot-experiments NAME`) and its tests call it, and nothing else; results worth keeping stand in `results/`.

#![deny(missing_docs)]

mod engine_simulation;
mod event_queue;
pub mod membership;
mod parallel;
pub mod report;
pub mod stores;
pub mod two_phase;

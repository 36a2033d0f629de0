//! Experiments in simulated time on the code that the router runs.
//!
//! The crate has two experiments: [`two_phase`] runs queries against one production engine (`fernknot-engine`) with
//! simulated [`stores`], and [`membership`] runs many instances of the production membership protocol
//! (`fernknot-membership`) on a network with faults. Each run takes place in one process and is deterministic: the same
//! seed gives the same output, byte for byte. Only the program (`fernknot-experiments NAME`) and the tests use the
//! crate; published results are in `results/`.

#![deny(missing_docs)]

mod engine_simulation;
mod event_queue;
pub mod membership;
mod parallel;
pub mod report;
pub mod stores;
pub mod two_phase;

//! Experiments on the real engine in simulated time: scripted stores, clients and a network in one
//! process, from one seed, the same byte for byte each time.

pub mod fleet;
pub mod lanes;
pub mod report;
pub mod stores;
pub mod two_phase;
pub mod world;

//! How the processes of the system know each other, without I/O or clock.
//!
//! Each process holds a small part of the whole and shuffles some of it with one neighbour a period (after Cyclon:
//! the oldest entry is the one asked, and what is sent is given up for what comes). Controllers are kept apart and with
//! preference, so that a live one is found also when all seeds are gone. The ways weighed are in `docs/news.md`.

mod descriptor;
mod overlay;

pub use descriptor::{PeerDescriptor, Role};
pub use overlay::{Action, PeerSampler, PeerSamplerSettings};

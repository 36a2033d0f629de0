//! Peer sampling among the processes of the system, without I/O or clock.
//!
//! This crate owns a process's partial view: a bounded list of other processes, some of which it exchanges with one
//! peer a period (after Cyclon: the oldest entry is the peer chosen, and what is sent is replaced by what comes back).
//! Controllers are kept besides and with preference, so that a live one is found also when all seeds are gone.
//!
//! One [`PeerSampler`] is the state machine of one process. `fernknot-rpc` carries its shuffles as datagrams, on behalf
//! of controllers and gateways. `docs/distribution.md` compares the alternatives.

#![deny(missing_docs)]

mod known_controllers;
mod partial_view;
mod peer_descriptor;
mod peer_sampler;
mod seeds;

pub use peer_descriptor::{PeerDescriptor, Role};
pub use peer_sampler::{Action, PeerSampler, PeerSamplerSettings};

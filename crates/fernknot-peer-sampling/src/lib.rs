//! Peer sampling among the processes of the system, without I/O or clock.
//!
//! This crate maintains a process's partial view: a bounded list of other processes, a sample of which it exchanges
//! with one peer per period (as in Cyclon: the peer is the oldest entry, and sent entries are replaced by received
//! ones). Controllers are kept in a separate list, so that a live one can be found even if all seeds have ended.
//!
//! One [`PeerSampler`] is the state machine of one process. The host is the program that drives it; `fernknot-rpc`
//! encodes the exchanges (shuffles) as datagrams for controllers and gateways. `docs/distribution.md` compares the
//! alternatives.

#![deny(missing_docs)]

mod known_controllers;
mod partial_view;
mod peer_descriptor;
mod peer_sampler;
mod seeds;

pub use peer_descriptor::{PeerDescriptor, Role};
pub use peer_sampler::{Action, PeerSampler, PeerSamplerSettings};

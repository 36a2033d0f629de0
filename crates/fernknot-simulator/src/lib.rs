//! Deterministic simulation of the control plane: the production controllers (and, on request, the production gateways)
//! run in one process and in simulated time, with everything around them derived from one seed: links, disks,
//! operators, nodes, clients and faults. What passes over the simulated wire is judged by checkers that share no code
//! with what they judge. `docs/simulator.md` describes how it is used and what it covers.
//!
//! # Layers
//!
//! Each layer uses those above it in this table only.
//!
//! | Modules | Contents |
//! |---|---|
//! | [`rng`], [`time`], `topology`, [`settings`], [`wire`], [`ports`], `http_request` | tools without a state of the run |
//! | [`linearizability`], `checks` (but `history`) | observations, and the rules that they are held against |
//! | `state` of each part, [`faults::schedule`], `event` | the data of a run |
//! | `simulation` | the clock, and one struct that holds the state of all parts |
//! | `network`, `controllers`, `control_clients`, `subscribers`, `gateways`, `traffic`, `faults`, `checks::history` | what each part does: an `impl Simulation` in each file |
//! | `dispatch`, [`run`] | the loop's way to the parts; one run from its seed to the verdicts |

#![deny(missing_docs)]

mod checks;
mod control_clients;
mod controllers;
mod dispatch;
mod event;
mod gateways;
mod http_request;
mod network;
mod simulation;
mod subscribers;
mod topology;
mod traffic;

pub mod faults;
pub mod linearizability;
pub mod ports;
pub mod rng;
pub mod run;
pub mod settings;
pub mod time;
pub mod wire;

pub use checks::requests::RequestEvent;
pub use checks::rule::{Rule, Violation};

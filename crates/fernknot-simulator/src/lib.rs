//! Deterministic simulation of the control plane: the production controllers (and, on request, the production gateways)
//! run in one process and in simulated time. Their environment is derived from one seed: links, disks, operators,
//! nodes, clients and faults. Checkers that share no code with the system under test judge the messages on the
//! simulated wire. `docs/simulator.md` describes the use and the coverage of the simulator.
//!
//! The machines that run controllers form the *core*. A process is *in contact* while nothing has disturbed it or the
//! core for the contact time-out and it can reach the core's majority.
//!
//! # Layers
//!
//! Each layer depends only on the layers above it in this table.
//!
//! | Modules | Contents |
//! |---|---|
//! | [`rng`], [`time`], `topology`, [`settings`], [`wire`], [`ports`], `http_request` | utilities without run state |
//! | [`linearizability`], `checks` (except `history`) | observations and the rules that are checked against them |
//! | `state` of each component, [`faults::schedule`], `event` | the data of a run |
//! | `simulation` | the clock, and one struct that contains the state of all components |
//! | `network`, `controllers`, `control_clients`, `subscribers`, `gateways`, `traffic`, `faults`, `checks::history` | behavior of the components: an `impl Simulation` in each file |
//! | `dispatch`, [`run`] | event dispatch; a complete run from its seed to the verdicts |

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

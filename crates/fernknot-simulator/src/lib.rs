//! Deterministic simulation of the control plane: the production controllers (and, on request, the production gateways)
//! run in one process and in simulated time, with everything around them derived from one seed: links, disks,
//! operators, nodes, clients and faults. What passes over the simulated wire is judged by checkers that share no code
//! with what they judge. `docs/simulator.md` describes how it is used and what it covers.
//!
//! | Module | Contents |
//! |---|---|
//! | [`run`] | one seed: the simulation is built, faults are injected, all heals, the checkers report |
//! | [`simulation`] | the clock, links, disks and processes |
//! | [`control_clients`] | operators and nodes, as clients of the control plane |
//! | [`subscribers`] | stand-ins for the gateways' control side |
//! | [`gateways`] | in runs of the whole system: the production gateways, and connections of bytes |
//! | [`traffic`] | clients, and what nodes do with their requests |
//! | [`request_checker`] | the rules of requests |
//! | [`wire`], [`ports`] | HTTP as it is read here, and a network without sockets |
//! | [`faults`] | the schedule of faults, and their injection |
//! | [`history`] | what was observed, and the rules of the control plane |
//! | [`linearizability`] | whether the operators' history is that of one register |
//! | [`rng`] | random numbers from a seed |

pub mod control_clients;
pub mod faults;
pub mod gateways;
pub mod history;
pub mod linearizability;
pub mod ports;
pub mod request_checker;
pub mod rng;
pub mod run;
pub mod simulation;
pub mod subscribers;
pub mod traffic;
pub mod wire;

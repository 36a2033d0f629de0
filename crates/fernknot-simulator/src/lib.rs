//! Deterministic simulation of the control plane: the production controllers (and, on request, the production gateways)
//! run in one process and in simulated time. Their environment is derived from one seed: links, disks, operators,
//! nodes, clients and faults. Checkers that share no code with the system under test judge the messages on the
//! simulated wire. `docs/simulator.md` describes the use and the coverage of the simulator.
//!
//! # Terms
//!
//! - A *machine* runs one controller; a *process* on it is started anew after a crash, each time as another
//!   *incarnation*, which is identified by a number. The machines form the *core*.
//! - A *node* serves requests of one backend and reports to the controllers by heartbeats. A node *drains* before it
//!   leaves: it receives no new requests once the gateways know the drain.
//! - An *operator* replaces the configuration by a *change*. Each *version* of the configuration has an *epoch*, which
//!   the operator chooses, and a *revision*, its position among all versions that were ever in force. A *view* is the
//!   numbered set of the controllers that decide on changes; its first member leads.
//! - The machines that are listed in the settings of processes as the first ones to contact are also called *seeds*;
//!   in `Settings::seed` the word means the seed of the random numbers.
//! - A machine counts as *lost* while a fault that counts against the fault budget is active on it, and for the
//!   catch-up time after. The *fault budget* is the number of machines that may be lost at one time.
//! - The core is *stable* while nothing has disturbed it for the contact time-out, no disk or link is slowed down, and
//!   some machine reaches a majority of the core. A process is *in contact* while the core is stable, nothing has
//!   disturbed the process for the contact time-out, and it is linked to all machines that reach a majority.
//! - A *seeded bug* is a deliberate defect that the checkers must find; it exists to test the checkers.
//!
//! # Layers
//!
//! Each layer depends only on the layers above it in this table.
//!
//! | Modules | Contents |
//! |---|---|
//! | [`rng`], [`time`], `topology`, [`settings`], [`wire`], [`ports`], `http_request`, `route_slots` | utilities without run state |
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
pub mod route_slots;
pub mod run;
pub mod settings;
pub mod time;
pub mod wire;

pub use checks::requests::RequestEvent;
pub use checks::route_versions::{RouteObservation, SentVersion, VersionBounds, check_route_versions};
pub use checks::rule::{Rule, Violation};

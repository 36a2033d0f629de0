//! A flume is a channel for trials. The real controllers run here in one process and in simulated time, with all that
//! is around them: links, disks, operators, nodes and listeners, and troubles from one seed. What was seen on the
//! simulated wire is judged by code that shares nothing with what it judges. docs/flume.md says how it is used.
//!
//! | Part | What it is |
//! |---|---|
//! | [`play`] | one seed: the world is built, troubled, healed and judged |
//! | [`world`] | the clock, links, disks and processes |
//! | [`callers`] | operators and nodes, as the users' pages describe them |
//! | [`listeners`] | the gateways' control side |
//! | [`gateways`] | in plays of the whole system: the real gateways in place of listeners, and connections of bytes |
//! | [`traffic`] | clients and what nodes do with requests |
//! | [`wire_rules`] | the rules of requests |
//! | [`wire`], [`ports`] | HTTP as it is read here, and ports without sockets |
//! | [`troubles`] | what befalls the machines, and when |
//! | [`judge`] | the rules |
//! | [`register`] | linearizability of the operators' history |
//! | [`chance`] | chance from a seed |

pub mod callers;
pub mod chance;
pub mod gateways;
pub mod judge;
pub mod listeners;
pub mod play;
pub mod ports;
pub mod register;
pub mod traffic;
pub mod troubles;
pub mod wire;
pub mod wire_rules;
pub mod world;

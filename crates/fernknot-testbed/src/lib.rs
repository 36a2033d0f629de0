//! README: what stands around the system when it is tried on one machine: an operator, nodes, clients, a checker
//! of what they saw, and a rig that starts the real programs on loopback.
//!
//! | Part | What it is |
//! |---|---|
//! | [`wire`] | HTTP/1.1 of callers and nodes, on blocking sockets; shares no code with the programs |
//! | [`inner`] | questions to a running process at its inner port, and a listener that counts bytes |
//! | [`operator`] | one who sends configurations and reads them back |
//! | [`nodes`] | stand-in nodes: they beat, serve, drain and go |
//! | [`paper`] | configurations as that operator writes them |
//! | [`load`] | clients, and the platform that tells them which gateways are ready |
//! | [`checker`] | judges what clients and nodes saw, by code of its own |
//! | [`rig`] | the processes, their settings and their ends |
//! | [`usage`] | what a process costs |
//! | [`measure`] | how that cost grows with gateways, nodes, routes, changes and queries |

pub mod checker;
pub mod inner;
pub mod load;
pub mod measure;
pub mod nodes;
pub mod operator;
pub mod paper;
pub mod rig;
pub mod usage;
pub mod wire;

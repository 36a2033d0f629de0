//! Trials of many processes of the real program under faults that are injected between them and into them.
//!
//! A [`rig`] starts routers, stand-in stores, discovery and relays on loopback; a [`schedule`] says which faults
//! come, in which order, and what is waited for; the [`checker`] judges what clients, stores and routers left
//! behind. It links no crate of the router.

pub mod checker;
pub mod clients;
pub mod relay;
pub mod rig;
pub mod scenes;
pub mod schedule;

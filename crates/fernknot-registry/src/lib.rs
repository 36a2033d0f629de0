//! Nodes known by their heartbeats, without I/O or clock.
//!
//! This crate owns what is known of the nodes of every service. A controller holds one [`Registry`]: soft state that
//! heartbeats and the other controllers fill, and that is empty after a restart. A gateway holds one
//! [`NodeDirectory`]: what controllers, or the relay of its zone, sent it. Both merge records by the same rule
//! ([`NodeRecord::merge`]), so that the order in which records arrive does not matter. `docs/distribution.md` compares
//! the alternatives.

#![deny(missing_docs)]

mod address_index;
mod change_log;
mod incarnation_table;
mod node_directory;
mod node_record;
mod registry;
mod tracked_record;

pub use node_directory::{NodeDirectory, NodeDirectoryLimits};
pub use node_record::{IncarnationHash, NodeRecord, NodeState, incarnation_hash};
pub use registry::{CallOutcome, Registry, RegistryLimits, VersionedRecords};

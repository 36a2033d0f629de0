//! Node discovery by heartbeats, without I/O or clock.
//!
//! A controller holds a [`Registry`] of the nodes of all services: soft state, empty after a restart and filled by
//! heartbeats and the other controllers. A gateway holds a [`NodeDirectory`], filled by controllers or by the relay
//! of its zone. Both merge records by the same rule ([`NodeRecord::merge`]), so that the order in which records
//! arrive does not matter. `docs/distribution.md` compares the alternatives.

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

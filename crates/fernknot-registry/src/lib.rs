//! Node discovery by heartbeats, without I/O or clock.
//!
//! Terms: an incarnation is one run of a node, from start to end, under an id of its own. It is up while it is ready
//! or draining, and down once it is lost or gone; the record of a down one is a tombstone. A source is a process from
//! which a gateway receives updates: a controller, or the relay of the gateway's zone, which is another gateway that
//! passes updates on. Time is in nanoseconds of the caller's monotonic clock.
//!
//! A controller holds a [`Registry`] of the nodes of all services: soft state, empty after a restart and filled by
//! heartbeats and the other controllers. A gateway holds a [`NodeDirectory`], filled by its sources. Both merge
//! records by the same rule ([`NodeRecord::merge`]), so that the order in which records arrive does not matter.
//! `docs/distribution.md` compares the alternatives.

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

//! Nodes as their beats tell, without I/O or clock.
//!
//! A controller holds one [`Registry`]: soft state that beats and other controllers fill, and that is empty after a
//! restart. A gateway holds one [`Pool`]: what controllers, or the home of its zone, told it. Both join what they
//! hear by the same rule ([`NodeFact::join`]), so that the order in which it comes doesn't matter. The ways weighed
//! are in `docs/news.md`.

mod fact;
mod pool;
mod registry;

pub use fact::{IncarnationHash, NodeRecord, NodeState, incarnation_hash};
pub use pool::{NodeDirectory, NodeDirectoryLimits};
pub use registry::{CallOutcome, Registry, RegistryLimits};

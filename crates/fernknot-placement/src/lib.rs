//! Map of key ranges to the nodes that own them, as known to one router. The keys are those of an index that is divided
//! into blocks; each new ownership of a range has a higher epoch, its version.
//!
//! This crate owns a router's [`PlacementMap`], the [`PartRoute`] of one part of a query from owner to owner while
//! ranges migrate, the check that parts cover the requested keys exactly once ([`check_coverage`]), and the
//! [`snapshot`] that preserves a map across a restart. It has no I/O and no clock. No program uses it yet;
//! `docs/placement.md` lists what is missing for use in the router.
//!
//! A part is the portion of a query for one range of keys. A node that receives a part and does not own all of its keys
//! redirects it: it executes nothing, and reports the owners that it knows. A map may therefore be stale, have gaps,
//! and receive changes in any order: a wrong map costs a redirect (hop), never a wrong answer.

#![deny(missing_docs)]

mod change;
mod coverage;
mod key_range;
mod owners;
mod part_route;
mod placement_map;
mod range_state;
pub mod snapshot;

pub use change::{Epoch, Migration, MigrationStage, OwnershipChange, Source};
pub use coverage::{Coverage, check_coverage};
pub use key_range::KeyRange;
pub use owners::Owners;
pub use part_route::{ForwardTarget, NextHop, PartRoute};
pub use placement_map::{PlacementMap, Segment};
pub use range_state::{ApplyOutcome, RangeState};

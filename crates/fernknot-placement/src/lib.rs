//! Map of block key ranges to the nodes that own them, by epoch, as known to one router.
//!
//! This crate owns a router's [`PlacementMap`], the [`PartRoute`] of one part of a query from owner to owner while
//! ranges migrate, the check that parts cover the requested keys exactly once ([`check_coverage`]), and the
//! [`snapshot`] that preserves a map across a restart. It has no I/O and no clock. No program uses it yet;
//! `docs/placement.md` lists what is missing for use in the router.
//!
//! A map may be stale, have gaps, and receive changes in any order. The owner is authoritative: a wrong map costs a
//! hop, never a wrong answer.

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

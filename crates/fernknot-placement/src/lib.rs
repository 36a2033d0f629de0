//! Which nodes own which range of block keys, by epoch, as far as one router knows.
//!
//! This crate owns a router's [`PlacementMap`], the [`PartRoute`] that one part of a query takes from owner to owner
//! while ranges migrate, the check that parts cover the keys asked for exactly once ([`check_coverage`]), and the
//! [`snapshot`] that keeps a map over a restart. It has no I/O and no clock. No program calls it yet:
//! `docs/placement.md` says what is missing until the router in service does.
//!
//! A map may be stale, have gaps, and receive changes in any order. The owner is authoritative: a wrong map costs a hop,
//! never a wrong answer.

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

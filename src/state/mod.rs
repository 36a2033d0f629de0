//! Plain containers for what a router knows, a file for each kind. Nothing here decides anything.

#![deny(missing_docs)]

mod budget;
mod groups;
mod histogram;
mod node;
mod places;
mod query;
mod random;
mod router;
mod statistics;
mod use_case;

pub use budget::{Allowance, SlidingCount, Spending, Spent};
pub use groups::{Group, Groups};
pub use histogram::Histogram;
pub use node::Node;
pub use places::Places;
pub use query::{HandOff, Kind, Loads, Multiget, Offer, Part};
pub use random::Mwc;
pub use router::{HeldCounts, Router};
pub use statistics::{RunningMean, Tally, Trend};
pub use use_case::UseCase;

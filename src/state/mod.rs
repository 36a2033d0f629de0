//! State of a router: containers and statistics without decisions.

#![deny(missing_docs)]

mod budget;
mod first_sends;
mod groups;
mod histogram;
mod node;
mod places;
mod query;
mod random;
mod router;
mod statistics;
mod use_case;
mod windowed_budget;

pub use budget::{BudgetUse, RetryBudgetUse, SlidingCount, TokenBucket};
pub use first_sends::FirstSends;
pub use groups::{Group, Groups};
pub use histogram::Histogram;
pub use node::Node;
pub use places::{NodesByPlace, ReplicaRank};
pub use query::{Attempt, Candidate, Loads, Multiget, Part, WorkKind};
pub use random::{Mwc, splitmix64};
pub use router::{RetainedCounts, Router};
pub use statistics::{FailureRate, LinearTrend, RunningMean};
pub use use_case::UseCase;
pub use windowed_budget::WindowedBudget;

//! Membership of query routers in simulated time: the production protocol on a network that loses, blocks and delays
//! datagrams, with processes that crash, stall and restart. By the protocol each router, as an *observer*, holds a
//! status of each other router, its *members*: among others failed, or left after an announced shutdown.

mod cold_budget;
mod fault_plan;
mod figures;
mod fixed_heartbeat;
mod host;
mod network;
mod process_io;
mod scenario;
mod simulation;
mod timing;
mod variant;

pub use figures::Row;
pub use scenario::Scenario;
pub use variant::Variant;

use crate::parallel;
use simulation::MembershipSimulation;
use std::ops::Range;

/// Largest number of routers for which fixed heartbeats are simulated; the number of heartbeats grows with the square
/// of the number of routers.
const MAX_FIXED_HEARTBEAT_ROUTERS: u32 = 300;

/// Selection of runs for each seed.
#[derive(Clone, Copy, Debug)]
pub struct Selection {
    /// Number of routers.
    pub routers: u32,
    /// Only scenario to run; all if `None`.
    pub scenario: Option<Scenario>,
    /// Only variant to run; all if `None`.
    pub variant: Option<Variant>,
}

/// Runs one variant in one scenario and returns its figures.
pub fn run(variant: Variant, scenario: Scenario, routers: u32, seed: u64) -> Row {
    let mut simulation = MembershipSimulation::new(variant, scenario, routers, seed);
    simulation.run(timing::RUN_END);
    simulation.row()
}

/// Runs the selected variants in the selected scenarios for each seed, in parallel; rows are ordered by scenario,
/// variant and seed.
pub fn run_all(seeds: Range<u64>, selection: Selection) -> Vec<Row> {
    let routers = selection.routers;
    let mut cases = Vec::new();
    for scenario in Scenario::ALL.into_iter().filter(|one| selection.scenario.is_none_or(|only| only == *one))
    {
        for variant in
            Variant::ALL.into_iter().filter(|one| selection.variant.is_none_or(|only| only == *one))
        {
            if variant == Variant::FixedHeartbeat && routers > MAX_FIXED_HEARTBEAT_ROUTERS {
                continue;
            }
            cases.extend(seeds.clone().map(|seed| (variant, scenario, seed)));
        }
    }
    parallel::map(&cases, |(variant, scenario, seed)| run(*variant, *scenario, routers, *seed))
}

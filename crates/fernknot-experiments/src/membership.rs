//! Membership among query routers in simulated time: the protocol that the router runs, on a network that loses,
//! blocks and delays datagrams, among processes that crash, stall and restart.

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

/// With more routers than this, fixed heartbeats are not played: among thousands they are millions a second.
const MAX_FIXED_HEARTBEAT_ROUTERS: u32 = 300;

/// Which runs to play beside the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Selection {
    /// How many routers there are.
    pub routers: u32,
    /// One scenario alone.
    pub scenario: Option<Scenario>,
    /// One variant alone.
    pub variant: Option<Variant>,
}

/// Runs one variant under one scenario.
pub fn run(variant: Variant, scenario: Scenario, routers: u32, seed: u64) -> Row {
    let mut simulation = MembershipSimulation::new(variant, scenario, routers, seed);
    simulation.run(timing::END);
    simulation.row()
}

/// Runs all selected variants under all selected scenarios, on these seeds; runs go side by side.
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

//! Two-phase queries against stores that stall and slow down, at loads below and above capacity. The first phase asks
//! each block (the data of one shard) whether it matches the query, the second fetches the matching blocks.
//! The planner of the engine divides the latency target between the phases.

mod figures;
mod variant;
mod workload;

pub use figures::{LoadMeans, Row, RunFigures, means};
pub use variant::Variant;
pub use workload::LOAD_SHARES;

use crate::engine_simulation::{EngineSimulation, SimulationConfig};
use crate::parallel;
use std::ops::Range;

/// Runs one variant at one load, given as a share of the stores' capacity, for `seconds` of simulated load.
pub fn run(variant: Variant, seed: u64, load: f64, seconds: u64) -> RunFigures {
    let workload = workload::workload(seed, load, seconds);
    let true_matches: Vec<usize> = workload.queries.iter().map(|query| query.matches.len()).collect();
    let mut simulation = EngineSimulation::new(SimulationConfig {
        seed,
        site: workload::site_settings(),
        phases: vec![Some(workload::phase_settings(variant))],
        stores_per_place: workload::STORES_PER_PLACE,
        store_behaviour: workload::store_behaviour(),
        queries: workload.queries,
        end: workload.end,
    });
    simulation.run();
    figures::run_figures(variant, seed, load, &simulation, &true_matches)
}

/// Runs all variants at all loads for each seed, in parallel; results are ordered by seed, load and variant.
pub fn run_all(seeds: Range<u64>, seconds: u64) -> Vec<RunFigures> {
    let cases: Vec<(u64, f64, Variant)> = seeds
        .flat_map(|seed| LOAD_SHARES.map(|load| Variant::ALL.map(|variant| (seed, load, variant))))
        .flatten()
        .collect();
    parallel::map(&cases, |(seed, load, variant)| run(*variant, *seed, *load, seconds))
}

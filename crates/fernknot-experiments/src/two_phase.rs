//! Queries in two phases against stores that stall and slow down, at loads under and past capacity.

mod figures;
mod variant;
mod workload;

pub use figures::{LoadMeans, Row, RunFigures, means};
pub use variant::Variant;
pub use workload::LOADS;

use crate::engine_simulation::{EngineSimulation, SimulationConfig};
use crate::parallel;
use std::ops::Range;

/// Runs one variant at one load, for so many simulated seconds.
pub fn run(variant: Variant, seed: u64, load: f64, seconds: u64) -> RunFigures {
    let workload = workload::workload(seed, load, seconds);
    let true_matches: Vec<usize> = workload.queries.iter().map(|query| query.matches.len()).collect();
    let mut simulation = EngineSimulation::new(SimulationConfig {
        seed,
        site: workload::site_settings(),
        phases: vec![Some(workload::phase_settings(variant))],
        stores_per_place: workload::STORES_PER_PLACE,
        script: workload::store_script(),
        queries: workload.queries,
        end: workload.end,
    });
    simulation.run();
    figures::run_figures(variant, seed, load, &simulation, &true_matches)
}

/// Runs all variants at all loads for each seed; runs go side by side.
pub fn run_all(seeds: Range<u64>, seconds: u64) -> Vec<RunFigures> {
    let cases: Vec<(u64, f64, Variant)> = seeds
        .flat_map(|seed| LOADS.map(|load| Variant::ALL.map(|variant| (seed, load, variant))))
        .flatten()
        .collect();
    parallel::map(&cases, |(seed, load, variant)| run(*variant, *seed, *load, seconds))
}

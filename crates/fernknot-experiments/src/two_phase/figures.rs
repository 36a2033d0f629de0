//! Figures of runs. Field names are the keys of the output. Parts are counted as often as they are sent to a store, so
//! that each retry or copy of a part counts.

use super::variant::Variant;
use super::workload::{BLOCKS_PER_QUERY, LATENCY_TARGET_MS, LOAD_SHARES};
use crate::engine_simulation::{EngineSimulation, QueryEnd, QueryRecord};
use crate::report::rounded;
use fernknot_engine::{Stage, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the latency histogram, in microseconds; longer queries count as this long.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Figures of one run, as printed in JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment, `two-phase`.
    pub experiment: &'static str,
    /// Name of the variant.
    pub variant: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Load as a share of the stores' capacity.
    pub load_share: f64,
    /// Number of queries sent.
    pub queries: u64,
    /// Share of queries answered within the latency target.
    pub in_time_share: f64,
    /// Share of queries that were answered after the latency target, or that failed or timed out after half of the
    /// target with second-phase parts sent.
    pub late_failure_share: f64,
    /// Mean number of parts sent per query.
    pub parts_per_query: f64,
    /// Median time from sending to the answer, over the answered queries.
    pub p50_ms: f64,
    /// 99th percentile of the time from sending to the answer, over the answered queries.
    pub p99_ms: f64,
}

/// Figures of one run, with those that only the table shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunFigures {
    /// Figures printed in JSON.
    #[serde(flatten)]
    pub row: Row,
    /// Share of queries that ended without an answer and for which no first-phase part was sent.
    pub refused_share: f64,
    /// Share of queries that ended without an answer in the first phase, with parts of it sent.
    pub first_failed_share: f64,
    /// Share of queries that ended without an answer after the first phase, before any part of the second was sent.
    pub second_refused_share: f64,
    /// Share of queries that ended without an answer after parts of the second phase were sent.
    pub second_failed_share: f64,
    /// Ratio of parts sent to parts needed. Needed are one part for each block of each first phase begun, and one for
    /// each matching block of each second phase begun.
    pub parts_over_need: f64,
    /// Number of violations: missing or repeated final answers, and parts sent after the end of a query.
    pub violations: u64,
    /// Number of queries that the engine still held in flight at the end of the run; any is a leak.
    pub in_flight: usize,
}

/// Means over all seeds of one variant at one load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadMeans {
    /// Load as a share of the stores' capacity.
    pub load_share: f64,
    /// Name of the variant.
    pub variant: &'static str,
    /// Mean of [`Row::in_time_share`].
    pub in_time_share: f64,
    /// Lowest [`Row::in_time_share`] of all seeds.
    pub in_time_from: f64,
    /// Highest [`Row::in_time_share`] of all seeds.
    pub in_time_to: f64,
    /// Mean of [`Row::late_failure_share`].
    pub late_failure_share: f64,
    /// Mean of [`RunFigures::refused_share`].
    pub refused_share: f64,
    /// Mean of [`RunFigures::first_failed_share`].
    pub first_failed_share: f64,
    /// Mean of [`RunFigures::second_refused_share`].
    pub second_refused_share: f64,
    /// Mean of [`RunFigures::second_failed_share`].
    pub second_failed_share: f64,
    /// Mean of [`Row::parts_per_query`].
    pub parts_per_query: f64,
    /// Mean of [`RunFigures::parts_over_need`].
    pub parts_over_need: f64,
    /// Mean of [`Row::p50_ms`].
    pub p50_ms: f64,
    /// Mean of [`Row::p99_ms`].
    pub p99_ms: f64,
}

/// Counts and latencies over the queries of one run.
struct Counts {
    answer_latencies: Histogram<u64>,
    in_time: u64,
    late_failures: u64,
    parts: u64,
    needed_parts: u64,
    violations: u64,
    rejected: u64,
    first_failed: u64,
    second_rejected: u64,
    second_failed: u64,
}

impl Counts {
    fn new() -> Counts {
        let answer_latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid");
        Counts {
            answer_latencies,
            in_time: 0,
            late_failures: 0,
            parts: 0,
            needed_parts: 0,
            violations: 0,
            rejected: 0,
            first_failed: 0,
            second_rejected: 0,
            second_failed: 0,
        }
    }

    fn add(&mut self, record: &QueryRecord, true_matches: usize) {
        let expected_answers = u64::from(!record.has_timed_out());
        self.violations += record.parts_after_end + record.final_answers.abs_diff(expected_answers);
        self.parts += record.first_phase_parts + record.second_phase_parts;
        self.needed_parts += if record.first_phase_parts > 0 { BLOCKS_PER_QUERY as u64 } else { 0 };
        self.needed_parts += if record.second_phase_opened { true_matches as u64 } else { 0 };
        match &record.end {
            None => self.violations += 1,
            Some(end) => match &end.verdict {
                Some(Verdict::Completed { .. }) => self.add_answer(end),
                _ => self.add_failure(record, end),
            },
        }
    }

    fn add_answer(&mut self, end: &QueryEnd) {
        let duration_ms = end.duration.as_millis();
        self.answer_latencies.saturating_record(end.duration.0 / 1000);
        self.in_time += u64::from(duration_ms <= LATENCY_TARGET_MS);
        self.late_failures += u64::from(duration_ms > LATENCY_TARGET_MS);
    }

    fn add_failure(&mut self, record: &QueryRecord, end: &QueryEnd) {
        let second_phase_ran = end.stage == Stage::SecondPhase { ran: true };
        self.late_failures +=
            u64::from(second_phase_ran && end.duration.as_millis() > LATENCY_TARGET_MS / 2.0);
        let count = match end.stage {
            _ if record.first_phase_parts == 0 => &mut self.rejected,
            Stage::SecondPhase { ran: true } => &mut self.second_failed,
            Stage::SecondPhase { ran: false } => &mut self.second_rejected,
            Stage::FirstPhase | Stage::Plain => &mut self.first_failed,
        };
        *count += 1;
    }
}

pub(super) fn run_figures(
    variant: Variant,
    seed: u64,
    load: f64,
    simulation: &EngineSimulation,
    true_matches: &[usize],
) -> RunFigures {
    let mut counts = Counts::new();
    for (record, true_matches) in simulation.records().iter().zip(true_matches) {
        counts.add(record, *true_matches);
    }
    let queries = simulation.records().len() as u64;
    let share = |count: u64| rounded(count as f64 / queries.max(1) as f64, 5);
    let quantile = |share: f64| rounded(counts.answer_latencies.value_at_quantile(share) as f64 / 1e3, 2);
    RunFigures {
        row: Row {
            experiment: "two-phase",
            variant: variant.name(),
            seed,
            load_share: load,
            queries,
            in_time_share: share(counts.in_time),
            late_failure_share: share(counts.late_failures),
            parts_per_query: rounded(counts.parts as f64 / queries.max(1) as f64, 3),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
        },
        refused_share: share(counts.rejected),
        first_failed_share: share(counts.first_failed),
        second_refused_share: share(counts.second_rejected),
        second_failed_share: share(counts.second_failed),
        parts_over_need: rounded(counts.parts as f64 / counts.needed_parts.max(1) as f64, 3),
        violations: counts.violations,
        in_flight: simulation.in_flight(),
    }
}

/// Returns the means over all seeds of each variant at each load.
pub fn means(runs: &[RunFigures]) -> Vec<LoadMeans> {
    let cases = LOAD_SHARES.iter().flat_map(|load| Variant::ALL.map(|variant| (*load, variant)));
    cases.map(|(load, variant)| load_means(runs, load, variant)).collect()
}

fn load_means(runs: &[RunFigures], load_share: f64, variant: Variant) -> LoadMeans {
    let is_selected =
        |run: &&RunFigures| run.row.variant == variant.name() && run.row.load_share == load_share;
    let selected: Vec<&RunFigures> = runs.iter().filter(is_selected).collect();
    let mean = |decimals: i32, figure: &dyn Fn(&RunFigures) -> f64| {
        let sum: f64 = selected.iter().map(|run| figure(run)).sum();
        rounded(sum / selected.len().max(1) as f64, decimals)
    };
    let in_time = || selected.iter().map(|run| run.row.in_time_share);
    LoadMeans {
        load_share,
        variant: variant.name(),
        in_time_share: mean(4, &|run| run.row.in_time_share),
        in_time_from: rounded(in_time().fold(1.0, f64::min), 4),
        in_time_to: rounded(in_time().fold(0.0, f64::max), 4),
        late_failure_share: mean(5, &|run| run.row.late_failure_share),
        refused_share: mean(4, &|run| run.refused_share),
        first_failed_share: mean(4, &|run| run.first_failed_share),
        second_refused_share: mean(4, &|run| run.second_refused_share),
        second_failed_share: mean(4, &|run| run.second_failed_share),
        parts_per_query: mean(2, &|run| run.row.parts_per_query),
        parts_over_need: mean(3, &|run| run.parts_over_need),
        p50_ms: mean(1, &|run| run.row.p50_ms),
        p99_ms: mean(1, &|run| run.row.p99_ms),
    }
}

//! Queries in two phases against stores that stall and slow down, at loads under and past capacity.

use crate::lanes;
use crate::report::rounded;
use crate::stores::Script;
use crate::world::{Fate, Plan, START, World};
use fernknot::interface::*;
use fernknot_engine::{Ended, Verdict};
use fernknot_protocol::multiget::{Asked, AskedPart, AskedSecond};
use fernknot_router_config::{PhaseFacts, Silent, Split};
use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use std::ops::Range;

const GOAL_MS: f64 = 300.0;
const HARD_LIMIT_MS: f64 = 1000.0;
const SHARDS: u32 = 48;
const PLACES: u32 = 8;
const STORES_A_PLACE: usize = 3;
/// Blocks that a query asks; narrow and wide queries by turns of chance, and the share of blocks that match.
const BLOCKS: usize = 12;
const NARROW: f64 = 0.08;
const WIDE: f64 = 0.5;
const NARROW_SHARE: f64 = 0.7;
const MATCH_MS: f64 = 2.0;
const FETCH_MS: f64 = 15.0;
pub const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 1.6];
pub const VARIANTS: [&str; 4] = ["phases", "no-refusal", "fixed-split", "full"];

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub experiment: &'static str,
    pub variant: &'static str,
    pub seed: u64,
    pub load_share: f64,
    pub queries: u64,
    pub in_time_share: f64,
    pub late_failure_share: f64,
    pub parts_per_query: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// One variant at one load over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Mean {
    pub load_share: f64,
    pub variant: &'static str,
    pub in_time_share: f64,
    pub in_time_from: f64,
    pub in_time_to: f64,
    pub late_failure_share: f64,
    pub refused_share: f64,
    pub first_failed_share: f64,
    pub second_refused_share: f64,
    pub second_failed_share: f64,
    pub parts_per_query: f64,
    pub parts_over_need: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// A row, and what the table shows beside it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Result {
    #[serde(flatten)]
    pub row: Row,
    /// Queries refused before any part, given up in the first phase, refused between the phases, and given
    /// up with parts of the second handed off.
    pub refused_share: f64,
    pub first_failed_share: f64,
    pub second_refused_share: f64,
    pub second_failed_share: f64,
    /// Parts handed off over the parts of the first phases begun and the true matches of those opened.
    pub parts_over_need: f64,
    /// Breaks of the rules that the history shows: none.
    pub breaks: u64,
    /// Multigets that the engine still held at the end: none.
    pub held: usize,
}

pub fn facts(variant: &str) -> PhaseFacts {
    PhaseFacts {
        goal: Nanos::from_millis(GOAL_MS),
        first_least: 0.1,
        first_most: 0.9,
        silent: Silent::Fetch,
        names_others: false,
        least: 0.75,
        split: if variant == "fixed-split" { Split::Half } else { Split::Learned },
        refuses: variant != "no-refusal",
        prunes: variant != "full",
    }
}

fn site() -> SiteFacts {
    let millis = Nanos::from_millis;
    SiteFacts {
        routers: 1,
        use_cases: vec![UseCaseFacts {
            goal: millis(GOAL_MS),
            hard_limit: millis(HARD_LIMIT_MS),
            earnings: 1.0,
            late_share: 0.0,
            squared: false,
            effect: Effect::Replayable,
            stretch: 0.0,
            need: 1.0,
            floor: 1.0,
            second_step: false,
            most_hand_offs: None,
        }],
        shortest_goal: None,
        customers: Vec::new(),
        tick: millis(0.5),
        cold: ColdFacts { from: 0.2, warm_after: millis(10_000.0), multiple: 2.0, window: millis(1000.0) },
        budget: None,
        places: PLACES,
        width: 1,
        cancel: true,
        second_copies: true,
        most_hand_offs: 3,
        longest_wait: Some(millis(500.0)),
        must_ask: false,
        peers: false,
        by_work: false,
        zone: None,
        marks_repeats: true,
        refusals_cost: false,
    }
}

fn script() -> Script {
    let millis = Nanos::from_millis;
    Script {
        match_work: millis(MATCH_MS),
        fetch_work: millis(FETCH_MS),
        shape: 4.0,
        queue: 256,
        stall_every: millis(30_000.0),
        stall: millis(400.0),
        slow_every: millis(20_000.0),
        slow: millis(1500.0),
        slower: 3.0,
    }
}

/// The load of one run: the same queries at the same times for each variant.
fn plans(seed: u64, load: f64, seconds: u64) -> (Vec<Plan>, Nanos) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ load.to_bits());
    let matching = NARROW_SHARE * NARROW + (1.0 - NARROW_SHARE) * WIDE;
    let work_ms = BLOCKS as f64 * (MATCH_MS + matching * FETCH_MS);
    let capacity = PLACES as f64 * STORES_A_PLACE as f64 * 1e3 / work_ms;
    let gap = Exp::new(capacity * load / 1e9).expect("a positive rate");
    let end = START + Nanos(seconds * 1_000_000_000);
    let (mut at, mut plans) = (START, Vec::new());
    loop {
        at = at + Nanos(gap.sample(&mut rng) as u64);
        if at >= end {
            return (plans, end);
        }
        let mut shards: Vec<u32> = (0..SHARDS).collect();
        let (shards, _) = shards.partial_shuffle(&mut rng, BLOCKS);
        let share = if rng.random_bool(NARROW_SHARE) { NARROW } else { WIDE };
        let matches = shards.iter().filter(|_| rng.random_bool(share)).map(|shard| ShardId(*shard)).collect();
        let parts = |effort: f64| -> Vec<AskedPart> {
            let part = |shard: &u32| AskedPart {
                shard: ShardId(*shard),
                weight: 1.0 / BLOCKS as f64,
                effort: Some(Nanos::from_millis(effort)),
            };
            shards.iter().map(part).collect()
        };
        let asked = Asked {
            id: format!("q{}", plans.len()),
            use_case: UseCaseId(0),
            key: None,
            wait: Nanos::from_millis(HARD_LIMIT_MS),
            repeat: false,
            text: String::new(),
            parts: parts(MATCH_MS),
            second: Some(AskedSecond { text: String::new(), parts: parts(FETCH_MS), terms: Vec::new() }),
        };
        plans.push(Plan { at, asked, matches });
    }
}

/// One variant at one load.
pub fn play(variant: &'static str, seed: u64, load: f64, seconds: u64) -> Result {
    let (plans, end) = plans(seed, load, seconds);
    let needed: Vec<usize> = plans.iter().map(|plan| plan.matches.len()).collect();
    let phases = [Some(facts(variant))];
    let mut world = World::new(seed, site(), &phases, STORES_A_PLACE, script(), plans, end);
    world.play();
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
    let (mut in_time, mut late, mut parts, mut need, mut breaks) = (0u64, 0u64, 0u64, 0u64, 0u64);
    let (mut refused, mut first_failed, mut second_refused, mut second_failed) = (0u64, 0u64, 0u64, 0u64);
    for (fate, matches) in world.fates.iter().zip(needed) {
        breaks += fate.after_end + fate.ends.abs_diff(u64::from(!left(fate)));
        parts += fate.first_parts + fate.second_parts;
        need += if fate.first_parts > 0 { BLOCKS as u64 } else { 0 };
        need += if fate.opened { matches as u64 } else { 0 };
        let Some(end) = &fate.end else {
            breaks += 1;
            continue;
        };
        let took = end.took.as_millis();
        match &end.verdict {
            Some(Verdict::Settled { .. }) => {
                times.saturating_record(end.took.0 / 1000);
                in_time += u64::from(took <= GOAL_MS);
                late += u64::from(took > GOAL_MS);
            }
            _ => {
                let ran = end.ended == Ended::SecondPhase { ran: true };
                late += u64::from(ran && took > GOAL_MS / 2.0);
                *match end.ended {
                    _ if fate.first_parts == 0 => &mut refused,
                    Ended::SecondPhase { ran: true } => &mut second_failed,
                    Ended::SecondPhase { ran: false } => &mut second_refused,
                    Ended::FirstPhase | Ended::Plain => &mut first_failed,
                } += 1;
            }
        }
    }
    let queries = world.fates.len() as u64;
    let share = |count: u64| rounded(count as f64 / queries.max(1) as f64, 5);
    let quantile = |share: f64| rounded(times.value_at_quantile(share) as f64 / 1e3, 2);
    Result {
        row: Row {
            experiment: "two-phase",
            variant,
            seed,
            load_share: load,
            queries,
            in_time_share: share(in_time),
            late_failure_share: share(late),
            parts_per_query: rounded(parts as f64 / queries.max(1) as f64, 3),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
        },
        refused_share: share(refused),
        first_failed_share: share(first_failed),
        second_refused_share: share(second_refused),
        second_failed_share: share(second_failed),
        parts_over_need: rounded(parts as f64 / need.max(1) as f64, 3),
        breaks,
        held: world.held(),
    }
}

fn left(fate: &Fate) -> bool {
    fate.end.as_ref().is_some_and(|end| end.verdict.is_none())
}

/// All variants at all loads for each seed; seeds run side by side.
pub fn results(seeds: Range<u64>, seconds: u64) -> Vec<Result> {
    let cases: Vec<(u64, f64, &'static str)> = seeds
        .flat_map(|seed| LOADS.map(|load| VARIANTS.map(|variant| (seed, load, variant))))
        .flatten()
        .collect();
    lanes::over(&cases, |(seed, load, variant)| play(variant, *seed, *load, seconds))
}

/// The means over the seeds of each variant at each load, and the least and the most in time.
pub fn means(results: &[Result]) -> Vec<Mean> {
    let cases = LOADS.iter().flat_map(|load| VARIANTS.iter().map(move |variant| (*load, *variant)));
    let mean = |(load_share, variant): (f64, &'static str)| {
        let of = |result: &&Result| result.row.variant == variant && result.row.load_share == load_share;
        let own: Vec<&Result> = results.iter().filter(of).collect();
        let mean = |figure: &dyn Fn(&Result) -> f64| {
            own.iter().map(|result| figure(result)).sum::<f64>() / own.len().max(1) as f64
        };
        let in_time = || own.iter().map(|result| result.row.in_time_share);
        Mean {
            load_share,
            variant,
            in_time_share: rounded(mean(&|result| result.row.in_time_share), 4),
            in_time_from: rounded(in_time().fold(1.0, f64::min), 4),
            in_time_to: rounded(in_time().fold(0.0, f64::max), 4),
            late_failure_share: rounded(mean(&|result| result.row.late_failure_share), 5),
            refused_share: rounded(mean(&|result| result.refused_share), 4),
            first_failed_share: rounded(mean(&|result| result.first_failed_share), 4),
            second_refused_share: rounded(mean(&|result| result.second_refused_share), 4),
            second_failed_share: rounded(mean(&|result| result.second_failed_share), 4),
            parts_per_query: rounded(mean(&|result| result.row.parts_per_query), 2),
            parts_over_need: rounded(mean(&|result| result.parts_over_need), 3),
            p50_ms: rounded(mean(&|result| result.row.p50_ms), 1),
            p99_ms: rounded(mean(&|result| result.row.p99_ms), 1),
        }
    };
    cases.map(mean).collect()
}

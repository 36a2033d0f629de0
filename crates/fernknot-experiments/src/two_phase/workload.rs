//! Settings of the experiment, and the queries of a run.

use super::variant::Variant;
use crate::engine_simulation::{PlannedQuery, SIMULATION_START};
use crate::stores::StoreBehaviour;
use fernknot::interface::{
    Effect, Nanos, ShardId, SiteSettings, SlowStartSettings, UseCaseId, UseCaseSettings,
};
use fernknot_protocol::multiget::{MultigetRequest, RequestedPart, SecondPhaseRequest};
use fernknot_router_config::{LatencySplit, TwoPhaseSettings, UnansweredBlock};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

/// Loads of the runs, as shares of the stores' capacity.
pub const LOAD_SHARES: [f64; 4] = [0.5, 0.9, 1.2, 1.6];
/// Latency target of a query, in milliseconds from its sending.
pub(super) const LATENCY_TARGET_MS: f64 = 300.0;
/// Time after which a client stops waiting for the answer to its query, in milliseconds.
const CLIENT_TIMEOUT_MS: f64 = 1000.0;
const SHARD_COUNT: u32 = 48;
const PLACE_COUNT: u32 = 8;
/// Number of stores at each place. The stores at one place hold the same shards, and each shard is at one place, so
/// that this is the number of replicas of each shard.
pub(super) const STORES_PER_PLACE: usize = 3;
/// Number of blocks, distinct shards, that a query asks for matches.
pub(super) const BLOCKS_PER_QUERY: usize = 12;
/// Probability that a block matches a narrow query.
const NARROW_MATCH_SHARE: f64 = 0.08;
/// Probability that a block matches a wide query.
const WIDE_MATCH_SHARE: f64 = 0.5;
/// Probability that a query is narrow; it is wide otherwise.
const NARROW_QUERY_SHARE: f64 = 0.7;
/// Mean processing time of a first-phase part at a store, in milliseconds.
const MATCH_WORK_MS: f64 = 2.0;
/// Mean processing time of a second-phase part at a store, in milliseconds.
const FETCH_WORK_MS: f64 = 15.0;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Queries of one run.
pub(super) struct Workload {
    /// Queries in the order of their send times.
    pub queries: Vec<PlannedQuery>,
    /// Time from which no query is sent.
    pub end: Nanos,
}

pub(super) fn phase_settings(variant: Variant) -> TwoPhaseSettings {
    TwoPhaseSettings {
        latency_target: Nanos::from_millis(LATENCY_TARGET_MS),
        min_first_phase_share: 0.1,
        max_first_phase_share: 0.9,
        unanswered_block: UnansweredBlock::Fetch,
        may_name_other_blocks: false,
        min_match_share: 0.75,
        split: if variant == Variant::FixedSplit { LatencySplit::Half } else { LatencySplit::Learned },
        rejects_late_second_phase: variant != Variant::WithoutRejection,
        prunes_unmatched: variant != Variant::WithoutPruning,
    }
}

fn use_case_settings() -> UseCaseSettings {
    UseCaseSettings {
        latency_target: Nanos::from_millis(LATENCY_TARGET_MS),
        hard_limit: Nanos::from_millis(CLIENT_TIMEOUT_MS),
        value: 1.0,
        late_value_share: 0.0,
        squares_partial_value: false,
        effect: Effect::Idempotent,
        target_work_factor: 0.0,
        complete_share: 1.0,
        quorum: 1.0,
        two_phase: false,
        max_attempts: None,
    }
}

pub(super) fn site_settings() -> SiteSettings {
    let millis = Nanos::from_millis;
    SiteSettings {
        routers: 1,
        use_cases: vec![use_case_settings()],
        min_latency_target: None,
        customer_quotas: Vec::new(),
        tick: millis(0.5),
        slow_start: SlowStartSettings {
            initial_share: 0.2,
            warmup_time: millis(10_000.0),
            max_load_multiple: 2.0,
            window: millis(1000.0),
        },
        retry_budget: None,
        places: PLACE_COUNT,
        places_per_shard: 1,
        cancellation: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Some(millis(500.0)),
        list_changes_on_request: false,
        peer_updates: false,
        value_by_work: false,
        zone: None,
        clients_mark_retries: true,
        rejections_cost_value: false,
        subsets: false,
    }
}

pub(super) fn store_behaviour() -> StoreBehaviour {
    let millis = Nanos::from_millis;
    StoreBehaviour {
        match_work: millis(MATCH_WORK_MS),
        fetch_work: millis(FETCH_WORK_MS),
        work_shape: 4.0,
        queue_limit: 256,
        stall_interval: millis(30_000.0),
        stall_length: millis(400.0),
        slow_interval: millis(20_000.0),
        slow_length: millis(1500.0),
        slowdown: 3.0,
    }
}

/// Returns the mean number of queries per second that the stores can serve at full speed, without retries.
fn capacity_per_s() -> f64 {
    let match_share = NARROW_QUERY_SHARE * NARROW_MATCH_SHARE + (1.0 - NARROW_QUERY_SHARE) * WIDE_MATCH_SHARE;
    let work_ms = BLOCKS_PER_QUERY as f64 * (MATCH_WORK_MS + match_share * FETCH_WORK_MS);
    PLACE_COUNT as f64 * STORES_PER_PLACE as f64 * 1e3 / work_ms
}

/// Draws the queries of one run. They depend on seed, load and duration only, so that all variants get the same
/// queries.
pub(super) fn workload(seed: u64, load: f64, seconds: u64) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ load.to_bits());
    let interval = Exp::new(capacity_per_s() * load / 1e9).expect("the load is positive");
    let end = SIMULATION_START + Nanos(seconds * NANOS_PER_SECOND);
    let (mut send_at, mut queries) = (SIMULATION_START, Vec::new());
    loop {
        send_at = send_at + Nanos(interval.sample(&mut rng) as u64);
        if send_at >= end {
            return Workload { queries, end };
        }
        queries.push(draw_query(&mut rng, queries.len(), send_at));
    }
}

fn draw_query(rng: &mut ChaCha8Rng, number: usize, send_at: Nanos) -> PlannedQuery {
    let mut shards: Vec<u32> = (0..SHARD_COUNT).collect();
    let (shards, _) = shards.partial_shuffle(rng, BLOCKS_PER_QUERY);
    let match_share = if rng.random_bool(NARROW_QUERY_SHARE) { NARROW_MATCH_SHARE } else { WIDE_MATCH_SHARE };
    let matching = shards.iter().filter(|_| rng.random_bool(match_share));
    let matches = matching.map(|shard| ShardId(*shard)).collect();
    let second_phase_request =
        SecondPhaseRequest { text: String::new(), parts: parts(shards, FETCH_WORK_MS), terms: Vec::new() };
    let request = MultigetRequest {
        id: format!("q{number}"),
        use_case: UseCaseId(0),
        key: None,
        timeout: Nanos::from_millis(CLIENT_TIMEOUT_MS),
        is_retry: false,
        text: String::new(),
        parts: parts(shards, MATCH_WORK_MS),
        second_phase: Some(second_phase_request),
    };
    PlannedQuery { send_at, request, matches }
}

fn parts(shards: &[u32], effort_ms: f64) -> Vec<RequestedPart> {
    let part = |shard: &u32| RequestedPart {
        shard: ShardId(*shard),
        weight: 1.0 / BLOCKS_PER_QUERY as f64,
        effort: Some(Nanos::from_millis(effort_ms)),
    };
    shards.iter().map(part).collect()
}

//! What the engine itself costs for one multiget of ten parts, from its request to its answer.

use criterion::{Criterion, criterion_group, criterion_main};
use fernknot::interface::*;
use fernknot_engine::{Action, Engine, RequesterId};
use fernknot_protocol::multiget::{MultigetRequest, RequestedPart};

fn site() -> SiteSettings {
    let case = UseCaseSettings {
        latency_target: Nanos::from_millis(1000.0),
        hard_limit: Nanos::from_millis(3000.0),
        value: 1.0,
        late_value_share: 0.0,
        squares_partial_value: false,
        effect: Effect::Idempotent,
        target_work_factor: 0.0,
        complete_share: 1.0,
        quorum: 1.0,
        two_phase: false,
        max_attempts: None,
    };
    SiteSettings {
        routers: 1,
        use_cases: vec![case],
        min_latency_target: None,
        customer_quotas: Vec::new(),
        tick: Nanos::from_millis(1.0),
        slow_start: SlowStartSettings::default(),
        retry_budget: None,
        places: 10,
        places_per_shard: 1,
        cancellation: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Some(Nanos::from_millis(500.0)),
        list_changes_on_request: false,
        peer_updates: false,
        value_by_work: false,
        zone: None,
        clients_mark_retries: true,
        rejections_cost_value: false,
    }
}

fn multiget(c: &mut Criterion) {
    let mut now = Nanos(1_000_000_000_000);
    let mut engine = Engine::new(7, site(), &[None], 0, now);
    let node = |id: u32| NodeEntry {
        node: NodeId(id),
        place: PlaceId(id % 10),
        zone: None,
        health: Health::Running,
        started_at: Nanos(0),
    };
    engine.list(ListKind::Full, &(0..30).map(node).collect::<Vec<_>>());
    let mut number = 0u64;
    c.bench_function("engine: one multiget of 10 parts", |bench| {
        bench.iter(|| {
            number += 1;
            now = now + Nanos(1_000_000);
            let part = |shard| RequestedPart { shard: ShardId(shard), weight: 0.1, effort: None };
            let asked = MultigetRequest {
                id: format!("r{number}"),
                use_case: UseCaseId(0),
                key: None,
                timeout: Nanos::from_millis(3000.0),
                is_retry: false,
                text: "text".to_string(),
                parts: (0..10).map(part).collect(),
                second: None,
            };
            engine.take(now, RequesterId(number), now + asked.timeout, asked);
            let (mut sent, mut answers) = (Vec::new(), 0);
            loop {
                while let Some(order) = engine.poll_action(now) {
                    match order {
                        Action::Send { part, no, .. } => sent.push((part, no)),
                        Action::Cancel { part, no, outcome } => {
                            engine.ended(now, part, no, outcome, LoadReport::default())
                        }
                        Action::Answer { .. } => answers += 1,
                        _ => {}
                    }
                }
                if sent.is_empty() && !engine.has_input() {
                    break;
                }
                now = now + Nanos(50_000);
                for (part, no) in sent.drain(..) {
                    engine.answered(now, part, no, "value".to_string(), LoadReport::default());
                }
            }
            assert_eq!(answers, 1);
        })
    });
}

criterion_group!(benches, multiget);
criterion_main!(benches);

//! A second of membership at one router: its own turns, and what 300 or 3,000 others send it meanwhile.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fernknot::interface::Nanos;
use fernknot_membership::{Fleet, FleetFacts, RouterId, Step, Variant};

const SECOND: u64 = 1_000_000_000;

fn second(criterion: &mut Criterion) {
    let facts = FleetFacts {
        period: Nanos(400_000_000),
        datagrams_per_s: 8.0,
        datagram: 256,
        variant: Variant::Fleet,
    };
    let mut group = criterion.benchmark_group("second");
    for routers in [30u32, 300, 3000] {
        let ids = || (0..routers).map(RouterId);
        let make =
            |own: u32| Fleet::new(1, facts, RouterId(own), own, 1000 + u64::from(own), ids(), Nanos(0));
        // Eight datagrams of others, of which each carries news.
        let mut others: Vec<Fleet> = (1..9).map(make).collect();
        let said = |fleet: &mut Fleet, now: Nanos| {
            fleet.woke(now);
            std::iter::from_fn(|| fleet.next(now)).find_map(|step| match step {
                Step::Send { bytes, .. } => Some(bytes),
                _ => None,
            })
        };
        let datagrams: Vec<(u32, Vec<u8>)> = others
            .iter_mut()
            .enumerate()
            .filter_map(|(index, fleet)| Some((index as u32 + 1, said(fleet, Nanos(SECOND))?)))
            .collect();
        group.bench_function(BenchmarkId::from_parameter(routers), |bencher| {
            let mut fleet = make(0);
            let mut now = Nanos(0);
            bencher.iter(|| {
                for step in 0..100u64 {
                    now = now + Nanos(SECOND / 100);
                    fleet.woke(now);
                    if let Some((from, bytes)) = datagrams.get(step as usize / 12) {
                        let _ = fleet.heard(now, Some(RouterId(*from)), bytes);
                    }
                    while let Some(step) = fleet.next(now) {
                        std::hint::black_box(step);
                    }
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, second);
criterion_main!(benches);

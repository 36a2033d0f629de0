//! Benchmark of one second of membership at one router: its own event loop, and datagrams of a fleet of 30, 300 or
//! 3,000 routers.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fernknot::interface::Nanos;
use fernknot_membership::{Action, MembershipProtocol, MembershipSettings, RouterId, Variant};

const NANOS_PER_SECOND: u64 = 1_000_000_000;

fn one_second_of_membership(criterion: &mut Criterion) {
    let settings = MembershipSettings {
        probe_period: Nanos(400_000_000),
        datagrams_per_s: 8.0,
        max_datagram_bytes: 256,
        variant: Variant::Full,
    };
    let mut group = criterion.benchmark_group("second");
    for routers in [30u32, 300, 3000] {
        let ids = || (0..routers).map(RouterId);
        let new_router = |own: u32| {
            MembershipProtocol::new(1, settings, RouterId(own), own, 1000 + u64::from(own), ids(), Nanos(0))
        };
        // Eight datagrams of other routers, each with updates.
        let mut others: Vec<MembershipProtocol> = (1..9).map(new_router).collect();
        let first_datagram = |router: &mut MembershipProtocol, now: Nanos| {
            router.wake(now);
            std::iter::from_fn(|| router.poll_action(now)).find_map(|action| match action {
                Action::Send { bytes, .. } => Some(bytes),
                _ => None,
            })
        };
        let datagrams: Vec<(u32, Vec<u8>)> = others
            .iter_mut()
            .enumerate()
            .filter_map(|(index, router)| {
                Some((index as u32 + 1, first_datagram(router, Nanos(NANOS_PER_SECOND))?))
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(routers), |bencher| {
            let mut router = new_router(0);
            let mut now = Nanos(0);
            bencher.iter(|| {
                for step in 0..100u64 {
                    now = now + Nanos(NANOS_PER_SECOND / 100);
                    router.wake(now);
                    if let Some((from, bytes)) = datagrams.get(step as usize / 12) {
                        let _ = router.receive(now, Some(RouterId(*from)), bytes);
                    }
                    while let Some(action) = router.poll_action(now) {
                        std::hint::black_box(action);
                    }
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, one_second_of_membership);
criterion_main!(benches);

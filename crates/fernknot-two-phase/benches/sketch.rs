//! Summaries of blocks: a look-up for a print that is lacking and for one that is held, and the bytes of
//! each structure, at 100, 1,000 and 6,000 terms. Three structures against the plain sorted list.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fastbloom::BloomFilter;
use fernknot_two_phase::{Sketch, print_of};
use std::collections::HashSet;
use std::hint::black_box;
use xorf::{BinaryFuse8, Filter};

fn prints(count: usize, kind: &str) -> Vec<u64> {
    let mut prints: Vec<u64> = (0..count).map(|index| print_of(&format!("{kind} {index}"))).collect();
    prints.sort_unstable();
    prints
}

fn structures(c: &mut Criterion) {
    for count in [100, 1_000, 6_000] {
        let (held, lacking) = (prints(count, "held"), prints(1_024, "lacking"));
        let fuse = BinaryFuse8::try_from(&held).expect("these prints make a filter");
        let mut bloom = BloomFilter::with_false_pos(1.0 / 256.0).seed(&7).expected_items(count);
        held.iter().for_each(|print| {
            bloom.insert(print);
        });
        let set: HashSet<u64> = held.iter().copied().collect();
        let chosen = Sketch::new(held.clone());
        println!(
            "{count} terms, bytes: sorted {}, fuse {}, bloom {}, hash set at least {}, as kept {}",
            held.len() * 8,
            fuse.fingerprints.len(),
            bloom.as_slice().len() * 8,
            set.capacity() * 9,
            chosen.bytes(),
        );
        for (kind, asked) in [("lacking", &lacking), ("held", &held)] {
            let mut group = c.benchmark_group(format!("{kind} of {count}"));
            let mut run = |name: &str, may_hold: &dyn Fn(u64) -> bool| {
                let mut index = 0;
                group.bench_function(BenchmarkId::from_parameter(name), |bench| {
                    bench.iter(|| {
                        index = (index + 1) % asked.len();
                        may_hold(black_box(asked[index]))
                    })
                });
            };
            run("sorted", &|print| held.binary_search(&print).is_ok());
            run("fuse", &|print| fuse.contains(&print));
            run("bloom", &|print| bloom.contains(&print));
            run("hash set", &|print| set.contains(&print));
            run("as kept", &|print| chosen.may_hold(print));
        }
    }
}

criterion_group!(benches, structures);
criterion_main!(benches);

//! Term filters of blocks: a look-up of a fingerprint that is absent and of one that is present, and the bytes of each
//! structure, at 100, 1,000 and 6,000 terms. Three structures against the plain sorted list.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fastbloom::BloomFilter;
use fernknot_two_phase::{TermFilter, term_fingerprint};
use std::collections::HashSet;
use std::hint::black_box;
use xorf::{BinaryFuse8, Filter};

fn fingerprints(count: usize, kind: &str) -> Vec<u64> {
    let terms = (0..count).map(|index| format!("{kind} {index}"));
    let mut fingerprints: Vec<u64> = terms.map(|term| term_fingerprint(&term)).collect();
    fingerprints.sort_unstable();
    fingerprints
}

fn structures(criterion: &mut Criterion) {
    for count in [100, 1_000, 6_000] {
        let (present, absent) = (fingerprints(count, "held"), fingerprints(1_024, "lacking"));
        let fuse = BinaryFuse8::try_from(&present).expect("these fingerprints make a filter");
        let mut bloom = BloomFilter::with_false_pos(1.0 / 256.0).seed(&7).expected_items(count);
        for fingerprint in &present {
            bloom.insert(fingerprint);
        }
        let set: HashSet<u64> = present.iter().copied().collect();
        let chosen = TermFilter::new(present.clone());
        println!(
            "{count} terms, bytes: sorted {}, fuse {}, bloom {}, hash set at least {}, as kept {}",
            present.len() * 8,
            fuse.fingerprints.len(),
            bloom.as_slice().len() * 8,
            set.capacity() * 9,
            chosen.bytes(),
        );
        for (kind, asked) in [("absent", &absent), ("present", &present)] {
            let mut group = criterion.benchmark_group(format!("{kind} of {count}"));
            let mut run = |name: &str, may_contain: &dyn Fn(u64) -> bool| {
                let mut index = 0;
                group.bench_function(BenchmarkId::from_parameter(name), |bench| {
                    bench.iter(|| {
                        index = (index + 1) % asked.len();
                        may_contain(black_box(asked[index]))
                    })
                });
            };
            run("sorted", &|fingerprint| present.binary_search(&fingerprint).is_ok());
            run("fuse", &|fingerprint| fuse.contains(&fingerprint));
            run("bloom", &|fingerprint| bloom.contains(&fingerprint));
            run("hash set", &|fingerprint| set.contains(&fingerprint));
            run("as kept", &|fingerprint| chosen.may_contain(fingerprint));
        }
    }
}

criterion_group!(benches, structures);
criterion_main!(benches);

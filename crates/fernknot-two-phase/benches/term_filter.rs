//! Term filters, approximate sets of the terms in a block: time to look up an absent and a present fingerprint (hash
//! of a term), and memory in bytes, at 100, 1,000 and 6,000 terms. Compares the filter in use with a sorted list, a
//! fuse filter, a Bloom filter and a hash set.

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

fn compare_structures(criterion: &mut Criterion) {
    for count in [100, 1_000, 6_000] {
        let (present, absent) = (fingerprints(count, "held"), fingerprints(1_024, "lacking"));
        let fuse = BinaryFuse8::try_from(&present)
            .expect("a fuse filter can be constructed from these fingerprints");
        let mut bloom = BloomFilter::with_false_pos(1.0 / 256.0).seed(&7).expected_items(count);
        for fingerprint in &present {
            bloom.insert(fingerprint);
        }
        let set: HashSet<u64> = present.iter().copied().collect();
        let term_filter = TermFilter::new(present.clone());
        println!(
            "{count} terms, bytes: sorted {}, fuse {}, bloom {}, hash set at least {}, term filter {}",
            present.len() * 8,
            fuse.fingerprints.len(),
            bloom.as_slice().len() * 8,
            set.capacity() * 9,
            term_filter.bytes(),
        );
        for (kind, queried) in [("absent", &absent), ("present", &present)] {
            let mut group = criterion.benchmark_group(format!("{kind} of {count}"));
            let mut run = |name: &str, may_contain: &dyn Fn(u64) -> bool| {
                let mut index = 0;
                group.bench_function(BenchmarkId::from_parameter(name), |bench| {
                    bench.iter(|| {
                        index = (index + 1) % queried.len();
                        may_contain(black_box(queried[index]))
                    })
                });
            };
            run("sorted", &|fingerprint| present.binary_search(&fingerprint).is_ok());
            run("fuse", &|fingerprint| fuse.contains(&fingerprint));
            run("bloom", &|fingerprint| bloom.contains(&fingerprint));
            run("hash set", &|fingerprint| set.contains(&fingerprint));
            run("term filter", &|fingerprint| term_filter.may_contain(fingerprint));
        }
    }
}

criterion_group!(benches, compare_structures);
criterion_main!(benches);

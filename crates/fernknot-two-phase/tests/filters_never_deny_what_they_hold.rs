//! Term filters have no false negatives, and their cache stays within its memory bound.

use fernknot::interface::ShardId;
use fernknot_two_phase::{FilterAnswer, TermFilter, TermFilterCache, term_fingerprint};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_BYTES: usize = 4096;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// A false negative would rule out a block that matches.
    #[test]
    fn a_filter_has_no_false_negatives(fingerprints in prop::collection::vec(any::<u64>(), 0..400)) {
        let filter = TermFilter::new(fingerprints.clone());
        prop_assert!(fingerprints.iter().all(|fingerprint| filter.may_contain(*fingerprint)));
    }

    /// The bound holds for any sizes, versions and order of insertions. No version is replaced by an earlier one.
    #[test]
    fn the_cache_stays_within_its_memory_bound(
        inserts in prop::collection::vec((0u32..40, 0u64..5, 0usize..300), 1..120),
    ) {
        let mut cache = TermFilterCache::new(MAX_BYTES);
        for (shard, version, count) in inserts {
            let fingerprints = (0..count as u64).map(|index| index * 7919 + u64::from(shard)).collect();
            let before = cache.version(ShardId(shard));
            cache.insert(ShardId(shard), version, fingerprints);
            prop_assert!(cache.bytes() <= MAX_BYTES);
            prop_assert!(cache.version(ShardId(shard)) >= before.filter(|known| *known > version));
        }
        prop_assert_eq!(cache.entry_bytes().sum::<usize>(), cache.bytes());
    }
}

#[test]
fn one_absent_term_rules_a_block_out_and_a_query_without_terms_has_an_unknown_answer() {
    let mut cache = TermFilterCache::new(10_000);
    cache.insert(ShardId(1), 4, vec![term_fingerprint("beach"), term_fingerprint("2024")]);
    let terms = |words: &[&str]| words.iter().map(|word| term_fingerprint(word)).collect::<Vec<_>>();
    assert_eq!(cache.check(ShardId(1), &terms(&["beach", "2024"])), FilterAnswer::MayMatch);
    assert_eq!(cache.check(ShardId(1), &terms(&["beach", "2025"])), FilterAnswer::CannotMatch);
    assert_eq!(cache.check(ShardId(1), &[]), FilterAnswer::Unknown);
    assert_eq!(cache.check(ShardId(2), &terms(&["beach"])), FilterAnswer::Unknown);
}

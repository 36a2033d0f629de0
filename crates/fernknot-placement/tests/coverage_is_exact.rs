//! Check that parts cover the requested keys, each exactly once.

mod common;

use common::range;
use fernknot_placement::{Coverage, KeyRange, check_coverage};
use test_case::test_case;

const REQUESTED: [(u64, u64); 2] = [(0, 9), (20, 29)];

fn ranges(list: &[(u64, u64)]) -> Vec<KeyRange> {
    list.iter().map(|(first, last)| range(*first, *last)).collect()
}

#[test_case(&[(0, 9), (20, 29)], Coverage::Exact; "as requested")]
#[test_case(&[(24, 29), (0, 4), (5, 9), (20, 23)], Coverage::Exact; "split, in any order")]
#[test_case(&[(0, 9)], Coverage::Missing(range(20, 29)); "one range left out")]
#[test_case(&[(0, 4), (6, 9), (20, 29)], Coverage::Missing(range(5, 5)); "a gap of one key")]
#[test_case(&[(0, 5), (5, 9), (20, 29)], Coverage::Excess(range(5, 5)); "one key twice")]
#[test_case(&[(0, 9), (0, 9), (20, 29)], Coverage::Excess(range(0, 9)); "a part twice")]
#[test_case(&[(0, 12), (20, 29)], Coverage::Excess(range(10, 12)); "more than requested")]
#[test_case(&[(0, 9), (20, 29), (40, 41)], Coverage::Excess(range(40, 41)); "a range that was not requested")]
#[test_case(&[], Coverage::Missing(range(0, 9)); "no parts")]
fn the_first_missing_or_excess_range_is_reported(parts: &[(u64, u64)], expected: Coverage) {
    assert_eq!(check_coverage(&ranges(&REQUESTED), &ranges(parts)), expected);
}

#[test]
fn the_highest_key_can_be_covered() {
    let requested = [range(u64::MAX - 3, u64::MAX)];
    assert_eq!(check_coverage(&requested, &[range(u64::MAX - 3, u64::MAX)]), Coverage::Exact);
    let without_last = [range(u64::MAX - 3, u64::MAX - 1)];
    assert_eq!(check_coverage(&requested, &without_last), Coverage::Missing(range(u64::MAX, u64::MAX)));
}

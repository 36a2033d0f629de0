//! Totals of gateways are neither added twice nor lost, whatever the order in which reports arrive.

use fernknot_ownership::IncarnationId;
use fernknot_usage::{TableLimits, UsageReport, UsageTable, WindowNumber, WindowUsage};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

const LIMITS: TableLimits = TableLimits { max_totals: 1000, max_name_bytes: 16 };
const OPEN: RangeInclusive<WindowNumber> = WindowNumber(10)..=WindowNumber(14);

fn report(incarnation: u64, window: u64, tenant: &str, total: u64) -> UsageReport {
    let requests = vec![(tenant.to_string(), total)];
    let windows = vec![WindowUsage { window: WindowNumber(window), requests }];
    UsageReport { incarnation: IncarnationId(incarnation), windows }
}

fn sums(table: &UsageTable) -> Vec<Vec<(String, u64)>> {
    (9..=15).map(|window| table.sums(WindowNumber(window))).collect()
}

fn reports() -> impl Strategy<Value = Vec<UsageReport>> {
    let one = (0..4u64, 9..16u64, "[a-c]", 0..50u64)
        .prop_map(|(incarnation, window, tenant, total)| report(incarnation, window, &tenant, total));
    prop::collection::vec(one, 0..40)
}

proptest! {
    #[test]
    fn given_any_order_and_repeats_when_merged_then_the_sums_are_those_of_the_largest_totals(
        reports in reports(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let mut expected: BTreeMap<(u64, String, IncarnationId), u64> = BTreeMap::new();
        for report in &reports {
            let WindowUsage { window, requests } = &report.windows[0];
            if OPEN.contains(window) {
                let total = expected.entry((window.0, requests[0].0.clone(), report.incarnation)).or_default();
                *total = (*total).max(requests[0].1);
            }
        }
        let mut table = UsageTable::new(LIMITS);
        for index in order.iter().filter(|_| !reports.is_empty()) {
            table.merge(index.get(&reports), OPEN);
        }
        reports.iter().for_each(|report| _ = table.merge(report, OPEN));
        for window in 9..=15 {
            let mut sums: BTreeMap<String, u64> = BTreeMap::new();
            for ((of, tenant, _), total) in &expected {
                if *of == window && *total > 0 {
                    *sums.entry(tenant.clone()).or_default() += total;
                }
            }
            prop_assert_eq!(table.sums(WindowNumber(window)), sums.into_iter().collect::<Vec<_>>());
        }
    }

    #[test]
    fn given_two_ledgers_when_what_is_new_or_a_snapshot_is_passed_on_then_both_have_the_same_sums(
        reports in reports(),
        passed_on in 0..40usize,
    ) {
        let mut first = UsageTable::new(LIMITS);
        let mut second = UsageTable::new(LIMITS);
        for (index, report) in reports.iter().enumerate() {
            if index == passed_on {
                second = UsageTable::new(LIMITS);
                first.snapshot().iter().for_each(|report| _ = second.merge(report, OPEN));
            }
            if let Some(changed) = first.merge(report, OPEN) {
                second.merge(&changed, OPEN);
            }
        }
        prop_assert_eq!(sums(&first), sums(&second));
        let nothing_new = reports.iter().all(|report| first.merge(report, OPEN).is_none());
        prop_assert!(nothing_new, "a repeated report has nothing new");
    }
}

#[test]
fn given_a_total_of_a_closed_or_a_distant_window_when_merged_then_it_is_counted_as_rejected() {
    let mut table = UsageTable::new(LIMITS);
    assert_eq!(table.merge(&report(1, 9, "a", 5), OPEN), None);
    assert_eq!(table.merge(&report(1, 15, "a", 5), OPEN), None);
    assert_eq!((table.rejected().late, table.rejected().early), (1, 1));
    assert_eq!(table.total_count(), 0);
}

#[test]
fn given_more_totals_than_the_limit_when_merged_then_known_ones_still_rise_and_new_ones_are_rejected() {
    let mut table = UsageTable::new(TableLimits { max_totals: 2, max_name_bytes: 4 });
    table.merge(&report(1, 10, "a", 1), OPEN);
    table.merge(&report(2, 10, "a", 1), OPEN);
    assert_eq!(table.merge(&report(3, 10, "a", 1), OPEN), None);
    assert!(table.merge(&report(2, 10, "a", 3), OPEN).is_some());
    assert_eq!(table.merge(&report(2, 10, "abcde", 3), OPEN), None, "the name is too long");
    assert_eq!(table.sums(WindowNumber(10)), [("a".to_string(), 4)]);
    assert_eq!(table.rejected().over_limit, 2);
}

#[test]
fn given_windows_that_were_forgotten_when_new_totals_arrive_then_there_is_room_for_them() {
    let mut table = UsageTable::new(TableLimits { max_totals: 2, max_name_bytes: 4 });
    table.merge(&report(1, 10, "a", 1), OPEN);
    table.merge(&report(1, 11, "a", 1), OPEN);
    table.forget_before(WindowNumber(11));
    assert_eq!((table.total_count(), table.oldest_window()), (1, Some(WindowNumber(11))));
    assert!(table.merge(&report(1, 12, "b", 1), OPEN).is_some());
}

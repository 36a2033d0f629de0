//! Windows are fixed one after another, and what falls out of a full record is counted.

use fernknot_usage::{MAX_UNREPORTED_COUNTS, MAX_UNREPORTED_WINDOWS, UsageRecord, WindowNumber};

fn windows(record: &UsageRecord) -> Vec<u64> {
    record.unreported().iter().map(|fixed| fixed.window.0).collect()
}

#[test]
fn given_fixed_windows_when_some_are_reported_then_the_later_ones_remain_unchanged() {
    let mut record = UsageRecord::starting_at(WindowNumber(7));
    record.fix_next(vec![("a".into(), 3)]);
    record.fix_next(vec![]);
    record.fix_next(vec![("b".into(), 1)]);
    let last = record.unreported()[2].clone();
    record.remove_reported(WindowNumber(8));
    assert_eq!((windows(&record), record.next_window()), (vec![9], WindowNumber(10)));
    assert_eq!(record.unreported()[0], last);
    assert_eq!(record.abandoned(), 0);
}

#[test]
fn given_too_many_windows_when_another_is_fixed_then_the_oldest_is_abandoned_and_counted() {
    let mut record = UsageRecord::starting_at(WindowNumber(0));
    (0..=MAX_UNREPORTED_WINDOWS).for_each(|_| record.fix_next(Vec::new()));
    assert_eq!((record.unreported().len(), record.abandoned()), (MAX_UNREPORTED_WINDOWS, 1));
    assert_eq!(windows(&record)[0], 1);
}

#[test]
fn given_windows_with_too_many_counts_when_another_is_fixed_then_only_the_newest_is_sure_to_remain() {
    let counts: Vec<(String, u64)> =
        (0..MAX_UNREPORTED_COUNTS).map(|tenant| (format!("{tenant:06}"), 1)).collect();
    let mut record = UsageRecord::starting_at(WindowNumber(0));
    record.fix_next(counts.clone());
    record.fix_next(counts);
    assert_eq!((windows(&record), record.abandoned()), (vec![1], 1));
}

#[test]
fn given_windows_that_are_skipped_when_the_next_is_fixed_then_it_has_its_own_number() {
    let mut record = UsageRecord::starting_at(WindowNumber(3));
    record.skip_to(WindowNumber(5));
    record.skip_to(WindowNumber(2));
    record.fix_next(Vec::new());
    assert_eq!((windows(&record), record.abandoned()), (vec![5], 2));
}

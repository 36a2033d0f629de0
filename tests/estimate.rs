//! The estimate against values worked out by hand from the paper's series (section 4.3).

use fernknot::decide::{cut_target, service_level};
use test_case::test_case;

#[test_case(&[], 0.0; "no copy")]
#[test_case(&[0.9], 0.9; "one copy")]
#[test_case(&[0.9, 0.9], 0.99; "two alike: 1 - 0.1 squared")]
#[test_case(&[0.8, 0.5, 0.5], 0.95; "0.8 + 0.5 of 0.2 + 0.5 of 0.1")]
#[test_case(&[0.0, 0.7], 0.7; "the first never in time")]
#[test_case(&[1.0, 0.3], 1.0; "the first always in time")]
fn level_follows_the_series(phis: &[f64], level: f64) {
    assert!((service_level(phis) - level).abs() < 1e-9);
}

#[test]
fn order_of_the_copies_does_not_matter() {
    assert!((service_level(&[0.8, 0.5, 0.3]) - service_level(&[0.3, 0.8, 0.5])).abs() < 1e-12);
}

#[test_case(100.0, 10.0, 1.0, 0.5, 0.0, 90.0; "M/M/1, half busy: one mean")]
#[test_case(100.0, 10.0, 0.0, 0.5, 5.0, 90.0; "no spread: half a mean, and the network")]
#[test_case(100.0, 10.0, 3.0, 0.8, 0.0, 20.0; "twice 4 means")]
#[test_case(100.0, 10.0, 3.0, 0.9, 0.0, 0.0; "queued past the target")]
#[test_case(100.0, 10.0, 1.0, 1.0, 0.0, 0.0; "wholly busy")]
#[test_case(100.0, 10.0, 1.0, 0.0, 2.0, 98.0; "idle: the network alone")]
fn target_is_cut_by_queuing_and_network(tau: f64, mean: f64, cv2: f64, busy: f64, net: f64, left: f64) {
    assert!((cut_target(tau, mean, cv2, busy, net) - left).abs() < 1e-9);
}

//! Service level and reduced target, compared with values computed by hand from the paper (section 4.3).

use fernknot::decide::{reduced_target, service_level};
use test_case::test_case;

#[test_case(&[], 0.0; "no copy")]
#[test_case(&[0.9], 0.9; "one copy")]
#[test_case(&[0.9, 0.9], 0.99; "two equal copies: 1 - 0.1 squared")]
#[test_case(&[0.8, 0.5, 0.5], 0.95; "0.8 + 0.5 of 0.2 + 0.5 of 0.1")]
#[test_case(&[0.0, 0.7], 0.7; "the first copy never in time")]
#[test_case(&[1.0, 0.3], 1.0; "the first copy always in time")]
fn service_level_follows_the_series_of_the_paper(probabilities: &[f64], level: f64) {
    assert!((service_level(probabilities) - level).abs() < 1e-9);
}

#[test]
fn service_level_does_not_depend_on_the_order_of_copies() {
    assert!((service_level(&[0.8, 0.5, 0.3]) - service_level(&[0.3, 0.8, 0.5])).abs() < 1e-12);
}

#[test_case(100.0, 10.0, 1.0, 0.5, 0.0, 90.0; "M/M/1, half busy: queuing delay of one mean")]
#[test_case(100.0, 10.0, 0.0, 0.5, 5.0, 90.0; "constant service time: half a mean, and the network")]
#[test_case(100.0, 10.0, 3.0, 0.8, 0.0, 20.0; "high variation and load: eight means")]
#[test_case(100.0, 10.0, 3.0, 0.9, 0.0, 0.0; "queuing delay beyond the target")]
#[test_case(100.0, 10.0, 1.0, 1.0, 0.0, 0.0; "fully busy")]
#[test_case(100.0, 10.0, 1.0, 0.0, 2.0, 98.0; "idle: only the network")]
fn target_is_reduced_by_queuing_and_network(
    target: f64,
    mean: f64,
    cv2: f64,
    busy: f64,
    network: f64,
    left: f64,
) {
    assert!((reduced_target(target, mean, cv2, busy, network) - left).abs() < 1e-9);
}

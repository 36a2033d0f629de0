//! Completion times of simulated stores.

use fernknot::interface::{AttemptNumber, MultigetId, Nanos, PartId};
use fernknot_experiments::stores::{Degradation, Job, Store};
use test_case::test_case;

/// The store is stalled from 10 to 20 ms, and three times slower from 30 to 60 ms.
#[test_case(0.0, 5.0, 5.0; "before both periods")]
#[test_case(0.0, 15.0, 25.0; "through the stall")]
#[test_case(15.0, 2.0, 22.0; "started in the stall")]
#[test_case(30.0, 5.0, 45.0; "in the slow period")]
#[test_case(25.0, 16.0, 61.0; "through the slow period")]
#[test_case(70.0, 4.0, 74.0; "after both periods")]
fn stalls_and_slow_periods_delay_completion(start_ms: f64, work_ms: f64, completion_ms: f64) {
    let ms = Nanos::from_millis;
    let degradations = vec![
        Degradation { from: ms(10.0), to: ms(20.0), slowdown: None },
        Degradation { from: ms(30.0), to: ms(60.0), slowdown: Some(3.0) },
    ];
    let mut store = Store::new(degradations, 4);
    let part = PartId { multiget: MultigetId(1), index: 0 };
    assert!(store.enqueue(Job { part, attempt: AttemptNumber(0), work: ms(work_ms) }));
    assert_eq!(store.start_next(ms(start_ms)).map(|at| at.as_millis().round()), Some(completion_ms));
}

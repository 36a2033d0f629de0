//! Stores work as long as their spells make it.

use fernknot::interface::{AttemptNumber, MultigetId, Nanos, PartId};
use fernknot_experiments::stores::{Job, Spell, Store};
use test_case::test_case;

/// A stall from 10 to 20 ms and a slow spell (three times) from 30 to 60 ms.
#[test_case(0.0, 5.0, 5.0; "before all")]
#[test_case(0.0, 15.0, 25.0; "through the stall")]
#[test_case(15.0, 2.0, 22.0; "begun in the stall")]
#[test_case(30.0, 5.0, 45.0; "in the slow spell")]
#[test_case(25.0, 16.0, 61.0; "through the slow spell")]
#[test_case(70.0, 4.0, 74.0; "after all")]
fn work_takes_as_long_as_the_spells_make_it(start_ms: f64, work_ms: f64, done_ms: f64) {
    let ms = Nanos::from_millis;
    let spells = vec![
        Spell { from: ms(10.0), to: ms(20.0), slowdown: None },
        Spell { from: ms(30.0), to: ms(60.0), slowdown: Some(3.0) },
    ];
    let mut store = Store::new(spells, 4);
    let part = PartId { multiget: MultigetId(1), index: 0 };
    assert!(store.enqueue(Job { part, attempt: AttemptNumber(0), work: ms(work_ms) }));
    assert_eq!(store.start_next(ms(start_ms)).map(|at| at.as_millis().round()), Some(done_ms));
}

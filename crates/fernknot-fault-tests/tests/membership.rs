//! Several real processes and faults between them: each trial keeps its promises, and planted breaks are found.

use fernknot_fault_tests::rig;
use fernknot_fault_tests::scenes::{NAMES, PLANTED, scene};
use fernknot_fault_tests::schedule::Schedule;
use test_case::test_case;

const PERIOD_MS: f64 = 200.0;

#[test_case("crash", 5; "a crash is known to all, and a restart")]
#[test_case("pause", 5; "a pause costs nobody its name")]
#[test_case("loss", 5; "lost datagrams")]
#[test_case("late", 5; "late, repeated and overtaken datagrams")]
#[test_case("pair", 5; "two that do not hear each other")]
#[test_case("one-way", 5; "one that is not heard by another")]
#[test_case("hears", 5; "one that only hears")]
#[test_case("speaks", 5; "one that only speaks")]
#[test_case("split", 7; "two sides")]
#[test_case("herd", 7; "seven in ten at once")]
#[test_case("roll", 5; "a rolling restart")]
#[test_case("again", 5; "one that is killed again and again")]
fn routers_keep_their_promises(name: &str, routers: usize) {
    let schedule = scene(name, routers, 3, PERIOD_MS).unwrap();
    let outcome = rig::play(&schedule).unwrap();
    assert!(outcome.breaks.is_empty(), "{:#?}", outcome.breaks);
    assert!(outcome.history.requests.len() > 10, "no load");
}

#[test]
fn a_fault_that_the_checker_is_not_told_of_breaks_the_promise_that_it_should() {
    for (name, promise) in PLANTED {
        let mut schedule = scene(name, 5, 3, PERIOD_MS).unwrap();
        schedule.load_per_s = 100.0;
        let mut outcome = rig::play(&schedule).unwrap();
        if promise == "one-answer" {
            // Its clients are judged as though nothing had happened to the router.
            outcome.history.occurred.clear();
            outcome.breaks = fernknot_fault_tests::checker::check(&outcome.history);
        }
        assert!(outcome.breaks.iter().any(|one| one.promise == promise), "{name}: {:#?}", outcome.breaks);
    }
}

#[test]
fn a_schedule_is_the_same_after_it_was_printed_and_read() {
    for name in NAMES {
        let schedule = scene(name, 6, 4, PERIOD_MS).unwrap();
        let text = serde_json::to_string(&schedule).unwrap();
        assert_eq!(Schedule::parse(&text), Ok(schedule));
    }
    let error = Schedule::parse(
        r#"{"name":"x","routers":3,"seed":1,"period_ms":100,"load_per_s":1,
        "steps":[{"do":"kill","routers":[3]}]}"#,
    );
    assert_eq!(error, Err("steps[0]: there is no router 3".to_string()));
}

//! Several real processes and faults between them: each scenario keeps its promises, and seeded bugs are found.

use fernknot_fault_tests::checker::{ONE_ANSWER, check};
use fernknot_fault_tests::runner::play;
use fernknot_fault_tests::scenarios::{NAMES, SEEDED_BUGS, scenario};
use fernknot_fault_tests::schedule::Schedule;
use test_case::test_case;

const PERIOD_MS: f64 = 200.0;

#[test_case("crash", 5; "a crash is known to all, and a restart")]
#[test_case("pause", 5; "a pause makes nobody fail")]
#[test_case("loss", 5; "lost datagrams")]
#[test_case("late", 5; "late, duplicated and overtaken datagrams")]
#[test_case("pair", 5; "two that do not hear each other")]
#[test_case("one-way", 5; "one that is not heard by another")]
#[test_case("hears", 5; "one that only hears")]
#[test_case("speaks", 5; "one that is only heard")]
#[test_case("split", 7; "a partition")]
#[test_case("herd", 7; "seven in ten at once")]
#[test_case("roll", 5; "a rolling restart")]
#[test_case("again", 5; "one that is killed again and again")]
fn routers_keep_their_promises(name: &str, routers: usize) {
    let schedule = scenario(name, routers, 3, PERIOD_MS).unwrap();
    let result = play(&schedule).unwrap();
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    assert!(result.history.requests.len() > 10, "no load");
}

#[test]
fn a_fault_that_is_hidden_from_the_checker_breaks_the_promise_that_it_should() {
    for (name, promise) in SEEDED_BUGS {
        let mut schedule = scenario(name, 5, 3, PERIOD_MS).unwrap();
        schedule.load_per_s = 100.0;
        let mut result = play(&schedule).unwrap();
        if promise == ONE_ANSWER {
            // Its clients are judged as though nothing had happened to the router.
            result.history.fault_events.clear();
            result.violations = check(&result.history);
        }
        let is_found = result.violations.iter().any(|violation| violation.promise == promise);
        assert!(is_found, "{name}: {:#?}", result.violations);
    }
}

#[test]
fn a_schedule_is_the_same_after_it_was_printed_and_read() {
    for name in NAMES {
        let schedule = scenario(name, 6, 4, PERIOD_MS).unwrap();
        let text = serde_json::to_string(&schedule).unwrap();
        assert_eq!(Schedule::parse(&text).unwrap(), schedule);
    }
    let error = Schedule::parse(
        r#"{"name":"x","routers":3,"seed":1,"period_ms":100,"load_per_s":1,
        "steps":[{"do":"kill","routers":[3]}]}"#,
    );
    assert_eq!(error.unwrap_err().to_string(), "steps[0]: there is no router 3");
}

//! Fault scenarios with real router processes: invariants hold, and the checker finds seeded bugs.

use fernknot_fault_tests::checker::{ONE_ANSWER, check};
use fernknot_fault_tests::runner::run_schedule;
use fernknot_fault_tests::scenarios::{NAMES, SEEDED_BUGS, scenario};
use fernknot_fault_tests::schedule::Schedule;
use test_case::test_case;

const PERIOD_MS: f64 = 200.0;

#[test_case("crash", 5; "all routers detect a crash and a restart")]
#[test_case("pause", 5; "a short pause fails no router")]
#[test_case("loss", 5; "lost datagrams")]
#[test_case("late", 5; "delayed, duplicated and reordered datagrams")]
#[test_case("pair", 5; "two routers without a link between them")]
#[test_case("one-way", 5; "a link broken in one direction")]
#[test_case("hears", 5; "a router that can only receive")]
#[test_case("speaks", 5; "a router that can only send")]
#[test_case("split", 7; "a partition")]
#[test_case("herd", 7; "simultaneous failure of seven in ten routers")]
#[test_case("roll", 5; "a rolling restart")]
#[test_case("again", 5; "a router that is killed repeatedly")]
fn invariants_hold_in_each_scenario(name: &str, routers: usize) {
    let schedule = scenario(name, routers, 3, PERIOD_MS).unwrap();
    let result = run_schedule(&schedule).unwrap();
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    assert!(result.history.requests.len() > 10, "no load");
}

#[test]
fn checker_finds_seeded_bugs() {
    for (name, invariant) in SEEDED_BUGS {
        let mut schedule = scenario(name, 5, 3, PERIOD_MS).unwrap();
        schedule.load_per_s = 100.0;
        let mut result = run_schedule(&schedule).unwrap();
        if invariant == ONE_ANSWER {
            // Without the recorded faults, no fault excuses the unanswered requests, and they count as violations.
            result.history.fault_events.clear();
            result.violations = check(&result.history);
        }
        let is_found = result.violations.iter().any(|violation| violation.invariant == invariant);
        assert!(is_found, "{name}: {:#?}", result.violations);
    }
}

#[test]
fn schedules_round_trip_through_json() {
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

//! Whole plays from seeds.

use fernknot_simulator::judge::Violation;
use fernknot_simulator::play::{SeededBug, Settings, shrink, simulate, simulate_with_faults};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use test_case::test_case;

/// Plays side by side; what was found, by seed.
fn play_all(plays: Vec<Settings>) -> Vec<(u64, Violation)> {
    let (next, found) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(facts) = plays.get(next.fetch_add(1, Ordering::Relaxed) as usize) {
                    let findings = simulate(facts).violations;
                    let findings = findings.into_iter().map(|finding| (facts.seed, finding));
                    found.lock().expect("no thread panics").extend(findings);
                }
            });
        }
    });
    found.into_inner().expect("no thread panics")
}

#[test_case(3, false, 130)]
#[test_case(5, false, 40)]
#[test_case(1, false, 10)]
#[test_case(2, false, 10)]
#[test_case(9, false, 5)]
#[test_case(3, true, 40; "more lost than the budget")]
fn given_troubles_when_seeds_are_played_then_no_rule_breaks(members: usize, beyond: bool, seeds: u64) {
    let plays =
        (0..seeds).map(|seed| Settings { exceeds_fault_budget: beyond, ..Settings::new(seed, members) });
    assert_eq!(play_all(plays.collect()), Vec::new());
}

#[test]
fn given_one_seed_when_it_is_played_twice_then_the_logs_are_alike() {
    for seed in [3, 17] {
        let facts = Settings { trace: true, ..Settings::new(seed, 3) };
        let (first, second) = (simulate(&facts), simulate(&facts));
        assert!(first.log.len() > 100);
        assert_eq!(first.log, second.log);
        assert_eq!(first.violations, second.violations);
    }
}

#[test]
fn given_a_log_when_it_is_written_then_the_play_is_the_same_as_without_it() {
    let quiet = simulate(&Settings::new(5, 3));
    let told = simulate(&Settings { trace: true, ..Settings::new(5, 3) });
    assert_eq!((quiet.changes, quiet.reads, quiet.violations), (told.changes, told.reads, told.violations));
}

#[test_case(1)]
#[test_case(3)]
#[test_case(5)]
fn given_no_troubles_when_seeds_are_played_then_nothing_is_found(members: usize) {
    for seed in 0..20 {
        let outcome = simulate_with_faults(&Settings::new(seed, members), Vec::new());
        assert_eq!(outcome.violations, Vec::new(), "seed {seed}");
        assert!(outcome.changes > 5 && outcome.reads > 5 && outcome.drains > 2, "{outcome:?}");
    }
}

#[test]
fn given_a_seed_that_breaks_a_rule_when_it_is_shrunk_then_the_rule_still_breaks() {
    let planted = |seed| Settings { seeded_bug: Some(SeededBug::StaleDisk), ..Settings::new(seed, 3) };
    let facts = (0..10).map(planted).find(|facts| !simulate(facts).violations.is_empty());
    let facts = facts.expect("an old folder shows in ten seeds");
    let rule = simulate(&facts).violations[0].rule;
    let (troubles, outcome) = shrink(&facts);
    assert!(troubles.len() < facts.fault_schedule().len());
    assert!(outcome.violations.iter().any(|finding| finding.rule == rule));
}

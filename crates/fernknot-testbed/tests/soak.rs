//! Short soaks of the real programs: series of overlapping faults and changes of the configuration, from a seed.

#[path = "common/programs.rs"]
mod programs;

use fernknot_testbed::soak::{FaultKind, SoakSettings, draw_schedule, run_soak};
use std::time::Duration;
use test_case::test_case;

#[test_case(1)]
#[test_case(2)]
fn given_overlapping_faults_and_changes_when_real_processes_are_soaked_then_no_rule_is_broken(seed: u64) {
    programs::build_missing_programs();
    let settings = SoakSettings { seed, duration: Duration::from_secs(20), ..SoakSettings::default() };
    let report = run_soak(&settings).unwrap();
    println!("{report:?}");
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.changes > 5 && report.served > 100 && report.sightings.1 > 20, "{report:?}");
}

/// The schedule depends on the seed only, has faults that overlap, and leaves one gateway without a fault.
#[test]
fn given_a_seed_when_its_schedule_is_drawn_twice_then_it_is_the_same_and_faults_overlap() {
    let settings = SoakSettings { duration: Duration::from_secs(200), ..SoakSettings::default() };
    let faults = draw_schedule(&settings);
    assert_eq!(faults, draw_schedule(&settings));
    assert_ne!(faults, draw_schedule(&SoakSettings { seed: 2, ..settings }));
    assert!(faults.windows(2).any(|pair| pair[1].begins_at < pair[0].ends_at));
    let kinds =
        [FaultKind::Kill, FaultKind::Terminate, FaultKind::Suspend, FaultKind::Reload, FaultKind::DrainNode];
    for kind in kinds {
        assert!(faults.iter().any(|fault| fault.kind == kind), "{kind:?} is never drawn");
    }
}

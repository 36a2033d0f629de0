//! The register under the faults of a deployment, one by one and in random schedules.

mod common;

use assert_matches::assert_matches;
use common::*;

fn founded(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 3, 3, 1, None);
    assert_matches!(fleet.goes_on(2_000 * MS), Some(_));
    fleet.play(300 * MS);
    assert!(fleet.agree());
    fleet
}

#[test]
fn given_three_empty_disks_when_started_then_one_view_of_all_takes_changes() {
    let mut fleet = founded(1);
    assert_eq!(fleet.members().len(), 3);
    assert_eq!(fleet.views.len(), 1);
    let (words, syncs) = (fleet.words, fleet.syncs);
    let took = fleet.goes_on(100 * MS).unwrap();
    println!("one change: {} ms, {} words and {} syncs", took / MS, fleet.words - words, fleet.syncs - syncs);
    assert_eq!(fleet.broken, None);
}

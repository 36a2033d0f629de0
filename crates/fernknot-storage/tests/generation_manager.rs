//! The generation manager on a simulated disk with faults and power losses at any step.

mod common;

use std::collections::BTreeMap;

use common::{Failure, Random, SimulatedDisk};
use fernknot::interface::Nanos;
use fernknot_storage::{
    Action, CompletedWrite, Generation, GenerationManager, Limits, ListedGeneration, Operation, Outcome,
    StorageError, Values,
};
use proptest::prelude::*;

const KEYS: [&str; 3] = ["epoch", "plan", "vote"];

fn limits() -> Limits {
    let ms = Nanos::from_millis;
    Limits {
        max_live_bytes: 1000,
        max_journal_bytes: 600,
        initial_backoff: ms(20.0),
        max_backoff: ms(1000.0),
    }
}

/// Submitted and acknowledged values of one key.
#[derive(Clone, Default)]
struct History {
    /// Write ids in the order of submission; each value contains its write id.
    submitted: Vec<u64>,
    acknowledged: Option<u64>,
}

fn write_id_of(value: &[u8]) -> u64 {
    u64::from_le_bytes(value[..8].try_into().unwrap())
}

/// Checks that each value read is the last acknowledged one or one that was submitted later.
fn check_stored_values(stored: &Values, histories: &BTreeMap<&str, History>) {
    for (key, history) in histories {
        let read = stored.get(*key).map(|value| write_id_of(value));
        assert!(
            read >= history.acknowledged,
            "{key}: {read:?} was read, {:?} was acknowledged",
            history.acknowledged
        );
        assert!(
            read.is_none_or(|read| history.submitted.contains(&read)),
            "{key}: {read:?} was never submitted"
        );
    }
}

struct Process<'a> {
    manager: GenerationManager,
    now: Nanos,
    disk: &'a mut SimulatedDisk,
    random: &'a mut Random,
    histories: &'a mut BTreeMap<&'static str, History>,
}

impl Process<'_> {
    /// Executes actions until none is left. Returns false if the power is lost.
    fn run_actions(&mut self) -> bool {
        while let Some(action) = self.manager.poll_action(self.now) {
            let result = match self.disk.execute(action, self.random) {
                Err(Failure::PowerLoss) => return false,
                Err(Failure::Operation(error)) => Err(error),
                Ok(outcome) => Ok(outcome),
            };
            self.manager.complete_action(result, self.now);
            self.record_results();
        }
        true
    }

    fn record_results(&mut self) {
        for CompletedWrite { write_id, result } in self.manager.take_completed() {
            if result.is_ok() {
                let history = self.histories.get_mut(KEYS[(write_id % 3) as usize]).unwrap();
                history.acknowledged = history.acknowledged.max(Some(write_id));
            }
        }
        // Also checks a copy of the disk that loses power now, with all unsynced data.
        let mut copy = self.disk.clone();
        copy.lose_power(&mut Random(0), true);
        let (mut manager, mut random) = (GenerationManager::new(limits()), Random(0));
        copy.failure_interval = 0;
        while manager.stored().is_none() {
            let action = manager.poll_action(Nanos(0)).expect("a directory that can be read");
            let result =
                copy.execute(action, &mut random).map_err(|_| StorageError::new(Operation::Read, "lost"));
            manager.complete_action(result, Nanos(0));
        }
        check_stored_values(manager.stored().unwrap(), self.histories);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Over several processes with faults and power losses at any step: every acknowledged value is read back, and no
    /// value that was never submitted.
    #[test]
    fn given_faults_and_power_losses_at_any_step_when_restarted_then_no_acknowledged_value_is_lost(
        seed: u64, failure_interval in prop::sample::select(vec![0u64, 3, 8, 30]), processes in 1usize..5, min_steps in 0u64..80,
    ) {
        let (mut disk, mut random) = (SimulatedDisk::default(), Random(seed));
        let mut histories: BTreeMap<&str, History> = KEYS.iter().map(|key| (*key, History::default())).collect();
        let mut write_id = 0;
        for _ in 0..processes {
            disk.steps_until_power_loss = Some(min_steps + random.below(60));
            disk.failure_interval = failure_interval;
            let manager = GenerationManager::new(limits());
            let (disk, random) = (&mut disk, &mut random);
            let mut process = Process { manager, now: Nanos(0), disk, random, histories: &mut histories };
            for _ in 0..60 {
                for _ in 0..process.random.below(4) {
                    write_id += 1;
                    let key = KEYS[(write_id % 3) as usize];
                    process.histories.get_mut(key).unwrap().submitted.push(write_id);
                    let mut value = write_id.to_le_bytes().to_vec();
                    value.resize(8 + process.random.below(90) as usize, 0);
                    process.manager.submit(write_id, key.into(), value);
                }
                if !process.run_actions() {
                    break;
                }
                process.record_results();
                process.now = process.now + Nanos::from_millis(process.random.below(400) as f64);
            }
            let lose_all_unsynced = process.random.below(2) == 0;
            process.disk.lose_power(process.random, lose_all_unsynced);
        }
        // Once the simulated disk no longer fails, a restart succeeds and accepts writes.
        disk.failure_interval = 0;
        let mut process = Process {
            manager: GenerationManager::new(limits()), now: Nanos(0), disk: &mut disk, random: &mut random, histories: &mut histories,
        };
        prop_assert!(process.run_actions());
        check_stored_values(process.manager.stored().unwrap(), process.histories);
        write_id += 3 - write_id % 3;
        process.histories.get_mut(KEYS[0]).unwrap().submitted.push(write_id);
        process.manager.submit(write_id, KEYS[0].into(), write_id.to_le_bytes().into());
        prop_assert!(process.run_actions());
        prop_assert_eq!(process.histories[KEYS[0]].acknowledged, Some(write_id));
    }
}

/// Returns a manager with a healthy store in a directory that was empty.
fn healthy_manager() -> GenerationManager {
    let mut manager = GenerationManager::new(limits());
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::List));
    manager.complete_action(Ok(Outcome::Listed(vec![])), Nanos(0));
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::Build(Generation(1), Values::new())));
    manager.complete_action(Ok(Outcome::Contents(Values::new())), Nanos(0));
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::Seal(Generation(1))));
    manager.complete_action(Ok(Outcome::Done), Nanos(0));
    assert!(manager.is_healthy());
    manager
}

#[test]
fn given_a_full_disk_when_writes_fail_then_they_are_rejected_until_there_is_space() {
    let mut manager = healthy_manager();
    let disk_full = StorageError::new(Operation::Insert, "no space");
    manager.submit(1, "plan".into(), vec![1]);
    assert!(matches!(manager.poll_action(Nanos(0)), Some(Action::Write(Generation(1), _))));
    manager.submit(2, "plan".into(), vec![2]);
    manager.complete_action(Err(disk_full.clone()), Nanos(0));
    // The failed write, the one queued behind it, and one submitted while no store is trusted.
    manager.submit(3, "plan".into(), vec![3]);
    let completed = manager.take_completed();
    let rejected = |write_id| CompletedWrite { write_id, result: Err(disk_full.clone()) };
    assert_eq!(completed, [1, 2, 3].map(rejected));

    let mut delays = Vec::new();
    let mut now = Nanos(0);
    for generation in 2..12 {
        assert_eq!(manager.poll_action(now), None, "the manager backs off after a failure");
        let wake_at = manager.wake_at().unwrap();
        delays.push((wake_at - now).as_millis());
        now = wake_at;
        assert_eq!(manager.poll_action(now), Some(Action::Build(Generation(generation), Values::new())));
        manager.complete_action(Err(StorageError::new(Operation::Open, "no space")), now);
    }
    assert!(delays.is_sorted() && delays[0] == 20.0 && delays[9] == 1000.0, "{delays:?}");

    now = manager.wake_at().unwrap();
    assert!(matches!(manager.poll_action(now), Some(Action::Build(..))));
    manager.complete_action(Ok(Outcome::Contents(Values::new())), now);
    assert!(matches!(manager.poll_action(now), Some(Action::Seal(_))));
    manager.complete_action(Ok(Outcome::Done), now);
    manager.submit(4, "plan".into(), vec![4]);
    assert!(matches!(manager.poll_action(now), Some(Action::Write(Generation(12), _))));
    manager.complete_action(Ok(Outcome::Done), now);
    assert_eq!(manager.take_completed(), [CompletedWrite { write_id: 4, result: Ok(()) }]);
}

#[test]
fn given_a_hanging_disk_when_writes_are_submitted_then_the_next_sync_covers_them_all() {
    let mut manager = healthy_manager();
    manager.submit(1, "plan".into(), vec![1]);
    assert!(matches!(manager.poll_action(Nanos(0)), Some(Action::Write(..))));
    for write_id in 2..6 {
        manager.submit(write_id, "plan".into(), vec![write_id as u8]);
    }
    assert_eq!(
        manager.poll_action(Nanos(u64::MAX / 2)),
        None,
        "only one action is in flight, however long it takes"
    );
    manager.complete_action(Ok(Outcome::Done), Nanos(u64::MAX / 2));
    let newest = Values::from([("plan".to_string(), [5u8][..].into())]);
    assert_eq!(manager.poll_action(Nanos(u64::MAX / 2)), Some(Action::Write(Generation(1), newest)));
    manager.complete_action(Ok(Outcome::Done), Nanos(u64::MAX / 2));
    assert_eq!(manager.take_completed().len(), 5);
}

#[test]
fn given_a_new_store_that_returns_other_values_than_were_written_when_built_then_it_is_not_trusted() {
    let mut manager = GenerationManager::new(limits());
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::List));
    let listed = |number, sealed| ListedGeneration { generation: Generation(number), sealed };
    manager.complete_action(Ok(Outcome::Listed(vec![listed(3, true), listed(9, false)])), Nanos(0));
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::Read(Generation(3))));
    let values = Values::from([("plan".to_string(), [7u8][..].into())]);
    manager.complete_action(Ok(Outcome::Contents(values.clone())), Nanos(0));
    assert_eq!(manager.poll_action(Nanos(0)), Some(Action::Build(Generation(10), values)));
    manager.complete_action(Ok(Outcome::Contents(Values::new())), Nanos(0));
    assert!(!manager.is_healthy());
    assert_eq!(manager.poll_action(Nanos(0)), None);
}

#[test]
fn given_writes_over_the_limits_when_submitted_then_only_they_are_rejected() {
    let mut manager = healthy_manager();
    manager.submit(1, "plan".into(), vec![0; 2000]);
    manager.submit(2, String::new(), vec![0]);
    manager.submit(3, "k".repeat(1000), vec![0]);
    manager.submit(4, "plan".into(), vec![0; 100]);
    assert!(matches!(manager.poll_action(Nanos(0)), Some(Action::Write(..))));
    manager.complete_action(Ok(Outcome::Done), Nanos(0));
    let completed = manager.take_completed().into_iter();
    let results: Vec<_> = completed.map(|write| (write.write_id, write.result.is_ok())).collect();
    assert_eq!(results, [(1, false), (2, false), (3, false), (4, true)]);
}

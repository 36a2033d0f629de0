mod common;

use std::collections::BTreeMap;

use common::{Chance, StandIn, Stop};
use fernknot::interface::Nanos;
use fernknot_storage::keeper::{Action, Generation, GenerationManager, Limits, Outcome, Values};
use fernknot_storage::{Operation, StorageError};
use proptest::prelude::*;

const KEYS: [&str; 3] = ["epoch", "plan", "vote"];

fn measures() -> Limits {
    let ms = Nanos::from_millis;
    Limits {
        max_live_bytes: 1000,
        max_journal_bytes: 600,
        initial_backoff: ms(20.0),
        max_backoff: ms(1000.0),
    }
}

/// What was handed over and what was reported, for one key.
#[derive(Clone, Default)]
struct Told {
    /// In the order of handing over; a value is its number.
    handed: Vec<u64>,
    stored: Option<u64>,
}

fn number(value: &[u8]) -> u64 {
    u64::from_le_bytes(value[..8].try_into().unwrap())
}

/// What is read is the value last reported as stored or one that was handed over later.
fn check(kept: &Values, told: &BTreeMap<&str, Told>) {
    for (key, told) in told {
        let read = kept.get(*key).map(|value| number(value));
        assert!(read >= told.stored, "{key}: {read:?} was read, {:?} was stored", told.stored);
        assert!(read.is_none_or(|read| told.handed.contains(&read)), "{key}: {read:?} was never handed over");
    }
}

struct Life<'a> {
    keeper: GenerationManager,
    now: Nanos,
    disk: &'a mut StandIn,
    chance: &'a mut Chance,
    told: &'a mut BTreeMap<&'static str, Told>,
}

impl Life<'_> {
    /// Carries orders out until none is left; false when the power is lost.
    fn settle(&mut self) -> bool {
        while let Some(order) = self.keeper.poll_action(self.now) {
            let end = match self.disk.carry_out(order, self.chance) {
                Err(Stop::Crash) => return false,
                Err(Stop::Fails(error)) => Err(error),
                Ok(outcome) => Ok(outcome),
            };
            self.keeper.complete_action(end, self.now);
            self.hear();
        }
        true
    }

    fn hear(&mut self) {
        for (ticket, end) in self.keeper.take_completed() {
            if end.is_ok() {
                let told = self.told.get_mut(KEYS[(ticket % 3) as usize]).unwrap();
                told.stored = told.stored.max(Some(ticket));
            }
        }
        // The power could be lost at this very moment, and take all that was not synced.
        let mut copy = self.disk.clone();
        copy.lose_power(&mut Chance(0), true);
        let (mut keeper, mut chance) = (GenerationManager::new(measures()), Chance(0));
        copy.fails = 0;
        while keeper.stored().is_none() {
            let order = keeper.poll_action(Nanos(0)).expect("a folder that can be read");
            let end =
                copy.carry_out(order, &mut chance).map_err(|_| StorageError::new(Operation::Read, "lost"));
            keeper.complete_action(end, Nanos(0));
        }
        check(keeper.stored().unwrap(), self.told);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Given any faults and the power lost at any step of any order, over several lives: what was
    /// reported as stored is there, and nothing that was never handed over.
    #[test]
    fn given_faults_and_power_lost_at_any_step_then_nothing_stored_is_lost(
        seed: u64, fails in prop::sample::select(vec![0u64, 3, 8, 30]), lives in 1usize..5, power in 0u64..80,
    ) {
        let (mut disk, mut chance) = (StandIn::default(), Chance(seed));
        let mut told: BTreeMap<&str, Told> = KEYS.iter().map(|key| (*key, Told::default())).collect();
        let mut ticket = 0;
        for _ in 0..lives {
            disk.power = Some(power + chance.below(60));
            disk.fails = fails;
            let keeper = GenerationManager::new(measures());
            let (disk, chance) = (&mut disk, &mut chance);
            let mut life = Life { keeper, now: Nanos(0), disk, chance, told: &mut told };
            for _ in 0..60 {
                for _ in 0..life.chance.below(4) {
                    ticket += 1;
                    let key = KEYS[(ticket % 3) as usize];
                    life.told.get_mut(key).unwrap().handed.push(ticket);
                    let mut value = ticket.to_le_bytes().to_vec();
                    value.resize(8 + life.chance.below(90) as usize, 0);
                    life.keeper.submit(ticket, key.into(), value);
                }
                if !life.settle() {
                    break;
                }
                life.hear();
                life.now = life.now + Nanos::from_millis(life.chance.below(400) as f64);
            }
            let worst = life.chance.below(2) == 0;
            life.disk.lose_power(life.chance, worst);
        }
        // With the disk well again a start gets through and takes writes.
        disk.fails = 0;
        let mut life = Life {
            keeper: GenerationManager::new(measures()), now: Nanos(0), disk: &mut disk, chance: &mut chance, told: &mut told,
        };
        prop_assert!(life.settle());
        check(life.keeper.stored().unwrap(), life.told);
        ticket += 3 - ticket % 3;
        life.told.get_mut(KEYS[0]).unwrap().handed.push(ticket);
        life.keeper.submit(ticket, KEYS[0].into(), ticket.to_le_bytes().into());
        prop_assert!(life.settle());
        prop_assert_eq!(life.told[KEYS[0]].stored, Some(ticket));
    }
}

/// A keeper that was given an empty folder and has a sound store.
fn sound() -> GenerationManager {
    let mut keeper = GenerationManager::new(measures());
    assert_eq!(keeper.poll_action(Nanos(0)), Some(Action::List));
    keeper.complete_action(Ok(Outcome::Listed(vec![])), Nanos(0));
    assert_eq!(keeper.poll_action(Nanos(0)), Some(Action::Build(Generation(1), Values::new())));
    keeper.complete_action(Ok(Outcome::Contents(Values::new())), Nanos(0));
    assert_eq!(keeper.poll_action(Nanos(0)), Some(Action::Seal(Generation(1))));
    keeper.complete_action(Ok(Outcome::Done), Nanos(0));
    assert!(keeper.is_healthy());
    keeper
}

#[test]
fn given_a_full_disk_when_writes_fail_then_they_are_refused_until_there_is_room() {
    let mut keeper = sound();
    let full = StorageError::new(Operation::Insert, "no room");
    keeper.submit(1, "plan".into(), vec![1]);
    assert!(matches!(keeper.poll_action(Nanos(0)), Some(Action::Write(Generation(1), _))));
    keeper.submit(2, "plan".into(), vec![2]);
    keeper.complete_action(Err(full.clone()), Nanos(0));
    // The one that failed, the one behind it, and one that comes while nothing is trusted.
    keeper.submit(3, "plan".into(), vec![3]);
    let told = keeper.take_completed();
    assert_eq!(told, [1, 2, 3].map(|ticket| (ticket, Err(full.clone()))));

    let mut pauses = Vec::new();
    let mut now = Nanos(0);
    for at in 2..12 {
        assert_eq!(keeper.poll_action(now), None, "it rests after a failure");
        let woken = keeper.wake_at().unwrap();
        pauses.push((woken - now).as_millis());
        now = woken;
        assert_eq!(keeper.poll_action(now), Some(Action::Build(Generation(at), Values::new())));
        keeper.complete_action(Err(StorageError::new(Operation::Open, "no room")), now);
    }
    assert!(pauses.is_sorted() && pauses[0] == 20.0 && pauses[9] == 1000.0, "{pauses:?}");

    now = keeper.wake_at().unwrap();
    assert!(matches!(keeper.poll_action(now), Some(Action::Build(..))));
    keeper.complete_action(Ok(Outcome::Contents(Values::new())), now);
    assert!(matches!(keeper.poll_action(now), Some(Action::Seal(_))));
    keeper.complete_action(Ok(Outcome::Done), now);
    keeper.submit(4, "plan".into(), vec![4]);
    assert!(matches!(keeper.poll_action(now), Some(Action::Write(Generation(12), _))));
    keeper.complete_action(Ok(Outcome::Done), now);
    assert_eq!(keeper.take_completed(), [(4, Ok(()))]);
}

#[test]
fn given_a_disk_that_hangs_when_more_is_handed_over_then_it_waits_for_one_sync() {
    let mut keeper = sound();
    keeper.submit(1, "plan".into(), vec![1]);
    assert!(matches!(keeper.poll_action(Nanos(0)), Some(Action::Write(..))));
    for ticket in 2..6 {
        keeper.submit(ticket, "plan".into(), vec![ticket as u8]);
    }
    assert_eq!(keeper.poll_action(Nanos(u64::MAX / 2)), None, "one order at a time, however long it takes");
    keeper.complete_action(Ok(Outcome::Done), Nanos(u64::MAX / 2));
    let newest = vec![("plan".to_string(), [5u8][..].into())];
    assert_eq!(keeper.poll_action(Nanos(u64::MAX / 2)), Some(Action::Write(Generation(1), newest)));
    keeper.complete_action(Ok(Outcome::Done), Nanos(u64::MAX / 2));
    assert_eq!(keeper.take_completed().len(), 5);
}

#[test]
fn given_a_store_that_holds_something_else_than_it_was_given_then_it_is_not_trusted() {
    let mut keeper = GenerationManager::new(measures());
    keeper.poll_action(Nanos(0));
    keeper
        .complete_action(Ok(Outcome::Listed(vec![(Generation(3), true), (Generation(9), false)])), Nanos(0));
    assert_eq!(keeper.poll_action(Nanos(0)), Some(Action::Read(Generation(3))));
    let values = Values::from([("plan".to_string(), [7u8][..].into())]);
    keeper.complete_action(Ok(Outcome::Contents(values.clone())), Nanos(0));
    assert_eq!(keeper.poll_action(Nanos(0)), Some(Action::Build(Generation(10), values)));
    keeper.complete_action(Ok(Outcome::Contents(Values::new())), Nanos(0));
    assert!(!keeper.is_healthy());
    assert_eq!(keeper.poll_action(Nanos(0)), None);
}

#[test]
fn given_what_would_not_fit_when_handed_over_then_only_that_is_refused() {
    let mut keeper = sound();
    keeper.submit(1, "plan".into(), vec![0; 2000]);
    keeper.submit(2, String::new(), vec![0]);
    keeper.submit(3, "k".repeat(1000), vec![0]);
    keeper.submit(4, "plan".into(), vec![0; 100]);
    assert!(matches!(keeper.poll_action(Nanos(0)), Some(Action::Write(..))));
    keeper.complete_action(Ok(Outcome::Done), Nanos(0));
    let told: Vec<_> =
        keeper.take_completed().into_iter().map(|(ticket, end)| (ticket, end.is_ok())).collect();
    assert_eq!(told, [(1, false), (2, false), (3, false), (4, true)]);
}

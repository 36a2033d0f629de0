//! Hosts of a generation manager without thread or clock, and a simulated disk that loses unsynced data.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

use fernknot::interface::Nanos;
use fernknot_storage::{
    Action, Generation, GenerationManager, Limits, ListedGeneration, Operation, Outcome, StorageError,
    StoreDirectory, Values,
};

pub const SMALL_DISK_BYTES: u64 = 64 << 20;

/// Host on real files that executes each action as soon as it is polled.
pub struct FileHost {
    pub manager: GenerationManager,
    pub directory: StoreDirectory,
    pub now: Nanos,
}

impl FileHost {
    pub fn start(dir: &Path) -> FileHost {
        let manager = GenerationManager::new(Limits::of_disk(SMALL_DISK_BYTES));
        let mut host = FileHost { manager, directory: StoreDirectory::new(dir.into()), now: Nanos(0) };
        host.run_actions();
        host
    }

    pub fn run_actions(&mut self) {
        while let Some(action) = self.manager.poll_action(self.now) {
            let result = self.directory.execute(action);
            self.manager.complete_action(result, self.now);
        }
    }

    pub fn store(&mut self, key: &str, value: &[u8]) -> Result<(), StorageError> {
        self.manager.submit(0, key.into(), value.into());
        self.run_actions();
        let mut completed = self.manager.take_completed();
        assert_eq!(completed.len(), 1);
        completed.remove(0).result
    }

    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.manager.stored()?.get(key).map(|value| &**value)
    }
}

pub fn copy_directory(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy_directory(&entry.path(), &to),
            false => drop(std::fs::copy(entry.path(), to).unwrap()),
        }
    }
}

/// Returns the files below a directory whose paths have the given ending.
pub fn files(dir: &Path, ending: &str) -> Vec<std::path::PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            found.push(path);
        }
    }
    found
}

/// Random numbers (splitmix64) from a seed, so that a case can be repeated.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

/// Durability of simulated data across a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Durability {
    Durable,
    /// Durable after the next successful sync.
    NextSync,
    /// Not made durable by any later sync, because a sync of it failed; reads still return it.
    Never,
}

#[derive(Clone, Debug)]
struct Entry {
    key: String,
    value: Arc<[u8]>,
    durability: Durability,
}

#[derive(Clone, Debug)]
struct Store {
    entries: Vec<Entry>,
    /// Durability of the store's entry in the directory.
    directory_entry: Durability,
    seal: Option<Durability>,
    /// Whether it was removed without a sync of the directory since, so that a power loss may bring back any part of
    /// it.
    removed: bool,
}

/// Reason for which a step does not complete.
pub enum Failure {
    PowerLoss,
    Operation(StorageError),
}

/// Simulated disk whose actions consist of small steps; each step may fail, and power may be lost after each.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    stores: BTreeMap<u64, Store>,
    /// Number of steps until the power is lost.
    pub steps_until_power_loss: Option<u64>,
    /// Average number of steps per failed step; 0 for no failures.
    pub failure_interval: u64,
    /// Stores in which a write failed, or that existed when a seal failed.
    pub failed_stores: BTreeSet<u64>,
}

impl SimulatedDisk {
    fn take_step(&mut self, random: &mut Random, operation: Operation) -> Result<(), Failure> {
        if let Some(steps) = &mut self.steps_until_power_loss {
            if *steps == 0 {
                return Err(Failure::PowerLoss);
            }
            *steps -= 1;
        }
        match self.failure_interval > 0 && random.below(self.failure_interval) == 0 {
            true => Err(Failure::Operation(StorageError::new(operation, "rejected"))),
            false => Ok(()),
        }
    }

    fn store(&mut self, generation: u64) -> &mut Store {
        self.stores.get_mut(&generation).expect("built before")
    }

    fn contents(&self, generation: u64) -> Result<Values, StorageError> {
        let store = self.stores.get(&generation).filter(|store| !store.removed);
        let store = store.ok_or_else(|| StorageError::new(Operation::Open, "is not there"))?;
        Ok(store.entries.iter().map(|entry| (entry.key.clone(), entry.value.clone())).collect())
    }

    fn add(&mut self, generation: u64, values: Values, random: &mut Random) -> Result<(), Failure> {
        for (key, value) in values {
            // With a step before and after the insertion, a failed write may or may not have stored its bytes.
            self.take_step(random, Operation::Insert)?;
            self.store(generation).entries.push(Entry { key, value, durability: Durability::NextSync });
            self.take_step(random, Operation::Insert)?;
        }
        let result = self.take_step(random, Operation::Sync);
        for Entry { durability, .. } in &mut self.store(generation).entries {
            match (&result, *durability) {
                (Ok(()), Durability::NextSync) => *durability = Durability::Durable,
                (Err(Failure::Operation(_)), Durability::NextSync) => *durability = Durability::Never,
                _ => {}
            }
        }
        result
    }

    pub fn execute(&mut self, action: Action, random: &mut Random) -> Result<Outcome, Failure> {
        match action {
            Action::List => {
                self.take_step(random, Operation::Open)?;
                let listed = |(generation, store): (&u64, &Store)| ListedGeneration {
                    generation: Generation(*generation),
                    sealed: store.seal.is_some(),
                };
                Ok(Outcome::Listed(self.stores.iter().map(listed).collect()))
            }
            Action::Read(Generation(generation)) => {
                self.take_step(random, Operation::Read)?;
                self.contents(generation).map(Outcome::Contents).map_err(Failure::Operation)
            }
            Action::Build(Generation(generation), values) => {
                assert!(!self.stores.contains_key(&generation), "no generation number is used twice");
                self.take_step(random, Operation::Open)?;
                let store = Store {
                    entries: vec![],
                    directory_entry: Durability::NextSync,
                    seal: None,
                    removed: false,
                };
                self.stores.insert(generation, store);
                self.add(generation, values, random)?;
                self.contents(generation).map(Outcome::Contents).map_err(Failure::Operation)
            }
            Action::Seal(Generation(generation)) => {
                let result = self.seal(generation, random);
                if result.is_err() {
                    self.failed_stores.extend(self.stores.keys());
                }
                result.map(|()| Outcome::Done)
            }
            Action::Write(Generation(generation), values) => {
                assert!(
                    !self.failed_stores.contains(&generation),
                    "a store in which a write failed is written to again"
                );
                let result = self.add(generation, values, random);
                if result.is_err() {
                    self.failed_stores.insert(generation);
                }
                result.map(|()| Outcome::Done)
            }
            Action::Remove(Generation(generation)) => {
                self.take_step(random, Operation::Remove)?;
                self.stores.get_mut(&generation).into_iter().for_each(|store| store.removed = true);
                self.take_step(random, Operation::Remove)?;
                self.stores.remove(&generation);
                Ok(Outcome::Done)
            }
        }
    }

    fn seal(&mut self, generation: u64, random: &mut Random) -> Result<(), Failure> {
        self.take_step(random, Operation::Seal)?;
        self.store(generation).directory_entry = Durability::Durable;
        self.take_step(random, Operation::Seal)?;
        self.store(generation).seal = Some(Durability::NextSync);
        let result = self.take_step(random, Operation::Seal);
        let seal = match &result {
            Ok(()) => Durability::Durable,
            Err(Failure::PowerLoss) => Durability::NextSync,
            Err(Failure::Operation(_)) => Durability::Never,
        };
        self.store(generation).seal = Some(seal);
        result
    }

    /// Simulates a power loss: data that is not durable survives at random, or not at all with `lose_all_unsynced`.
    pub fn lose_power(&mut self, random: &mut Random, lose_all_unsynced: bool) {
        let mut survives = |durability: Durability| {
            durability == Durability::Durable || (!lose_all_unsynced && random.below(2) == 0)
        };
        self.stores.retain(|_, store| survives(store.directory_entry));
        for store in self.stores.values_mut() {
            // A journal ends at its first hole, even if later entries were synced.
            let complete = store.entries.iter().take_while(|entry| survives(entry.durability)).count();
            store.entries.truncate(complete);
            store.entries.iter_mut().for_each(|entry| entry.durability = Durability::Durable);
            store.seal = store.seal.filter(|durability| survives(*durability)).map(|_| Durability::Durable);
            if store.removed {
                // The seal may survive without the sealed entries.
                store.entries.clear();
            }
        }
        self.steps_until_power_loss = None;
        self.failed_stores.clear();
    }
}

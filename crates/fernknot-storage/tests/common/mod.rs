//! Hosts of a keeper that need no thread and no clock, and a disk that loses what was not synced.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

use fernknot::interface::Nanos;
use fernknot_storage::folder::StoreDirectory;
use fernknot_storage::keeper::{Action, Generation, GenerationManager, Limits, Outcome, Values};
use fernknot_storage::{Operation, StorageError};

pub const SMALL_DISK: u64 = 64 << 20;

/// Real files, each order carried out as soon as it is given.
pub struct OnFiles {
    pub keeper: GenerationManager,
    pub folder: StoreDirectory,
    pub now: Nanos,
}

impl OnFiles {
    pub fn start(dir: &Path) -> OnFiles {
        let keeper = GenerationManager::new(Limits::of_disk(SMALL_DISK));
        let mut host = OnFiles { keeper, folder: StoreDirectory::new(dir.into()), now: Nanos(0) };
        host.settle();
        host
    }

    pub fn settle(&mut self) {
        while let Some(order) = self.keeper.poll_action(self.now) {
            let end = self.folder.execute(order);
            self.keeper.complete_action(end, self.now);
        }
    }

    pub fn store(&mut self, key: &str, value: &[u8]) -> Result<(), StorageError> {
        self.keeper.submit(0, key.into(), value.into());
        self.settle();
        let mut reports = self.keeper.take_completed();
        assert_eq!(reports.len(), 1);
        reports.remove(0).1
    }

    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.keeper.stored()?.get(key).map(|value| &**value)
    }
}

pub fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &to),
            false => drop(std::fs::copy(entry.path(), to).unwrap()),
        }
    }
}

/// Files below a folder with the given ending.
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

/// Chance from a seed (splitmix64), so that a case can be played again.
pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

/// How sure it is that something outlives a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Safe {
    Yes,
    /// The next sync makes it so.
    NotYet,
    /// A sync failed over it: it is still read, and no later sync reaches it.
    Never,
}

#[derive(Clone, Debug)]
struct Store {
    batches: Vec<(String, Arc<[u8]>, Safe)>,
    name: Safe,
    seal: Option<Safe>,
    /// Removed, but the folder was not synced since: any part of it may be back.
    leaving: bool,
}

/// What stops a step.
pub enum Stop {
    Crash,
    Fails(StorageError),
}

/// A disk made of small steps, each of which may fail or be the last before a loss of power.
#[derive(Clone, Debug, Default)]
pub struct StandIn {
    stores: BTreeMap<u64, Store>,
    /// Steps until the power is lost.
    pub power: Option<u64>,
    /// One step in so many fails; 0 for none.
    pub fails: u64,
    /// Stores that a write failed in, or that a seal failed over.
    pub spoilt: BTreeSet<u64>,
}

impl StandIn {
    fn step(&mut self, chance: &mut Chance, step: Operation) -> Result<(), Stop> {
        if let Some(power) = &mut self.power {
            if *power == 0 {
                return Err(Stop::Crash);
            }
            *power -= 1;
        }
        match self.fails > 0 && chance.below(self.fails) == 0 {
            true => Err(Stop::Fails(StorageError::new(step, "refused"))),
            false => Ok(()),
        }
    }

    fn held(&self, generation: u64) -> Result<Values, StorageError> {
        let store = self.stores.get(&generation).filter(|store| !store.leaving);
        let store = store.ok_or_else(|| StorageError::new(Operation::Open, "is not there"))?;
        Ok(store.batches.iter().map(|(key, value, _)| (key.clone(), value.clone())).collect())
    }

    fn add(&mut self, at: u64, items: Vec<(String, Arc<[u8]>)>, chance: &mut Chance) -> Result<(), Stop> {
        for (key, value) in items {
            // The step comes before and after the write: it may fail with the bytes there or not.
            self.step(chance, Operation::Insert)?;
            let batches = &mut self.stores.get_mut(&at).expect("built before").batches;
            batches.push((key, value, Safe::NotYet));
            self.step(chance, Operation::Insert)?;
        }
        let end = self.step(chance, Operation::Sync);
        for (.., safe) in &mut self.stores.get_mut(&at).expect("built before").batches {
            match (&end, *safe) {
                (Ok(()), Safe::NotYet) => *safe = Safe::Yes,
                (Err(Stop::Fails(_)), Safe::NotYet) => *safe = Safe::Never,
                _ => {}
            }
        }
        end
    }

    pub fn carry_out(&mut self, order: Action, chance: &mut Chance) -> Result<Outcome, Stop> {
        match order {
            Action::List => {
                self.step(chance, Operation::Open)?;
                let seen = |(at, store): (&u64, &Store)| (Generation(*at), store.seal.is_some());
                Ok(Outcome::Listed(self.stores.iter().map(seen).collect()))
            }
            Action::Read(Generation(at)) => {
                self.step(chance, Operation::Read)?;
                self.held(at).map(Outcome::Contents).map_err(Stop::Fails)
            }
            Action::Build(Generation(at), values) => {
                assert!(!self.stores.contains_key(&at), "no number is given twice");
                self.step(chance, Operation::Open)?;
                let store = Store { batches: vec![], name: Safe::NotYet, seal: None, leaving: false };
                self.stores.insert(at, store);
                self.add(at, values.into_iter().collect(), chance)?;
                self.held(at).map(Outcome::Contents).map_err(Stop::Fails)
            }
            Action::Seal(Generation(at)) => {
                let end = self.seal(at, chance);
                if end.is_err() {
                    self.spoilt.extend(self.stores.keys());
                }
                end.map(|()| Outcome::Done)
            }
            Action::Write(Generation(at), items) => {
                assert!(!self.spoilt.contains(&at), "a store in which a write failed is written to again");
                let end = self.add(at, items, chance);
                if end.is_err() {
                    self.spoilt.insert(at);
                }
                end.map(|()| Outcome::Done)
            }
            Action::Remove(Generation(at)) => {
                self.step(chance, Operation::Remove)?;
                self.stores.get_mut(&at).into_iter().for_each(|store| store.leaving = true);
                self.step(chance, Operation::Remove)?;
                self.stores.remove(&at);
                Ok(Outcome::Done)
            }
        }
    }

    fn seal(&mut self, at: u64, chance: &mut Chance) -> Result<(), Stop> {
        self.step(chance, Operation::Seal)?;
        self.stores.get_mut(&at).expect("built before").name = Safe::Yes;
        self.step(chance, Operation::Seal)?;
        self.stores.get_mut(&at).expect("built before").seal = Some(Safe::NotYet);
        let end = self.step(chance, Operation::Seal);
        let seal = match &end {
            Ok(()) => Safe::Yes,
            Err(Stop::Crash) => Safe::NotYet,
            Err(Stop::Fails(_)) => Safe::Never,
        };
        self.stores.get_mut(&at).expect("built before").seal = Some(seal);
        end
    }

    /// The power is lost: what was not safe is there, or not, by chance; `worst` leaves none of it.
    pub fn lose_power(&mut self, chance: &mut Chance, worst: bool) {
        let mut stays = |safe: Safe| safe == Safe::Yes || (!worst && chance.below(2) == 0);
        self.stores.retain(|_, store| stays(store.name));
        for store in self.stores.values_mut() {
            // A journal ends at its first hole, whatever was synced behind it.
            let whole = store.batches.iter().take_while(|(.., safe)| stays(*safe)).count();
            store.batches.truncate(whole);
            store.batches.iter_mut().for_each(|(.., safe)| *safe = Safe::Yes);
            store.seal = store.seal.filter(|safe| stays(*safe)).map(|_| Safe::Yes);
            if store.leaving {
                // Its seal may be back without what it sealed.
                store.batches.clear();
            }
        }
        self.power = None;
        self.spoilt.clear();
    }
}

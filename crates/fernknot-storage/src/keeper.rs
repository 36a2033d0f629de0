//! The decisions about a folder, without I/O: the host pulls orders with [`Keeper::next`], carries
//! them out one at a time and says how each ended.
//!
//! What lies in the folder are generations, each a store of its own with one journal. Only a store
//! that this process built, synced, closed, opened and read back is written to. After any failed
//! write its handle is never used again, because a failed sync may have dropped what a later read
//! still shows: the next generation is built from what is known to be stored, and until it is
//! sealed writes are refused. A journal that has grown ends the same way, which keeps the folder
//! small.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::error::{Operation, StorageError};

/// Newest value by key.
pub type Values = BTreeMap<String, Arc<[u8]>>;

/// One store in the folder. A higher one replaces the lower ones once it is sealed; no number is
/// given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// What the host is asked to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say which generations there are, and which of them are sealed.
    List,
    /// Say what a sealed generation holds, without keeping it open.
    Read(Generation),
    /// Make a new store of these values, sync it, close it, open it and say what it holds.
    Build(Generation, Values),
    /// Mark the store just built as sealed and sync the names. It is the open one from here on.
    Seal(Generation),
    /// Add to the open store and sync it.
    Write(Generation, Vec<(String, Arc<[u8]>)>),
    /// Delete a generation that no longer counts.
    Remove(Generation),
}

/// How an order ended when it ended well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Each generation, and whether it is sealed.
    Listed(Vec<(Generation, bool)>),
    Held(Values),
    Done,
}

/// How much may be kept, and how long to rest after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys and values together that may be kept at once.
    pub live_bytes: u64,
    /// A journal that is larger ends its generation.
    pub journal_bytes: u64,
    /// The first rest after a failure; each further one is twice as long, up to `longest_pause`.
    pub first_pause: Nanos,
    pub longest_pause: Nanos,
}

impl Limits {
    /// By the bytes that the disk gives.
    pub fn of_disk(disk_bytes: u64) -> Limits {
        // A store sets 64 MB aside for its journal while it is being built, so what lies beside it
        // has half of a small disk: a journal at its bound, and as much again of values.
        let journal_bytes = (disk_bytes / 16).clamp(4 * MIB, LARGEST_JOURNAL / 2);
        Limits {
            live_bytes: journal_bytes / 2,
            journal_bytes,
            first_pause: Nanos::from_millis(20.0),
            longest_pause: Nanos::from_millis(1000.0),
        }
    }
}

const MIB: u64 = 1 << 20;
/// At 64,000,000 bytes the store would begin a second journal by itself; this stays below.
const LARGEST_JOURNAL: u64 = 48 * MIB;
/// The largest key. The journal has two bytes for a key's length.
pub const KEY_BYTES: usize = 256;
/// How many bytes of values go into one sync.
const GROUP_SHARE: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is known of the folder.
    Unlisted,
    /// This generation counts and has not been read.
    Unread(Generation),
    /// What is stored is known, but no open store is trusted.
    Shut,
    /// Open and trusted.
    Sound(Generation),
}

#[derive(Clone, Debug)]
enum InFlight {
    List,
    Read(Generation),
    Build(Generation),
    Seal(Generation),
    Write(Vec<PendingWrite>, u64),
    Remove(Generation),
}

#[derive(Clone, Debug)]
struct PendingWrite {
    ticket: u64,
    key: String,
    value: Arc<[u8]>,
}

/// See the head of this module.
#[derive(Debug)]
pub struct GenerationManager {
    measures: Limits,
    phase: Phase,
    in_hand: Option<InFlight>,
    /// Built and read back, not sealed.
    built: Option<Generation>,
    /// The highest number that was ever seen or given.
    highest: u64,
    /// To be removed once something newer is sealed.
    stale: BTreeSet<Generation>,
    /// What is known to be stored, once the folder was read.
    kept: Option<Values>,
    /// Bytes in the journal of the open store.
    journal: u64,
    queue: VecDeque<PendingWrite>,
    reports: Vec<(u64, Result<(), StorageError>)>,
    /// Why writes are refused.
    trouble: Option<StorageError>,
    pause: Nanos,
    /// No order but writes to a sound store before this.
    rest_until: Nanos,
}

impl GenerationManager {
    pub fn new(measures: Limits) -> GenerationManager {
        GenerationManager {
            measures,
            phase: Phase::Unlisted,
            in_hand: None,
            built: None,
            highest: 0,
            stale: BTreeSet::new(),
            kept: None,
            journal: 0,
            queue: VecDeque::new(),
            reports: Vec::new(),
            trouble: None,
            pause: measures.first_pause,
            rest_until: Nanos(0),
        }
    }

    /// Takes a value to be stored. Its end comes with [`Keeper::reports`]; while writes are refused
    /// that is at once. The host bounds how many wait.
    pub fn submit(&mut self, ticket: u64, key: String, value: Vec<u8>) {
        if let Some(trouble) = &self.trouble {
            self.reports.push((ticket, Err(trouble.clone())));
            return;
        }
        self.queue.push_back(PendingWrite { ticket, key, value: value.into() });
    }

    /// Whether there is an open store that is trusted.
    pub fn sound(&self) -> bool {
        matches!(self.phase, Phase::Sound(_))
    }

    /// What is known to be stored; nothing before the folder was read.
    pub fn kept(&self) -> Option<&Values> {
        self.kept.as_ref()
    }

    /// Why writes are refused at this moment.
    pub fn trouble(&self) -> Option<&StorageError> {
        self.trouble.as_ref()
    }

    /// What has ended since the last call. `Ok` means that the value, or a newer one that was handed
    /// over under the same key, is stored.
    pub fn reports(&mut self) -> Vec<(u64, Result<(), StorageError>)> {
        std::mem::take(&mut self.reports)
    }

    /// When to ask for an order again if there is none now.
    pub fn wake_at(&self) -> Option<Nanos> {
        let wants = !self.sound() || self.grown() || !self.stale.is_empty();
        (self.in_hand.is_none() && wants).then_some(self.rest_until)
    }

    /// The next order, one at a time.
    pub fn next(&mut self, now: Nanos) -> Option<Action> {
        if self.in_hand.is_some() {
            return None;
        }
        let rested = now >= self.rest_until;
        // Nothing comes between the building of a store and its seal: it must hold all there is.
        if let Some(built) = self.built.take() {
            return self.hand_out(InFlight::Seal(built), Action::Seal(built));
        }
        match self.phase {
            Phase::Unlisted if rested => self.hand_out(InFlight::List, Action::List),
            Phase::Unread(generation) if rested => {
                self.hand_out(InFlight::Read(generation), Action::Read(generation))
            }
            Phase::Shut if rested => self.build(),
            Phase::Sound(_) if rested && self.grown() => self.build(),
            Phase::Sound(generation) => {
                if let Some(order) = self.write(generation) {
                    return Some(order);
                }
                let stale = self.stale.first().copied().filter(|_| rested)?;
                self.hand_out(InFlight::Remove(stale), Action::Remove(stale))
            }
            _ => None,
        }
    }

    /// Takes in how the order in hand ended. An outcome of another kind than the order's counts as
    /// a failure.
    pub fn ended(&mut self, end: Result<Outcome, StorageError>, now: Nanos) {
        let Some(in_hand) = self.in_hand.take() else { return };
        match (in_hand, end) {
            (InFlight::List, Ok(Outcome::Listed(generations))) => self.listed(&generations),
            (InFlight::Read(generation), Ok(Outcome::Held(values))) => {
                self.kept = Some(values);
                self.stale.insert(generation);
                self.phase = Phase::Shut;
            }
            (InFlight::Build(generation), Ok(Outcome::Held(values))) => {
                if self.kept.as_ref() == Some(&values) {
                    self.built = Some(generation);
                } else {
                    let why = "a store that was just built holds something else";
                    self.not_built(generation, StorageError::new(Operation::Read, why), now);
                }
            }
            (InFlight::Seal(generation), Ok(Outcome::Done)) => {
                if let Phase::Sound(before) = self.phase {
                    self.stale.insert(before);
                }
                self.phase = Phase::Sound(generation);
                self.journal = self.kept.as_ref().map_or(0, size);
                self.trouble = None;
                self.pause = self.measures.first_pause;
            }
            (InFlight::Write(group, bytes), Ok(Outcome::Done)) => {
                self.journal += bytes;
                for PendingWrite { ticket, key, value } in group {
                    self.kept.get_or_insert_default().insert(key, value);
                    self.reports.push((ticket, Ok(())));
                }
            }
            (InFlight::Remove(generation), Ok(Outcome::Done)) => drop(self.stale.remove(&generation)),
            (in_hand, Ok(_)) => {
                self.failed(in_hand, StorageError::new(Operation::Read, "an answer to another order"), now)
            }
            (in_hand, Err(error)) => self.failed(in_hand, error, now),
        }
    }

    fn listed(&mut self, generations: &[(Generation, bool)]) {
        let sealed = generations.iter().filter(|(_, sealed)| *sealed).map(|(generation, _)| *generation);
        let newest = sealed.max();
        for (generation, _) in generations {
            self.highest = self.highest.max(generation.0);
            if Some(*generation) != newest {
                self.stale.insert(*generation);
            }
        }
        self.phase = match newest {
            Some(newest) => Phase::Unread(newest),
            // Without a seal nothing was ever reported as stored here.
            None => {
                self.kept = Some(Values::new());
                Phase::Shut
            }
        };
    }

    fn failed(&mut self, in_hand: InFlight, error: StorageError, now: Nanos) {
        match in_hand {
            InFlight::List | InFlight::Read(_) => {
                // What is there may have changed; the look begins anew.
                self.phase = Phase::Unlisted;
                self.stale.clear();
                self.refuse(error, now);
            }
            InFlight::Build(generation) => self.not_built(generation, error, now),
            InFlight::Seal(generation) => {
                // It may be sealed or not: were the one before it written to, a start could find the
                // newer seal and miss those writes. So neither is.
                self.stale.insert(generation);
                self.distrust();
                self.refuse(error, now);
            }
            InFlight::Write(group, _) => {
                self.reports.extend(group.into_iter().map(|write| (write.ticket, Err(error.clone()))));
                self.distrust();
                self.refuse(error, now);
            }
            InFlight::Remove(_) => self.rest(now),
        }
    }

    /// Nothing points at a store without a seal, so one that is sound beside it stays so.
    fn not_built(&mut self, generation: Generation, error: StorageError, now: Nanos) {
        self.stale.insert(generation);
        match self.sound() {
            true => self.rest(now),
            false => self.refuse(error, now),
        }
    }

    fn distrust(&mut self) {
        if let Phase::Sound(generation) = self.phase {
            self.stale.insert(generation);
        }
        self.phase = Phase::Shut;
    }

    /// Ends all that waits with the error, and what comes until a store is sound again.
    fn refuse(&mut self, error: StorageError, now: Nanos) {
        let waiting = std::mem::take(&mut self.queue);
        self.reports.extend(waiting.into_iter().map(|write| (write.ticket, Err(error.clone()))));
        self.trouble = Some(error);
        self.rest(now);
    }

    fn rest(&mut self, now: Nanos) {
        self.rest_until = now + self.pause;
        self.pause = self.pause.times(2.0).min(self.measures.longest_pause);
    }

    fn hand_out(&mut self, in_hand: InFlight, order: Action) -> Option<Action> {
        self.in_hand = Some(in_hand);
        Some(order)
    }

    fn build(&mut self) -> Option<Action> {
        self.highest += 1;
        let generation = Generation(self.highest);
        let values = self.kept.clone().unwrap_or_default();
        self.hand_out(InFlight::Build(generation), Action::Build(generation, values))
    }

    fn grown(&self) -> bool {
        self.journal > self.measures.journal_bytes
    }

    /// The next writes that one sync covers; of several values for a key only the newest is written.
    fn write(&mut self, generation: Generation) -> Option<Action> {
        let mut group: Vec<PendingWrite> = Vec::new();
        let mut newest = Values::new();
        while let Some(write) = self.queue.pop_front() {
            if let Err(error) = self.check(&write, &newest) {
                self.reports.push((write.ticket, Err(error)));
                continue;
            }
            let more = size(&newest) + bytes(&write.key, &write.value);
            if !group.is_empty() && more > self.measures.live_bytes / GROUP_SHARE {
                self.queue.push_front(write);
                break;
            }
            newest.insert(write.key.clone(), write.value.clone());
            group.push(write);
        }
        if group.is_empty() {
            return None;
        }
        let sum = size(&newest);
        self.hand_out(InFlight::Write(group, sum), Action::Write(generation, newest.into_iter().collect()))
    }

    /// Refuses what would not fit, before any of it is written.
    fn check(&self, write: &PendingWrite, newest: &Values) -> Result<(), StorageError> {
        let refuse = |why: &str| Err(StorageError::new(Operation::Insert, why));
        if write.key.is_empty() || write.key.len() > KEY_BYTES {
            return refuse("the key is empty or too long");
        }
        let replaced = |key: &String| *key == write.key || newest.contains_key(key);
        let stays = self.kept.iter().flatten().filter(|(key, _)| !replaced(key));
        let kept: u64 = stays.map(|(key, value)| bytes(key, value)).sum();
        if kept + size(newest) + bytes(&write.key, &write.value) > self.measures.live_bytes {
            return refuse("more than may be kept at once");
        }
        // A generation that cannot be replaced must not grow without end.
        if self.journal > 2 * self.measures.journal_bytes {
            return refuse("the journal is full and could not be replaced");
        }
        Ok(())
    }
}

fn size(values: &Values) -> u64 {
    values.iter().map(|(key, value)| bytes(key, value)).sum()
}

/// What a value takes in a journal, with some room for what stands around it.
fn bytes(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len() + 64) as u64
}

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
    Contents(Values),
    Done,
}

/// How much may be kept, and how long to rest after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys and values together that may be kept at once.
    pub max_live_bytes: u64,
    /// A journal that is larger ends its generation.
    pub max_journal_bytes: u64,
    /// The first rest after a failure; each further one is twice as long, up to `longest_pause`.
    pub initial_backoff: Nanos,
    pub max_backoff: Nanos,
}

impl Limits {
    /// By the bytes that the disk gives.
    pub fn of_disk(disk_bytes: u64) -> Limits {
        // A store sets 64 MB aside for its journal while it is being built, so what lies beside it
        // has half of a small disk: a journal at its bound, and as much again of values.
        let journal_bytes = (disk_bytes / 16).clamp(4 * MIB, MAX_JOURNAL_BYTES / 2);
        Limits {
            max_live_bytes: journal_bytes / 2,
            max_journal_bytes: journal_bytes,
            initial_backoff: Nanos::from_millis(20.0),
            max_backoff: Nanos::from_millis(1000.0),
        }
    }
}

const MIB: u64 = 1 << 20;
/// At 64,000,000 bytes the store would begin a second journal by itself; this stays below.
const MAX_JOURNAL_BYTES: u64 = 48 * MIB;
/// The largest key. The journal has two bytes for a key's length.
pub const MAX_KEY_BYTES: usize = 256;
/// How many bytes of values go into one sync.
const SYNC_GROUP_DIVISOR: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is known of the folder.
    Unlisted,
    /// This generation counts and has not been read.
    Unread(Generation),
    /// What is stored is known, but no open store is trusted.
    Closed,
    /// Open and trusted.
    Healthy(Generation),
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
    write_id: u64,
    key: String,
    value: Arc<[u8]>,
}

/// See the head of this module.
#[derive(Debug)]
pub struct GenerationManager {
    limits: Limits,
    phase: Phase,
    in_flight: Option<InFlight>,
    /// Built and read back, not sealed.
    built: Option<Generation>,
    /// The highest number that was ever seen or given.
    highest_generation: u64,
    /// To be removed once something newer is sealed.
    obsolete: BTreeSet<Generation>,
    /// What is known to be stored, once the folder was read.
    stored: Option<Values>,
    /// Bytes in the journal of the open store.
    journal_bytes: u64,
    queue: VecDeque<PendingWrite>,
    completed: Vec<(u64, Result<(), StorageError>)>,
    /// Why writes are refused.
    fault: Option<StorageError>,
    backoff: Nanos,
    /// No order but writes to a sound store before this.
    retry_at: Nanos,
}

impl GenerationManager {
    pub fn new(measures: Limits) -> GenerationManager {
        GenerationManager {
            limits: measures,
            phase: Phase::Unlisted,
            in_flight: None,
            built: None,
            highest_generation: 0,
            obsolete: BTreeSet::new(),
            stored: None,
            journal_bytes: 0,
            queue: VecDeque::new(),
            completed: Vec::new(),
            fault: None,
            backoff: measures.initial_backoff,
            retry_at: Nanos(0),
        }
    }

    /// Takes a value to be stored. Its end comes with [`Keeper::reports`]; while writes are refused
    /// that is at once. The host bounds how many wait.
    pub fn submit(&mut self, ticket: u64, key: String, value: Vec<u8>) {
        if let Some(trouble) = &self.fault {
            self.completed.push((ticket, Err(trouble.clone())));
            return;
        }
        self.queue.push_back(PendingWrite { write_id: ticket, key, value: value.into() });
    }

    /// Whether there is an open store that is trusted.
    pub fn is_healthy(&self) -> bool {
        matches!(self.phase, Phase::Healthy(_))
    }

    /// What is known to be stored; nothing before the folder was read.
    pub fn stored(&self) -> Option<&Values> {
        self.stored.as_ref()
    }

    /// Why writes are refused at this moment.
    pub fn fault(&self) -> Option<&StorageError> {
        self.fault.as_ref()
    }

    /// What has ended since the last call. `Ok` means that the value, or a newer one that was handed
    /// over under the same key, is stored.
    pub fn take_completed(&mut self) -> Vec<(u64, Result<(), StorageError>)> {
        std::mem::take(&mut self.completed)
    }

    /// When to ask for an order again if there is none now.
    pub fn wake_at(&self) -> Option<Nanos> {
        let wants = !self.is_healthy() || self.journal_exceeds_limit() || !self.obsolete.is_empty();
        (self.in_flight.is_none() && wants).then_some(self.retry_at)
    }

    /// The next order, one at a time.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.in_flight.is_some() {
            return None;
        }
        let rested = now >= self.retry_at;
        // Nothing comes between the building of a store and its seal: it must hold all there is.
        if let Some(built) = self.built.take() {
            return self.start_action(InFlight::Seal(built), Action::Seal(built));
        }
        match self.phase {
            Phase::Unlisted if rested => self.start_action(InFlight::List, Action::List),
            Phase::Unread(generation) if rested => {
                self.start_action(InFlight::Read(generation), Action::Read(generation))
            }
            Phase::Closed if rested => self.start_build(),
            Phase::Healthy(_) if rested && self.journal_exceeds_limit() => self.start_build(),
            Phase::Healthy(generation) => {
                if let Some(order) = self.start_write(generation) {
                    return Some(order);
                }
                let stale = self.obsolete.first().copied().filter(|_| rested)?;
                self.start_action(InFlight::Remove(stale), Action::Remove(stale))
            }
            _ => None,
        }
    }

    /// Takes in how the order in hand ended. An outcome of another kind than the order's counts as
    /// a failure.
    pub fn complete_action(&mut self, end: Result<Outcome, StorageError>, now: Nanos) {
        let Some(in_hand) = self.in_flight.take() else { return };
        match (in_hand, end) {
            (InFlight::List, Ok(Outcome::Listed(generations))) => self.handle_listing(&generations),
            (InFlight::Read(generation), Ok(Outcome::Contents(values))) => {
                self.stored = Some(values);
                self.obsolete.insert(generation);
                self.phase = Phase::Closed;
            }
            (InFlight::Build(generation), Ok(Outcome::Contents(values))) => {
                if self.stored.as_ref() == Some(&values) {
                    self.built = Some(generation);
                } else {
                    let why = "a store that was just built holds something else";
                    self.handle_failed_build(generation, StorageError::new(Operation::Read, why), now);
                }
            }
            (InFlight::Seal(generation), Ok(Outcome::Done)) => {
                if let Phase::Healthy(before) = self.phase {
                    self.obsolete.insert(before);
                }
                self.phase = Phase::Healthy(generation);
                self.journal_bytes = self.stored.as_ref().map_or(0, total_bytes);
                self.fault = None;
                self.backoff = self.limits.initial_backoff;
            }
            (InFlight::Write(group, bytes), Ok(Outcome::Done)) => {
                self.journal_bytes += bytes;
                for PendingWrite { write_id: ticket, key, value } in group {
                    self.stored.get_or_insert_default().insert(key, value);
                    self.completed.push((ticket, Ok(())));
                }
            }
            (InFlight::Remove(generation), Ok(Outcome::Done)) => drop(self.obsolete.remove(&generation)),
            (in_hand, Ok(_)) => self.handle_failure(
                in_hand,
                StorageError::new(Operation::Read, "an answer to another order"),
                now,
            ),
            (in_hand, Err(error)) => self.handle_failure(in_hand, error, now),
        }
    }

    fn handle_listing(&mut self, generations: &[(Generation, bool)]) {
        let sealed = generations.iter().filter(|(_, sealed)| *sealed).map(|(generation, _)| *generation);
        let newest = sealed.max();
        for (generation, _) in generations {
            self.highest_generation = self.highest_generation.max(generation.0);
            if Some(*generation) != newest {
                self.obsolete.insert(*generation);
            }
        }
        self.phase = match newest {
            Some(newest) => Phase::Unread(newest),
            // Without a seal nothing was ever reported as stored here.
            None => {
                self.stored = Some(Values::new());
                Phase::Closed
            }
        };
    }

    fn handle_failure(&mut self, in_hand: InFlight, error: StorageError, now: Nanos) {
        match in_hand {
            InFlight::List | InFlight::Read(_) => {
                // What is there may have changed; the look begins anew.
                self.phase = Phase::Unlisted;
                self.obsolete.clear();
                self.reject_pending(error, now);
            }
            InFlight::Build(generation) => self.handle_failed_build(generation, error, now),
            InFlight::Seal(generation) => {
                // It may be sealed or not: were the one before it written to, a start could find the
                // newer seal and miss those writes. So neither is.
                self.obsolete.insert(generation);
                self.close_store();
                self.reject_pending(error, now);
            }
            InFlight::Write(group, _) => {
                self.completed.extend(group.into_iter().map(|write| (write.write_id, Err(error.clone()))));
                self.close_store();
                self.reject_pending(error, now);
            }
            InFlight::Remove(_) => self.back_off(now),
        }
    }

    /// Nothing points at a store without a seal, so one that is sound beside it stays so.
    fn handle_failed_build(&mut self, generation: Generation, error: StorageError, now: Nanos) {
        self.obsolete.insert(generation);
        match self.is_healthy() {
            true => self.back_off(now),
            false => self.reject_pending(error, now),
        }
    }

    fn close_store(&mut self) {
        if let Phase::Healthy(generation) = self.phase {
            self.obsolete.insert(generation);
        }
        self.phase = Phase::Closed;
    }

    /// Ends all that waits with the error, and what comes until a store is sound again.
    fn reject_pending(&mut self, error: StorageError, now: Nanos) {
        let waiting = std::mem::take(&mut self.queue);
        self.completed.extend(waiting.into_iter().map(|write| (write.write_id, Err(error.clone()))));
        self.fault = Some(error);
        self.back_off(now);
    }

    fn back_off(&mut self, now: Nanos) {
        self.retry_at = now + self.backoff;
        self.backoff = self.backoff.times(2.0).min(self.limits.max_backoff);
    }

    fn start_action(&mut self, in_hand: InFlight, order: Action) -> Option<Action> {
        self.in_flight = Some(in_hand);
        Some(order)
    }

    fn start_build(&mut self) -> Option<Action> {
        self.highest_generation += 1;
        let generation = Generation(self.highest_generation);
        let values = self.stored.clone().unwrap_or_default();
        self.start_action(InFlight::Build(generation), Action::Build(generation, values))
    }

    fn journal_exceeds_limit(&self) -> bool {
        self.journal_bytes > self.limits.max_journal_bytes
    }

    /// The next writes that one sync covers; of several values for a key only the newest is written.
    fn start_write(&mut self, generation: Generation) -> Option<Action> {
        let mut group: Vec<PendingWrite> = Vec::new();
        let mut newest = Values::new();
        while let Some(write) = self.queue.pop_front() {
            if let Err(error) = self.check_limits(&write, &newest) {
                self.completed.push((write.write_id, Err(error)));
                continue;
            }
            let more = total_bytes(&newest) + entry_bytes(&write.key, &write.value);
            if !group.is_empty() && more > self.limits.max_live_bytes / SYNC_GROUP_DIVISOR {
                self.queue.push_front(write);
                break;
            }
            newest.insert(write.key.clone(), write.value.clone());
            group.push(write);
        }
        if group.is_empty() {
            return None;
        }
        let sum = total_bytes(&newest);
        self.start_action(
            InFlight::Write(group, sum),
            Action::Write(generation, newest.into_iter().collect()),
        )
    }

    /// Refuses what would not fit, before any of it is written.
    fn check_limits(&self, write: &PendingWrite, newest: &Values) -> Result<(), StorageError> {
        let refuse = |why: &str| Err(StorageError::new(Operation::Insert, why));
        if write.key.is_empty() || write.key.len() > MAX_KEY_BYTES {
            return refuse("the key is empty or too long");
        }
        let replaced = |key: &String| *key == write.key || newest.contains_key(key);
        let stays = self.stored.iter().flatten().filter(|(key, _)| !replaced(key));
        let kept: u64 = stays.map(|(key, value)| entry_bytes(key, value)).sum();
        if kept + total_bytes(newest) + entry_bytes(&write.key, &write.value) > self.limits.max_live_bytes {
            return refuse("more than may be kept at once");
        }
        // A generation that cannot be replaced must not grow without end.
        if self.journal_bytes > 2 * self.limits.max_journal_bytes {
            return refuse("the journal is full and could not be replaced");
        }
        Ok(())
    }
}

fn total_bytes(values: &Values) -> u64 {
    values.iter().map(|(key, value)| entry_bytes(key, value)).sum()
}

/// What a value takes in a journal, with some room for what stands around it.
fn entry_bytes(key: &str, value: &[u8]) -> u64 {
    (key.len() + value.len() + 64) as u64
}

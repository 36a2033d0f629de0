//! State machine of a directory of generations, without I/O: the host polls actions with
//! [`GenerationManager::poll_action`], executes them one at a time and reports the result of each.
//!
//! Each generation is a separate store with one journal. A store receives writes only if this process built, synced,
//! closed, reopened and read it back. After a failed write the store's handle is never used again, because a failed
//! sync may have dropped data that a later read still returns: the next generation is built from the values known to be
//! stored, and writes are rejected until it is sealed. A journal over its size limit also causes the next generation to
//! be built, which bounds the size of the directory.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::error::{Operation, StorageError};
use crate::generation::{Action, CompletedWrite, Generation, ListedGeneration, Outcome, Values};
use crate::limits::{Limits, MAX_KEY_BYTES, entry_bytes, total_bytes};

/// One sync covers at most [`Limits::max_live_bytes`] divided by this number, or a single larger write.
const SYNC_GROUP_DIVISOR: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Initial phase: the directory has not been listed.
    Unlisted,
    /// Newest sealed generation, which has not been read.
    Unread(Generation),
    /// No open store is trusted, but the stored values are known, so that the next generation can be built from them.
    Closed,
    /// Generation whose store is open and trusted.
    Healthy(Generation),
}

/// Action that the host is executing, with what its result is to be applied to.
#[derive(Clone, Debug)]
enum InFlight {
    List,
    Read(Generation),
    Build(Generation),
    Seal(Generation),
    Write { group: Vec<PendingWrite>, bytes: u64 },
    Remove(Generation),
}

#[derive(Clone, Debug)]
struct PendingWrite {
    write_id: u64,
    key: String,
    value: Arc<[u8]>,
}

/// State machine of a directory: decides which generation is written to, trusted, built or removed, and when.
#[derive(Debug)]
pub struct GenerationManager {
    limits: Limits,
    phase: Phase,
    in_flight: Option<InFlight>,
    /// Generation that was built and read back, and is not sealed.
    built: Option<Generation>,
    /// Highest generation number that was ever listed or assigned.
    highest_generation: u64,
    /// Generations to be removed once a newer one is sealed.
    obsolete: BTreeSet<Generation>,
    /// Values known to be stored; `None` before the directory was read.
    stored: Option<Values>,
    /// Upper bound of the bytes in the journal of the open store.
    journal_bytes: u64,
    queue: VecDeque<PendingWrite>,
    completed: Vec<CompletedWrite>,
    /// Error with which writes are rejected, from a failure until the next generation is sealed; `None` while they
    /// are accepted.
    fault: Option<StorageError>,
    backoff: Nanos,
    /// Earliest time of the next action other than a write to a healthy store or a seal.
    retry_at: Nanos,
}

impl GenerationManager {
    /// Creates the manager of a directory that has not been listed.
    #[must_use]
    pub fn new(limits: Limits) -> GenerationManager {
        GenerationManager {
            limits,
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
            backoff: limits.initial_backoff,
            retry_at: Nanos(0),
        }
    }

    /// Queues a value to be stored. [`GenerationManager::take_completed`] returns its result, at once while writes are
    /// rejected. The host bounds the number of pending writes.
    pub fn submit(&mut self, write_id: u64, key: String, value: Vec<u8>) {
        if let Some(fault) = &self.fault {
            self.completed.push(CompletedWrite { write_id, result: Err(fault.clone()) });
            return;
        }
        self.queue.push_back(PendingWrite { write_id, key, value: value.into() });
    }

    /// Returns whether a trusted store is open: one that this process built and read back, and to which no write has
    /// failed.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        matches!(self.phase, Phase::Healthy(_))
    }

    /// Returns the values known to be stored; `None` before the directory was read.
    #[must_use]
    pub fn stored(&self) -> Option<&Values> {
        self.stored.as_ref()
    }

    /// Returns the error with which writes are rejected at present; `None` if they are accepted.
    #[must_use]
    pub fn fault(&self) -> Option<&StorageError> {
        self.fault.as_ref()
    }

    /// Takes the writes that have completed since the last call.
    #[must_use = "each result is given once"]
    pub fn take_completed(&mut self) -> Vec<CompletedWrite> {
        std::mem::take(&mut self.completed)
    }

    /// Time at which to poll next if there is no action now; `None` if only a submission or the result of the action
    /// in flight can cause one.
    #[must_use]
    pub fn wake_at(&self) -> Option<Nanos> {
        let has_work = !self.is_healthy() || self.journal_exceeds_limit() || !self.obsolete.is_empty();
        (self.in_flight.is_none() && has_work).then_some(self.retry_at)
    }

    /// Returns the next action; `None` while another one is in flight, or if none is due at `now`.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.in_flight.is_some() {
            return None;
        }
        let may_retry = now >= self.retry_at;
        // No write may come between building a store and sealing it: the sealed store must contain all stored values.
        if let Some(built) = self.built.take() {
            return self.start_action(InFlight::Seal(built), Action::Seal(built));
        }
        match self.phase {
            Phase::Unlisted if may_retry => self.start_action(InFlight::List, Action::List),
            Phase::Unread(generation) if may_retry => {
                self.start_action(InFlight::Read(generation), Action::Read(generation))
            }
            Phase::Closed if may_retry => self.start_build(),
            Phase::Healthy(_) if may_retry && self.journal_exceeds_limit() => self.start_build(),
            Phase::Healthy(generation) => {
                if let Some(action) = self.start_write(generation) {
                    return Some(action);
                }
                let obsolete = self.obsolete.first().copied().filter(|_| may_retry)?;
                self.start_action(InFlight::Remove(obsolete), Action::Remove(obsolete))
            }
            _ => None,
        }
    }

    /// Handles the result of the action in flight. An outcome that does not match the action counts as a failure.
    pub fn complete_action(&mut self, result: Result<Outcome, StorageError>, now: Nanos) {
        let Some(in_flight) = self.in_flight.take() else { return };
        match (in_flight, result) {
            (InFlight::List, Ok(Outcome::Listed(generations))) => self.handle_listing(&generations),
            (InFlight::Read(generation), Ok(Outcome::Contents(values))) => {
                self.handle_read(generation, values);
            }
            (InFlight::Build(generation), Ok(Outcome::Contents(values))) => {
                self.handle_build(generation, &values, now);
            }
            (InFlight::Seal(generation), Ok(Outcome::Done)) => self.handle_seal(generation),
            (InFlight::Write { group, bytes }, Ok(Outcome::Done)) => self.handle_write(group, bytes),
            (InFlight::Remove(generation), Ok(Outcome::Done)) => {
                self.obsolete.remove(&generation);
            }
            (in_flight, Ok(_)) => {
                let error = StorageError::new(Operation::Read, "the outcome does not match the action");
                self.handle_failure(in_flight, error, now);
            }
            (in_flight, Err(error)) => self.handle_failure(in_flight, error, now),
        }
    }

    fn handle_listing(&mut self, listed: &[ListedGeneration]) {
        let sealed = listed.iter().filter(|listed| listed.sealed);
        let newest = sealed.map(|listed| listed.generation).max();
        for ListedGeneration { generation, .. } in listed {
            self.highest_generation = self.highest_generation.max(generation.0);
            if Some(*generation) != newest {
                self.obsolete.insert(*generation);
            }
        }
        self.phase = match newest {
            Some(newest) => Phase::Unread(newest),
            // Without a sealed generation no write was ever acknowledged.
            None => {
                self.stored = Some(Values::new());
                Phase::Closed
            }
        };
    }

    fn handle_read(&mut self, generation: Generation, values: Values) {
        self.stored = Some(values);
        self.obsolete.insert(generation);
        self.phase = Phase::Closed;
    }

    fn handle_build(&mut self, generation: Generation, values: &Values, now: Nanos) {
        if self.stored.as_ref() == Some(values) {
            self.built = Some(generation);
        } else {
            let reason = "a new store does not contain the values written to it";
            self.handle_failed_build(generation, StorageError::new(Operation::Read, reason), now);
        }
    }

    fn handle_seal(&mut self, generation: Generation) {
        if let Phase::Healthy(previous) = self.phase {
            self.obsolete.insert(previous);
        }
        self.phase = Phase::Healthy(generation);
        self.journal_bytes = self.stored.as_ref().map_or(0, total_bytes);
        self.fault = None;
        self.backoff = self.limits.initial_backoff;
    }

    fn handle_write(&mut self, group: Vec<PendingWrite>, bytes: u64) {
        self.journal_bytes += bytes;
        for PendingWrite { write_id, key, value } in group {
            self.stored.get_or_insert_default().insert(key, value);
            self.completed.push(CompletedWrite { write_id, result: Ok(()) });
        }
    }

    fn handle_failure(&mut self, in_flight: InFlight, error: StorageError, now: Nanos) {
        match in_flight {
            InFlight::List | InFlight::Read(_) => {
                // The failure leaves open which generations there are, so the directory is listed again.
                self.phase = Phase::Unlisted;
                self.obsolete.clear();
                self.reject_pending(error, now);
            }
            InFlight::Build(generation) => self.handle_failed_build(generation, error, now),
            InFlight::Seal(generation) => {
                // The new store may or may not be sealed. If the previous store received more writes, a restart
                // could find the newer seal and miss them, so neither store is written to.
                self.obsolete.insert(generation);
                self.close_store();
                self.reject_pending(error, now);
            }
            InFlight::Write { group, .. } => {
                self.fail_writes(group, &error);
                self.close_store();
                self.reject_pending(error, now);
            }
            InFlight::Remove(_) => self.back_off(now),
        }
    }

    /// Handles a failed build. A store without a seal is never read, so a healthy store stays in use.
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

    /// Rejects all pending writes with the error, and new ones until a store is healthy again.
    fn reject_pending(&mut self, error: StorageError, now: Nanos) {
        let pending = std::mem::take(&mut self.queue);
        self.fail_writes(pending, &error);
        self.fault = Some(error);
        self.back_off(now);
    }

    fn fail_writes(&mut self, writes: impl IntoIterator<Item = PendingWrite>, error: &StorageError) {
        let failed =
            |write: PendingWrite| CompletedWrite { write_id: write.write_id, result: Err(error.clone()) };
        self.completed.extend(writes.into_iter().map(failed));
    }

    fn back_off(&mut self, now: Nanos) {
        self.retry_at = now + self.backoff;
        self.backoff = self.backoff.times(2.0).min(self.limits.max_backoff);
    }

    fn start_action(&mut self, in_flight: InFlight, action: Action) -> Option<Action> {
        self.in_flight = Some(in_flight);
        Some(action)
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

    /// Starts the writes that the next sync covers; of several values for a key only the newest is written.
    fn start_write(&mut self, generation: Generation) -> Option<Action> {
        let mut group: Vec<PendingWrite> = Vec::new();
        let mut newest = Values::new();
        while let Some(write) = self.queue.pop_front() {
            if let Err(error) = self.check_limits(&write, &newest) {
                self.completed.push(CompletedWrite { write_id: write.write_id, result: Err(error) });
                continue;
            }
            let bytes = total_bytes(&newest) + entry_bytes(&write.key, &write.value);
            if !group.is_empty() && bytes > self.limits.max_live_bytes / SYNC_GROUP_DIVISOR {
                self.queue.push_front(write);
                break;
            }
            newest.insert(write.key.clone(), write.value.clone());
            group.push(write);
        }
        if group.is_empty() {
            return None;
        }
        let bytes = total_bytes(&newest);
        self.start_action(InFlight::Write { group, bytes }, Action::Write(generation, newest))
    }

    /// Rejects a write that exceeds a limit, before any of it is written.
    fn check_limits(&self, write: &PendingWrite, newest: &Values) -> Result<(), StorageError> {
        let reject = |reason: &str| Err(StorageError::new(Operation::Insert, reason));
        if write.key.is_empty() || write.key.len() > MAX_KEY_BYTES {
            return reject("the key is empty or too long");
        }
        let is_replaced = |key: &String| *key == write.key || newest.contains_key(key);
        let remaining = self.stored.iter().flatten().filter(|(key, _)| !is_replaced(key));
        let remaining_bytes: u64 = remaining.map(|(key, value)| entry_bytes(key, value)).sum();
        if remaining_bytes + total_bytes(newest) + entry_bytes(&write.key, &write.value)
            > self.limits.max_live_bytes
        {
            return reject("the stored values would exceed their size limit");
        }
        // Bounds the journal of a generation that could not be replaced.
        if self.journal_bytes > 2 * self.limits.max_journal_bytes {
            return reject("the journal is full and could not be replaced");
        }
        Ok(())
    }
}

//! Simulated disks: write latency, hanging and failing writes, and the data that survives a crash.

use crate::controllers::machine::{Input, PendingWrite, WriteBehavior};
use crate::event::Event;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::time::millis;
use fernknot::interface::Nanos;
use fernknot_consensus::{PersistentState, WriteId};

/// Number of earlier states that a disk keeps for the seeded bug `StaleDisk`.
const MAX_OLDER_STATES: usize = 4;
/// Interval between attempts to reopen a full disk.
const REOPEN_INTERVAL: Nanos = millis(200);
/// Time between the acknowledgement of a write and its completion with the seeded bug `DiskAcksEarly`.
const EARLY_ACK_LEAD: Nanos = millis(400);

impl Simulation {
    pub(super) fn begin_write(&mut self, index: usize, write: WriteId, state: PersistentState) {
        let duration = match self.machines[index].disk.write_behavior {
            WriteBehavior::Normal => Some(self.rng.between(millis(1), millis(5))),
            WriteBehavior::Slow => Some(self.rng.between(millis(30), millis(300))),
            WriteBehavior::Hanging => None,
            WriteBehavior::Full => return self.fail_write(index, write, state),
        };
        let incarnation = self.machines[index].incarnation;
        let acks_early = self.settings.has_bug(SeededBug::DiskAcksEarly);
        if acks_early {
            let input = Input::Stored { write, succeeded: true };
            self.schedule_input(Nanos(0), index, incarnation, input);
        }
        let lead = if acks_early { EARLY_ACK_LEAD } else { Nanos(0) };
        let duration = duration.map(|duration| duration + lead);
        let due_at = duration.map(|duration| self.now + duration);
        let pending = PendingWrite { id: write, state: state.clone(), due_at };
        self.machines[index].disk.pending_writes.push(pending);
        if let Some(duration) = duration {
            self.schedule(duration, Event::WriteDone { machine: index, incarnation, write, state });
        }
        let timeout = self.settings.bounds.apply_deadline.times(1.0 / 6.0);
        if !acks_early && duration.is_none_or(|duration| duration > timeout) {
            self.schedule_input(timeout, index, incarnation, Input::WriteTimeout(write));
        }
    }

    fn fail_write(&mut self, index: usize, write: WriteId, state: PersistentState) {
        let incarnation = self.machines[index].incarnation;
        self.machines[index].disk.is_open = false;
        self.schedule_input(millis(1), index, incarnation, Input::Stored { write, succeeded: false });
        self.schedule_input(millis(2), index, incarnation, Input::WriteTimeout(write));
        let pending = PendingWrite { id: write, state, due_at: None };
        self.machines[index].disk.pending_writes.push(pending);
        self.schedule(REOPEN_INTERVAL, Event::DiskReopen { machine: index, incarnation });
    }

    /// Stores the state of a write. A frozen process does not prevent this; it receives the acknowledgement later.
    pub(crate) fn complete_write(
        &mut self,
        index: usize,
        incarnation: u64,
        write: WriteId,
        state: PersistentState,
    ) {
        let machine = &mut self.machines[index];
        if !machine.runs_incarnation(incarnation) {
            return;
        }
        let disk = &mut machine.disk;
        disk.pending_writes.retain(|pending| pending.id != write);
        if let Some(older) = disk.state.replace(state) {
            disk.older_states.push_back(older);
            if disk.older_states.len() > MAX_OLDER_STATES {
                disk.older_states.pop_front();
            }
        }
        if !self.settings.has_bug(SeededBug::DiskAcksEarly) {
            self.deliver(index, Input::Stored { write, succeeded: true });
        }
    }

    /// Reopens a disk that was full, or retries later while it has no space or the process is frozen.
    pub(crate) fn reopen_disk(&mut self, index: usize, incarnation: u64) {
        let now = self.now;
        let machine = &mut self.machines[index];
        if !machine.runs_incarnation(incarnation) {
            return;
        }
        if machine.disk.write_behavior == WriteBehavior::Full {
            return self.schedule(REOPEN_INTERVAL, Event::DiskReopen { machine: index, incarnation });
        }
        machine.disk.is_open = true;
        machine.disk.pending_writes.retain(|pending| pending.due_at.is_some());
        let local_time = machine.local_time(now);
        if let Some(controller) = machine.controller.as_mut().filter(|_| !machine.is_frozen) {
            controller.set_disk_health(local_time, true);
            self.run_actions(index);
        } else {
            self.schedule(REOPEN_INTERVAL, Event::DiskReopen { machine: index, incarnation });
        }
    }

    /// Ends the pending writes of a process that ends. With `are_kept` they reach the disk completely, although they
    /// were never acknowledged.
    pub(super) fn end_pending_writes(&mut self, index: usize, are_kept: bool) {
        let acks_early = self.settings.has_bug(SeededBug::DiskAcksEarly);
        let disk = &mut self.machines[index].disk;
        for write in std::mem::take(&mut disk.pending_writes) {
            if are_kept && !acks_early && write.due_at.is_some() {
                disk.state = Some(write.state);
            }
        }
    }

    pub(crate) fn set_write_behavior(&mut self, index: usize, behavior: WriteBehavior) {
        let machine = &mut self.machines[index];
        let incarnation = machine.incarnation;
        machine.disturbed_at = self.now;
        let before = std::mem::replace(&mut machine.disk.write_behavior, behavior);
        if before != WriteBehavior::Hanging || behavior == WriteBehavior::Hanging {
            return;
        }
        let waiting = machine.disk.pending_writes.iter().filter(|pending| pending.due_at.is_none());
        let waiting: Vec<_> = waiting.map(|pending| (pending.id, pending.state.clone())).collect();
        for (write, state) in waiting {
            self.schedule(millis(3), Event::WriteDone { machine: index, incarnation, write, state });
        }
    }

    pub(crate) fn wipe_disk(&mut self, index: usize) {
        let disk = &mut self.machines[index].disk;
        disk.state = None;
        disk.known_peers.clear();
        disk.older_states.clear();
    }
}

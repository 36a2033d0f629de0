//! Simulated machines, the links between them, and the simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::mem;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;
use fernknot_consensus::{
    Action, Consensus, ConsensusSettings, Member, MemberId, Message, PersistentState, ReadIndexId, SeededBug,
    WriteId,
};

use super::checks::{Observed, PendingRead};
use super::machine::{Disk, HangingWrite, Machine};
use super::{HEARTBEAT_INTERVAL, MS, Random, SUSPICION_TIMEOUT, addr};

/// Delay in nanoseconds after which an event for a suspended process is tried again.
const SUSPENSION_RETRY_DELAY: u64 = 50 * MS;
/// Delay in nanoseconds by which a timer fires late.
const TIMER_DELAY: u64 = 1000;
/// Maximum number of actions that one event may cause.
const MAX_ACTIONS_PER_EVENT: usize = 5_000;
/// Maximum number of events in one call of [`Cluster::run_for`].
const MAX_EVENTS_PER_RUN: usize = 300_000;

#[derive(Debug)]
enum Event {
    Message { from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8> },
    WriteCompleted { index: usize, incarnation: u64, write_id: WriteId, state: Box<PersistentState> },
    Wake { index: usize, incarnation: u64 },
}

pub struct Cluster {
    /// Simulated time in nanoseconds.
    pub now: u64,
    pub random: Random,
    pub seeded_bug: Option<SeededBug>,
    pub machines: Vec<Machine>,
    pub founders: Vec<SocketAddrV4>,
    pub fault_tolerance: usize,
    pub loss_per_mille: u64,
    pub duplication_per_mille: u64,
    pub delay_per_mille: u64,
    /// Links, as sender and receiver, on which all messages are lost.
    pub blocked_links: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// Times and numbers of scheduled events; those at the same time are handled in the order of their numbers.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    last_id: u64,
    pub observed: Observed,
    /// Number of messages sent.
    pub messages: u64,
    /// Total size of these messages in bytes, not counting duplicates.
    pub bytes: u64,
    /// Minimum size in bytes of a proposed state.
    pub state_bytes: usize,
    /// Number of writes requested.
    pub syncs: u64,
}

impl Cluster {
    pub fn new(
        seed: u64,
        machines: u8,
        founders: u8,
        fault_tolerance: usize,
        seeded_bug: Option<SeededBug>,
    ) -> Cluster {
        let mut cluster = Cluster {
            now: MS,
            random: Random(seed.wrapping_mul(2).wrapping_add(1)),
            seeded_bug,
            machines: Vec::new(),
            founders: (1..=founders).map(addr).collect(),
            fault_tolerance,
            loss_per_mille: 0,
            duplication_per_mille: 0,
            delay_per_mille: 0,
            blocked_links: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            last_id: 0,
            observed: Observed::default(),
            messages: 0,
            bytes: 0,
            state_bytes: 0,
            syncs: 0,
        };
        for n in 1..=machines {
            cluster.add(addr(n), true);
        }
        cluster
    }

    // Machines.

    /// Adds a machine with an empty disk and starts it. Returns its index.
    pub fn add(&mut self, addr: SocketAddrV4, bootstrap: bool) -> usize {
        let id = self.next_id();
        self.machines.push(Machine::new(addr, id));
        let index = self.machines.len() - 1;
        self.start(index, bootstrap);
        index
    }

    fn next_id(&mut self) -> MemberId {
        self.last_id += 1;
        MemberId(self.last_id)
    }

    pub fn start(&mut self, index: usize, bootstrap: bool) {
        let seed = self.random.below(u64::MAX);
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.suspended = false;
        let settings = ConsensusSettings {
            me: Member { id: machine.id, addr: machine.addr, zone: format!("z{index}") },
            founders: self.founders.clone(),
            bootstrap,
            fault_tolerance: self.fault_tolerance,
            suspicion_timeout: Nanos(SUSPICION_TIMEOUT),
            heartbeat_interval: Nanos(HEARTBEAT_INTERVAL),
            lease_duration: Nanos(4 * HEARTBEAT_INTERVAL),
        };
        // The saved state is encoded and decoded, as with a real host.
        let saved = machine.saved.as_ref().map(|saved| bitcode::decode(&bitcode::encode(saved)).unwrap());
        let now = Nanos(self.now);
        machine.consensus = Some(Consensus::with_seeded_bug(seed, settings, saved, now, self.seeded_bug));
        self.run_actions(index);
    }

    /// Kills the process. A write in flight may reach the disk or not.
    pub fn kill(&mut self, index: usize) {
        let mut in_flight: Vec<PersistentState> =
            self.events.values().filter_map(|event| self.write_in_flight(index, event)).collect();
        let machine = &mut self.machines[index];
        let hanging = mem::take(&mut machine.hanging_writes);
        if machine.disk == Disk::Hanging {
            in_flight.extend(hanging.into_iter().map(|write| write.state));
        }
        machine.consensus = None;
        machine.incarnation += 1;
        if let Some(state) = in_flight.pop()
            && self.random.below(2) == 0
        {
            self.machines[index].record_write(state);
        }
    }

    /// Returns the state that the event would write for the machine's current process, if it is a write.
    fn write_in_flight(&self, index: usize, event: &Event) -> Option<PersistentState> {
        match event {
            Event::WriteCompleted { index: owner, incarnation, state, .. }
                if *owner == index && *incarnation == self.machines[index].incarnation =>
            {
                Some((**state).clone())
            }
            _ => None,
        }
    }

    /// Kills the process, and undoes its last `writes` writes: the disk was restored from a copy, or lost synced
    /// writes.
    pub fn restore_older_disk(&mut self, index: usize, writes: usize) {
        self.kill(index);
        let machine = &mut self.machines[index];
        let remaining = machine.written.len().saturating_sub(writes).max(1);
        machine.written.truncate(remaining);
        if let Some(newest) = machine.written.last() {
            machine.saved = Some(newest.clone());
        }
    }

    /// Kills the process and empties its disk.
    pub fn wipe_disk(&mut self, index: usize) {
        self.kill(index);
        let id = self.next_id();
        let machine = &mut self.machines[index];
        machine.saved = None;
        machine.written.clear();
        machine.id = id;
    }

    /// Removes the machine for good, and adds an empty one at another address. Returns the index of the new one.
    pub fn replace_machine(&mut self, index: usize) -> usize {
        self.kill(index);
        self.machines[index].removed = true;
        let n = self.machines.len() as u8 + 1;
        self.add(addr(n), false)
    }

    /// Starts the process if it isn't running.
    pub fn restart(&mut self, index: usize) {
        if self.machines[index].consensus.is_none() && !self.machines[index].removed {
            self.start(index, false);
        }
    }

    /// Returns the number of machines that are not removed.
    pub fn remaining_machines(&self) -> usize {
        self.machines.iter().filter(|machine| !machine.removed).count()
    }

    pub fn set_disk(&mut self, index: usize, disk: Disk) {
        let machine = &mut self.machines[index];
        if mem::replace(&mut machine.disk, disk) == disk {
            return;
        }
        let now = Nanos(self.now);
        let ok = disk.completes_writes();
        for HangingWrite { write_id, state } in mem::take(&mut machine.hanging_writes) {
            if ok {
                machine.record_write(state);
            }
            if let Some(consensus) = &mut machine.consensus {
                consensus.handle_write_result(now, write_id, ok);
            }
        }
        if let Some(consensus) = &mut machine.consensus {
            consensus.set_disk_healthy(now, ok);
        }
        self.run_actions(index);
    }

    // Events.

    fn push(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// Executes the actions of the replica on this machine until there are none.
    pub fn run_actions(&mut self, index: usize) {
        for _ in 0..MAX_ACTIONS_PER_EVENT {
            let now = Nanos(self.now);
            let before = self.machines[index].delivered_revision();
            let action = self.machines[index].responsive().and_then(|consensus| consensus.poll_action(now));
            let Some(action) = action else { return };
            match action {
                Action::Send { to, message } => self.send(index, to, &message),
                Action::Persist { write_id, state } => self.persist(index, write_id, state),
                Action::Deliver { view, revision, state } => {
                    self.check_delivered(index, view, revision, state, before);
                }
                Action::Committed { change_id, revision } => {
                    self.observed.check_committed(change_id, revision);
                }
                Action::Rejected { change_id } => self.observed.check_rejected(change_id),
                Action::ViewActivated { view } => self.observed.check_activated(view),
                Action::ReadIndexConfirmed { read_index } => self.check_read_index(index, read_index),
                Action::ViewLeft => {}
                Action::IdentityReplaced { previous, current } => {
                    self.machines[index].id = current;
                    self.machines[index].replaced_ids.push(previous);
                }
                Action::Wake { after } => {
                    let incarnation = self.machines[index].incarnation;
                    self.push(after.0 + TIMER_DELAY, Event::Wake { index, incarnation });
                }
            }
        }
        panic!("too many actions at machine {index}");
    }

    fn send(&mut self, index: usize, to: SocketAddrV4, message: &Message) {
        self.messages += 1;
        let from = self.machines[index].addr;
        let bytes = bitcode::encode(message);
        self.bytes += bytes.len() as u64;
        let copies = if self.random.below(1000) < self.duplication_per_mille { 2 } else { 1 };
        for _ in 0..copies {
            let is_lost = self.random.below(1000) < self.loss_per_mille;
            if is_lost || self.blocked_links.contains(&(from, to)) {
                continue;
            }
            let mut after = MS / 2 + self.random.below(MS);
            if self.random.below(1000) < self.delay_per_mille {
                after += self.random.below(2 * SUSPICION_TIMEOUT);
            }
            self.push(after, Event::Message { from, to, bytes: bytes.clone() });
        }
    }

    fn persist(&mut self, index: usize, write_id: WriteId, state: PersistentState) {
        self.syncs += 1;
        let machine = &mut self.machines[index];
        let incarnation = machine.incarnation;
        let max_sync = match machine.disk {
            Disk::Healthy => 4 * MS,
            Disk::Slow => SUSPICION_TIMEOUT / 4,
            Disk::Hanging => return machine.hanging_writes.push(HangingWrite { write_id, state }),
            Disk::Full => {
                if let Some(consensus) = &mut machine.consensus {
                    consensus.handle_write_result(Nanos(self.now), write_id, false);
                }
                return;
            }
        };
        let after = MS + self.random.below(max_sync);
        let state = Box::new(state);
        self.push(after, Event::WriteCompleted { index, incarnation, write_id, state });
    }

    /// Runs the simulation for `span` nanoseconds.
    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        let mut events = 0;
        while let Some(Reverse((time, _))) = self.queue.peek() {
            if *time > end {
                break;
            }
            let Some(Reverse((time, number))) = self.queue.pop() else { break };
            self.now = time;
            events += 1;
            assert!(events < MAX_EVENTS_PER_RUN, "too many events in {span} ns");
            let Some(event) = self.events.remove(&number) else { continue };
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        let (index, incarnation) = match &event {
            Event::Message { to, .. } => {
                let receiver = self.machines.iter().position(|machine| machine.addr == *to);
                let Some(index) = receiver else { return };
                (index, self.machines[index].incarnation)
            }
            Event::WriteCompleted { index, incarnation, .. } | Event::Wake { index, incarnation } => {
                (*index, *incarnation)
            }
        };
        let machine = &self.machines[index];
        if machine.incarnation != incarnation {
            return;
        }
        if machine.suspended {
            return self.push(SUSPENSION_RETRY_DELAY, event);
        }
        match event {
            Event::Message { from, bytes, .. } => self.deliver_message(index, from, &bytes),
            Event::WriteCompleted { write_id, state, .. } => self.complete_write(index, write_id, *state),
            Event::Wake { .. } => self.run_actions(index),
        }
    }

    fn deliver_message(&mut self, index: usize, from: SocketAddrV4, bytes: &[u8]) {
        if let Some(consensus) = &mut self.machines[index].consensus {
            consensus.handle_message(Nanos(self.now), from, bitcode::decode(bytes).unwrap());
            self.run_actions(index);
        }
    }

    fn complete_write(&mut self, index: usize, write_id: WriteId, state: PersistentState) {
        let machine = &mut self.machines[index];
        if machine.disk == Disk::Hanging {
            return machine.hanging_writes.push(HangingWrite { write_id, state });
        }
        let ok = machine.disk.completes_writes();
        if ok {
            machine.record_write(state);
        }
        if let Some(consensus) = &mut machine.consensus {
            consensus.handle_write_result(Nanos(self.now), write_id, ok);
        }
        self.run_actions(index);
    }

    // Links.

    /// Blocks the links between two machines in both directions.
    pub fn partition(&mut self, one: usize, other: usize) {
        let (one, other) = (self.machines[one].addr, self.machines[other].addr);
        self.blocked_links.extend([(one, other), (other, one)]);
    }

    /// Partitions one machine from all others.
    pub fn isolate(&mut self, one: usize) {
        let others = (0..self.machines.len()).filter(|other| *other != one);
        others.for_each(|other| self.partition(one, other));
    }

    /// Drops all messages in flight.
    pub fn drop_messages(&mut self) {
        self.events.retain(|_, event| !matches!(event, Event::Message { .. }));
    }

    /// Ends all faults from which a machine can recover, and starts all processes.
    pub fn heal(&mut self) {
        (self.loss_per_mille, self.duplication_per_mille, self.delay_per_mille) = (0, 0, 0);
        self.blocked_links.clear();
        for index in 0..self.machines.len() {
            self.machines[index].suspended = false;
            self.set_disk(index, Disk::Healthy);
            self.restart(index);
        }
    }

    // Clients.

    /// Returns the machine that leads the newest view.
    pub fn leader(&self) -> Option<usize> {
        let view = |index: &usize| {
            let consensus = self.machines[*index].consensus.as_ref();
            consensus.and_then(Consensus::view).map(|view| view.number)
        };
        (0..self.machines.len()).filter(|index| self.machines[*index].is_leader()).max_by_key(view)
    }

    /// Proposes a change at every machine that considers itself the leader. Returns the id of the last one.
    pub fn propose(&mut self) -> Option<u64> {
        (0..self.machines.len()).filter_map(|index| self.propose_at(index)).last()
    }

    /// Proposes a change at this machine, if it considers itself the leader. The state contains the change's id,
    /// which is returned.
    pub fn propose_at(&mut self, index: usize) -> Option<u64> {
        let change_id = self.observed.proposals.len() as u64 + 1;
        let consensus = self.machines[index].responsive().filter(|consensus| consensus.is_leader())?;
        let (base, _) = consensus.delivered()?;
        let mut state = change_id.to_be_bytes().to_vec();
        state.resize(self.state_bytes.max(state.len()), 7);
        self.observed.proposals.insert(change_id, state.clone());
        consensus.propose(Nanos(self.now), change_id, base, state);
        self.run_actions(index);
        Some(change_id)
    }

    /// Requests a read index at each machine.
    pub fn request_reads(&mut self) {
        let newest_committed = self.observed.newest_committed().unwrap_or_default();
        for machine in 0..self.machines.len() {
            let now = Nanos(self.now);
            let Some(consensus) = self.machines[machine].responsive() else { continue };
            self.observed.last_read_index += 1;
            let read_index = self.observed.last_read_index;
            self.observed.pending_reads.insert(read_index, PendingRead { machine, newest_committed });
            // If too many are pending, this one is never confirmed.
            let _ = consensus.read_index(now, ReadIndexId(read_index));
            self.run_actions(machine);
        }
    }

    /// Proposes changes until a new one is committed. Returns the time that this took in nanoseconds, or `None` if it
    /// took longer than `within`.
    pub fn commits_within(&mut self, within: u64) -> Option<u64> {
        let begin = self.now;
        let newest_committed = self.observed.newest_committed();
        // Several machines may propose at once, such as an isolated leader that doesn't know of a later view: the
        // commit of any new change counts.
        let first_change = self.observed.proposals.len() as u64 + 1;
        while self.now - begin < within {
            self.propose();
            self.run_for(10 * MS);
            let committed = self.observed.committed.range(first_change..).next();
            let Some((_, revision)) = committed else { continue };
            if Some(*revision) <= newest_committed {
                let violation = format!("{revision:?} was committed again after {newest_committed:?}");
                self.observed.report_violation(violation);
            }
            return Some(self.now - begin);
        }
        None
    }

    /// Whether all running replicas are in the same view and have delivered the same newest state.
    pub fn all_agree(&self) -> bool {
        let running = self.machines.iter().filter_map(|machine| machine.consensus.as_ref());
        let positions: BTreeSet<_> = running
            .map(|consensus| {
                let revision = consensus.delivered().map(|(revision, _)| revision);
                (consensus.view().map(|view| view.number), revision)
            })
            .collect();
        positions.len() == 1 && positions.iter().all(|(view, revision)| view.is_some() && revision.is_some())
    }

    /// Returns the members of the newest view, as known to its leader.
    pub fn members(&self) -> Vec<MemberId> {
        let leader = self.leader().and_then(|index| self.machines[index].consensus.as_ref());
        let view = leader.and_then(Consensus::view);
        view.map(|view| view.members.iter().map(|member| member.id).collect()).unwrap_or_default()
    }
}

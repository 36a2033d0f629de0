//! The machines, the links between them and the time.

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

/// A suspended process gets what came meanwhile after so long, again and again until it is resumed.
const SUSPENSION_RETRY: u64 = 50 * MS;
/// A timer fires so much later than it was set.
const TIMER_DELAY: u64 = 1000;
const MAX_ACTIONS_AT_ONCE: usize = 5_000;
const MAX_EVENTS_AT_ONCE: usize = 300_000;

#[derive(Debug)]
enum Event {
    Message { from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8> },
    WriteCompleted { at: usize, incarnation: u64, write_id: WriteId, state: Box<PersistentState> },
    Wake { at: usize, incarnation: u64 },
}

pub struct Cluster {
    /// In nanoseconds.
    pub now: u64,
    pub random: Random,
    pub seeded_bug: Option<SeededBug>,
    pub machines: Vec<Machine>,
    pub founders: Vec<SocketAddrV4>,
    pub fault_tolerance: usize,
    pub loss_per_mille: u64,
    pub duplication_per_mille: u64,
    pub delay_per_mille: u64,
    /// Messages from the first to the second address are lost.
    pub blocked_links: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    /// By time, then in the order in which events were scheduled.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    event_count: u64,
    last_id: u64,
    pub observed: Observed,
    pub messages: u64,
    /// Of all messages, each counted once.
    pub bytes: u64,
    /// The size of a state, at least.
    pub state_bytes: usize,
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

    /// Adds a machine with an empty disk.
    pub fn add(&mut self, addr: SocketAddrV4, bootstrap: bool) -> usize {
        let id = self.next_id();
        self.machines.push(Machine::new(addr, id));
        let at = self.machines.len() - 1;
        self.start(at, bootstrap);
        at
    }

    fn next_id(&mut self) -> MemberId {
        self.last_id += 1;
        MemberId(self.last_id)
    }

    pub fn start(&mut self, at: usize, bootstrap: bool) {
        let seed = self.random.below(u64::MAX);
        let machine = &mut self.machines[at];
        machine.incarnation += 1;
        machine.suspended = false;
        let settings = ConsensusSettings {
            me: Member { id: machine.id, addr: machine.addr, zone: format!("z{at}") },
            founders: self.founders.clone(),
            bootstrap,
            fault_tolerance: self.fault_tolerance,
            suspicion_timeout: Nanos(SUSPICION_TIMEOUT),
            heartbeat_interval: Nanos(HEARTBEAT_INTERVAL),
            lease_duration: Nanos(4 * HEARTBEAT_INTERVAL),
        };
        // What is on disk goes through bytes, as with a real host.
        let saved = machine.saved.as_ref().map(|saved| bitcode::decode(&bitcode::encode(saved)).unwrap());
        let now = Nanos(self.now);
        machine.consensus = Some(Consensus::with_seeded_bug(seed, settings, saved, now, self.seeded_bug));
        self.run_actions(at);
    }

    /// The process dies; a write in flight may be on disk or not.
    pub fn kill(&mut self, at: usize) {
        let mut in_flight: Vec<PersistentState> =
            self.events.values().filter_map(|event| self.write_in_flight(at, event)).collect();
        let machine = &mut self.machines[at];
        let hanging = mem::take(&mut machine.hanging_writes);
        if machine.disk == Disk::Hanging {
            in_flight.extend(hanging.into_iter().map(|write| write.state));
        }
        machine.consensus = None;
        machine.incarnation += 1;
        if let Some(state) = in_flight.pop()
            && self.random.below(2) == 0
        {
            self.machines[at].record_write(state);
        }
    }

    /// What the event writes to the disk of the machine's process.
    fn write_in_flight(&self, at: usize, event: &Event) -> Option<PersistentState> {
        match event {
            Event::WriteCompleted { at: owner, incarnation, state, .. }
                if *owner == at && *incarnation == self.machines[at].incarnation =>
            {
                Some((**state).clone())
            }
            _ => None,
        }
    }

    /// The process dies, and its disk goes back by so many writes: a restored directory, or syncs that lied.
    pub fn restore_older_disk(&mut self, at: usize, writes: usize) {
        self.kill(at);
        let machine = &mut self.machines[at];
        let remaining = machine.written.len().saturating_sub(writes).max(1);
        machine.written.truncate(remaining);
        if let Some(newest) = machine.written.last() {
            machine.saved = Some(newest.clone());
        }
    }

    /// The process dies, and its disk is emptied.
    pub fn wipe_disk(&mut self, at: usize) {
        self.kill(at);
        let id = self.next_id();
        let machine = &mut self.machines[at];
        machine.saved = None;
        machine.written.clear();
        machine.id = id;
    }

    /// Takes the machine away for good; an empty one comes at another address.
    pub fn replace_machine(&mut self, at: usize) -> usize {
        self.kill(at);
        self.machines[at].removed = true;
        let n = self.machines.len() as u8 + 1;
        self.add(addr(n), false)
    }

    /// Starts the process if it doesn't run.
    pub fn restart(&mut self, at: usize) {
        if self.machines[at].consensus.is_none() && !self.machines[at].removed {
            self.start(at, false);
        }
    }

    /// Machines that are not taken away.
    pub fn remaining_machines(&self) -> usize {
        self.machines.iter().filter(|machine| !machine.removed).count()
    }

    pub fn set_disk(&mut self, at: usize, disk: Disk) {
        let machine = &mut self.machines[at];
        if mem::replace(&mut machine.disk, disk) == disk {
            return;
        }
        let now = Nanos(self.now);
        let ok = disk.writes();
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
        self.run_actions(at);
    }

    // Events.

    fn push(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((self.now + after, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    /// Executes what the replica on this machine asks for.
    pub fn run_actions(&mut self, at: usize) {
        for _ in 0..MAX_ACTIONS_AT_ONCE {
            let now = Nanos(self.now);
            let before = self.machines[at].delivered_revision();
            let action = self.machines[at].responsive().and_then(|consensus| consensus.poll_action(now));
            let Some(action) = action else { return };
            match action {
                Action::Send { to, message } => self.send(at, to, &message),
                Action::Persist { write_id, state } => self.persist(at, write_id, state),
                Action::Deliver { view, revision, state } => {
                    self.check_delivered(at, view, revision, state, before);
                }
                Action::Committed { change_id, revision } => {
                    self.observed.check_committed(change_id, revision);
                }
                Action::Rejected { change_id } => self.observed.check_rejected(change_id),
                Action::ViewActivated { view } => self.observed.check_activated(view),
                Action::ReadIndexConfirmed { read_index } => self.check_read_index(at, read_index),
                Action::ViewLeft => {}
                Action::IdentityReplaced { previous, current } => {
                    self.machines[at].id = current;
                    self.machines[at].replaced_ids.push(previous);
                }
                Action::Wake { after } => {
                    let incarnation = self.machines[at].incarnation;
                    self.push(after.0 + TIMER_DELAY, Event::Wake { at, incarnation });
                }
            }
        }
        panic!("no end of actions at machine {at}");
    }

    fn send(&mut self, at: usize, to: SocketAddrV4, message: &Message) {
        self.messages += 1;
        let from = self.machines[at].addr;
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

    fn persist(&mut self, at: usize, write_id: WriteId, state: PersistentState) {
        self.syncs += 1;
        let machine = &mut self.machines[at];
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
        self.push(after, Event::WriteCompleted { at, incarnation, write_id, state });
    }

    /// Continues for this long.
    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        let mut events = 0;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, number))) = self.queue.pop() else { break };
            self.now = at;
            events += 1;
            assert!(events < MAX_EVENTS_AT_ONCE, "no end of events");
            let Some(event) = self.events.remove(&number) else { continue };
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        let (at, incarnation) = match &event {
            Event::Message { to, .. } => {
                let receiver = self.machines.iter().position(|machine| machine.addr == *to);
                let Some(at) = receiver else { return };
                (at, self.machines[at].incarnation)
            }
            Event::WriteCompleted { at, incarnation, .. } | Event::Wake { at, incarnation } => {
                (*at, *incarnation)
            }
        };
        let machine = &self.machines[at];
        if machine.incarnation != incarnation {
            return;
        }
        if machine.suspended {
            return self.push(SUSPENSION_RETRY, event);
        }
        match event {
            Event::Message { from, bytes, .. } => self.deliver_message(at, from, &bytes),
            Event::WriteCompleted { write_id, state, .. } => self.complete_write(at, write_id, *state),
            Event::Wake { .. } => self.run_actions(at),
        }
    }

    fn deliver_message(&mut self, at: usize, from: SocketAddrV4, bytes: &[u8]) {
        if let Some(consensus) = &mut self.machines[at].consensus {
            consensus.handle_message(Nanos(self.now), from, bitcode::decode(bytes).unwrap());
            self.run_actions(at);
        }
    }

    fn complete_write(&mut self, at: usize, write_id: WriteId, state: PersistentState) {
        let machine = &mut self.machines[at];
        if machine.disk == Disk::Hanging {
            return machine.hanging_writes.push(HangingWrite { write_id, state });
        }
        let ok = machine.disk.writes();
        if ok {
            machine.record_write(state);
        }
        if let Some(consensus) = &mut machine.consensus {
            consensus.handle_write_result(Nanos(self.now), write_id, ok);
        }
        self.run_actions(at);
    }

    // Links.

    /// Blocks the links from each machine to the other, both ways.
    pub fn partition(&mut self, one: usize, other: usize) {
        let (one, other) = (self.machines[one].addr, self.machines[other].addr);
        self.blocked_links.extend([(one, other), (other, one)]);
    }

    /// Partitions one machine off from all others.
    pub fn isolate(&mut self, one: usize) {
        let others = (0..self.machines.len()).filter(|other| *other != one);
        others.for_each(|other| self.partition(one, other));
    }

    /// Loses all messages in flight.
    pub fn drop_messages(&mut self) {
        self.events.retain(|_, event| !matches!(event, Event::Message { .. }));
    }

    /// Ends all faults that are tolerated.
    pub fn heal(&mut self) {
        (self.loss_per_mille, self.duplication_per_mille, self.delay_per_mille) = (0, 0, 0);
        self.blocked_links.clear();
        for at in 0..self.machines.len() {
            self.machines[at].suspended = false;
            self.set_disk(at, Disk::Healthy);
            self.restart(at);
        }
    }

    // Clients.

    /// The machine that leads the newest view.
    pub fn leader(&self) -> Option<usize> {
        let view = |at: &usize| {
            let consensus = self.machines[*at].consensus.as_ref();
            consensus.and_then(Consensus::view).map(|view| view.number)
        };
        (0..self.machines.len()).filter(|at| self.machines[*at].is_leader()).max_by_key(view)
    }

    /// Proposes at every machine that thinks it leads; each state has the change's id in it.
    pub fn propose(&mut self) -> Option<u64> {
        (0..self.machines.len()).filter_map(|at| self.propose_at(at)).last()
    }

    /// Proposes at this machine, if it thinks that it leads.
    pub fn propose_at(&mut self, at: usize) -> Option<u64> {
        let change_id = self.observed.proposals.len() as u64 + 1;
        let consensus = self.machines[at].responsive().filter(|consensus| consensus.is_leader())?;
        let (base, _) = consensus.delivered()?;
        let mut state = change_id.to_be_bytes().to_vec();
        state.resize(self.state_bytes.max(state.len()), 7);
        self.observed.proposals.insert(change_id, state.clone());
        consensus.propose(Nanos(self.now), change_id, base, state);
        self.run_actions(at);
        Some(change_id)
    }

    /// Requests a read index at each machine.
    pub fn request_reads(&mut self) {
        let newest = self.observed.newest_committed().unwrap_or_default();
        for machine in 0..self.machines.len() {
            let now = Nanos(self.now);
            let Some(consensus) = self.machines[machine].responsive() else { continue };
            self.observed.last_read_index += 1;
            let read_index = self.observed.last_read_index;
            self.observed.pending_reads.insert(read_index, PendingRead { machine, newest });
            // Where too many are pending it is never confirmed.
            let _ = consensus.read_index(now, ReadIndexId(read_index));
            self.run_actions(machine);
        }
    }

    /// Whether a new change is committed within this long; returns how long it took.
    pub fn commits_within(&mut self, within: u64) -> Option<u64> {
        let begin = self.now;
        let newest = self.observed.newest_committed();
        // Of several that propose at once, as one that is isolated and doesn't know it, any may be the one.
        let first_change = self.observed.proposals.len() as u64 + 1;
        while self.now - begin < within {
            self.propose();
            self.run_for(10 * MS);
            let committed = self.observed.committed.range(first_change..).next();
            let Some((_, revision)) = committed else { continue };
            if Some(*revision) <= newest {
                let violation = format!("{revision:?} was given out again, acknowledged was {newest:?}");
                self.observed.report_violation(violation);
            }
            return Some(self.now - begin);
        }
        None
    }

    /// Whether all running replicas have delivered the same newest state, and are in one view.
    pub fn all_agree(&self) -> bool {
        let running = self.machines.iter().filter_map(|machine| machine.consensus.as_ref());
        let seen: BTreeSet<_> = running
            .map(|consensus| {
                let revision = consensus.delivered().map(|(revision, _)| revision);
                (consensus.view().map(|view| view.number), revision)
            })
            .collect();
        seen.len() == 1 && seen.iter().all(|(view, revision)| view.is_some() && revision.is_some())
    }

    /// The members of the newest view, as its leader knows them.
    pub fn members(&self) -> Vec<MemberId> {
        let leader = self.leader().and_then(|at| self.machines[at].consensus.as_ref());
        let view = leader.and_then(Consensus::view);
        view.map(|view| view.members.iter().map(|member| member.id).collect()).unwrap_or_default()
    }
}

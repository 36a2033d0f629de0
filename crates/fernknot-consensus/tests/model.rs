//! Model check of three controllers that run the real consensus code. Messages may be reordered, delayed and
//! duplicated; a process may crash at any moment, with its write in flight completed or not; a disk may be wiped or
//! restored to the state before its last write; and a machine may be replaced by an empty one at another address.
//! Heartbeats are delivered at each tick of the clock, unless one node is isolated in one direction or both.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use fernknot::interface::Nanos;
use fernknot_consensus::*;
use stateright::{Checker, Model, Property};

const COUNT: usize = 3;
const HEARTBEAT_INTERVAL: u64 = 100;
const SUSPICION_TIMEOUT: u64 = 3 * HEARTBEAT_INTERVAL;
/// Last bytes of the available addresses.
const ADDRESS_BYTES: [u8; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn addr(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, ADDRESS_BYTES[index % 8]), 7000)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// Number of its address; it changes when the machine is replaced.
    address: usize,
    consensus: Consensus,
    id: MemberId,
    saved: Option<PersistentState>,
    /// Content of the disk before the last write.
    older_saved: Option<PersistentState>,
    pending_write: Option<(WriteId, PersistentState)>,
}

/// Direction in which heartbeats of an isolated node are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Direction {
    Both,
    Inbound,
    Outbound,
}

/// Loss of one node's heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Isolation {
    node: usize,
    direction: Direction,
}

impl Isolation {
    fn loses(self, from: usize, to: usize) -> bool {
        (from == self.node && self.direction != Direction::Inbound)
            || (to == self.node && self.direction != Direction::Outbound)
    }
}

/// A message in flight, with the numbers of its addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRead {
    read_index: ReadIndexId,
    node: usize,
    /// The newest committed revision when it was requested.
    committed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    nodes: Vec<Node>,
    messages: BTreeSet<Envelope>,
    isolated: Option<Isolation>,
    budget: [u8; 6],
    pending_reads: Vec<PendingRead>,
    /// Delivered or committed states, by revision.
    states: Vec<(u64, Arc<[u8]>)>,
    /// Views that were active.
    views: Vec<View>,
    /// The newest committed revision.
    committed: u64,
    violation: Option<&'static str>,
}

/// Indexes into the budget of the remaining steps of each kind: ticks of the clock, crashes or isolations, wiped or
/// outdated disks, duplicated messages, proposals, and read indexes.
const TICK: usize = 0;
const CRASH: usize = 1;
const WIPE: usize = 2;
const DUPLICATE: usize = 3;
const PROPOSE: usize = 4;
const READ: usize = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver {
        envelope: Envelope,
        duplicate: bool,
    },
    CompleteWrite(usize),
    Crash {
        node: usize,
        write_completes: bool,
    },
    Wipe(usize),
    /// The disk is restored to its content before the last write.
    RestoreOlder(usize),
    /// The machine is replaced by an empty one at another address.
    Replace(usize),
    Isolate(Isolation),
    EndIsolation,
    Tick,
    Propose(usize),
    Read(usize),
}

struct Controllers {
    seeded_bug: Option<SeededBug>,
    budget: [u8; 6],
}

impl Controllers {
    fn start(
        &self,
        world: &World,
        address: usize,
        id: MemberId,
        saved: Option<PersistentState>,
        is_first_start: bool,
    ) -> Consensus {
        let settings = ConsensusSettings {
            me: Member { id, addr: addr(address), zone: String::new() },
            founders: (0..COUNT).map(addr).collect(),
            bootstrap: is_first_start,
            fault_tolerance: 1,
            suspicion_timeout: Nanos(SUSPICION_TIMEOUT),
            heartbeat_interval: Nanos(HEARTBEAT_INTERVAL),
            lease_duration: Nanos(SUSPICION_TIMEOUT),
        };
        Consensus::with_seeded_bug(world.now + id.0, settings, saved, Nanos(world.now), self.seeded_bug)
    }

    fn run_actions(&self, world: &mut World, index: usize) {
        let now = Nanos(world.now);
        while let Some(action) = world.nodes[index].consensus.poll_action(now) {
            match action {
                Action::Send { to, message } => {
                    let Some(to) = world.nodes.iter().position(|node| addr(node.address) == to) else {
                        continue;
                    };
                    let from = world.nodes[index].address;
                    let is_lost = world.isolated.is_some_and(|isolation| isolation.loses(index, to));
                    if !matches!(message, Message::Heartbeat(_)) {
                        let bytes = bitcode::encode(&message);
                        let to = world.nodes[to].address;
                        world.messages.insert(Envelope { from, to, bytes });
                    } else if !is_lost {
                        world.nodes[to].consensus.handle_message(now, addr(from), message);
                    }
                }
                Action::Persist { write_id, state } => {
                    world.nodes[index].pending_write = Some((write_id, state));
                }
                Action::Deliver { revision, state, .. } => self.check_state(world, revision, state),
                Action::Committed { change_id, revision } => {
                    world.committed = world.committed.max(revision.0);
                    if self.disks_with(world, revision) < 2 {
                        world.violation = Some("committed on no more disks than may be lost");
                    }
                    self.check_state(world, revision, Arc::from(change_id.to_be_bytes()));
                }
                Action::ViewActivated { view } if !self.is_on_members_disks(world, &view) => {
                    world.violation = Some("a view is active before it is on its members' disks");
                }
                Action::ViewActivated { view } => {
                    match world.views.iter().find(|known| known.number == view.number) {
                        Some(known) if *known != view => {
                            world.violation = Some("two different views have one number")
                        }
                        Some(_) => {}
                        None => world.views.push(view),
                    }
                }
                Action::IdentityReplaced { current, .. } => world.nodes[index].id = current,
                Action::ReadIndexConfirmed { read_index } => {
                    self.check_read_index(world, index, read_index);
                }
                Action::Rejected { .. } | Action::ViewLeft | Action::Wake { .. } => {}
            }
        }
        let consensus = &world.nodes[index].consensus;
        let newest = world.views.iter().map(|view| view.number).max();
        let leads = consensus.is_leader() && consensus.view().map(|view| view.number) == newest;
        if leads && consensus.delivered().is_some_and(|(revision, _)| revision.0 < world.committed) {
            world.violation = Some("the leader of the newest view lacks a committed change");
        }
    }

    fn disks_with(&self, world: &World, revision: Revision) -> usize {
        let has_it = |saved: &PersistentState| {
            let accepted = saved.accepted.as_ref().map(|accepted| accepted.revision);
            saved.revision >= revision || accepted >= Some(revision)
        };
        world.nodes.iter().filter(|node| node.saved.as_ref().is_some_and(has_it)).count()
    }

    /// Whether all members of the view have it on disk, not counting those whose disk was replaced since.
    fn is_on_members_disks(&self, world: &World, view: &View) -> bool {
        let has_it = |saved: &PersistentState| {
            let accepted = saved.accepted.as_ref().map(|accepted| accepted.next.view.number);
            saved.chosen.view.number >= view.number || accepted >= Some(view.number)
        };
        let is_member = |node: &&Node| view.members.iter().any(|member| member.id == node.id);
        world.nodes.iter().filter(is_member).all(|node| node.saved.as_ref().is_some_and(has_it))
    }

    fn check_read_index(&self, world: &mut World, index: usize, read_index: ReadIndexId) {
        let pending = world.pending_reads.iter().position(|pending| pending.read_index == read_index);
        let delivered = world.nodes[index].consensus.delivered().map(|(revision, _)| revision.0);
        match pending.map(|pending| world.pending_reads.remove(pending)) {
            Some(read) if read.node == index && delivered >= Some(read.committed) => {}
            _ => {
                world.violation =
                    Some("a read index was confirmed twice, elsewhere, or below a committed revision")
            }
        }
    }

    fn check_state(&self, world: &mut World, revision: Revision, state: Arc<[u8]>) {
        match world.states.iter().find(|(known, _)| *known == revision.0) {
            Some((_, known)) if *known != state => {
                world.violation = Some("two different states at one revision")
            }
            Some(_) => {}
            None => world.states.push((revision.0, state)),
        }
    }

    fn run_all_actions(&self, world: &mut World) {
        (0..COUNT).for_each(|index| self.run_actions(world, index));
    }

    fn deliver(&self, world: &mut World, envelope: &Envelope) {
        let Envelope { from, to, bytes } = envelope;
        let now = Nanos(world.now);
        // A message to the address of a replaced machine is lost.
        if let Some(node) = world.nodes.iter_mut().find(|node| node.address == *to) {
            node.consensus.handle_message(now, addr(*from), bitcode::decode(bytes).unwrap());
        }
        self.run_all_actions(world);
    }

    fn complete_write(&self, world: &mut World, index: usize) {
        if let Some((write_id, state)) = world.nodes[index].pending_write.take() {
            world.nodes[index].older_saved = world.nodes[index].saved.replace(state);
            world.nodes[index].consensus.handle_write_result(Nanos(world.now), write_id, true);
            self.run_all_actions(world);
        }
    }

    fn crash(&self, world: &mut World, index: usize, write_completes: bool) {
        world.budget[CRASH] -= 1;
        let pending_write = world.nodes[index].pending_write.take();
        if let (true, Some((_, state))) = (write_completes, pending_write) {
            world.nodes[index].saved = Some(state);
        }
        world.now += 1;
        let (id, saved) = (world.nodes[index].id, world.nodes[index].saved.clone());
        world.nodes[index].consensus = self.start(world, world.nodes[index].address, id, saved, false);
        self.run_all_actions(world);
    }

    fn wipe(&self, world: &mut World, index: usize) {
        let id = MemberId(world.nodes[index].id.0 + 10);
        self.replace_disk(world, index, id, None);
    }

    fn replace_machine(&self, world: &mut World, index: usize) {
        world.nodes[index].address += COUNT;
        self.wipe(world, index);
    }

    fn restore_older(&self, world: &mut World, index: usize) {
        let (id, older_saved) = (world.nodes[index].id, world.nodes[index].older_saved.take());
        self.replace_disk(world, index, id, older_saved);
    }

    fn replace_disk(&self, world: &mut World, index: usize, id: MemberId, saved: Option<PersistentState>) {
        world.budget[WIPE] -= 1;
        world.now += 1;
        let address = world.nodes[index].address;
        let consensus = self.start(world, address, id, saved.clone(), false);
        world.nodes[index] = Node { address, consensus, id, saved, older_saved: None, pending_write: None };
        self.run_all_actions(world);
    }

    fn read(&self, world: &mut World, index: usize) {
        let read_index = ReadIndexId(world.budget[READ] as u64);
        world.budget[READ] -= 1;
        let committed = world.committed;
        world.pending_reads.push(PendingRead { read_index, node: index, committed });
        // If too many are pending, this one is never confirmed.
        let _ = world.nodes[index].consensus.read_index(Nanos(world.now), read_index);
        self.run_all_actions(world);
    }

    /// Proposes a change; `None` if no state was delivered that it could be based on.
    fn propose(&self, world: &mut World, index: usize) -> Option<()> {
        world.budget[PROPOSE] -= 1;
        let change_id = 100 * world.now + index as u64;
        let now = Nanos(world.now);
        let consensus = &mut world.nodes[index].consensus;
        let (base, _) = consensus.delivered()?;
        consensus.propose(now, change_id, base, change_id.to_be_bytes().to_vec());
        self.run_all_actions(world);
        Some(())
    }
}

impl Model for Controllers {
    type State = World;
    type Action = Step;

    /// Returns the state after the founding, which happens in a fixed order of steps.
    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 1,
            nodes: Vec::new(),
            messages: BTreeSet::new(),
            isolated: None,
            budget: self.budget,
            pending_reads: Vec::new(),
            states: Vec::new(),
            views: Vec::new(),
            committed: 0,
            violation: None,
        };
        for index in 0..COUNT {
            let id = MemberId(index as u64 + 1);
            let consensus = self.start(&world, index, id, None, true);
            world.nodes.push(Node {
                address: index,
                consensus,
                id,
                saved: None,
                older_saved: None,
                pending_write: None,
            });
        }
        for step in 0..400 {
            self.run_all_actions(&mut world);
            (0..COUNT).for_each(|index| self.complete_write(&mut world, index));
            if let Some(envelope) = world.messages.pop_first() {
                self.deliver(&mut world, &envelope);
            } else if step % 10 == 0 {
                world.now += HEARTBEAT_INTERVAL;
            }
        }
        assert_eq!(world.views.len(), 1);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.violation.is_some() {
            return;
        }
        for envelope in &world.messages {
            steps.push(Step::Deliver { envelope: envelope.clone(), duplicate: false });
            if world.budget[DUPLICATE] > 0 {
                steps.push(Step::Deliver { envelope: envelope.clone(), duplicate: true });
            }
        }
        for (index, node) in world.nodes.iter().enumerate() {
            if node.pending_write.is_some() {
                steps.push(Step::CompleteWrite(index));
            }
            if world.budget[CRASH] > 0 {
                steps.push(Step::Crash { node: index, write_completes: false });
                if node.pending_write.is_some() {
                    steps.push(Step::Crash { node: index, write_completes: true });
                }
                if world.isolated.is_none() {
                    let directions = [Direction::Both, Direction::Inbound, Direction::Outbound];
                    let isolations = directions.map(|direction| Isolation { node: index, direction });
                    steps.extend(isolations.map(Step::Isolate));
                }
            }
            if world.budget[WIPE] > 0 {
                steps.push(Step::Wipe(index));
                if node.address + COUNT < ADDRESS_BYTES.len() {
                    steps.push(Step::Replace(index));
                }
                if node.older_saved.is_some() {
                    steps.push(Step::RestoreOlder(index));
                }
            }
            if world.budget[PROPOSE] > 0 && node.consensus.is_leader() {
                steps.push(Step::Propose(index));
            }
            if world.budget[READ] > 0 && node.consensus.view().is_some() {
                steps.push(Step::Read(index));
            }
        }
        if world.isolated.is_some() {
            steps.push(Step::EndIsolation);
        }
        if world.budget[TICK] > 0 {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Deliver { envelope, duplicate } => {
                if duplicate {
                    next.budget[DUPLICATE] -= 1;
                } else {
                    next.messages.remove(&envelope);
                }
                self.deliver(&mut next, &envelope);
            }
            Step::CompleteWrite(index) => self.complete_write(&mut next, index),
            Step::Crash { node, write_completes } => self.crash(&mut next, node, write_completes),
            Step::Wipe(index) => self.wipe(&mut next, index),
            Step::RestoreOlder(index) => self.restore_older(&mut next, index),
            Step::Replace(index) => self.replace_machine(&mut next, index),
            Step::Isolate(isolation) => {
                next.budget[CRASH] -= 1;
                next.isolated = Some(isolation);
            }
            Step::EndIsolation => next.isolated = None,
            Step::Tick => {
                next.budget[TICK] -= 1;
                next.now += HEARTBEAT_INTERVAL;
                // Heartbeats may cause further heartbeats, so the actions run several times.
                (0..3).for_each(|_| self.run_all_actions(&mut next));
            }
            Step::Read(index) => self.read(&mut next, index),
            Step::Propose(index) => self.propose(&mut next, index)?,
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("no safety rule is violated", |_, world: &World| world.violation.is_none())]
    }
}

const MAX_STATES: usize = 12_000;

#[test_case::test_case([6, 1, 0, 0, 1, 0]; "a crash or an isolation, with a change in flight")]
#[test_case::test_case([6, 1, 1, 0, 1, 0]; "also a wiped or outdated disk, or a replaced machine")]
#[test_case::test_case([6, 1, 1, 0, 1, 1]; "also a disk fault and a read index")]
#[test_case::test_case([6, 2, 0, 1, 2, 0]; "two crashes and a duplicated message")]
#[test_case::test_case([6, 1, 0, 1, 1, 1]; "a crash, a duplicated message and a read index")]
fn given_three_controllers_when_any_modelled_fault_occurs_then_no_safety_rule_is_violated(budget: [u8; 6]) {
    let checker = Controllers { seeded_bug: None, budget }.checker();
    let breadth_first = checker.threads(2).target_state_count(MAX_STATES).spawn_bfs().join();
    let depth_first = Controllers { seeded_bug: None, budget }.checker();
    let depth_first = depth_first.threads(2).target_state_count(MAX_STATES).spawn_dfs().join();
    println!(
        "{budget:?}: {} states breadth-first, {} depth-first",
        breadth_first.unique_state_count(),
        depth_first.unique_state_count()
    );
    breadth_first.assert_properties();
    depth_first.assert_properties();
}

#[test_case::test_case(SeededBug::CommitOnOneDisk, [1, 0, 0, 0, 1, 0])]
#[test_case::test_case(SeededBug::SendBeforePersist, [1, 0, 0, 0, 1, 0])]
#[test_case::test_case(SeededBug::ReadIndexIgnoresPendingChange, [0, 0, 0, 0, 1, 1])]
fn given_a_seeded_bug_when_the_model_is_checked_then_it_is_found(seeded_bug: SeededBug, budget: [u8; 6]) {
    let checker = Controllers { seeded_bug: Some(seeded_bug), budget }.checker();
    let checker = checker.threads(2).target_state_count(4 * MAX_STATES).spawn_bfs().join();
    println!("{seeded_bug:?}: {} states", checker.unique_state_count());
    assert!(checker.discoveries().values().next().is_some());
}

//! A model of three controllers: the register's own code, every word delivered in any order, late
//! or twice, a crash at any moment with the write under way on disk or not, an emptied disk, and one that is a write old.
//! Pulses come at each turn of the clock, except to and from one that is cut off.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use fernknot::interface::Nanos;
use fernknot_consensus::*;
use stateright::{Checker, Model, Property};

const COUNT: usize = 3;
const PULSE: u64 = 100;
const SUSPECT: u64 = 3 * PULSE;
const SPARE: [u8; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn addr(at: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, SPARE[at % 8]), 7000)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    views: Consensus,
    id: MemberId,
    saved: Option<PersistentState>,
    /// What was on the disk before the last write.
    older: Option<PersistentState>,
    writing: Option<(WriteId, PersistentState)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    nodes: Vec<Node>,
    words: BTreeSet<(usize, usize, Vec<u8>)>,
    cut: Option<usize>,
    left: [u8; 6],
    /// Inquiries in hand: by whom, and what was acknowledged by then.
    asked: Vec<(ReadIndexId, usize, u64)>,
    /// What was delivered or acknowledged, and the views that were entered.
    states: Vec<(u64, Arc<[u8]>)>,
    views: Vec<View>,
    acknowledged: u64,
    broken: Option<&'static str>,
}

/// What `left` counts: turns of the clock, crashes, emptied or older disks, doubled words, proposals, inquiries.
const TURN: usize = 0;
const CRASH: usize = 1;
const WIPE: usize = 2;
const DOUBLE: usize = 3;
const PROPOSE: usize = 4;
const ASK: usize = 5;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Hear((usize, usize, Vec<u8>), bool),
    Synced(usize),
    Crash(usize, bool),
    Wipe(usize),
    /// The disk is as it was before the last write.
    Older(usize),
    Cut(usize),
    Mend,
    Turn,
    Propose(usize),
    Ask(usize),
}

struct Controllers {
    plant: Option<SeededBug>,
    left: [u8; 6],
}

impl Controllers {
    fn start(
        &self,
        world: &World,
        at: usize,
        id: MemberId,
        saved: Option<PersistentState>,
        first: bool,
    ) -> Consensus {
        let facts = ConsensusSettings {
            me: Member { id, addr: addr(at), zone: String::new() },
            founders: (0..COUNT).map(addr).collect(),
            bootstrap: first,
            fault_tolerance: 1,
            suspicion_timeout: Nanos(SUSPECT),
            heartbeat_interval: Nanos(PULSE),
            lease_duration: Nanos(SUSPECT),
        };
        Consensus::with_seeded_bug(world.now + id.0, facts, saved, Nanos(world.now), self.plant)
    }

    fn serve(&self, world: &mut World, at: usize) {
        let now = Nanos(world.now);
        while let Some(order) = world.nodes[at].views.poll_action(now) {
            match order {
                Action::Send { to, message: word } => {
                    let Some(to) = (0..COUNT).find(|other| addr(*other) == to) else { continue };
                    let cut = world.cut.is_some_and(|cut| cut == at || cut == to);
                    if !matches!(word, Message::Heartbeat(_)) {
                        world.words.insert((at, to, bitcode::encode(&word)));
                    } else if !cut {
                        world.nodes[to].views.handle_message(now, addr(at), word);
                    }
                }
                Action::Persist { write_id: ticket, state: saved } => {
                    world.nodes[at].writing = Some((ticket, saved))
                }
                Action::Deliver { revision: no, state, .. } => self.state(world, no.0, state),
                Action::Committed { change_id: proposal, revision: no } => {
                    world.acknowledged = world.acknowledged.max(no.0);
                    if self.disks_with(world, no) < 2 {
                        world.broken = Some("acknowledged on fewer disks than may be lost and one");
                    }
                    self.state(world, no.0, Arc::from(proposal.to_be_bytes()));
                }
                Action::ViewActivated { view } if !self.on_disk(world, &view) => {
                    world.broken = Some("a view in force before it is on its members' disks");
                }
                Action::ViewActivated { view } => {
                    match world.views.iter().find(|known| known.number == view.number) {
                        Some(known) if *known != view => world.broken = Some("two views of one number"),
                        Some(_) => {}
                        None => world.views.push(view),
                    }
                }
                Action::IdentityReplaced { current: me, .. } => world.nodes[at].id = me,
                Action::ReadIndexConfirmed { read_index: inquiry } => {
                    let found = world.asked.iter().position(|(asked, ..)| *asked == inquiry);
                    let has = world.nodes[at].views.delivered().map(|(no, _)| no.0);
                    match found.map(|found| world.asked.remove(found)) {
                        Some((_, by, newest)) if by == at && has >= Some(newest) => {}
                        _ => world.broken = Some("an inquiry confirmed that may not be"),
                    }
                }
                Action::Rejected { .. } | Action::ViewLeft | Action::Wake { .. } => {}
            }
        }
        let views = &world.nodes[at].views;
        let newest = world.views.iter().map(|view| view.number).max();
        let leads = views.is_leader() && views.view().map(|view| view.number) == newest;
        if leads && views.delivered().is_some_and(|(no, _)| no.0 < world.acknowledged) {
            world.broken = Some("an acknowledged state is not in the newest view");
        }
    }

    fn disks_with(&self, world: &World, no: Revision) -> usize {
        let has = |saved: &PersistentState| {
            saved.revision >= no || saved.accepted.as_ref().is_some_and(|next| next.revision >= no)
        };
        world.nodes.iter().filter(|node| node.saved.as_ref().is_some_and(has)).count()
    }

    /// Members whose disk was emptied since don't count.
    fn on_disk(&self, world: &World, view: &View) -> bool {
        let has = |saved: &PersistentState| {
            let vouched = saved.accepted.as_ref().map(|vouched| vouched.next.view.number);
            saved.chosen.view.number >= view.number || vouched >= Some(view.number)
        };
        let inside = |node: &&Node| view.members.iter().any(|member| member.id == node.id);
        world.nodes.iter().filter(inside).all(|node| node.saved.as_ref().is_some_and(has))
    }

    fn state(&self, world: &mut World, no: u64, state: Arc<[u8]>) {
        match world.states.iter().find(|(known, _)| *known == no) {
            Some((_, known)) if *known != state => world.broken = Some("two states at one number"),
            Some(_) => {}
            None => world.states.push((no, state)),
        }
    }

    fn all_serve(&self, world: &mut World) {
        (0..COUNT).for_each(|at| self.serve(world, at));
    }

    fn hear(&self, world: &mut World, word: &(usize, usize, Vec<u8>)) {
        let (from, to, bytes) = word;
        let now = Nanos(world.now);
        world.nodes[*to].views.handle_message(now, addr(*from), bitcode::decode(bytes).unwrap());
        self.all_serve(world);
    }

    fn synced(&self, world: &mut World, at: usize) {
        if let Some((ticket, saved)) = world.nodes[at].writing.take() {
            world.nodes[at].older = world.nodes[at].saved.replace(saved);
            world.nodes[at].views.handle_write_result(Nanos(world.now), ticket, true);
            self.all_serve(world);
        }
    }
}

impl Model for Controllers {
    type State = World;
    type Action = Act;

    /// Founded, and one state acknowledged: all that comes before is played in one order.
    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 1,
            nodes: Vec::new(),
            words: BTreeSet::new(),
            cut: None,
            left: self.left,
            asked: Vec::new(),
            states: Vec::new(),
            views: Vec::new(),
            acknowledged: 0,
            broken: None,
        };
        for at in 0..COUNT {
            let id = MemberId(at as u64 + 1);
            let views = self.start(&world, at, id, None, true);
            world.nodes.push(Node { views, id, saved: None, older: None, writing: None });
        }
        for turn in 0..400 {
            self.all_serve(&mut world);
            (0..COUNT).for_each(|at| self.synced(&mut world, at));
            if let Some(word) = world.words.iter().next().cloned() {
                world.words.remove(&word);
                self.hear(&mut world, &word);
            } else if turn % 10 == 0 {
                world.now += PULSE;
            }
        }
        assert_eq!(world.views.len(), 1);
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.broken.is_some() {
            return;
        }
        for word in &world.words {
            acts.push(Act::Hear(word.clone(), false));
            if world.left[DOUBLE] > 0 {
                acts.push(Act::Hear(word.clone(), true));
            }
        }
        for (at, node) in world.nodes.iter().enumerate() {
            if node.writing.is_some() {
                acts.push(Act::Synced(at));
            }
            if world.left[CRASH] > 0 {
                acts.push(Act::Crash(at, false));
                if node.writing.is_some() {
                    acts.push(Act::Crash(at, true));
                }
                if world.cut.is_none() {
                    acts.push(Act::Cut(at));
                }
            }
            if world.left[WIPE] > 0 {
                acts.push(Act::Wipe(at));
                if node.older.is_some() {
                    acts.push(Act::Older(at));
                }
            }
            if world.left[PROPOSE] > 0 && node.views.is_leader() {
                acts.push(Act::Propose(at));
            }
            if world.left[ASK] > 0 && node.views.view().is_some() {
                acts.push(Act::Ask(at));
            }
        }
        if world.cut.is_some() {
            acts.push(Act::Mend);
        }
        if world.left[TURN] > 0 {
            acts.push(Act::Turn);
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Hear(word, again) => {
                if again {
                    next.left[DOUBLE] -= 1;
                } else {
                    next.words.remove(&word);
                }
                self.hear(&mut next, &word);
            }
            Act::Synced(at) => self.synced(&mut next, at),
            Act::Crash(at, torn) => {
                next.left[CRASH] -= 1;
                let writing = next.nodes[at].writing.take();
                if let (true, Some((_, saved))) = (torn, writing) {
                    next.nodes[at].saved = Some(saved);
                }
                next.now += 1;
                let (id, saved) = (next.nodes[at].id, next.nodes[at].saved.clone());
                next.nodes[at].views = self.start(&next, at, id, saved, false);
                self.all_serve(&mut next);
            }
            Act::Wipe(at) => {
                next.left[WIPE] -= 1;
                next.now += 1;
                let id = MemberId(next.nodes[at].id.0 + 10);
                let views = self.start(&next, at, id, None, false);
                next.nodes[at] = Node { views, id, saved: None, older: None, writing: None };
                self.all_serve(&mut next);
            }
            Act::Older(at) => {
                next.left[WIPE] -= 1;
                next.now += 1;
                let (id, older) = (next.nodes[at].id, next.nodes[at].older.take());
                let views = self.start(&next, at, id, older.clone(), false);
                next.nodes[at] = Node { views, id, saved: older, older: None, writing: None };
                self.all_serve(&mut next);
            }
            Act::Cut(at) => {
                next.left[CRASH] -= 1;
                next.cut = Some(at);
            }
            Act::Mend => next.cut = None,
            Act::Turn => {
                next.left[TURN] -= 1;
                next.now += PULSE;
                // Pulses are answered by pulses: as often as two turns need.
                (0..3).for_each(|_| self.all_serve(&mut next));
            }
            Act::Ask(at) => {
                let inquiry = ReadIndexId(next.left[ASK] as u64);
                next.left[ASK] -= 1;
                next.asked.push((inquiry, at, next.acknowledged));
                let now = Nanos(next.now);
                next.nodes[at].views.read_index(now, inquiry);
                self.all_serve(&mut next);
            }
            Act::Propose(at) => {
                next.left[PROPOSE] -= 1;
                let proposal = 100 * next.now + at as u64;
                let base = next.nodes[at].views.delivered().map(|(no, _)| no)?;
                let now = Nanos(next.now);
                next.nodes[at].views.propose(now, proposal, base, proposal.to_be_bytes().to_vec());
                self.all_serve(&mut next);
            }
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "one order, one view a number, nothing acknowledged lost",
            |_, world: &World| world.broken.is_none(),
        )]
    }
}

const MOST_STATES: usize = 12_000;

#[test_case::test_case([6, 1, 0, 0, 1, 0]; "a crash or a cut with a change under way")]
#[test_case::test_case([6, 1, 1, 0, 1, 0]; "an emptied or older disk besides")]
#[test_case::test_case([6, 2, 0, 1, 2, 0]; "two crashes and a doubled word")]
#[test_case::test_case([6, 1, 0, 1, 1, 1]; "a question besides")]
fn given_three_controllers_when_anything_may_happen_then_one_order_stands(left: [u8; 6]) {
    let checker = Controllers { plant: None, left }.checker();
    let broad = checker.threads(2).target_state_count(MOST_STATES).spawn_bfs().join();
    let deep = Controllers { plant: None, left }.checker();
    let deep = deep.threads(2).target_state_count(MOST_STATES).spawn_dfs().join();
    println!(
        "{left:?}: {} states in breadth, {} in depth",
        broad.unique_state_count(),
        deep.unique_state_count()
    );
    broad.assert_properties();
    deep.assert_properties();
}

#[test_case::test_case(SeededBug::CommitOnOneDisk, [1, 0, 0, 0, 1, 0])]
#[test_case::test_case(SeededBug::SendBeforePersist, [1, 0, 0, 0, 1, 0])]
#[test_case::test_case(SeededBug::ReadIndexIgnoresPendingChange, [0, 0, 0, 0, 1, 1])]
fn given_a_planted_break_when_the_model_is_checked_then_it_is_found(plant: SeededBug, left: [u8; 6]) {
    let checker = Controllers { plant: Some(plant), left }.checker();
    let checker = checker.threads(2).target_state_count(4 * MOST_STATES).spawn_bfs().join();
    println!("{plant:?}: {} states", checker.unique_state_count());
    assert!(checker.discoveries().values().next().is_some());
}

//! An in-memory fleet of controllers with seeded chance: late, lost and doubled words, crashes,
//! emptied disks, replaced machines, one-way cuts, hanging and full disks. Every step checks what
//! must hold always; the first break is kept in `broken`.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use fernknot::interface::Nanos;
use fernknot_consensus::*;

pub const MS: u64 = 1_000_000;
pub const SUSPECT: u64 = 500 * MS;
pub const PULSE: u64 = 100 * MS;

pub fn addr(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000)
}

/// So many times the usual seeds are played: FERNKNOT_MORE_SEEDS, or once.
pub fn more_seeds() -> u64 {
    std::env::var("FERNKNOT_MORE_SEEDS").ok().and_then(|told| told.parse().ok()).unwrap_or(1)
}

pub struct Chance(pub u64);

impl Chance {
    pub fn draw(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let z = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        (z ^ (z >> 33)) % below.max(1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Well,
    /// A sync takes a good part of the time after which one is suspected.
    Slow,
    Hangs,
    Full,
}

impl Disk {
    fn writes(self) -> bool {
        matches!(self, Disk::Well | Disk::Slow)
    }
}

/// A machine: its disk outlives its process.
pub struct Machine {
    pub addr: SocketAddrV4,
    pub id: MemberId,
    pub saved: Option<PersistentState>,
    /// All that was ever whole on the disk of this life.
    pub copies: Vec<PersistentState>,
    /// Lives that gave themselves up.
    pub renewed: Vec<MemberId>,
    pub disk: Disk,
    pub views: Option<Consensus>,
    pub life: u64,
    pub frozen: bool,
    /// Taken away with its disk.
    pub gone: bool,
    held_writes: Vec<(WriteId, PersistentState)>,
    told_full: bool,
}

#[derive(Debug)]
enum Event {
    Word { from: SocketAddrV4, to: SocketAddrV4, bytes: Vec<u8> },
    Stored { at: usize, life: u64, ticket: WriteId, saved: Box<PersistentState> },
    Wake { at: usize, life: u64 },
}

pub struct Fleet {
    pub now: u64,
    pub chance: Chance,
    pub plant: Option<SeededBug>,
    pub machines: Vec<Machine>,
    pub founders: Vec<SocketAddrV4>,
    pub losses: usize,
    /// In a thousand.
    pub lose: u64,
    pub double: u64,
    pub late: u64,
    pub cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    queue: BinaryHeap<(std::cmp::Reverse<(u64, u64)>, u64)>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    ids: u64,
    pub proposals: BTreeMap<u64, Vec<u8>>,
    pub taken: BTreeMap<u64, Revision>,
    pub refused: BTreeSet<u64>,
    /// What was delivered at each order number, anywhere.
    pub states: BTreeMap<u64, Arc<[u8]>>,
    pub views: BTreeMap<u64, View>,
    /// Inquiries in hand: by whom, and the newest that was acknowledged anywhere when they were made.
    asked: BTreeMap<u64, (usize, Revision)>,
    inquiries: u64,
    pub confirmed: u64,
    pub words: u64,
    /// Of all words, sent once.
    pub bytes: u64,
    /// A state has at least so many.
    pub state_bytes: usize,
    pub syncs: u64,
    pub broken: Option<String>,
}

impl Fleet {
    pub fn new(seed: u64, machines: u8, founders: u8, losses: usize, plant: Option<SeededBug>) -> Fleet {
        let mut fleet = Fleet {
            now: MS,
            chance: Chance(seed.wrapping_mul(2).wrapping_add(1)),
            plant,
            machines: Vec::new(),
            founders: (1..=founders).map(addr).collect(),
            losses,
            lose: 0,
            double: 0,
            late: 0,
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            ids: 0,
            proposals: BTreeMap::new(),
            taken: BTreeMap::new(),
            refused: BTreeSet::new(),
            states: BTreeMap::new(),
            views: BTreeMap::new(),
            asked: BTreeMap::new(),
            inquiries: 0,
            confirmed: 0,
            words: 0,
            bytes: 0,
            state_bytes: 0,
            syncs: 0,
            broken: None,
        };
        for n in 1..=machines {
            fleet.add(addr(n), true);
        }
        fleet
    }

    /// A machine with an empty disk.
    pub fn add(&mut self, addr: SocketAddrV4, bootstrap: bool) -> usize {
        self.ids += 1;
        self.machines.push(Machine {
            addr,
            id: MemberId(self.ids),
            saved: None,
            copies: Vec::new(),
            renewed: Vec::new(),
            disk: Disk::Well,
            views: None,
            life: 0,
            frozen: false,
            gone: false,
            held_writes: Vec::new(),
            told_full: false,
        });
        let at = self.machines.len() - 1;
        self.start(at, bootstrap);
        at
    }

    pub fn start(&mut self, at: usize, bootstrap: bool) {
        let seed = self.chance.draw(u64::MAX);
        let machine = &mut self.machines[at];
        machine.life += 1;
        machine.frozen = false;
        machine.told_full = false;
        let facts = ConsensusSettings {
            me: Member { id: machine.id, addr: machine.addr, zone: format!("z{at}") },
            founders: self.founders.clone(),
            bootstrap,
            fault_tolerance: self.losses,
            suspicion_timeout: Nanos(SUSPECT),
            heartbeat_interval: Nanos(PULSE),
            lease_duration: Nanos(4 * PULSE),
        };
        // What lies on disk goes through bytes, as with a real host.
        let saved = machine.saved.as_ref().map(|saved| bitcode::decode(&bitcode::encode(saved)).unwrap());
        machine.views = Some(Consensus::with_seeded_bug(seed, facts, saved, Nanos(self.now), self.plant));
        self.serve(at);
    }

    /// The process dies; a write under way may be on disk or not.
    pub fn kill(&mut self, at: usize) {
        let mut under_way: Vec<PersistentState> = self
            .events
            .values()
            .filter_map(|event| match event {
                Event::Stored { at: whose, life, saved, .. }
                    if *whose == at && *life == self.machines[at].life =>
                {
                    Some((**saved).clone())
                }
                _ => None,
            })
            .collect();
        let machine = &mut self.machines[at];
        if machine.disk == Disk::Hangs {
            under_way.extend(machine.held_writes.drain(..).map(|(_, saved)| saved));
        }
        machine.held_writes.clear();
        machine.views = None;
        machine.life += 1;
        if let Some(saved) = under_way.pop()
            && self.chance.draw(2) == 0
        {
            self.keep(at, saved);
        }
    }

    fn keep(&mut self, at: usize, saved: PersistentState) {
        let machine = &mut self.machines[at];
        machine.copies.retain(|copy| copy.member_id == saved.member_id);
        machine.copies.push(saved.clone());
        machine.saved = Some(saved);
    }

    /// The process dies, and its disk goes back by so many writes: a restored folder, or syncs that lied.
    pub fn restore(&mut self, at: usize, writes: usize) {
        self.kill(at);
        let machine = &mut self.machines[at];
        let left = machine.copies.len().saturating_sub(writes).max(1);
        machine.copies.truncate(left);
        if let Some(copy) = machine.copies.last() {
            machine.saved = Some(copy.clone());
        }
    }

    pub fn wipe(&mut self, at: usize) {
        self.kill(at);
        self.ids += 1;
        self.machines[at].saved = None;
        self.machines[at].copies.clear();
        self.machines[at].id = MemberId(self.ids);
    }

    /// Takes the machine away for good; an empty one comes at another address.
    pub fn replace(&mut self, at: usize) -> usize {
        self.kill(at);
        self.machines[at].gone = true;
        let n = self.machines.len() as u8 + 1;
        self.add(addr(n), false)
    }

    pub fn restart(&mut self, at: usize) {
        if self.machines[at].views.is_none() && !self.machines[at].gone {
            self.start(at, false);
        }
    }

    pub fn disk(&mut self, at: usize, disk: Disk) {
        let was = std::mem::replace(&mut self.machines[at].disk, disk);
        if was == disk {
            return;
        }
        let held: Vec<_> = self.machines[at].held_writes.drain(..).collect();
        let now = Nanos(self.now);
        for (ticket, saved) in held {
            let ok = disk.writes();
            if ok {
                self.keep(at, saved);
            }
            if let Some(views) = &mut self.machines[at].views {
                views.handle_write_result(now, ticket, ok);
            }
        }
        if let Some(views) = &mut self.machines[at].views {
            views.set_disk_healthy(now, disk.writes());
        }
        self.serve(at);
    }

    fn push(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.queue.push((std::cmp::Reverse((self.now + after, self.serial)), self.serial));
        self.events.insert(self.serial, event);
    }

    fn break_rule(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// Carries out what the register at this machine orders.
    pub fn serve(&mut self, at: usize) {
        let mut orders = 0;
        loop {
            orders += 1;
            let now = Nanos(self.now);
            if self.machines[at].frozen {
                return;
            }
            let before =
                self.machines[at].views.as_ref().and_then(|views| views.delivered()).map(|(no, _)| no);
            let Some(order) = self.machines[at].views.as_mut().and_then(|views| views.poll_action(now))
            else {
                return;
            };
            let life = self.machines[at].life;
            assert!(orders < 5_000, "no end of orders at machine {at}: {order:?}");
            match order {
                Action::Send { to, message: word } => {
                    self.words += 1;
                    let from = self.machines[at].addr;
                    let bytes = bitcode::encode(&word);
                    self.bytes += bytes.len() as u64;
                    let times = if self.chance.draw(1000) < self.double { 2 } else { 1 };
                    for _ in 0..times {
                        if self.chance.draw(1000) < self.lose || self.cuts.contains(&(from, to)) {
                            continue;
                        }
                        let mut after = MS / 2 + self.chance.draw(MS);
                        if self.chance.draw(1000) < self.late {
                            after += self.chance.draw(2 * SUSPECT);
                        }
                        self.push(after, Event::Word { from, to, bytes: bytes.clone() });
                    }
                }
                Action::Persist { write_id: ticket, state: saved } => {
                    self.syncs += 1;
                    match self.machines[at].disk {
                        Disk::Well | Disk::Slow => {
                            let slow = self.machines[at].disk == Disk::Slow;
                            let sync = if slow { SUSPECT / 4 } else { 4 * MS };
                            let after = MS + self.chance.draw(sync);
                            self.push(after, Event::Stored { at, life, ticket, saved: Box::new(saved) });
                        }
                        Disk::Hangs => self.machines[at].held_writes.push((ticket, saved)),
                        Disk::Full => {
                            if let Some(views) = &mut self.machines[at].views {
                                views.handle_write_result(now, ticket, false);
                            }
                        }
                    }
                }
                Action::Deliver { view, revision: no, state } => {
                    if before.is_some_and(|before| before > no) {
                        self.break_rule(format!("machine {at} went back from {before:?} to {no:?}"));
                    }
                    let known = self.states.entry(no.0).or_insert_with(|| state.clone());
                    if *known != state {
                        let what = format!("two states at {no:?} (machine {at}, {view:?})");
                        self.break_rule(what);
                    }
                    // What was acknowledged is in every state after: states are lists of proposals.
                    let newest = self.taken.values().copied().max().unwrap_or_default();
                    for (proposal, taken) in &self.taken {
                        let of = self.proposals[proposal].clone();
                        if *taken == no && of != state[..] {
                            let what = format!("acknowledged {proposal} is not what {no:?} holds");
                            self.broken.get_or_insert(what);
                        }
                    }
                    // A member that enters a view begins with all that was acknowledged before.
                    let entered = self.views.contains_key(&view.0);
                    if entered && self.views.keys().next_back() == Some(&view.0) && no < newest {
                        let first = self.machines[at].views.as_ref().is_some_and(|v| v.is_leader());
                        if first {
                            let what = format!("{view:?} goes on from {no:?}, acknowledged was {newest:?}");
                            self.break_rule(what);
                        }
                    }
                }
                Action::Committed { change_id: proposal, revision: no } => {
                    self.taken.insert(proposal, no);
                    let of: Arc<[u8]> = self.proposals[&proposal].clone().into();
                    let known = self.states.entry(no.0).or_insert_with(|| of.clone());
                    if *known != of {
                        self.break_rule(format!("acknowledged {proposal} at {no:?} in place of another"));
                    }
                    if self.refused.contains(&proposal) {
                        self.break_rule(format!("{proposal} was refused and taken"));
                    }
                }
                Action::Rejected { change_id: proposal } => {
                    self.refused.insert(proposal);
                    if self.taken.contains_key(&proposal) {
                        self.break_rule(format!("{proposal} was taken and refused"));
                    }
                }
                Action::ViewActivated { view } => {
                    let known = self.views.entry(view.number.0).or_insert_with(|| view.clone());
                    if *known != view {
                        let what = format!("two views {:?}", view.number);
                        self.break_rule(what);
                    }
                }
                Action::ReadIndexConfirmed { read_index: inquiry } => {
                    let Some((by, newest)) = self.asked.remove(&inquiry.0) else {
                        self.break_rule(format!("{inquiry:?} was confirmed and not asked, or twice"));
                        continue;
                    };
                    self.confirmed += 1;
                    let has = self.machines[at].views.as_ref().and_then(|views| views.delivered());
                    let has = has.map(|(no, _)| no);
                    if by != at || has < Some(newest) {
                        self.break_rule(format!(
                            "machine {at} was confirmed {has:?}, acknowledged was {newest:?}"
                        ));
                    }
                }
                Action::ViewLeft => {}
                Action::IdentityReplaced { previous: was, current: me } => {
                    self.machines[at].id = me;
                    self.machines[at].renewed.push(was);
                }
                Action::Wake { after } => self.push(after.0 + 1000, Event::Wake { at, life }),
            }
        }
    }

    /// Plays on for this long.
    pub fn play(&mut self, span: u64) {
        let end = self.now + span;
        let mut steps = 0;
        while let Some((std::cmp::Reverse((when, _)), _)) = self.queue.peek() {
            if *when > end {
                break;
            }
            let (std::cmp::Reverse((when, serial)), _) = self.queue.pop().unwrap();
            self.now = when;
            steps += 1;
            assert!(steps < 300_000, "no end of events");
            let Some(event) = self.events.remove(&serial) else { continue };
            self.happen(event);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        let now = Nanos(self.now);
        match event {
            Event::Word { from, to, bytes } => {
                let Some(at) = self.machines.iter().position(|machine| machine.addr == to) else { return };
                if self.machines[at].frozen {
                    return self.push(50 * MS, Event::Word { from, to, bytes });
                }
                if let Some(views) = &mut self.machines[at].views {
                    views.handle_message(now, from, bitcode::decode(&bytes).unwrap());
                    self.serve(at);
                }
            }
            Event::Stored { at, life, ticket, saved } => {
                if self.machines[at].life != life {
                    return;
                }
                if self.machines[at].frozen {
                    return self.push(50 * MS, Event::Stored { at, life, ticket, saved });
                }
                if self.machines[at].disk == Disk::Hangs {
                    return self.machines[at].held_writes.push((ticket, *saved));
                }
                let ok = self.machines[at].disk.writes();
                if ok {
                    self.keep(at, *saved);
                }
                if let Some(views) = &mut self.machines[at].views {
                    views.handle_write_result(now, ticket, ok);
                }
                self.serve(at);
            }
            Event::Wake { at, life } => {
                if self.machines[at].life == life {
                    if self.machines[at].frozen {
                        return self.push(50 * MS, Event::Wake { at, life });
                    }
                    self.serve(at);
                }
            }
        }
    }

    /// Cuts one off from all others, both ways.
    pub fn cut_off(&mut self, one: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != one) {
            let (a, b) = (self.machines[one].addr, self.machines[other].addr);
            self.cuts.extend([(a, b), (b, a)]);
        }
    }

    /// Loses all words that are on their way.
    pub fn drop_words(&mut self) {
        self.events.retain(|_, event| !matches!(event, Event::Word { .. }));
    }

    pub fn sequencer(&self) -> Option<usize> {
        let leads = |machine: &Machine| machine.views.as_ref().is_some_and(|views| views.is_leader());
        let newest =
            |at: &usize| self.machines[*at].views.as_ref().and_then(|v| v.view()).map(|view| view.number);
        (0..self.machines.len()).filter(|at| leads(&self.machines[*at])).max_by_key(newest)
    }

    /// Proposes at every machine that thinks it leads; each state has the proposal's number in it.
    pub fn propose(&mut self) -> Option<u64> {
        (0..self.machines.len()).filter_map(|at| self.propose_at(at)).last()
    }

    /// Proposes at this machine, if it thinks that it leads.
    pub fn propose_at(&mut self, at: usize) -> Option<u64> {
        let frozen = self.machines[at].frozen;
        let views = self.machines[at].views.as_mut().filter(|views| views.is_leader() && !frozen)?;
        let (base, _) = views.delivered()?;
        let proposal = self.proposals.len() as u64 + 1;
        let mut state = proposal.to_be_bytes().to_vec();
        state.resize(self.state_bytes.max(state.len()), 7);
        self.proposals.insert(proposal, state.clone());
        views.propose(Nanos(self.now), proposal, base, state);
        self.serve(at);
        Some(proposal)
    }

    /// Each machine asks whether what it knows still stands.
    pub fn ask(&mut self) {
        let newest = self.taken.values().copied().max().unwrap_or_default();
        for at in 0..self.machines.len() {
            let now = Nanos(self.now);
            let frozen = self.machines[at].frozen;
            let Some(views) = self.machines[at].views.as_mut().filter(|_| !frozen) else { continue };
            self.inquiries += 1;
            self.asked.insert(self.inquiries, (at, newest));
            views.read_index(now, ReadIndexId(self.inquiries));
            self.serve(at);
        }
    }

    /// Ends all faults that are within the losses to be borne.
    pub fn heal(&mut self) {
        (self.lose, self.double, self.late) = (0, 0, 0);
        self.cuts.clear();
        for at in 0..self.machines.len() {
            self.machines[at].frozen = false;
            self.disk(at, Disk::Well);
            self.restart(at);
        }
    }

    /// Whether a new proposal is taken within this long; tells how long it took.
    pub fn goes_on(&mut self, within: u64) -> Option<u64> {
        let begin = self.now;
        let newest = self.taken.values().copied().max();
        // Of several that propose at once, as one that is cut off and doesn't know it, any may be the one.
        let tried = self.proposals.len() as u64 + 1;
        while self.now - begin < within {
            self.propose();
            self.play(10 * MS);
            if let Some((_, no)) = self.taken.range(tried..).next() {
                if Some(*no) <= newest {
                    let what = format!("{no:?} was given out again, acknowledged was {newest:?}");
                    self.broken.get_or_insert(what);
                }
                return Some(self.now - begin);
            }
        }
        None
    }

    /// All that live have delivered the same newest state, and are in one view.
    pub fn agree(&self) -> bool {
        let mut seen = BTreeSet::new();
        for views in self.machines.iter().filter_map(|machine| machine.views.as_ref()) {
            seen.insert((views.view().map(|view| view.number), views.delivered().map(|(no, _)| no)));
        }
        seen.len() == 1 && seen.iter().all(|(view, no)| view.is_some() && no.is_some())
    }

    pub fn members(&self) -> Vec<MemberId> {
        let leader = self.sequencer().and_then(|at| self.machines[at].views.as_ref());
        let view = leader.and_then(|views| views.view());
        view.map(|view| view.members.iter().map(|member| member.id).collect()).unwrap_or_default()
    }
}

/// One trouble of a random schedule.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Kill(usize),
    KillAll,
    Restart(usize),
    /// A disk is lost, alone or while all others lose power.
    Wipe(usize, bool),
    Replace(usize),
    /// A disk goes back by some writes, alone or while all others lose power.
    Restore(usize, usize, bool),
    Cut(usize, usize),
    Mend,
    Freeze(usize),
    Thaw(usize),
    Disk(usize, u8),
    Links(u64, u64, u64),
    Propose,
    Ask,
    Play(u64),
}

impl Fleet {
    /// All disks that count hold what was acknowledged: only then may one more be lost.
    fn may_lose_a_disk(&self) -> bool {
        let live = self.machines.iter().filter(|machine| !machine.gone).count();
        let up = self.machines.iter().filter(|machine| machine.views.is_some() && !machine.frozen).count();
        live == up && self.agree() && self.members().len() == live && self.cuts.is_empty()
    }

    pub fn suffer(&mut self, trouble: Trouble) {
        let count = self.machines.len();
        match trouble {
            Trouble::Kill(at) => self.kill(at % count),
            Trouble::KillAll => (0..count).for_each(|at| self.kill(at)),
            Trouble::Restart(at) => self.restart(at % count),
            Trouble::Wipe(at, all) => {
                if self.may_lose_a_disk() && !self.machines[at % count].gone {
                    self.wipe(at % count);
                    if all {
                        (0..count).for_each(|other| self.kill(other));
                    }
                }
            }
            Trouble::Replace(at) => {
                if self.may_lose_a_disk() && !self.machines[at % count].gone && count < 12 {
                    self.replace(at % count);
                }
            }
            Trouble::Restore(at, writes, all) => {
                if self.may_lose_a_disk() {
                    self.restore(at % count, writes);
                    if all {
                        (0..count).filter(|other| *other != at % count).for_each(|other| self.kill(other));
                    }
                }
            }
            Trouble::Cut(a, b) => {
                let (a, b) = (self.machines[a % count].addr, self.machines[b % count].addr);
                self.cuts.insert((a, b));
            }
            Trouble::Mend => self.cuts.clear(),
            Trouble::Freeze(at) => self.machines[at % count].frozen = true,
            Trouble::Thaw(at) => self.machines[at % count].frozen = false,
            Trouble::Disk(at, kind) => {
                self.disk(at % count, [Disk::Well, Disk::Hangs, Disk::Full][kind as usize % 3]);
            }
            Trouble::Links(lose, double, late) => (self.lose, self.double, self.late) = (lose, double, late),
            Trouble::Propose => {
                self.propose();
            }
            Trouble::Ask => self.ask(),
            Trouble::Play(span) => self.play(span * MS),
        }
    }

    /// Plays a schedule, ends the faults, and tells what was broken.
    pub fn schedule(&mut self, troubles: &[Trouble]) -> Result<u64, String> {
        self.play(1_000 * MS);
        for trouble in troubles {
            self.suffer(*trouble);
            self.play(5 * MS);
            if let Some(broken) = &self.broken {
                return Err(broken.clone());
            }
        }
        self.heal();
        let took = self.goes_on(8 * SUSPECT);
        self.play(6 * SUSPECT);
        self.goes_on(SUSPECT);
        let before = self.confirmed;
        self.ask();
        self.play(PULSE);
        let live = self.machines.iter().filter(|machine| machine.views.is_some()).count() as u64;
        if self.broken.is_none() && self.confirmed - before < live {
            return Err(format!("{} of {live} were confirmed after the faults", self.confirmed - before));
        }
        self.play(SUSPECT);
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        let took = took.ok_or("nothing is taken after the faults")?;
        let live = self.machines.iter().filter(|machine| !machine.gone).count();
        if !self.agree() || self.members().len() != live {
            return Err(format!("not all in one view after the faults: {:?} of {live}", self.members()));
        }
        Ok(took)
    }
}

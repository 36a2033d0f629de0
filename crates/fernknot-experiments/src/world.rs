//! One engine, its stores and its clients in simulated time.

use crate::stores::{Job, Script, Store};
use fernknot::interface::*;
use fernknot_engine::{AskerId, Ended, Engine, Order, PartOf, Verdict};
use fernknot_protocol::matches::{self, Match, Names};
use fernknot_protocol::multiget::Asked;
use fernknot_router_config::PhaseFacts;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Simulated time begins here: long after the start of any store.
pub const START: Nanos = Nanos(1_000_000_000_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize),
    Reach(NodeId, PartId, HandOffNo),
    GiveUp(NodeId, PartId, HandOffNo),
    Done(NodeId),
    Answer(NodeId, PartId, HandOffNo, bool),
    Leave(usize),
    Wake,
}

/// One query that a client will ask.
pub struct Plan {
    pub at: Nanos,
    pub asked: Asked,
    /// The blocks that truly hold matches.
    pub matches: Vec<ShardId>,
}

/// How one query ended.
#[derive(Clone, Debug)]
pub struct End {
    pub took: Nanos,
    /// `None` where the client left first.
    pub verdict: Option<Verdict>,
    pub ended: Ended,
}

/// What happened to a query, and the parts handed off for it.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    pub end: Option<End>,
    pub first_parts: u64,
    pub second_parts: u64,
    pub opened: bool,
    /// Parts handed off after the final answer: none, by the rules.
    pub after_end: u64,
    /// Final answers: one, by the rules.
    pub ends: u64,
}

pub struct World {
    engine: Engine,
    stores: Vec<Store>,
    script: Script,
    plans: Vec<Plan>,
    pub fates: Vec<Fate>,
    /// Which query a multiget is, and the other way round; kept to the end, to judge what comes late.
    ids: HashMap<MultigetId, usize>,
    id_of: Vec<Option<MultigetId>>,
    /// Events to come other than wakes.
    live: usize,
    events: BinaryHeap<Reverse<(Nanos, u64, What)>>,
    count: u64,
    now: Nanos,
    wake: Option<Nanos>,
    rng: ChaCha8Rng,
    network: Nanos,
}

impl World {
    /// `stores` at each of the site's places.
    pub fn new(
        seed: u64,
        site: SiteFacts,
        phases: &[Option<PhaseFacts>],
        stores: usize,
        script: Script,
        plans: Vec<Plan>,
        end: Nanos,
    ) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let places = site.places;
        let mut engine = Engine::new(seed, site, phases, 1 << 20, START);
        let count = stores * places as usize;
        let entry = |index: usize| NodeEntry {
            node: NodeId(index as u32),
            place: PlaceId(index as u32 % places),
            zone: None,
            health: Health::Running,
            since: Nanos(0),
        };
        engine.list(ListKind::Full, &(0..count).map(entry).collect::<Vec<_>>());
        let spells: Vec<_> = (0..count).map(|_| script.spells(&mut rng, START, end)).collect();
        let mut world = World {
            engine,
            stores: spells.into_iter().map(|spells| Store::new(spells, script.queue)).collect(),
            fates: vec![Fate::default(); plans.len()],
            ids: HashMap::new(),
            id_of: vec![None; plans.len()],
            live: 0,
            events: BinaryHeap::new(),
            count: 0,
            now: START,
            wake: None,
            rng,
            network: Nanos::from_millis(0.3),
            script,
            plans,
        };
        for index in 0..world.plans.len() {
            world.at(world.plans[index].at, What::Arrive(index));
        }
        world
    }

    fn at(&mut self, at: Nanos, what: What) {
        self.count += 1;
        self.live += usize::from(what != What::Wake);
        self.events.push(Reverse((at, self.count, what)));
    }

    fn hop(&mut self) -> Nanos {
        let times = self.rng.random_range(0.7..1.6);
        self.network.times(times)
    }

    /// Plays all there is.
    pub fn play(&mut self) {
        self.pull();
        while let Some(Reverse((at, _, what))) = self.events.pop().filter(|_| self.live > 0) {
            self.now = at;
            match what {
                What::Wake => self.wake = None,
                _ => {
                    self.live -= 1;
                    self.happen(what);
                }
            }
            self.pull();
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(index) => {
                let asked = self.plans[index].asked.clone();
                let end = self.now + asked.wait;
                let id = self.engine.take(self.now, AskerId(index as u64), end, asked);
                self.ids.insert(id, index);
                self.id_of[index] = Some(id);
                self.at(end, What::Leave(index));
            }
            What::Leave(index) => {
                if let Some(id) = self.id_of[index].filter(|_| self.fates[index].end.is_none()) {
                    let held = self.engine.table.get(id);
                    let ran = held.is_some_and(|held| held.second_ran());
                    let opened = held.is_some_and(|held| held.is_opened());
                    let ended = if opened { Ended::SecondPhase { ran } } else { Ended::FirstPhase };
                    let took = self.now - self.plans[index].at;
                    self.fates[index].end = Some(End { took, verdict: None, ended });
                    self.engine.lapsed(self.now, id);
                }
            }
            What::Reach(node, part, no) => {
                let fetch = self.engine.table.part(part).is_some_and(|part| part.of != PartOf::Match);
                let work = self.script.work(&mut self.rng, fetch);
                if self.stores[node.0 as usize].take(Job { part, no, fetch, work }) {
                    self.start(node);
                } else {
                    let hop = self.hop();
                    self.at(self.now + hop, What::Answer(node, part, no, false));
                }
            }
            What::GiveUp(node, part, no) => {
                self.stores[node.0 as usize].give_up(part, no);
            }
            What::Done(node) => {
                if let Some(job) = self.stores[node.0 as usize].running.take() {
                    let hop = self.hop();
                    self.at(self.now + hop, What::Answer(node, job.part, job.no, true));
                }
                self.start(node);
            }
            What::Answer(_, part, no, hit) => self.answer(part, no, hit),
            What::Wake => {}
        }
    }

    fn start(&mut self, node: NodeId) {
        if let Some(done) = self.stores[node.0 as usize].start(self.now) {
            self.at(done, What::Done(node));
        }
    }

    fn answer(&mut self, part: PartId, no: HandOffNo, hit: bool) {
        let report = LoadReport::default();
        if !hit {
            return self.engine.ended(self.now, part, no, Outcome::TurnedAway, report);
        }
        let Some(state) = self.engine.table.part(part) else { return };
        let value = match state.of {
            PartOf::Match => {
                let index = self.ids.get(&part.of).copied();
                let holds = index.is_some_and(|index| self.plans[index].matches.contains(&state.shard));
                let names = Names::Blocks(holds.then_some(state.shard).into_iter().collect());
                matches::write(&Match { names, sketch: None })
            }
            PartOf::Plain | PartOf::Fetch => "value".to_string(),
        };
        self.engine.answered(self.now, part, no, value, report);
    }

    fn pull(&mut self) {
        loop {
            while let Some(order) = self.engine.next(self.now) {
                self.act(order);
            }
            if !self.engine.has_news() {
                break;
            }
        }
        if let Some(due) = self.engine.due().filter(|due| self.wake.is_none_or(|set| *due < set)) {
            self.wake = Some(due);
            self.at(due.max(self.now), What::Wake);
        }
    }

    fn act(&mut self, order: Order) {
        match order {
            Order::Send { part, no, node } => {
                let second = self.engine.table.part(part).is_some_and(|part| part.of == PartOf::Fetch);
                if let Some(index) = self.ids.get(&part.of) {
                    let fate = &mut self.fates[*index];
                    fate.after_end += u64::from(fate.end.is_some());
                    fate.opened |= second;
                    *if second { &mut fate.second_parts } else { &mut fate.first_parts } += 1;
                }
                let hop = self.hop();
                self.at(self.now + hop, What::Reach(node, part, no));
            }
            Order::Abandon { part, no, outcome } => {
                let node = self.engine.table.hand_off(part, no).map(|hand_off| hand_off.node);
                self.engine.ended(self.now, part, no, outcome, LoadReport::default());
                if let Some(node) = node {
                    let hop = self.hop();
                    self.at(self.now + hop, What::GiveUp(node, part, no));
                }
            }
            Order::Answer { asker, verdict, ended } => {
                let index = asker.0 as usize;
                let took = self.now - self.plans[index].at;
                let fate = &mut self.fates[index];
                fate.ends += 1;
                fate.end.get_or_insert(End { took, verdict: Some(verdict), ended });
            }
            Order::FollowList | Order::Renew { .. } | Order::Tell { .. } => {}
        }
    }

    /// Multigets that the engine still holds.
    pub fn held(&self) -> usize {
        self.engine.table.len() + self.engine.phases().in_flight()
    }
}

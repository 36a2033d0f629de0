//! One engine, its stores and its clients in simulated time.

use crate::event_queue::EventQueue;
use crate::stores::{Job, Store, StoreScript};
use fernknot::interface::{
    AttemptNumber, Health, ListKind, LoadReport, MultigetId, Nanos, NodeEntry, NodeId, Outcome, PartId,
    PlaceId, ShardId, SiteSettings,
};
use fernknot_engine::{Action, Engine, Phase, RequesterId, Stage, Verdict};
use fernknot_protocol::matches::{self, MatchAnswer, MatchedBlocks};
use fernknot_protocol::multiget::MultigetRequest;
use fernknot_router_config::TwoPhaseSettings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// Simulated time begins here: long after the start of any store.
pub(crate) const START: Nanos = Nanos(1_000_000_000_000_000);
/// The bytes that the engine may use for term filters.
const MAX_FILTER_BYTES: usize = 1 << 20;
/// The time that a message takes, on average about, and the factors between which it is drawn.
const NETWORK_MS: f64 = 0.3;
const NETWORK_FACTORS: std::ops::Range<f64> = 0.7..1.6;

/// One attempt of a part at a node.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    node: NodeId,
    part: PartId,
    number: AttemptNumber,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client sends its query.
    Arrival { query: usize },
    /// A part reaches its store.
    PartReceived(Attempt),
    /// A cancellation reaches the store.
    CancelReceived(Attempt),
    /// A store is done with what it runs.
    WorkDone(NodeId),
    /// A store's answer reaches the router.
    AnswerReceived { attempt: Attempt, accepted: bool },
    /// A client's time-out.
    ClientTimeout { query: usize },
    /// The engine asked to be woken.
    Wake,
}

/// One query that a client will send.
pub(crate) struct PlannedQuery {
    /// When the client sends it.
    pub at: Nanos,
    /// The query as the engine gets it.
    pub asked: MultigetRequest,
    /// The blocks that truly match.
    pub matches: Vec<ShardId>,
}

/// How one query ended.
#[derive(Clone, Debug)]
pub(crate) struct QueryEnd {
    /// The time from sending to the end.
    pub took: Nanos,
    /// `None` where the client's time-out came first.
    pub verdict: Option<Verdict>,
    /// How far the query had come.
    pub stage: Stage,
}

/// What happened to a query, and the attempts that were sent for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueryRecord {
    /// How it ended; `None` before that.
    pub end: Option<QueryEnd>,
    /// Parts of the first phase that were sent.
    pub first_phase_parts: u64,
    /// Parts of the second phase that were sent.
    pub second_phase_parts: u64,
    /// Whether parts of the second phase were sent at all.
    pub second_phase_opened: bool,
    /// Parts sent after the final answer: none, by the rules.
    pub parts_after_end: u64,
    /// Final answers: one, by the rules.
    pub final_answers: u64,
}

impl QueryRecord {
    /// Whether the client's time-out came before a final answer.
    pub fn has_timed_out(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.verdict.is_none())
    }
}

/// What is simulated.
pub(crate) struct SimulationConfig {
    /// Determines all random choices.
    pub seed: u64,
    /// The settings of the engine.
    pub site: SiteSettings,
    /// By use case.
    pub phases: Vec<Option<TwoPhaseSettings>>,
    /// Stores at each of the site's places.
    pub stores_per_place: usize,
    /// How stores behave.
    pub script: StoreScript,
    /// The queries of all clients.
    pub queries: Vec<PlannedQuery>,
    /// When the load ends.
    pub end: Nanos,
}

/// One engine, its stores and its clients.
pub(crate) struct EngineSimulation {
    engine: Engine,
    stores: Vec<Store>,
    script: StoreScript,
    queries: Vec<PlannedQuery>,
    records: Vec<QueryRecord>,
    /// Which query a multiget is; kept to the end, to judge what comes late.
    query_of: HashMap<MultigetId, usize>,
    multiget_of: Vec<Option<MultigetId>>,
    events: EventQueue<Event>,
    /// Events to come other than wakes; the simulation ends with the last.
    pending_events: usize,
    now: Nanos,
    wake_at: Option<Nanos>,
    rng: ChaCha8Rng,
}

impl EngineSimulation {
    /// A simulation before its first event.
    pub fn new(config: SimulationConfig) -> EngineSimulation {
        let SimulationConfig { seed, site, phases, stores_per_place, script, queries, end } = config;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let places = site.places;
        let store_count = stores_per_place * places as usize;
        let mut engine = Engine::new(seed, site, &phases, MAX_FILTER_BYTES, START);
        let entries: Vec<NodeEntry> = (0..store_count).map(|index| node_entry(index, places)).collect();
        engine.apply_node_list(ListKind::Full, &entries);
        let store = |_| Store::new(script.draw_spells(&mut rng, START, end), script.queue_limit);
        let stores = (0..store_count).map(store).collect();
        let mut simulation = EngineSimulation {
            engine,
            stores,
            records: vec![QueryRecord::default(); queries.len()],
            query_of: HashMap::new(),
            multiget_of: vec![None; queries.len()],
            events: EventQueue::new(),
            pending_events: 0,
            now: START,
            wake_at: None,
            rng,
            script,
            queries,
        };
        for query in 0..simulation.queries.len() {
            simulation.schedule(simulation.queries[query].at, Event::Arrival { query });
        }
        simulation
    }

    /// What happened to each query.
    pub fn records(&self) -> &[QueryRecord] {
        &self.records
    }

    /// Queries that the engine still has in flight.
    pub fn in_flight(&self) -> usize {
        self.engine.table.len() + self.engine.two_phase_planner().in_flight()
    }

    /// Runs to the end of all queries.
    pub fn run(&mut self) {
        self.poll_engine();
        while let Some((at, event)) = self.events.pop().filter(|_| self.pending_events > 0) {
            self.now = at;
            self.handle(event);
            self.poll_engine();
        }
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.pending_events += usize::from(!matches!(event, Event::Wake));
        self.events.schedule(at, event);
    }

    /// Schedules what is to happen after one message's way through the network.
    fn schedule_after_hop(&mut self, event: Event) {
        let hop = Nanos::from_millis(NETWORK_MS).times(self.rng.random_range(NETWORK_FACTORS));
        self.schedule(self.now + hop, event);
    }

    fn handle(&mut self, event: Event) {
        self.pending_events -= usize::from(!matches!(event, Event::Wake));
        match event {
            Event::Wake => self.wake_at = None,
            Event::Arrival { query } => self.arrive(query),
            Event::ClientTimeout { query } => self.time_out_client(query),
            Event::PartReceived(attempt) => self.receive_part(attempt),
            Event::CancelReceived(attempt) => {
                self.store(attempt.node).cancel(attempt.part, attempt.number);
            }
            Event::WorkDone(node) => self.complete_work(node),
            Event::AnswerReceived { attempt, accepted } => self.answer_engine(attempt, accepted),
        }
    }

    fn store(&mut self, node: NodeId) -> &mut Store {
        &mut self.stores[node.0 as usize]
    }

    // ---- Clients ---------------------------------------------------------------------------

    fn arrive(&mut self, query: usize) {
        let asked = self.queries[query].asked.clone();
        let client_end = self.now + asked.timeout;
        let multiget = self.engine.submit(self.now, RequesterId(query as u64), client_end, asked);
        self.query_of.insert(multiget, query);
        self.multiget_of[query] = Some(multiget);
        self.schedule(client_end, Event::ClientTimeout { query });
    }

    fn time_out_client(&mut self, query: usize) {
        let Some(multiget) = self.multiget_of[query].filter(|_| self.records[query].end.is_none()) else {
            return;
        };
        let state = self.engine.table.get(multiget);
        let ran = state.is_some_and(|state| state.has_second_phase_attempts());
        let is_opened = state.is_some_and(|state| state.is_second_phase_open());
        let stage = if is_opened { Stage::SecondPhase { ran } } else { Stage::FirstPhase };
        let took = self.now - self.queries[query].at;
        self.records[query].end = Some(QueryEnd { took, verdict: None, stage });
        self.engine.client_gone(self.now, multiget);
    }

    // ---- Stores ----------------------------------------------------------------------------

    fn receive_part(&mut self, attempt: Attempt) {
        let part = self.engine.table.part(attempt.part);
        let is_fetch = part.is_some_and(|part| part.phase != Phase::Match);
        let work = self.script.draw_work(&mut self.rng, is_fetch);
        let job = Job { part: attempt.part, attempt: attempt.number, work };
        if self.store(attempt.node).enqueue(job) {
            self.start_work(attempt.node);
        } else {
            self.schedule_after_hop(Event::AnswerReceived { attempt, accepted: false });
        }
    }

    fn complete_work(&mut self, node: NodeId) {
        if let Some(job) = self.store(node).complete() {
            let attempt = Attempt { node, part: job.part, number: job.attempt };
            self.schedule_after_hop(Event::AnswerReceived { attempt, accepted: true });
        }
        self.start_work(node);
    }

    fn start_work(&mut self, node: NodeId) {
        let now = self.now;
        if let Some(done_at) = self.store(node).start_next(now) {
            self.schedule(done_at, Event::WorkDone(node));
        }
    }

    // ---- The engine ------------------------------------------------------------------------

    fn answer_engine(&mut self, attempt: Attempt, accepted: bool) {
        let Attempt { part, number, .. } = attempt;
        let report = LoadReport::default();
        if !accepted {
            return self.engine.attempt_ended(self.now, part, number, Outcome::Rejected, report);
        }
        let Some(state) = self.engine.table.part(part) else { return };
        let value = match state.phase {
            Phase::Match => self.match_value(part.multiget, state.shard),
            Phase::Plain | Phase::Fetch => "value".to_string(),
        };
        self.engine.attempt_answered(self.now, part, number, value, report);
    }

    /// A block's answer of the first phase: it names itself if it truly matches.
    fn match_value(&self, multiget: MultigetId, shard: ShardId) -> String {
        let query = self.query_of.get(&multiget);
        let is_match = query.is_some_and(|query| self.queries[*query].matches.contains(&shard));
        let matched_blocks = MatchedBlocks::Blocks(is_match.then_some(shard).into_iter().collect());
        matches::write(&MatchAnswer { matched_blocks, summary: None })
    }

    fn poll_engine(&mut self) {
        loop {
            while let Some(order) = self.engine.poll_action(self.now) {
                self.act(order);
            }
            if !self.engine.has_input() {
                break;
            }
        }
        if let Some(due) = self.engine.next_due().filter(|due| self.wake_at.is_none_or(|set| *due < set)) {
            self.wake_at = Some(due);
            self.schedule(due.max(self.now), Event::Wake);
        }
    }

    fn act(&mut self, order: Action) {
        match order {
            Action::Send { part, number, node } => self.send_part(Attempt { node, part, number }),
            Action::Cancel { part, number, outcome } => self.abandon(part, number, outcome),
            Action::Answer { requester, verdict, stage } => self.record_answer(requester, verdict, stage),
            Action::SubscribeToNodeList | Action::RenewConnections { .. } | Action::NotifyPeers { .. } => {}
        }
    }

    fn send_part(&mut self, attempt: Attempt) {
        let part = self.engine.table.part(attempt.part);
        let is_fetch = part.is_some_and(|part| part.phase == Phase::Fetch);
        if let Some(query) = self.query_of.get(&attempt.part.multiget) {
            let record = &mut self.records[*query];
            record.parts_after_end += u64::from(record.end.is_some());
            record.second_phase_opened |= is_fetch;
            let parts = if is_fetch { &mut record.second_phase_parts } else { &mut record.first_phase_parts };
            *parts += 1;
        }
        self.schedule_after_hop(Event::PartReceived(attempt));
    }

    fn abandon(&mut self, part: PartId, number: AttemptNumber, outcome: Outcome) {
        let node = self.engine.table.attempt(part, number).map(|attempt| attempt.node);
        self.engine.attempt_ended(self.now, part, number, outcome, LoadReport::default());
        if let Some(node) = node {
            self.schedule_after_hop(Event::CancelReceived(Attempt { node, part, number }));
        }
    }

    fn record_answer(&mut self, asker: RequesterId, verdict: Verdict, stage: Stage) {
        let query = asker.0 as usize;
        let took = self.now - self.queries[query].at;
        let record = &mut self.records[query];
        record.final_answers += 1;
        record.end.get_or_insert(QueryEnd { took, verdict: Some(verdict), stage });
    }
}

fn node_entry(index: usize, places: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(index as u32),
        place: PlaceId(index as u32 % places),
        zone: None,
        health: Health::Running,
        started_at: Nanos(0),
    }
}

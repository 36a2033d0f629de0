//! Discrete-event simulation of one engine with its stores and clients.
//!
//! The *engine* is the state machine of a query router. It receives a query as a *multiget*, a request to several
//! shards, makes a *part* of it for each shard, and sends *attempts* of the part to *stores*, the nodes that hold the
//! shard. The stores at one *place* hold the same shards. A query in *two phases* first asks each shard of its request,
//! then called a *block*, whether it matches the query; the second phase fetches the values of the matching blocks. The
//! engine answers each multiget once, with a *verdict*.

use crate::event_queue::EventQueue;
use crate::stores::{Job, Store, StoreBehaviour};
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

/// Start of the simulated clock, late enough that no store counts as recently started.
pub(crate) const SIMULATION_START: Nanos = Nanos(1_000_000_000_000_000);
/// Memory limit of the engine's term filters, its cached summaries of the terms in blocks, in bytes. The simulated stores
/// send no summaries.
const MAX_FILTER_BYTES: usize = 1 << 20;
/// One-way network delay in milliseconds, before it is multiplied by a random factor.
const NETWORK_DELAY_MS: f64 = 0.3;
/// Range of the random factor, drawn for each message.
const NETWORK_DELAY_FACTORS: std::ops::Range<f64> = 0.7..1.6;

/// An attempt of a part at a node.
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
    /// A part arrives at its store.
    PartReceived(Attempt),
    /// The cancellation of an attempt arrives at its store.
    CancelReceived(Attempt),
    /// A store completes its running job.
    WorkDone(NodeId),
    /// A store's answer, or its rejection of the part, arrives at the router.
    AnswerReceived { attempt: Attempt, accepted: bool },
    /// A client's time-out expires.
    ClientTimeout { query: usize },
    /// The engine's next timer is due.
    Wake,
}

/// A query that a client will send.
pub(crate) struct PlannedQuery {
    /// Time at which the client sends the query.
    pub send_at: Nanos,
    /// Request as submitted to the engine.
    pub request: MultigetRequest,
    /// Blocks that match the query, among the shards of the request.
    pub matches: Vec<ShardId>,
}

/// End of a query: its final answer or the client's time-out, whichever is first.
#[derive(Clone, Debug)]
pub(crate) struct QueryEnd {
    /// Time from the sending of the query to its final answer or the client's time-out.
    pub duration: Nanos,
    /// Final verdict; `None` if the client timed out before it.
    pub verdict: Option<Verdict>,
    /// Stage that the query had reached.
    pub stage: Stage,
}

/// Outcome of a query, and counts of the attempts sent for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueryRecord {
    /// End of the query; `None` while it is in flight.
    pub end: Option<QueryEnd>,
    /// Number of attempts of first-phase parts sent.
    pub first_phase_parts: u64,
    /// Number of attempts of second-phase parts sent.
    pub second_phase_parts: u64,
    /// Whether any attempt of a second-phase part was sent.
    pub second_phase_opened: bool,
    /// Number of attempts sent after the end of the query; any is a violation.
    pub parts_after_end: u64,
    /// Number of final answers. It must be one, or zero if the client timed out.
    pub final_answers: u64,
}

impl QueryRecord {
    /// Whether the client timed out before a final answer.
    pub fn has_timed_out(&self) -> bool {
        self.end.as_ref().is_some_and(|end| end.verdict.is_none())
    }
}

/// Parameters of a simulation; they determine it completely.
pub(crate) struct SimulationConfig {
    /// Seed of the engine, the network delays and the stores' work and degradations.
    pub seed: u64,
    /// Settings of the engine.
    pub site: SiteSettings,
    /// Two-phase settings, by use case; `None` for a use case without two-phase queries.
    pub phases: Vec<Option<TwoPhaseSettings>>,
    /// Number of stores at each place of the site.
    pub stores_per_place: usize,
    /// Work, queues and degradations of the stores.
    pub store_behaviour: StoreBehaviour,
    /// Queries of all clients, each sent once.
    pub queries: Vec<PlannedQuery>,
    /// Time from which no query is sent and no degradation of a store begins.
    pub end: Nanos,
}

/// An engine, its stores and its clients in simulated time.
pub(crate) struct EngineSimulation {
    engine: Engine,
    stores: Vec<Store>,
    store_behaviour: StoreBehaviour,
    queries: Vec<PlannedQuery>,
    records: Vec<QueryRecord>,
    /// Query of each multiget; entries stay after the final answer, to attribute attempts that are sent late.
    query_of: HashMap<MultigetId, usize>,
    multiget_of: Vec<Option<MultigetId>>,
    events: EventQueue<Event>,
    /// Number of scheduled events other than `Event::Wake`; the simulation ends when none is left.
    pending_events: usize,
    now: Nanos,
    wake_at: Option<Nanos>,
    rng: ChaCha8Rng,
}

impl EngineSimulation {
    /// Creates a simulation with all queries scheduled.
    pub fn new(config: SimulationConfig) -> EngineSimulation {
        let SimulationConfig { seed, site, phases, stores_per_place, store_behaviour, queries, end } = config;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let places = site.places;
        let store_count = stores_per_place * places as usize;
        let mut engine = Engine::new(seed, site, &phases, MAX_FILTER_BYTES, SIMULATION_START);
        let entries: Vec<NodeEntry> = (0..store_count).map(|index| node_entry(index, places)).collect();
        engine.apply_node_list(ListKind::Full, &entries);
        let store = |_| {
            Store::new(
                store_behaviour.draw_degradations(&mut rng, SIMULATION_START, end),
                store_behaviour.queue_limit,
            )
        };
        let stores = (0..store_count).map(store).collect();
        let mut simulation = EngineSimulation {
            engine,
            stores,
            records: vec![QueryRecord::default(); queries.len()],
            query_of: HashMap::new(),
            multiget_of: vec![None; queries.len()],
            events: EventQueue::new(),
            pending_events: 0,
            now: SIMULATION_START,
            wake_at: None,
            rng,
            store_behaviour,
            queries,
        };
        for query in 0..simulation.queries.len() {
            simulation.schedule(simulation.queries[query].send_at, Event::Arrival { query });
        }
        simulation
    }

    /// Outcome of each query, in the order of the queries.
    pub fn records(&self) -> &[QueryRecord] {
        &self.records
    }

    /// Number of multigets in the engine's table, plus the queries in flight that its two-phase planner counts.
    pub fn in_flight(&self) -> usize {
        self.engine.table.len() + self.engine.two_phase_planner().in_flight()
    }

    /// Runs until no event other than `Event::Wake` is pending.
    pub fn run(&mut self) {
        self.poll_engine();
        while let Some((at, event)) = self.events.pop().filter(|_| self.pending_events > 0) {
            self.now = at;
            self.handle_event(event);
            self.poll_engine();
        }
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.pending_events += usize::from(!matches!(event, Event::Wake));
        self.events.schedule(at, event);
    }

    /// Schedules an event after the random network delay of one message.
    fn schedule_after_hop(&mut self, event: Event) {
        let hop = Nanos::from_millis(NETWORK_DELAY_MS).times(self.rng.random_range(NETWORK_DELAY_FACTORS));
        self.schedule(self.now + hop, event);
    }

    fn handle_event(&mut self, event: Event) {
        self.pending_events -= usize::from(!matches!(event, Event::Wake));
        match event {
            Event::Wake => self.wake_at = None,
            Event::Arrival { query } => self.submit_query(query),
            Event::ClientTimeout { query } => self.time_out_client(query),
            Event::PartReceived(attempt) => self.receive_part(attempt),
            Event::CancelReceived(attempt) => {
                self.store(attempt.node).cancel(attempt.part, attempt.number);
            }
            Event::WorkDone(node) => self.complete_work(node),
            Event::AnswerReceived { attempt, accepted } => self.deliver_answer(attempt, accepted),
        }
    }

    fn store(&mut self, node: NodeId) -> &mut Store {
        &mut self.stores[node.0 as usize]
    }

    // ---- Clients ---------------------------------------------------------------------------

    fn submit_query(&mut self, query: usize) {
        let request = self.queries[query].request.clone();
        let client_deadline = self.now + request.timeout;
        let multiget = self.engine.submit(self.now, RequesterId(query as u64), client_deadline, request);
        self.query_of.insert(multiget, query);
        self.multiget_of[query] = Some(multiget);
        self.schedule(client_deadline, Event::ClientTimeout { query });
    }

    fn time_out_client(&mut self, query: usize) {
        let Some(multiget) = self.multiget_of[query].filter(|_| self.records[query].end.is_none()) else {
            return;
        };
        let state = self.engine.table.get(multiget);
        let ran = state.is_some_and(|state| state.has_second_phase_attempts());
        let is_opened = state.is_some_and(|state| state.is_second_phase_open());
        let stage = if is_opened { Stage::SecondPhase { ran } } else { Stage::FirstPhase };
        let duration = self.now - self.queries[query].send_at;
        self.records[query].end = Some(QueryEnd { duration, verdict: None, stage });
        self.engine.client_gone(self.now, multiget);
    }

    // ---- Stores ----------------------------------------------------------------------------

    fn receive_part(&mut self, attempt: Attempt) {
        let part = self.engine.table.part(attempt.part);
        let is_fetch = part.is_some_and(|part| part.phase != Phase::Match);
        let work = self.store_behaviour.draw_work(&mut self.rng, is_fetch);
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

    fn deliver_answer(&mut self, attempt: Attempt, accepted: bool) {
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

    /// First-phase answer of a block: names the block itself if it matches the query.
    fn match_value(&self, multiget: MultigetId, shard: ShardId) -> String {
        let query = self.query_of.get(&multiget);
        let is_match = query.is_some_and(|query| self.queries[*query].matches.contains(&shard));
        let matched_blocks = MatchedBlocks::Blocks(is_match.then_some(shard).into_iter().collect());
        matches::write(&MatchAnswer { matched_blocks, summary: None })
    }

    fn poll_engine(&mut self) {
        loop {
            while let Some(action) = self.engine.poll_action(self.now) {
                self.perform_action(action);
            }
            if !self.engine.has_input() {
                break;
            }
        }
        if let Some(due) =
            self.engine.next_due().filter(|due| self.wake_at.is_none_or(|wake_at| *due < wake_at))
        {
            self.wake_at = Some(due);
            self.schedule(due.max(self.now), Event::Wake);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { part, number, node } => self.send_part(Attempt { node, part, number }),
            Action::Cancel { part, number, outcome } => self.cancel_attempt(part, number, outcome),
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

    fn cancel_attempt(&mut self, part: PartId, number: AttemptNumber, outcome: Outcome) {
        let node = self.engine.table.attempt(part, number).map(|attempt| attempt.node);
        self.engine.attempt_ended(self.now, part, number, outcome, LoadReport::default());
        if let Some(node) = node {
            self.schedule_after_hop(Event::CancelReceived(Attempt { node, part, number }));
        }
    }

    fn record_answer(&mut self, requester: RequesterId, verdict: Verdict, stage: Stage) {
        let query = requester.0 as usize;
        let duration = self.now - self.queries[query].send_at;
        let record = &mut self.records[query];
        record.final_answers += 1;
        record.end.get_or_insert(QueryEnd { duration, verdict: Some(verdict), stage });
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

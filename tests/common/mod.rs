//! A router under test: a small deployment, and calls in milliseconds.
#![allow(dead_code)]

use fernknot::decide::Router;
use fernknot::interface::*;

pub const REPLAYABLE: usize = 0;
pub const REFERENCED: usize = 1;
pub const SINGLE_USE: usize = 2;
pub const PARTIAL: usize = 3;
pub const TWO_STEPS: usize = 4;
pub const GOAL: f64 = 1000.0;
pub const HARD: f64 = 3000.0;
pub const WINDOW: f64 = 600.0;

pub fn ms(millis: f64) -> Nanos {
    Nanos::from_millis(millis)
}

/// Three nodes in one place hold every shard; two routers; a tick of 5 ms.
pub fn facts() -> SiteSettings {
    let case = |effect, floor, late_share, second_step| UseCaseSettings {
        latency_target: ms(GOAL),
        hard_limit: ms(HARD),
        value: 1.0,
        late_share,
        squared: false,
        effect,
        stretch: 0.0,
        required: 1.0,
        quorum: floor,
        two_phase: second_step,
        max_attempts: None,
    };
    SiteSettings {
        routers: 2,
        use_cases: vec![
            case(Effect::Idempotent, 1.0, 0.0, false),
            case(Effect::Deduplicated(ms(WINDOW)), 1.0, 0.3, false),
            case(Effect::NonIdempotent, 1.0, 0.3, false),
            case(Effect::Idempotent, 0.6, 0.1, false),
            case(Effect::Idempotent, 1.0, 0.1, true),
        ],
        shortest_goal: None,
        customers: vec![1000.0],
        tick: ms(5.0),
        warmup: SlowStartSettings { from: 0.2, warm_after: ms(10_000.0), multiple: 2.0, window: ms(1000.0) },
        budget: None,
        places: 1,
        width: 1,
        cancel: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Some(ms(500.0)),
        must_ask: false,
        peers: false,
        by_work: false,
        zone: None,
        marks_repeats: true,
        refusals_cost: false,
    }
}

pub fn entry(node: u32, health: Health, since: f64) -> NodeEntry {
    NodeEntry { node: NodeId(node), place: PlaceId(0), zone: None, health, since: ms(since) }
}

pub fn arrival(multiget: MultigetId, use_case: usize, client_end: f64) -> Arrival {
    Arrival {
        multiget,
        use_case: UseCaseId(use_case),
        customer: CustomerId(0),
        client_end: ms(client_end),
        repeat: false,
        effort: None,
        second: None,
    }
}

pub struct Host {
    pub router: Router,
    pub now: f64,
    next: u64,
    /// All decisions so far but wakes, with their time.
    pub log: Vec<(f64, Decision)>,
}

impl Host {
    pub fn new(facts: SiteSettings, nodes: u32) -> Host {
        Host::with_seed(facts, nodes, 7)
    }

    pub fn with_seed(facts: SiteSettings, nodes: u32, seed: u64) -> Host {
        let now = 1_000_000.0;
        let mut router = Router::new(seed, facts, ms(now));
        let entries: Vec<NodeEntry> = (0..nodes).map(|node| entry(node, Health::Running, 0.0)).collect();
        router.apply_list(ListKind::Full, &entries);
        Host { router, now, next: 0, log: Vec::new() }
    }

    /// Pulls all decisions; returns the new ones, wakes left out.
    pub fn pull(&mut self) -> Vec<Decision> {
        let mut news = Vec::new();
        while let Some(decision) = self.router.poll_decision(ms(self.now)) {
            if !matches!(decision, Decision::Wake { .. }) {
                self.log.push((self.now, decision.clone()));
                news.push(decision);
            }
        }
        news
    }

    /// Lets time pass in ticks, as a host that wakes the router whenever it asked for it.
    pub fn pass(&mut self, millis: f64) -> Vec<Decision> {
        let end = self.now + millis;
        let mut news = self.pull();
        while self.now < end {
            self.now = (self.now + 5.0).min(end);
            news.extend(self.pull());
        }
        news
    }

    /// Takes a multiget of parts with these weights and pulls.
    pub fn take(&mut self, use_case: usize, weights: &[f64]) -> MultigetId {
        self.take_for(use_case, weights, HARD)
    }

    /// The same for a client that stays so long.
    pub fn take_for(&mut self, use_case: usize, weights: &[f64], stays: f64) -> MultigetId {
        let id = MultigetId(self.next);
        self.next += 1;
        let arrival = arrival(id, use_case, self.now + stays);
        self.router.multiget_arrived(ms(self.now), &arrival);
        self.parts(id, 0, weights);
        id
    }

    pub fn parts(&mut self, id: MultigetId, from: usize, weights: &[f64]) {
        for (index, weight) in weights.iter().enumerate() {
            let part = PartId { multiget: id, index: from + index };
            let arrival = PartArrival { part, shard: ShardId(index as u32), weight: *weight, effort: None };
            self.router.part_arrived(ms(self.now), &arrival);
        }
        self.pull();
    }

    /// Where each hand-off of a part went.
    pub fn sends(&self, id: MultigetId, index: usize) -> Vec<NodeId> {
        let part = PartId { multiget: id, index };
        let sends = self.log.iter().filter_map(|(_, decision)| match decision {
            Decision::SendAttempt { part: sent, node, .. } if *sent == part => Some(*node),
            _ => None,
        });
        sends.collect()
    }

    pub fn end(&mut self, id: MultigetId, index: usize, no: u32, outcome: Outcome, took: f64) {
        let part = PartId { multiget: id, index };
        let node = self.sends(id, index)[no as usize];
        let report = LoadReport::default();
        let ending = Ending { part, number: AttemptNumber(no), node, outcome, took: ms(took), report };
        self.router.attempt_ended(ms(self.now), &ending);
    }

    /// The final answers given to a multiget.
    pub fn finals(&self, id: MultigetId) -> Vec<Decision> {
        let given = self.log.iter().map(|(_, decision)| decision).filter(|decision| match decision {
            Decision::Complete { multiget, last, .. } => *last && *multiget == id,
            Decision::Reject { multiget, .. } | Decision::Abort { multiget } => *multiget == id,
            _ => false,
        });
        given.cloned().collect()
    }

    /// Serves one multiget of a part after another, each in `took`, to be measured by.
    pub fn warm_up(&mut self, use_case: usize, multigets: usize, took: f64) {
        for _ in 0..multigets {
            let id = self.take(use_case, &[1.0]);
            self.pass(took);
            self.end(id, 0, 0, Outcome::Answered, took);
            self.pull();
        }
    }
}

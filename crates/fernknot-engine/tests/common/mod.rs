//! An engine under test: a small site, stores scripted by hand, time stepped in milliseconds.
#![allow(dead_code)]

use fernknot::interface::*;
use fernknot_engine::{Action, Engine, Phase, RequesterId, Stage, Verdict};
use fernknot_protocol::multiget::{BlockState, MultigetRequest, RequestedPart, SecondPhaseRequest};
use fernknot_router_config::{LatencySplit, TwoPhaseSettings, UnansweredBlock};

pub const GOAL: f64 = 1000.0;
pub const HARD: f64 = 3000.0;
pub const REPLAYABLE: usize = 0;
pub const SINGLE_USE: usize = 1;
pub const PLAIN: usize = 2;

pub fn ms(millis: f64) -> Nanos {
    Nanos::from_millis(millis)
}

/// Four places of so many nodes each; shard s is at place s modulo 4.
pub fn site() -> SiteSettings {
    let case = |effect| UseCaseSettings {
        latency_target: ms(GOAL),
        hard_limit: ms(HARD),
        value: 1.0,
        late_value_share: 0.0,
        squares_partial_value: false,
        effect,
        target_work_factor: 0.0,
        complete_share: 1.0,
        quorum: 0.5,
        two_phase: false,
        max_attempts: None,
    };
    SiteSettings {
        routers: 1,
        use_cases: vec![case(Effect::Idempotent), case(Effect::NonIdempotent), case(Effect::Idempotent)],
        min_latency_target: None,
        customer_quotas: Vec::new(),
        tick: ms(1.0),
        slow_start: SlowStartSettings {
            initial_share: 0.2,
            warmup_time: ms(10_000.0),
            max_load_multiple: 2.0,
            window: ms(1000.0),
        },
        retry_budget: Some(RetryBudgetSettings {
            free_retries: 1000.0,
            retry_ratio: 0.0,
            window: ms(10_000.0),
            per_shard: false,
        }),
        places: 4,
        places_per_shard: 1,
        cancellation: true,
        hedging: true,
        max_attempts: 3,
        max_retry_after: Some(ms(500.0)),
        list_changes_on_request: false,
        peer_updates: false,
        value_by_work: false,
        zone: None,
        clients_mark_retries: true,
        rejections_cost_value: false,
    }
}

pub fn phases() -> TwoPhaseSettings {
    TwoPhaseSettings {
        latency_target: ms(GOAL),
        min_first_phase_share: 0.1,
        max_first_phase_share: 0.95,
        unanswered_block: UnansweredBlock::Fetch,
        names_others: false,
        min_match_share: 0.5,
        split: LatencySplit::Learned,
        rejects_late_second_phase: true,
        prunes_unmatched: true,
    }
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub asker: u64,
    pub part: PartId,
    pub no: AttemptNumber,
    pub node: NodeId,
    pub id: String,
    pub shard: u32,
    pub of: Phase,
    pub over: bool,
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// The final answer had been given, or the client had gone, before it was sent.
    pub too_late: bool,
    /// Others of its part that may have run when it was sent.
    pub may_run_beside: usize,
}

#[derive(Clone, Debug)]
pub struct Final {
    pub at: f64,
    pub asker: u64,
    pub verdict: Verdict,
    pub ended: Stage,
}

pub struct Host {
    pub engine: Engine,
    pub now: f64,
    pub sent: Vec<Sent>,
    pub finals: Vec<Final>,
    asked: u64,
    gone: Vec<u64>,
    use_cases: Vec<usize>,
    owners: std::collections::HashMap<MultigetId, u64>,
}

impl Host {
    pub fn new(site: SiteSettings, phases: TwoPhaseSettings, nodes_a_place: u32) -> Host {
        let now = 1_000_000.0;
        let given = [Some(phases.clone()), Some(phases), None];
        let mut engine = Engine::new(7, site, &given, 100_000, ms(now));
        let entries: Vec<NodeEntry> =
            (0..4 * nodes_a_place).map(|node| entry(node, Health::Running)).collect();
        engine.list(ListKind::Full, &entries);
        Host {
            engine,
            now,
            sent: Vec::new(),
            finals: Vec::new(),
            asked: 0,
            gone: Vec::new(),
            use_cases: Vec::new(),
            owners: Default::default(),
        }
    }

    /// Asks for matches of all these blocks, in two phases; its number comes back.
    pub fn ask(&mut self, use_case: usize, shards: &[u32]) -> u64 {
        self.ask_for(use_case, shards, &[], HARD)
    }

    pub fn ask_for(&mut self, use_case: usize, shards: &[u32], terms: &[&str], stays: f64) -> u64 {
        let part = |shard: &u32| RequestedPart {
            shard: ShardId(*shard),
            weight: 1.0 / shards.len() as f64,
            effort: None,
        };
        let parts: Vec<RequestedPart> = shards.iter().map(part).collect();
        let second = SecondPhaseRequest {
            text: "fetch".to_string(),
            parts: parts.clone(),
            terms: terms.iter().map(|term| term.to_string()).collect(),
        };
        self.take(use_case, parts, (use_case != PLAIN).then_some(second), stays)
    }

    /// Asks for these blocks in one phase.
    pub fn ask_plain(&mut self, use_case: usize, shards: &[u32]) -> u64 {
        let part = |shard: &u32| RequestedPart {
            shard: ShardId(*shard),
            weight: 1.0 / shards.len() as f64,
            effort: None,
        };
        self.take(use_case, shards.iter().map(part).collect(), None, HARD)
    }

    /// Those who asked and have neither had an answer nor gone.
    pub fn waiting(&self) -> Vec<u64> {
        let waits = |asker: &u64| self.final_of(*asker).is_none() && !self.gone.contains(asker);
        (0..self.asked).filter(waits).collect()
    }

    pub fn asked(&self) -> u64 {
        self.asked
    }

    pub fn use_case_of(&self, asker: u64) -> usize {
        self.use_cases[asker as usize]
    }

    pub fn has_gone(&self, asker: u64) -> bool {
        self.gone.contains(&asker)
    }

    fn take(
        &mut self,
        use_case: usize,
        parts: Vec<RequestedPart>,
        second: Option<SecondPhaseRequest>,
        stays: f64,
    ) -> u64 {
        let number = self.asked;
        self.use_cases.push(use_case);
        self.asked += 1;
        let asked = MultigetRequest {
            id: format!("q{number}"),
            use_case: UseCaseId(use_case),
            key: None,
            timeout: ms(stays),
            is_retry: false,
            text: "match".to_string(),
            parts,
            second,
        };
        let id = self.engine.take(ms(self.now), RequesterId(number), ms(self.now + stays), asked);
        self.owners.insert(id, number);
        self.pull();
        number
    }

    pub fn lapse(&mut self, asker: u64) {
        let id = self.owners.iter().find(|(_, owner)| **owner == asker).map(|(id, _)| *id).unwrap();
        self.gone.push(asker);
        self.engine.client_gone(ms(self.now), id);
        self.pull();
    }

    pub fn pull(&mut self) {
        loop {
            while let Some(order) = self.engine.poll_action(ms(self.now)) {
                match order {
                    Action::Send { part, no, node } => {
                        let state = self.engine.table.part(part).unwrap();
                        let asker = self.owners[&part.multiget];
                        let proof = [Outcome::Rejected, Outcome::Unreachable, Outcome::NeverSent];
                        let runs = |sent: &&Sent| {
                            sent.part == part && sent.outcome.is_none_or(|how| !proof.contains(&how))
                        };
                        let sent = Sent {
                            outcome: None,
                            too_late: self.final_of(asker).is_some() || self.gone.contains(&asker),
                            may_run_beside: self.sent.iter().filter(runs).count(),
                            at: self.now,
                            asker,
                            part,
                            no,
                            node,
                            id: state.id.clone(),
                            shard: state.shard.0,
                            of: state.phase,
                            over: false,
                        };
                        self.sent.push(sent);
                    }
                    Action::Cancel { part, no, outcome } => self.end_hand_off(part, no, outcome),
                    Action::Answer { asker, verdict, ended } => {
                        self.finals.push(Final { at: self.now, asker: asker.0, verdict, ended });
                    }
                    _ => {}
                }
            }
            if !self.engine.has_input() {
                return;
            }
        }
    }

    fn note_end(&mut self, part: PartId, no: AttemptNumber, outcome: Outcome) {
        for sent in self.sent.iter_mut().filter(|sent| (sent.part, sent.no) == (part, no)) {
            sent.over = true;
            sent.outcome.get_or_insert(outcome);
        }
    }

    pub fn end_hand_off(&mut self, part: PartId, no: AttemptNumber, outcome: Outcome) {
        self.engine.ended(ms(self.now), part, no, outcome, LoadReport::default());
        self.note_end(part, no, outcome);
    }

    /// Lets time pass, pulling whenever the engine wants to be.
    pub fn pass(&mut self, millis: f64) {
        let end = self.now + millis;
        while let Some(due) = self.engine.next_due().map(Nanos::as_millis).filter(|due| *due < end) {
            self.now = due.max(self.now + 0.001);
            self.pull();
        }
        self.now = end;
        self.pull();
    }

    /// What is out of a query's phase, by shard.
    pub fn out(&self, asker: u64, of: Phase) -> Vec<Sent> {
        let own = |sent: &&Sent| sent.asker == asker && sent.of == of && !sent.over;
        let mut out: Vec<Sent> = self.sent.iter().filter(own).cloned().collect();
        out.sort_by_key(|sent| (sent.shard, sent.no));
        out
    }

    /// All that was ever sent of a query's phase.
    pub fn all(&self, asker: u64, of: Phase) -> Vec<Sent> {
        self.sent.iter().filter(|sent| sent.asker == asker && sent.of == of).cloned().collect()
    }

    /// The first hand-off that is out for a shard answers.
    pub fn answer(&mut self, asker: u64, of: Phase, shard: u32, value: &str) {
        let sent = self.out(asker, of).into_iter().find(|sent| sent.shard == shard).unwrap();
        self.answer_sent(&sent, value);
    }

    pub fn answer_sent(&mut self, sent: &Sent, value: &str) {
        let report = LoadReport::default();
        self.engine.answered(ms(self.now), sent.part, sent.no, value.to_string(), report);
        let (part, no) = (sent.part, sent.no);
        self.note_end(part, no, Outcome::Answered);
        self.pull();
    }

    pub fn fail(&mut self, asker: u64, of: Phase, shard: u32, outcome: Outcome) {
        let sent = self.out(asker, of).into_iter().find(|sent| sent.shard == shard).unwrap();
        self.end_hand_off(sent.part, sent.no, outcome);
        self.pull();
    }

    /// Each block asked says whether it matches.
    pub fn say(&mut self, asker: u64, shards: &[u32], matching: &[u32]) {
        for shard in shards {
            let value = if matching.contains(shard) {
                format!(r#"{{"blocks":[{shard}]}}"#)
            } else {
                r#"{"blocks":[]}"#.to_string()
            };
            self.answer(asker, Phase::Match, *shard, &value);
        }
    }

    pub fn final_of(&self, asker: u64) -> Option<&Final> {
        self.finals.iter().find(|given| given.asker == asker)
    }

    /// What the final answer says of each block, in order.
    pub fn said(&self, asker: u64) -> Vec<(u32, BlockState)> {
        match self.final_of(asker).map(|given| &given.verdict) {
            Some(Verdict::Completed { blocks: Some(blocks), .. }) => {
                blocks.iter().map(|(shard, said)| (shard.0, *said)).collect()
            }
            other => panic!("no account of blocks: {other:?}"),
        }
    }

    /// Serves queries of these blocks one after another: so long for matches, so long for fetches.
    pub fn warm_up(&mut self, queries: usize, shards: &[u32], first: f64, second: f64) {
        for _ in 0..queries {
            let asker = self.ask(REPLAYABLE, shards);
            self.pass(first);
            // All but the first part of a query may wait for it, where nodes have just broken.
            while !self.out(asker, Phase::Match).is_empty() {
                let out: Vec<u32> = self.out(asker, Phase::Match).iter().map(|sent| sent.shard).collect();
                self.say(asker, &out, &out);
            }
            self.pass(second);
            for sent in self.out(asker, Phase::Fetch) {
                self.answer_sent(&sent, "value");
            }
            assert!(self.final_of(asker).is_some(), "a query of the warm-up is served");
        }
    }
}

pub fn entry(node: u32, health: Health) -> NodeEntry {
    NodeEntry { node: NodeId(node), place: PlaceId(node % 4), zone: None, health, started_at: Nanos(0) }
}

pub fn is_whole(given: &Final) -> bool {
    matches!(given.verdict, Verdict::Completed { is_complete: true, .. })
}

pub fn is_dismissed(given: &Final) -> bool {
    matches!(given.verdict, Verdict::Rejected { retry_after: Some(_) })
}

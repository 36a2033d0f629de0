//! The multigets in hand that have two phases, and what earlier ones have taught.

use crate::sketches::{Says, Sketches};
use crate::spans::Spans;
use fernknot::interface::*;
use fernknot::state::RunningMean;
use fernknot_protocol::matches::{Match, Names};
use fernknot_protocol::multiget::BlockState;
use fernknot_router_config::{PhaseFacts, Silent, Split};
use std::collections::{BTreeMap, HashMap};

/// A first phase leaves as much time as this share of the recent second phases of the size took at most,
/// and a second one that has not even the time that this share took is likelier late than not.
const NEED: f64 = 0.9;
const LIKELY: f64 = 0.5;
/// No second phase of its size was quicker than this share of the recent ones.
const LEAST: f64 = 0.05;
/// Second phases are told apart by their parts, in powers of two.
const SIZES: usize = 12;
/// Weight of one multiget in the running means of matches and of what summaries missed.
const GAIN: f64 = 0.05;
/// The chance of a match where nothing is known, and that a summary which denies one is behind.
const MATCH_AT_FIRST: f64 = 0.5;
const BEHIND_AT_FIRST: f64 = 0.05;

/// A block that a query may fetch.
#[derive(Clone, Debug, PartialEq)]
pub struct Block {
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    pub effort: Option<Nanos>,
}

/// What a client asks in two phases.
#[derive(Clone, Debug)]
pub struct Query {
    pub use_case: UseCaseId,
    /// How long its client waits.
    pub wait: Nanos,
    /// The blocks that are asked what they hold; all blocks that may be fetched; prints of the terms.
    pub asked: Vec<ShardId>,
    pub blocks: Vec<Block>,
    pub terms: Vec<u64>,
}

/// Why a match answer cannot be used. The hand-off failed and may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadMatch {
    NotInQuery,
    Twice,
    NamesOthers,
}

/// The second phase as it is opened.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    pub blocks: Vec<Block>,
    pub step: SecondStep,
}

/// What is known of a block in a query.
#[derive(Clone, Debug)]
struct Known {
    block: Block,
    /// The chance that it is fetched, as far as is known; 1 once it is named.
    chance: f64,
    named: bool,
    fetched: bool,
    ruled_out: bool,
}

/// What a block that is asked has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AskedBlock {
    answered: bool,
    says: Says,
}

struct Open {
    use_case: UseCaseId,
    taken_at: Nanos,
    /// The time for both phases: the goal time, or the client's wait if that is less.
    goal: Nanos,
    opened_at: Option<Nanos>,
    asked: BTreeMap<ShardId, AskedBlock>,
    blocks: BTreeMap<ShardId, Known>,
    terms: Vec<u64>,
    fetched: usize,
    efforts: Option<Nanos>,
}

/// What is known of a use case.
struct Case {
    facts: PhaseFacts,
    first: Spans,
    seconds: Vec<Spans>,
    /// The share of blocks that are named, all in all and where a summary denied a match.
    matches: RunningMean,
    behind: RunningMean,
}

impl Case {
    fn size(parts: f64) -> usize {
        (parts.max(1.0).log2().ceil() as usize).min(SIZES - 1)
    }

    /// What a second phase of so many parts takes, by this quantile: that of its size, or of the nearest
    /// size that is known, smaller ones first.
    fn takes(&mut self, now: Nanos, parts: f64, share: f64) -> Option<Nanos> {
        let size = Case::size(parts);
        let nearest = (0..=size).rev().chain(size + 1..SIZES);
        nearest.into_iter().find_map(|size| self.seconds[size].quantile(now, share))
    }

    /// The time to keep for a second phase of so many parts, within the bounds of the settings. `goal` is
    /// the goal time, or less where the client leaves sooner.
    fn needs(&mut self, now: Nanos, parts: f64, goal: Nanos) -> Nanos {
        if self.facts.split == Split::Half {
            return goal.times(0.5);
        }
        // Unknown, it is held to take what the bounds leave in the middle.
        let middle = goal.times(1.0 - (self.facts.first_least + self.facts.first_most) / 2.0);
        let taken = if parts > 0.0 { self.takes(now, parts, NEED).unwrap_or(middle) } else { Nanos(0) };
        // Where both phases are long, each gets its part. Guards against a first phase that is cut short for
        // a second one that could not be in time either.
        let first = self.first.quantile(now, NEED).unwrap_or_default();
        let both = (first + taken).0.max(1);
        let taken = if both > goal.0 { goal.times(taken.0 as f64 / both as f64) } else { taken };
        taken.clamp(goal.times(1.0 - self.facts.first_most), goal.times(1.0 - self.facts.first_least))
    }
}

#[derive(Default)]
pub struct Phases {
    cases: Vec<Option<Case>>,
    open: HashMap<MultigetId, Open>,
    sketches: Option<Sketches>,
    /// Blocks ruled out by a summary that their store confirmed, and confirmed versions not kept here.
    pub by_sketch: u64,
    pub sketch_behind: u64,
}

impl Phases {
    /// One entry for each use case, `None` where it has no phases; summaries may take so many bytes.
    pub fn new(now: Nanos, facts: &[Option<PhaseFacts>], sketch_bytes: usize) -> Phases {
        let any = facts.iter().any(Option::is_some);
        let case = |facts: &PhaseFacts| Case {
            facts: facts.clone(),
            first: Spans::new(now),
            seconds: (0..SIZES).map(|_| Spans::new(now)).collect(),
            matches: RunningMean::default(),
            behind: RunningMean::default(),
        };
        Phases {
            cases: facts.iter().map(|facts| facts.as_ref().map(case)).collect(),
            sketches: any.then(|| Sketches::new(sketch_bytes)),
            ..Phases::default()
        }
    }

    /// Multigets in hand, and bytes and number of summaries.
    pub fn in_hand(&self) -> usize {
        self.open.len()
    }

    pub fn sketches(&self) -> Option<&Sketches> {
        self.sketches.as_ref()
    }

    /// The version of a block's summary that is kept here, for its store to confirm.
    pub fn version(&self, shard: ShardId) -> Option<u64> {
        self.sketches.as_ref()?.version(shard)
    }

    /// Takes a query. What comes back are the blocks to ask, those likeliest to match first.
    pub fn begin(&mut self, now: Nanos, id: MultigetId, query: Query) -> Vec<ShardId> {
        let Some(Some(case)) = self.cases.get(query.use_case.0) else { return query.asked };
        let matches = case.matches.get().unwrap_or(MATCH_AT_FIRST);
        let behind = case.behind.get().unwrap_or(BEHIND_AT_FIRST);
        let mut says = |shard: ShardId| {
            self.sketches.as_mut().map_or(Says::Nothing, |sketches| sketches.says(shard, &query.terms))
        };
        let asked: BTreeMap<ShardId, AskedBlock> = query
            .asked
            .iter()
            .map(|shard| (*shard, AskedBlock { answered: false, says: says(*shard) }))
            .collect();
        let chance = |shard: &ShardId| match asked.get(shard).map(|asked| asked.says) {
            Some(Says::Lacks) => behind,
            Some(Says::May) => matches.max(0.5),
            _ => matches,
        };
        let mut order = query.asked.clone();
        order.sort_by(|one, other| chance(other).total_cmp(&chance(one)).then(one.cmp(other)));
        let known = |block: Block| {
            let chance = if case.facts.prunes { chance(&block.shard) } else { 1.0 };
            let known = Known { block, chance, named: false, fetched: false, ruled_out: false };
            (known.block.shard, known)
        };
        let efforts: Option<u64> = query.blocks.iter().map(|block| Some(block.effort?.0)).sum();
        let efforts = efforts.map(|sum| Nanos(sum / query.blocks.len().max(1) as u64));
        let open = Open {
            use_case: query.use_case,
            taken_at: now,
            goal: case.facts.goal.min(query.wait),
            opened_at: None,
            blocks: query.blocks.into_iter().map(known).collect(),
            asked,
            terms: query.terms,
            fetched: 0,
            efforts,
        };
        self.open.insert(id, open);
        order
    }

    /// What the module is to know of the second phase while the first one runs.
    pub fn expectation(&mut self, now: Nanos, id: MultigetId) -> Option<SecondFacts> {
        let open = self.open.get(&id).filter(|open| open.opened_at.is_none())?;
        let case = self.cases.get_mut(open.use_case.0)?.as_mut()?;
        let parts: f64 = open.blocks.values().map(|known| known.chance).sum();
        let named = open.blocks.values().filter(|known| known.named).count();
        let certain = case.facts.refuses && named > 0;
        let needs = case.needs(now, parts, open.goal);
        let least = if certain { case.takes(now, named as f64, LEAST).unwrap_or_default() } else { Nanos(0) };
        Some(SecondFacts {
            needs,
            // Guards against refusing for certain what is only expected.
            needs_least: least.min(needs),
            parts,
            effort: open.efforts,
            least: if case.facts.silent == Silent::Refuse { 1.0 } else { case.facts.least },
        })
    }

    /// A block's answer in the first phase. One that cannot be used changes nothing. One that comes once
    /// the phase is closed changes nothing either; `false` tells that.
    pub fn matched(&mut self, id: MultigetId, from: ShardId, answer: Match) -> Result<bool, BadMatch> {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.opened_at.is_none()) else {
            return Ok(false);
        };
        let Some(Some(case)) = self.cases.get_mut(open.use_case.0) else { return Ok(false) };
        let Some(asked) = open.asked.get_mut(&from) else { return Err(BadMatch::NotInQuery) };
        if asked.answered {
            return Ok(false);
        }
        let mut sketched = false;
        let named = match answer.names {
            Names::Blocks(blocks) => {
                for (index, shard) in blocks.iter().enumerate() {
                    // Guards against a fetch that is silently smaller than what a store meant.
                    if !open.blocks.contains_key(shard) {
                        return Err(BadMatch::NotInQuery);
                    }
                    if blocks[..index].contains(shard) {
                        return Err(BadMatch::Twice);
                    }
                    if !case.facts.names_others && *shard != from {
                        return Err(BadMatch::NamesOthers);
                    }
                }
                blocks
            }
            // The store has not looked: what it holds is as the summary of that version says. Guards
            // against a summary that is behind, and against one that is not known here: the block counts.
            Names::Same(version) => {
                let kept = self.sketches.as_mut().filter(|sketches| sketches.version(from) == Some(version));
                let says = kept.map(|sketches| sketches.says(from, &open.terms));
                sketched = says == Some(Says::Lacks);
                self.sketch_behind += u64::from(says.is_none());
                if sketched || !open.blocks.contains_key(&from) { Vec::new() } else { vec![from] }
            }
        };
        if asked.says == Says::Lacks && !sketched {
            case.behind.add_from(Some(BEHIND_AT_FIRST), f64::from(u8::from(!named.is_empty())), GAIN);
        }
        asked.answered = true;
        self.by_sketch += u64::from(sketched);
        if let (Some((version, prints)), Some(sketches)) = (answer.sketch, self.sketches.as_mut()) {
            sketches.put(from, version, prints);
        }
        let all = open.asked.values().all(|asked| asked.answered);
        if case.facts.names_others {
            let left = if all { 0.0 } else { 1.0 - 1.0 / open.asked.len() as f64 };
            let unnamed = open.blocks.values_mut().filter(|known| !known.named && case.facts.prunes);
            unnamed.for_each(|known| known.chance *= left);
        } else if let Some(known) = open.blocks.get_mut(&from).filter(|_| case.facts.prunes) {
            known.chance = 0.0;
        }
        for shard in named {
            if let Some(known) = open.blocks.get_mut(&shard) {
                (known.named, known.chance) = (true, 1.0);
            }
        }
        Ok(true)
    }

    /// Ends the first phase: which blocks the second one fetches, and what it needs.
    pub fn open(&mut self, now: Nanos, id: MultigetId) -> Option<Fetch> {
        let open = self.open.get_mut(&id).filter(|open| open.opened_at.is_none())?;
        let case = self.cases.get_mut(open.use_case.0)?.as_mut()?;
        open.opened_at = Some(now);
        case.first.record(now, now - open.taken_at);
        let facts = &case.facts;
        let silent = open.asked.values().any(|asked| !asked.answered);
        let (mut blocks, mut base, mut whole, mut named) = (Vec::new(), 0.0, true, 0);
        for (shard, known) in &mut open.blocks {
            // A block that did not answer may have named itself, or any where blocks name others.
            let own = open.asked.get(shard).is_some_and(|asked| !asked.answered);
            let possible = !known.named && (own || silent && facts.names_others);
            named += usize::from(known.named);
            known.fetched = known.named || !facts.prunes || possible && facts.silent == Silent::Fetch;
            known.ruled_out = !known.fetched && !possible;
            if known.fetched {
                blocks.push(known.block.clone());
            } else if known.ruled_out {
                base += known.block.weight;
            } else {
                whole = false;
            }
        }
        open.fetched = blocks.len();
        if !silent {
            case.matches.add(named as f64 / open.blocks.len().max(1) as f64, GAIN);
        }
        let needs = case.facts.refuses.then(|| match blocks.len() {
            0 => Nanos(0),
            parts => case.takes(now, parts as f64, LIKELY).unwrap_or_default(),
        });
        Some(Fetch { blocks, step: SecondStep { needs, base, whole } })
    }

    /// The multiget has had its final answer, or its client has gone. `ran`: parts of the second phase
    /// were handed off. What a second phase took that was given up is not known, only that it was longer.
    pub fn over(&mut self, now: Nanos, id: MultigetId, ran: bool) {
        let Some(open) = self.open.remove(&id) else { return };
        let Some(Some(case)) = self.cases.get_mut(open.use_case.0) else { return };
        if let Some(opened_at) = open.opened_at.filter(|_| ran) {
            case.seconds[Case::size(open.fetched as f64)].record(now, now - opened_at);
        }
    }

    /// What is to be said of each block of a multiget whose second phase was opened; `is_in` tells
    /// whether a block's value is in the answer. Pruned: every match answer that could have named it is
    /// in, and none did. Missing: its value was asked for and is not in. Unasked: neither.
    pub fn account(
        &self,
        id: MultigetId,
        is_in: impl Fn(ShardId) -> bool,
    ) -> Option<Vec<(ShardId, BlockState)>> {
        let open = self.open.get(&id)?;
        let state = |(shard, known): (&ShardId, &Known)| {
            let state = match (known.fetched, known.ruled_out) {
                (true, _) if is_in(*shard) => BlockState::Fetched,
                (true, _) => BlockState::Missing,
                (false, true) => BlockState::Pruned,
                (false, false) => BlockState::Unasked,
            };
            (*shard, state)
        };
        Some(open.blocks.iter().map(state).collect())
    }
}

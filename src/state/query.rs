//! A query in flight: its parts and their attempts.

use crate::interface::*;
use std::collections::BTreeMap;

/// One attempt of a part.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The node that it was sent to.
    pub node: NodeId,
    /// When it was sent.
    pub sent: Nanos,
    /// How long it was expected to take.
    pub expected: Nanos,
    /// The work in flight at its node when it was sent, itself included.
    pub queue_ahead: f64,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// It was cancelled.
    pub cancelled: bool,
    /// It has been counted as a miss of its node while still out.
    pub missed: bool,
}

/// Sizes of work by node.
pub type Loads = BTreeMap<NodeId, f64>;

impl Attempt {
    /// An attempt that is sent now.
    pub fn new(offer: &Candidate, sent: Nanos, ahead: f64) -> Attempt {
        Attempt {
            node: offer.node,
            sent,
            expected: offer.delay,
            queue_ahead: ahead,
            outcome: None,
            cancelled: false,
            missed: false,
        }
    }
}

/// A use case, and whether it is the second of its two phases.
pub type WorkKind = (UseCaseId, bool);

/// One part of a multiget: the query to one shard.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its id.
    pub id: PartId,
    /// The shard that it asks.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Its expected work, relative to the mean part.
    pub size: f64,
    /// Logarithm of the work hinted at.
    pub hint: Option<f64>,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// Its use case and phase.
    pub kind: WorkKind,
    /// All its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// An answer is in.
    pub answered: bool,
    /// No further attempt is made.
    pub given_up: bool,
}

impl Part {
    /// One that may be repeated, of a first phase, with no hint.
    pub fn new(arrival: &PartArrival, use_case: UseCaseId, size: f64) -> Part {
        Part {
            id: arrival.part,
            shard: arrival.shard,
            weight: arrival.weight,
            size,
            hint: None,
            effect: Effect::Idempotent,
            kind: (use_case, false),
            attempts: Vec::new(),
            answered: false,
            given_up: false,
        }
    }

    /// The attempts in flight.
    pub fn pending(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|sent| sent.outcome.is_none())
    }
}

/// A query in flight.
#[derive(Clone, Debug)]
pub struct Multiget {
    /// Its use case.
    pub use_case: UseCaseId,
    /// Whose rate limit it counts against.
    pub customer: CustomerId,
    /// When to have answered: the target, or sooner where clients leave sooner.
    pub target_end: Nanos,
    /// When nothing more can be earned.
    pub until: Nanos,
    /// Both, as they are for the multiget as a whole while its first phase has less.
    pub whole_ends: (Nanos, Nanos),
    /// When its client gives up.
    pub client_end: Nanos,
    /// Of its second phase, while the first one runs, and the work counted as promised to it.
    pub second: Option<SecondPhaseEstimate>,
    /// The sizes of work reserved for its second phase.
    pub promised: f64,
    /// Its second phase, once that is open.
    pub opened: Option<SecondPhaseStart>,
    /// Its parts, those of the first phase first.
    pub parts: Vec<Part>,
    /// Where the parts of the present step begin.
    pub step_from: usize,
    /// No part of the present step has been looked at yet.
    pub fresh: bool,
    /// Its other parts wait for the first one's answer.
    pub scouting: bool,
    /// Nothing was missing from its first phase.
    pub first_whole: bool,
    /// When it is to be looked at without news.
    pub look_at: Nanos,
    /// It has had its final answer; kept only for what is still out.
    pub ended: bool,
}

impl Multiget {
    /// One that has just arrived, without parts.
    pub fn new(arrival: &Arrival, aim_end: Nanos, until: Nanos) -> Multiget {
        Multiget {
            use_case: arrival.use_case,
            customer: arrival.customer,
            target_end: aim_end,
            until,
            whole_ends: (aim_end, until),
            client_end: arrival.client_end,
            second: None,
            promised: 0.0,
            opened: None,
            parts: Vec::new(),
            step_from: 0,
            fresh: true,
            scouting: false,
            first_whole: true,
            look_at: Nanos(0),
            ended: false,
        }
    }

    /// The parts of the present phase.
    pub fn step(&self) -> &[Part] {
        &self.parts[self.step_from..]
    }
}

/// What is expected of a part at a node; `phi` is the chance of an answer in time.
#[derive(Clone, Copy)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// The expected time to an answer.
    pub delay: Nanos,
    /// The chance of an answer in time.
    pub phi: f64,
}

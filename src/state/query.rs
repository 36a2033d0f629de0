//! State of a query in flight: its parts and their attempts.

use crate::interface::*;
use std::collections::BTreeMap;

/// Attempt to have a part answered by a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Time that the attempt was expected to take when it was sent.
    pub expected_delay: Nanos,
    /// Work in flight at the node when the attempt was sent, in sizes of parts, this attempt included.
    pub work_in_flight: f64,
    /// Outcome of the attempt; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// Whether the host has been told to cancel it; its outcome may still be missing.
    pub cancelled: bool,
    /// Whether it was counted as a miss of its node, because it became overdue.
    pub is_miss: bool,
}

/// Work by node, in sizes of parts.
pub type Loads = BTreeMap<NodeId, f64>;

impl Attempt {
    /// Creates an attempt that is sent now.
    pub fn new(candidate: &Candidate, sent_at: Nanos, work_in_flight: f64) -> Attempt {
        Attempt {
            node: candidate.node,
            sent_at,
            expected_delay: candidate.delay,
            work_in_flight,
            outcome: None,
            cancelled: false,
            is_miss: false,
        }
    }
}

/// Kind of work: a use case, and whether the work belongs to a second phase.
pub type WorkKind = (UseCaseId, bool);

/// Part of a multiget: the query to one shard.
#[derive(Clone, Debug)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Shard that the part queries.
    pub shard: ShardId,
    /// Share of the complete answer that the part contributes, from 0 to 1.
    pub weight: f64,
    /// Size: the expected work, relative to the mean part.
    pub size: f64,
    /// Natural logarithm of the expected work in nanoseconds; `None` if the host does not know the work.
    pub log_effort: Option<f64>,
    /// Effect of executing it more than once.
    pub effect: Effect,
    /// Use case and phase that the part belongs to.
    pub kind: WorkKind,
    /// All attempts of the part, indexed by their number.
    pub attempts: Vec<Attempt>,
    /// Whether the part was answered.
    pub answered: bool,
    /// Whether it remains unanswered for good: it gets no further attempt, and later answers are ignored.
    pub given_up: bool,
}

impl Part {
    /// Creates an idempotent part of a first phase, without a known effort.
    pub fn new(arrival: &PartArrival, use_case: UseCaseId, size: f64) -> Part {
        Part {
            id: arrival.part,
            shard: arrival.shard,
            weight: arrival.weight,
            size,
            log_effort: None,
            effect: Effect::Idempotent,
            kind: (use_case, false),
            attempts: Vec::new(),
            answered: false,
            given_up: false,
        }
    }

    /// Returns the attempts in flight.
    pub fn pending(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none())
    }
}

/// Query in flight.
#[derive(Clone, Debug)]
pub struct Multiget {
    /// Use case of the query.
    pub use_case: UseCaseId,
    /// Customer whose quota the query counts against.
    pub customer: CustomerId,
    /// Time by which to answer: the end of the latency target, or the client's deadline if that is earlier.
    pub target_end: Nanos,
    /// Time after which an answer has no value: the client's deadline, or `target_end` if late answers have none.
    pub value_end: Nanos,
    /// `target_end` and `value_end` of the whole query, since the first of two phases has earlier ones.
    pub overall_ends: (Nanos, Nanos),
    /// Time at which its client gives up.
    pub client_deadline: Nanos,
    /// Estimate of its second phase, while the first one runs.
    pub second_phase: Option<SecondPhaseEstimate>,
    /// Work reserved for its second phase, in sizes of parts.
    pub reserved_work: f64,
    /// Start of its second phase, once that is open.
    pub second_start: Option<SecondPhaseStart>,
    /// Parts of the first phase, then those of the second.
    pub parts: Vec<Part>,
    /// Index of the first part of the current phase.
    pub phase_from: usize,
    /// Whether it has not been decided yet to send the current phase or to reject the multiget.
    pub awaits_admission: bool,
    /// Whether one part was sent first, as a probe; the others wait until its attempt has ended or is overdue.
    pub is_probing: bool,
    /// Whether its first phase was answered completely; true before that has ended, or if there is none.
    pub first_phase_complete: bool,
    /// Time of its next scheduled review, which makes the decisions due for it.
    pub review_at: Nanos,
    /// Whether it has been answered, rejected or given up, or its client has gone. It is kept until none of its
    /// attempts is in flight.
    pub finished: bool,
}

impl Multiget {
    /// Creates a query that has just arrived, without parts.
    pub fn new(arrival: &Arrival, target_end: Nanos, value_end: Nanos) -> Multiget {
        Multiget {
            use_case: arrival.use_case,
            customer: arrival.customer,
            target_end,
            value_end,
            overall_ends: (target_end, value_end),
            client_deadline: arrival.client_deadline,
            second_phase: None,
            reserved_work: 0.0,
            second_start: None,
            parts: Vec::new(),
            phase_from: 0,
            awaits_admission: true,
            is_probing: false,
            first_phase_complete: true,
            review_at: Nanos(0),
            finished: false,
        }
    }

    /// Returns the parts of the current phase.
    pub fn phase_parts(&self) -> &[Part] {
        &self.parts[self.phase_from..]
    }
}

/// Node that a part may be sent to.
#[derive(Clone, Copy)]
pub struct Candidate {
    /// Number of the node.
    pub node: NodeId,
    /// Expected time to an answer.
    pub delay: Nanos,
    /// Probability that the node answers within the time left to the query.
    pub probability: f64,
}

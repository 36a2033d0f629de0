//! Types exchanged between the decision module and its host: ids, times, settings, outcomes and decisions.

#![deny(missing_docs)]

use std::ops::{Add, Sub};

/// Nanoseconds: a time of the host's clock, or a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// Converts milliseconds; negative ones count as 0.
    pub fn from_millis(ms: f64) -> Nanos {
        Nanos((ms.max(0.0) * 1e6).round() as u64)
    }

    /// Converts to milliseconds.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies a duration; negative factors count as 0.
    pub fn times(self, factor: f64) -> Nanos {
        Nanos((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Add for Nanos {
    type Output = Nanos;
    fn add(self, other: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(other.0))
    }
}

impl Sub for Nanos {
    type Output = Nanos;
    /// Difference; 0 if the other is larger.
    fn sub(self, other: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids!(
    /// Id of a multiget: a client's query, split into a part for each shard. The host never uses an id again.
    MultigetId(u64),
    /// Number that the host gives a node.
    NodeId(u32),
    /// Number of a shard.
    ShardId(u32),
    /// Position in the placement of shards: the nodes at one place are replicas of the same shards.
    PlaceId(u32),
    /// Number of a zone (failure domain).
    ZoneId(u32),
    /// Index into the use cases of the settings.
    UseCaseId(usize),
    /// Index into the customers of the settings.
    CustomerId(usize),
    /// Number of another router of the same tier.
    PeerId(u32),
    /// Index of an attempt among those of its part.
    AttemptNumber(u32)
);

/// Id of a part: its multiget and its index there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// Multiget that the part belongs to.
    pub multiget: MultigetId,
    /// Index among the parts of that multiget, in order of arrival.
    pub index: usize,
}

/// Effect of executing a part more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: it may be repeated at any time.
    #[default]
    Idempotent,
    /// Nodes drop duplicates for this time after the first attempt that may have run.
    Deduplicated(Nanos),
    /// Non-idempotent: it must not run twice.
    NonIdempotent,
}

/// Settings of a use case: a kind of queries with one latency target and one value.
#[derive(Clone, Debug, Default)]
pub struct UseCaseSettings {
    /// Time from the first try until a query should be answered.
    pub latency_target: Nanos,
    /// Time until the client gives up, over all its tries.
    pub hard_limit: Nanos,
    /// Value of an answer within the target, relative to other use cases.
    pub value: f64,
    /// Value of an answer after the target, as a share of `value`.
    pub late_value_share: f64,
    /// Whether the value of a partial answer is the square of its share of the weight.
    pub squares_partial_value: bool,
    /// Effect of repeating its parts.
    pub effect: Effect,
    /// Multiple of a multiget's own expected work by which its latency target grows.
    pub target_work_factor: f64,
    /// Share of the weight that makes an answer complete, from 0 to 1.
    pub complete_share: f64,
    /// Smallest share of the weight that may be answered at all, from 0 to 1.
    pub quorum: f64,
    /// Whether its queries run in two phases.
    pub two_phase: bool,
    /// Limit of attempts per part; `None` for the limit in [`SiteSettings`].
    pub max_attempts: Option<u32>,
}

/// Slow start: limits on the load of a node that has just started.
#[derive(Clone, Debug, Default)]
pub struct SlowStartSettings {
    /// Share of its capacity that a node has when it starts, from 0 to 1.
    pub initial_share: f64,
    /// Time from a node's start until its full capacity, which grows linearly until then.
    pub warmup_time: Nanos,
    /// Limit of a cold node's load in a window, as a multiple of a warm node's load times the capacity share.
    pub max_load_multiple: f64,
    /// Window over which load is counted.
    pub window: Nanos,
}

/// Retry budget: limit of the attempts beyond the first of each part in a window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetSettings {
    /// Number of retries that are always allowed.
    pub free_retries: f64,
    /// Number of further retries allowed per accepted part.
    pub retry_ratio: f64,
    /// Length of the window in which parts and retries are counted.
    pub window: Nanos,
    /// Whether each shard has a budget of its own, against the parts sent to it, which holds in every window,
    /// wherever that begins. Otherwise one budget covers all shards and holds in the window that ends now.
    pub per_shard: bool,
}

/// Settings of a router, given when it starts.
#[derive(Clone, Debug, Default)]
pub struct SiteSettings {
    /// Number of routers that share the load and the limits, at least 1.
    pub routers: usize,
    /// Use cases, indexed by [`UseCaseId`].
    pub use_cases: Vec<UseCaseSettings>,
    /// Shortest latency target that latencies are resolved for, if use cases may be added later.
    pub min_latency_target: Option<Nanos>,
    /// Quota of each customer in multigets per second, over all routers, indexed by [`CustomerId`].
    pub customer_quotas: Vec<f64>,
    /// Resolution of the host's clock.
    pub tick: Nanos,
    /// Slow start of nodes.
    pub slow_start: SlowStartSettings,
    /// Retry budget; `None` for unlimited retries.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Number of places that the shards are spread over.
    pub places: u32,
    /// Number of consecutive places that hold each shard.
    pub places_per_shard: u32,
    /// Whether attempts may be cancelled at their node.
    pub cancellation: bool,
    /// Whether a part may have more than one attempt in flight (hedged requests).
    pub hedging: bool,
    /// Limit of attempts per part.
    pub max_attempts: u32,
    /// Longest time after which a rejected client may be asked to retry; `None` to leave it to the client.
    pub max_retry_after: Option<Nanos>,
    /// Whether changes of the node list arrive only after [`Decision::RequestList`].
    pub list_changes_on_request: bool,
    /// Whether routers exchange [`Update`]s.
    pub peer_updates: bool,
    /// Whether the value of a multiget grows with its work.
    pub value_by_work: bool,
    /// Zone of this router, if attempts to other zones cost more.
    pub zone: Option<ZoneId>,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Whether a rejection loses value, so that only multigets that cannot be in time are rejected.
    pub rejections_cost_value: bool,
}

/// State of a node according to the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It accepts new attempts.
    Running,
    /// It completes its attempts and accepts no new ones.
    Draining,
    /// It has stopped.
    Gone,
}

/// Entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Number of the node.
    pub node: NodeId,
    /// Place of the node, which determines its shards.
    pub place: PlaceId,
    /// Zone of the node, if the list has it.
    pub zone: Option<ZoneId>,
    /// State of the node.
    pub health: Health,
    /// Time of its last start; 0 if that was long ago.
    pub started_at: Nanos,
}

/// Coverage of a node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All nodes: one that is not listed has stopped.
    Full,
}

/// Arrival of a multiget from a client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the multiget.
    pub multiget: MultigetId,
    /// Use case of the multiget.
    pub use_case: UseCaseId,
    /// Customer whose quota it counts against.
    pub customer: CustomerId,
    /// Time at which its client gives up.
    pub client_deadline: Nanos,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Expected work of all parts, if the host knows it.
    pub effort: Option<Nanos>,
    /// Estimate of its second phase, if it has two. Parts of the first one count as idempotent, whatever the
    /// use case's effect.
    pub second_phase: Option<SecondPhaseEstimate>,
}

/// Estimate of a second phase while the first one runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondPhaseEstimate {
    /// Expected duration of the second phase.
    pub expected_duration: Nanos,
    /// Lower bound of its duration.
    pub min_duration: Nanos,
    /// Expected number of its parts.
    pub expected_parts: f64,
    /// Expected work of one of these parts, if the host knows it.
    pub effort: Option<Nanos>,
    /// Share of the first phase's weight that suffices to open the second, from 0 to 1.
    pub min_first_phase_share: f64,
}

/// Start of a second phase; its parts follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondPhaseStart {
    /// Expected duration of the second phase; `None` admits it however little time is left.
    pub expected_duration: Option<Nanos>,
    /// Share of the answer that needs no part of the second phase, from 0 to 1.
    pub known_share: f64,
    /// Whether the first phase was answered completely.
    pub first_phase_complete: bool,
}

/// Arrival of one part of a multiget.
#[derive(Clone, Debug)]
pub struct PartArrival {
    /// Id of the part.
    pub part: PartId,
    /// Shard that the part queries.
    pub shard: ShardId,
    /// Share of the answer's weight, from 0 to 1.
    pub weight: f64,
    /// Expected work of the part, if the host knows it.
    pub effort: Option<Nanos>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered.
    Answered,
    /// The node failed while executing it.
    Error,
    /// The node rejected it before it ran.
    Rejected,
    /// No answer arrived before the time-out.
    TimedOut,
    /// The connection was refused or broke: it may have run.
    Unreachable,
    /// The answer was malformed.
    Invalid,
    /// The router cancelled it.
    Cancelled,
    /// None of its bytes were sent: it cannot have run.
    NeverSent,
}

/// Load that a node reported, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its capacity in use, from 0 to 1.
    pub busy_share: Option<f64>,
    /// Number of parts in its queue.
    pub queued_parts: Option<f64>,
}

/// End of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Id of the part.
    pub part: PartId,
    /// Number of the attempt within its part.
    pub number: AttemptNumber,
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from its start to its end.
    pub duration: Nanos,
    /// Load that the node reported with its answer.
    pub report: LoadReport,
}

/// Event of one attempt, as a router reports it to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// It was sent.
    Sent,
    /// It was answered after this time.
    Answered(Nanos),
    /// It takes much longer than expected.
    Overdue,
    /// It failed.
    Failed,
}

/// Decision for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    SendAttempt {
        /// Id of the part.
        part: PartId,
        /// Node to send it to.
        node: NodeId,
        /// Time at which it ends as timed out.
        stop_at: Nanos,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Id of the part.
        part: PartId,
        /// Number of the attempt within its part.
        number: AttemptNumber,
    },
    /// Answer a multiget or, with `is_final` false, end its first phase.
    Complete {
        /// Id of the multiget.
        multiget: MultigetId,
        /// Whether the answer is complete.
        is_complete: bool,
        /// Whether no second phase follows.
        is_final: bool,
    },
    /// Reject a multiget of which nothing ran that must not run twice.
    Reject {
        /// Id of the multiget.
        multiget: MultigetId,
        /// Time after which its client may retry.
        retry_after: Nanos,
    },
    /// End a multiget without an answer: some of it may have run.
    Abort {
        /// Id of the multiget.
        multiget: MultigetId,
    },
    /// Request the changes of the node list.
    RequestList,
    /// Send nothing further over connections to a node that have received nothing for as long as a request has
    /// been in flight on them.
    RenewConnections {
        /// Number of the node.
        node: NodeId,
    },
    /// Send updates to all other routers.
    NotifyPeers {
        /// Nodes, each with an event of an attempt there.
        updates: Vec<(NodeId, Update)>,
    },
    /// Poll again after this time, even without an input.
    Wake {
        /// Time from now.
        after: Nanos,
    },
}

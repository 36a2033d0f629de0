//! Types exchanged between the decision module (`decide`) and its host: ids, times, settings, outcomes and decisions.
//! The host is the program that drives the decision module: it reports events to it, and sends and cancels what it
//! decides. A multiget is one client's query. It has a part for each shard that it asks; a part is sent to a replica
//! of that shard as an attempt, and repeated as further attempts. A part's share of the complete answer is its weight,
//! and its expected work is its effort. A router is one of several that send parts to the same nodes; the others are
//! its peers.

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
    /// Id of a multiget: a client's query, split into a part for each shard. The host never gives an id twice.
    MultigetId(u64),
    /// Number that the host gives a node.
    NodeId(u32),
    /// Number of a shard. It determines the places that hold the shard: the place whose number is that of the shard
    /// modulo [`SiteSettings::places`], and the next ones up to [`SiteSettings::places_per_shard`].
    ShardId(u32),
    /// Position in the placement of shards: the nodes at one place are replicas of the same shards.
    PlaceId(u32),
    /// Number of a zone (failure domain).
    ZoneId(u32),
    /// Index into [`SiteSettings::use_cases`].
    UseCaseId(usize),
    /// Index into [`SiteSettings::customer_quotas`].
    CustomerId(usize),
    /// Number that the host gives another router that sends parts to the same nodes.
    PeerId(u32),
    /// Index of an attempt among those of its part, from 0, in the order of their [`Decision::SendAttempt`].
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
    /// Idempotent: the part may be executed again at any time.
    #[default]
    Idempotent,
    /// Idempotent for this time after the first attempt that may have run was sent: until then, nodes drop duplicates.
    Deduplicated(Nanos),
    /// Non-idempotent: the part must not be executed twice.
    NonIdempotent,
}

/// Settings of a use case: a kind of queries with one latency target and one value.
#[derive(Clone, Debug, Default)]
pub struct UseCaseSettings {
    /// Latency target: time from the client's first try until a query should be answered.
    pub latency_target: Nanos,
    /// Time from the client's first try of a query until it gives up, repeated tries included.
    pub hard_limit: Nanos,
    /// Value of an answer within the target, relative to other use cases; per unit of work with
    /// [`SiteSettings::value_by_work`].
    pub value: f64,
    /// Value of an answer after the target, as a share of `value`.
    pub late_value_share: f64,
    /// Whether a partial answer has the square of its share of the complete answer as its share of the value. If so, a
    /// partial answer may be held back past the target for further parts.
    pub squares_partial_value: bool,
    /// Effect of executing a part of its queries more than once.
    pub effect: Effect,
    /// Multiple of a multiget's expected work ([`Arrival::effort`]) by which its latency target grows.
    pub target_work_factor: f64,
    /// Sum of the weights of the answered parts, from 0 to 1, from which on an answer counts as complete.
    pub complete_share: f64,
    /// Smallest sum of the weights of the answered parts, from 0 to 1, with which a partial answer may be given.
    pub quorum: f64,
    /// Whether all queries of the use case run in two phases: answers to the first phase's parts determine the parts
    /// of the second. Otherwise only a query with [`Arrival::second_phase`] does.
    pub two_phase: bool,
    /// Limit of attempts per part; `None` for the limit in [`SiteSettings`].
    pub max_attempts: Option<u32>,
}

/// Slow start: limits on the load of a node that has just started. A node counts as cold until `warmup_time` and one
/// more `window` have passed since its start, and then as warm.
#[derive(Clone, Debug, Default)]
pub struct SlowStartSettings {
    /// Share of its capacity that a node has when it starts, from 0 to 1.
    pub initial_share: f64,
    /// Time from a node's start until its full capacity, which grows linearly until then.
    pub warmup_time: Nanos,
    /// Limit of the work that a cold node gets in a window, as a multiple of the work that a warm node could answer in
    /// it times the cold node's present share of its capacity.
    pub max_load_multiple: f64,
    /// Length of the window in which a node's work is counted.
    pub window: Nanos,
}

/// Retry budget: limit on retries in a window. A retry is any attempt beyond the first of its part, hedged ones
/// included.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetSettings {
    /// Number of retries in each window that are allowed even without any accepted part.
    pub free_retries: f64,
    /// Number of further retries allowed per part accepted in the window and, without `per_shard`, per multiget
    /// accepted in it.
    pub retry_ratio: f64,
    /// Length of the window in which parts and retries are counted.
    pub window: Nanos,
    /// Whether each shard has a budget of its own, for which only its parts count, and which holds in every window,
    /// wherever the window begins. Otherwise one budget covers all shards, and holds in the window that ends now.
    pub per_shard: bool,
}

/// Settings of a router, given when it starts.
#[derive(Clone, Debug, Default)]
pub struct SiteSettings {
    /// Number of routers that share the load and the limits, at least 1.
    pub routers: usize,
    /// Use cases, indexed by [`UseCaseId`].
    pub use_cases: Vec<UseCaseSettings>,
    /// Shortest latency target that a use case added later may have: histograms of latencies get bins fine enough for
    /// it. `None` if no use cases are added later.
    pub min_latency_target: Option<Nanos>,
    /// Quota of each customer in multigets per second, over all routers, indexed by [`CustomerId`].
    pub customer_quotas: Vec<f64>,
    /// Resolution of the host's clock; the time between two polls may be as long.
    pub tick: Nanos,
    /// Slow start of nodes.
    pub slow_start: SlowStartSettings,
    /// Retry budget; `None` for unlimited retries.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Number of places that the shards are spread over.
    pub places: u32,
    /// Number of consecutive places that hold each shard.
    pub places_per_shard: u32,
    /// Whether the host can cancel attempts in flight ([`Decision::CancelAttempt`]).
    pub cancellation: bool,
    /// Whether a part may have more than one attempt in flight (hedged requests).
    pub hedging: bool,
    /// Limit of attempts per part, the first included; [`UseCaseSettings::max_attempts`] takes precedence.
    pub max_attempts: u32,
    /// Time that a rejected client is asked to wait before a retry; `None` to leave it to the client.
    pub max_retry_after: Option<Nanos>,
    /// Whether changes of the node list arrive only after [`Decision::RequestList`].
    pub list_changes_on_request: bool,
    /// Whether routers exchange [`Update`]s.
    pub peer_updates: bool,
    /// Whether [`UseCaseSettings::value`] counts per unit of work instead of per multiget.
    pub value_by_work: bool,
    /// Zone of this router. Replicas in other zones are used only if they are clearly faster; `None` if zones don't
    /// matter.
    pub zone: Option<ZoneId>,
    /// Whether clients mark their retries ([`Arrival::is_retry`]). Otherwise any multiget whose client waits for less
    /// than the longest time seen for its use case counts as a retry.
    pub clients_mark_retries: bool,
    /// Whether a rejection loses value. If so, a multiget within its customer's quota is rejected only if it is
    /// expected to be late.
    pub rejections_cost_value: bool,
    /// Whether this router keeps to a subset of a shard's replicas, its own zone's first, while it sends few parts there:
    /// connections stay open, and measurements recent, only where attempts are frequent.
    pub subsets: bool,
}

/// State of a node according to the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The node accepts new attempts.
    Running,
    /// The node completes the attempts that it has and accepts no new ones.
    Draining,
    /// The node has stopped.
    Gone,
}

/// Entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// Number of the node.
    pub node: NodeId,
    /// Place of the node, which determines its shards.
    pub place: PlaceId,
    /// Zone of the node; `None` if the list does not give it.
    pub zone: Option<ZoneId>,
    /// State of the node.
    pub health: Health,
    /// Time of its last start; 0 if that was so long ago that slow start does not apply.
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
    /// Customer whose quota the multiget counts against.
    pub customer: CustomerId,
    /// Time at which the multiget's client gives up.
    pub client_deadline: Nanos,
    /// Whether the client marked it as a retry of an earlier query, whose first try its target then counts from.
    pub is_retry: bool,
    /// Expected work of all parts together, as time of one node; `None` if the host doesn't know it.
    pub effort: Option<Nanos>,
    /// Estimate of the second phase of a query in two phases; `None` for any other. Parts of a first phase count as
    /// idempotent, whatever [`UseCaseSettings::effect`] is.
    pub second_phase: Option<SecondPhaseEstimate>,
}

/// Estimate of the second phase of a query in two phases, given while the first phase runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondPhaseEstimate {
    /// Expected duration of the second phase. The first phase should end this long before the query's latency target.
    pub expected_duration: Nanos,
    /// Lower bound of the second phase's duration. The first phase ends at the latest when no more time than this is
    /// left.
    pub min_duration: Nanos,
    /// Expected number of parts of the second phase.
    pub expected_parts: f64,
    /// Expected work of one part of the second phase, as time of one node; `None` if the host doesn't know it.
    pub effort: Option<Nanos>,
    /// Sum of the weights of the first phase's answered parts, from 0 to 1, that suffices to open the second phase.
    pub min_first_phase_share: f64,
}

/// Start of a second phase, whose parts arrive after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondPhaseStart {
    /// Expected duration of the second phase; `None` if the phase is to be admitted however little time is left.
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
    /// Share of the complete answer that the part contributes, from 0 to 1.
    pub weight: f64,
    /// Expected work of the part, as time of one node; `None` if the host doesn't know it.
    pub effort: Option<Nanos>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered.
    Answered,
    /// The node failed while executing the attempt.
    Error,
    /// The node rejected the attempt before executing it.
    Rejected,
    /// No answer arrived before the `stop_at` of its [`Decision::SendAttempt`].
    TimedOut,
    /// The connection was refused, or broke before the attempt was written completely: it cannot have run.
    Unreachable,
    /// The answer was malformed.
    Invalid,
    /// The router cancelled the attempt, which may have run.
    Cancelled,
    /// No byte of the attempt was sent: it cannot have run.
    NeverSent,
}

/// Load that a node reported with an answer or otherwise; `None` for a figure that the report lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the node's capacity that is in use, from 0 to 1.
    pub busy_share: Option<f64>,
    /// Number of parts in its queue. No decision depends on it.
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
    /// Time from the sending of the attempt to its end.
    pub duration: Nanos,
    /// Load that the node reported with its answer.
    pub report: LoadReport,
}

/// Event of one attempt, as a router reports it to its peers together with the attempt's node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// The attempt was sent.
    Sent,
    /// The attempt was answered this long after it was sent.
    Answered(Nanos),
    /// The attempt is not answered yet and has taken much longer than expected; it stays in flight.
    Overdue,
    /// The attempt was sent and not cancelled, but ended without an answer.
    Failed,
}

/// Decision for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    SendAttempt {
        /// Id of the part.
        part: PartId,
        /// Node to send the attempt to.
        node: NodeId,
        /// Time at which the attempt ends as timed out.
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
    /// Reject a multiget of which nothing can have run that is not idempotent, so that a retry is harmless.
    Reject {
        /// Id of the multiget.
        multiget: MultigetId,
        /// Time after which its client may retry; 0 to leave it to the client.
        retry_after: Nanos,
    },
    /// End a multiget without an answer: a part that is not idempotent may have run, or the client has given up.
    Abort {
        /// Id of the multiget.
        multiget: MultigetId,
    },
    /// Request the changes of the node list.
    RequestList,
    /// Send nothing further over those connections to a node on which nothing has arrived since a request that is
    /// still in flight was sent: the connection may be at fault, not the node.
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

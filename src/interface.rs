//! What passes between the decision module and its host: ids, times, the settings as they are
//! given, outcomes and decisions. Nothing here decides anything.

#![deny(missing_docs)]

use std::ops::{Add, Sub};

/// Whole nanoseconds, of the host's clock or as a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    /// From milliseconds; negative ones count as 0.
    pub fn from_millis(ms: f64) -> Nanos {
        Nanos((ms.max(0.0) * 1e6).round() as u64)
    }

    /// In milliseconds.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span stretched or shrunk.
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
    /// What remains; nothing where the other is larger.
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
    /// A query of a client; never used again by the host.
    MultigetId(u64),
    /// A node, as the host numbers them.
    NodeId(u32),
    /// A shard.
    ShardId(u32),
    /// A place that holds some shards; replicas of a shard stand at the same places.
    PlaceId(u32),
    /// A failure domain.
    ZoneId(u32),
    /// An index into the use cases of the settings.
    UseCaseId(usize),
    /// An index into the customers of the settings.
    CustomerId(usize),
    /// Another router of the same tier.
    PeerId(u32),
    /// The number of an attempt among those of its part, from 0 on.
    AttemptNumber(u32)
);

/// A part is known by its multiget and its place among the parts handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    /// The multiget that it belongs to.
    pub multiget: MultigetId,
    /// Its index among the parts of that multiget, in order of arrival.
    pub index: usize,
}

/// What a repeat of a part may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: it may be repeated at any time.
    #[default]
    Idempotent,
    /// A repeat is dropped for this long after the first attempt that may have run.
    Deduplicated(Nanos),
    /// Non-idempotent: it must not run twice.
    NonIdempotent,
}

/// The settings of a use case: a kind of queries with one latency target and one value.
#[derive(Clone, Debug, Default)]
pub struct UseCaseSettings {
    /// The latency target.
    pub latency_target: Nanos,
    /// How long a client waits in all, over all its tries.
    pub hard_limit: Nanos,
    /// The value of an answer in time, relative to other use cases.
    pub value: f64,
    /// The worth of a late answer, as a share.
    pub late_share: f64,
    /// The worth of a partial answer is the square of the share that is in.
    pub squared: bool,
    /// Whether its parts are idempotent.
    pub effect: Effect,
    /// The target grows by this multiple of the multiget's own work.
    pub stretch: f64,
    /// The share of the weight that makes an answer complete.
    pub required: f64,
    /// The smallest share of the weight that may be answered at all (quorum).
    pub quorum: f64,
    /// Its queries run in two phases.
    pub two_phase: bool,
    /// To how many nodes one of its parts may be handed in all; `None` for the site's number.
    pub max_attempts: Option<u32>,
}

/// Slow start: how much a node that has just started may be sent.
#[derive(Clone, Debug, Default)]
pub struct SlowStartSettings {
    /// The share of its capacity that a node has at its start.
    pub from: f64,
    /// The time after its start at which it has its full capacity; linear until then.
    pub warm_after: Nanos,
    /// How many times its share of the work that warm nodes take in a window it may be sent.
    pub multiple: f64,
    /// The window over which that is counted.
    pub window: Nanos,
}

/// The retry budget: how many attempts beyond the first of each part may be sent in a window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgetSettings {
    /// So many attempts in any case.
    pub free: f64,
    /// And this share of the parts that were accepted.
    pub share: f64,
    /// The sliding window that both are counted over.
    pub window: Nanos,
    /// The budget counts for each shard apart, against the parts that this shard is asked for, and holds in every
    /// window, wherever that begins; else it counts for all together and holds in the window that ends now.
    pub each_shard: bool,
}

/// The settings as given when a router starts.
#[derive(Clone, Debug, Default)]
pub struct SiteSettings {
    /// How many routers share the load and the limits; 1 at least.
    pub routers: usize,
    /// The use cases, by [`UseCaseId`].
    pub use_cases: Vec<UseCaseSettings>,
    /// Where use cases come and go, the least target that latencies are told apart for.
    pub shortest_goal: Option<Nanos>,
    /// For each customer, multigets a second inside its share, over all routers.
    pub customers: Vec<f64>,
    /// The resolution of the host's clock: nothing is decided on finer spans.
    pub tick: Nanos,
    /// Slow start of nodes.
    pub warmup: SlowStartSettings,
    /// The retry budget; `None`: unlimited.
    pub budget: Option<RetryBudgetSettings>,
    /// How many places the shards are spread over.
    pub places: u32,
    /// How many places after one another hold a shard.
    pub width: u32,
    /// Attempts may be cancelled at their node.
    pub cancel: bool,
    /// A part may have more than one attempt in flight (hedged requests).
    pub hedging: bool,
    /// How many nodes one part may be sent to in all.
    pub max_attempts: u32,
    /// The longest time after which a rejected client may be told to come back.
    pub max_retry_after: Option<Nanos>,
    /// Changes of the node list arrive only when they are asked for.
    pub must_ask: bool,
    /// Routers may send each other short messages.
    pub peers: bool,
    /// Earnings grow with the work of a multiget.
    pub by_work: bool,
    /// The router's own zone, if attempts to others cost more.
    pub zone: Option<ZoneId>,
    /// Clients say when they ask again.
    pub marks_repeats: bool,
    /// A refusal costs worth of its own, so that only what is past hope is refused.
    pub refusals_cost: bool,
}

/// The state of a node according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes new attempts.
    Running,
    /// It completes what it has and takes nothing new.
    Draining,
    /// It has ended.
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Where it stands: which shards it holds follows from that.
    pub place: PlaceId,
    /// Its zone, where the list tells.
    pub zone: Option<ZoneId>,
    /// Its state.
    pub health: Health,
    /// When it last started, if lately.
    pub since: Nanos,
}

/// What a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All nodes: one that is not named has gone.
    Full,
}

/// A multiget that a client has sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id, never used again.
    pub multiget: MultigetId,
    /// Its use case.
    pub use_case: UseCaseId,
    /// Whose rate limit it counts against.
    pub customer: CustomerId,
    /// When its client gives up.
    pub client_end: Nanos,
    /// The client has asked before and says so.
    pub repeat: bool,
    /// Expected work of all parts, where the host is told.
    pub effort: Option<Nanos>,
    /// What is known of its second phase, where it has two. Its first one may be repeated, whatever its
    /// use case says of effects.
    pub second: Option<SecondPhaseEstimate>,
}

/// What is known of a second phase while the first one runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondPhaseEstimate {
    /// The time that it is expected to take, and the least that it takes for certain.
    pub needs: Nanos,
    /// The time that it takes at the least.
    pub needs_least: Nanos,
    /// The parts that it is expected to have, and the work of one, where the host is told.
    pub parts: f64,
    /// The expected work of one of these parts, where the host is told.
    pub effort: Option<Nanos>,
    /// The share of the first phase with which the second may be opened.
    pub least: f64,
}

/// What a second phase is when it is opened; its parts follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondPhaseStart {
    /// The time that it is expected to take; `None` admits it whatever is left.
    pub needs: Option<Nanos>,
    /// The share of the answer that needs no part any more.
    pub base: f64,
    /// Nothing is missing from what the first phase had to say.
    pub whole: bool,
}

/// One part of a multiget.
#[derive(Clone, Debug)]
pub struct PartArrival {
    /// Its id.
    pub part: PartId,
    /// The shard that it asks.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// Its expected work, where the host is told.
    pub effort: Option<Nanos>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer.
    Answered,
    /// With a failure of the node.
    Error,
    /// Rejected by the node before it ran.
    Rejected,
    /// Without an answer until its end.
    TimedOut,
    /// Without a connection, or one that broke: it may have run.
    Unreachable,
    /// With something that is not a valid answer.
    Invalid,
    /// Cancelled by the module.
    Cancelled,
    /// Not a byte of it was sent: it cannot have run.
    NeverSent,
}

/// A node's own account of its load, as far as it gives one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How busy it is, from 0 to 1.
    pub busy_share: Option<f64>,
    /// How many parts are in its queue.
    pub waiting: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The part.
    pub part: PartId,
    /// Which attempt of the part.
    pub number: AttemptNumber,
    /// The node that it was sent to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Nanos,
    /// What the node said of its load.
    pub report: LoadReport,
}

/// What a router tells the others of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Update {
    /// It was sent.
    Sent,
    /// It was answered, after so long.
    Answered(Nanos),
    /// It takes much longer than expected.
    Overdue,
    /// It failed.
    Failed,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    SendAttempt {
        /// The part.
        part: PartId,
        /// The node to send it to.
        node: NodeId,
        /// When to give it up as timed out.
        stop_at: Nanos,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The part.
        part: PartId,
        /// Which attempt of the part.
        number: AttemptNumber,
    },
    /// `last` is false for the answer that brings a second step.
    Complete {
        /// Which multiget.
        multiget: MultigetId,
        /// The answer is complete.
        complete: bool,
        /// The final one.
        last: bool,
    },
    /// Reject a multiget before anything of it was sent, or when nothing can have run.
    Reject {
        /// Which multiget.
        multiget: MultigetId,
        /// When its client is to come back.
        retry_after: Nanos,
    },
    /// End a multiget without an answer: something of it may have run.
    Abort {
        /// Which multiget.
        multiget: MultigetId,
    },
    /// Ask for the changes of the node list.
    RequestList,
    /// Sends nothing further over connections to a node that have been silent for as long as
    /// something has been out on them.
    RenewConnections {
        /// The node.
        node: NodeId,
    },
    /// To all other routers.
    NotifyPeers {
        /// Nodes, and what happened to an attempt there.
        updates: Vec<(NodeId, Update)>,
    },
    /// Ask again after so long, even if nothing happens.
    Wake {
        /// A span from now.
        after: Nanos,
    },
}

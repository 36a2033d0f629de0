//! What passes between the decision module and its host: ids, times, the settings as they are
//! given, outcomes and decisions. Nothing here decides anything.

use std::ops::{Add, Sub};

/// Whole nanoseconds, of the host's clock or as a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nanos(pub u64);

impl Nanos {
    pub fn from_millis(ms: f64) -> Nanos {
        Nanos((ms.max(0.0) * 1e6).round() as u64)
    }

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
    ($($name:ident($inner:ty)),*) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids!(
    MultigetId(u64),
    NodeId(u32),
    ShardId(u32),
    PlaceId(u32),
    ZoneId(u32),
    UseCaseId(usize),
    CustomerId(usize),
    PeerId(u32),
    HandOffNo(u32)
);

/// A part is known by its multiget and its place among the parts handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId {
    pub of: MultigetId,
    pub index: usize,
}

/// What a repeat of a part may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Replayable,
    /// A repeat is dropped for this long after the first hand-off that may have run.
    Referenced(Nanos),
    SingleUse,
}

#[derive(Clone, Debug, Default)]
pub struct UseCaseFacts {
    pub goal: Nanos,
    /// How long a client waits in all, over all its tries.
    pub hard_limit: Nanos,
    pub earnings: f64,
    /// The worth of a late answer, as a share.
    pub late_share: f64,
    /// The worth of a partial answer is the square of the share that is in.
    pub squared: bool,
    pub effect: Effect,
    /// The goal time grows by this multiple of the multiget's own work.
    pub stretch: f64,
    pub need: f64,
    pub floor: f64,
    pub second_step: bool,
    /// To how many nodes one of its parts may be handed in all; `None` for the site's number.
    pub most_hand_offs: Option<u32>,
}

#[derive(Clone, Debug, Default)]
pub struct ColdFacts {
    pub from: f64,
    pub warm_after: Nanos,
    pub multiple: f64,
    pub window: Nanos,
}

#[derive(Clone, Debug, Default)]
pub struct BudgetFacts {
    pub free: f64,
    pub share: f64,
    pub window: Nanos,
    /// The ration counts for each shard apart, against the parts that this shard is asked for.
    pub each_shard: bool,
}

/// The settings as given when a router starts.
#[derive(Clone, Debug, Default)]
pub struct SiteFacts {
    pub routers: usize,
    pub use_cases: Vec<UseCaseFacts>,
    /// Where use cases come and go, the least goal time that latencies are told apart for.
    pub shortest_goal: Option<Nanos>,
    /// For each customer, multigets a second inside its share, over all routers.
    pub customers: Vec<f64>,
    pub tick: Nanos,
    pub cold: ColdFacts,
    pub budget: Option<BudgetFacts>,
    pub places: u32,
    pub width: u32,
    pub cancel: bool,
    pub second_copies: bool,
    pub most_hand_offs: u32,
    pub longest_wait: Option<Nanos>,
    pub must_ask: bool,
    /// Routers may send each other short messages.
    pub peers: bool,
    /// Earnings grow with the work of a multiget.
    pub by_work: bool,
    /// The router's own zone, if hand-offs to others cost more.
    pub zone: Option<ZoneId>,
    /// Clients say when they ask again.
    pub marks_repeats: bool,
    /// A refusal costs worth of its own, so that only what is past hope is refused.
    pub refusals_cost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Running,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct NodeEntry {
    pub node: NodeId,
    pub place: PlaceId,
    /// Its zone, where the list tells.
    pub zone: Option<ZoneId>,
    pub health: Health,
    /// When it last started, if lately.
    pub since: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Full,
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub multiget: MultigetId,
    pub use_case: UseCaseId,
    pub customer: CustomerId,
    pub client_end: Nanos,
    /// The client has asked before and says so.
    pub repeat: bool,
    /// Expected work of all parts, where the host is told.
    pub effort: Option<Nanos>,
    /// What is known of its second phase, where it has two. Its first one may be repeated, whatever its
    /// use case says of effects.
    pub second: Option<SecondFacts>,
}

/// What is known of a second phase while the first one runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondFacts {
    /// The time that it is expected to take, and the least that it takes for certain.
    pub needs: Nanos,
    pub needs_least: Nanos,
    /// The parts that it is expected to have, and the work of one, where the host is told.
    pub parts: f64,
    pub effort: Option<Nanos>,
    /// The share of the first phase with which the second may be opened.
    pub least: f64,
}

/// What a second phase is when it is opened; its parts follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondStep {
    /// The time that it is expected to take; `None` admits it whatever is left.
    pub needs: Option<Nanos>,
    /// The share of the answer that needs no part any more.
    pub base: f64,
    /// Nothing is missing from what the first phase had to say.
    pub whole: bool,
}

#[derive(Clone, Debug)]
pub struct PartArrival {
    pub part: PartId,
    pub shard: ShardId,
    pub weight: f64,
    pub effort: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Error,
    TurnedAway,
    TimedOut,
    Unreachable,
    Broken,
    CalledOff,
    NeverSent,
}

/// A node's own account of its load, as far as it gives one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub busy_share: Option<f64>,
    pub waiting: Option<f64>,
}

#[derive(Clone, Debug)]
pub struct Ending {
    pub part: PartId,
    pub no: HandOffNo,
    pub node: NodeId,
    pub outcome: Outcome,
    pub took: Nanos,
    pub report: LoadReport,
}

/// What a router tells the others of one hand-off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    Sent,
    Answered(Nanos),
    Overdue,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    HandOff {
        part: PartId,
        node: NodeId,
        stop_at: Nanos,
    },
    CallOff {
        part: PartId,
        no: HandOffNo,
    },
    /// `last` is false for the answer that brings a second step.
    Settle {
        multiget: MultigetId,
        whole: bool,
        last: bool,
    },
    Dismiss {
        multiget: MultigetId,
        wait: Nanos,
    },
    BreakOff {
        multiget: MultigetId,
    },
    FollowList,
    /// Sends nothing further over connections to a node that have been silent for as long as
    /// something has been out on them.
    Renew {
        node: NodeId,
    },
    /// To all other routers.
    Tell {
        news: Vec<(NodeId, News)>,
    },
    Wake {
        after: Nanos,
    },
}

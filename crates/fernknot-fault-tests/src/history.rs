//! Record of a test run: requests, store calls, status changes and injected faults.

use crate::clients::{Request, RequestOutcome};
use crate::status_names::FAILED;
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the use case whose parts must run at most once.
const NON_IDEMPOTENT_USE_CASE: &str = "buy";
/// Number of parts of each request.
const PARTS_PER_REQUEST: u32 = 2;

/// Change of the status that one router, the observer, holds of another one, from the observer's log.
#[derive(Clone, Debug)]
pub struct StatusChange {
    /// Time at which the line was read from the log, from the start of the run.
    pub at: Duration,
    /// Number of the router that logged the change.
    pub observer: usize,
    /// Number of the router whose status changed.
    pub member: usize,
    /// Earlier status, by its name in the log.
    pub from: String,
    /// New status, by its name in the log.
    pub to: String,
    /// Complete log line.
    pub log_line: String,
}

impl StatusChange {
    /// Whether the new status is failed.
    pub fn is_failure(&self) -> bool {
        self.to == FAILED
    }

    /// Whether the new or the earlier status is failed.
    pub fn concerns_failure(&self) -> bool {
        self.to == FAILED || self.from == FAILED
    }
}

/// Injected fault of a router or of the datagrams between routers, or its end. Faults of connections to stores and
/// degraded links are not recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// A router was killed, suspended or terminated.
    Down {
        /// Number of the router.
        router: usize,
    },
    /// A router was started or resumed.
    Up {
        /// Number of the router.
        router: usize,
    },
    /// Datagrams are dropped in one direction.
    Partitioned {
        /// Senders of the datagrams.
        from: Vec<usize>,
        /// Receivers of the datagrams.
        to: Vec<usize>,
    },
    /// Datagrams are no longer dropped in this direction.
    Healed {
        /// Senders of the datagrams.
        from: Vec<usize>,
        /// Receivers of the datagrams.
        to: Vec<usize>,
    },
}

/// Record of a test run; times count from the start of the run.
pub struct History {
    /// Number of routers; they are numbered from 0.
    pub router_count: usize,
    /// Probe period of the membership protocol: the interval at which a router probes another one.
    pub probe_period: Duration,
    /// Requests of all clients.
    pub requests: Vec<Request>,
    /// Ids of the parts that each store ran, in the form `<request id>.<part>`.
    pub store_calls: Vec<Vec<String>>,
    /// Status changes that routers logged, in the order in which their lines were read.
    pub status_changes: Vec<StatusChange>,
    /// Faults that are not hidden from the checker, with their times in ascending order.
    pub fault_events: Vec<(Duration, FaultEvent)>,
}

/// Running routers and blocked links at one point in time.
struct NetworkState {
    is_running: Vec<bool>,
    /// Whether a link is blocked, by sender and receiver.
    is_blocked: Vec<Vec<bool>>,
}

impl History {
    fn network_at(&self, at: Duration) -> NetworkState {
        let count = self.router_count;
        let mut network =
            NetworkState { is_running: vec![true; count], is_blocked: vec![vec![false; count]; count] };
        for (_, event) in self.fault_events.iter().filter(|(when, _)| *when <= at) {
            network.apply(event);
        }
        network
    }

    /// Whether a datagram of `member` could reach `observer` at this time, directly or through other running routers,
    /// according to the recorded faults. False if one of the two is down.
    pub(crate) fn is_reachable(&self, observer: usize, member: usize, at: Duration) -> bool {
        let network = self.network_at(at);
        if !network.is_running[member] || !network.is_running[observer] {
            return false;
        }
        let mut reached = vec![member];
        let mut next = 0;
        while next < reached.len() {
            let from = reached[next];
            next += 1;
            let receivers = (0..self.router_count).filter(|to| network.delivers(from, *to));
            let new: Vec<usize> = receivers.filter(|to| !reached.contains(to)).collect();
            reached.extend(new);
        }
        reached.contains(&observer)
    }

    /// Whether a router was down at `from`, or went down or up until `to`.
    pub(crate) fn was_disrupted(&self, router: usize, from: Duration, to: Duration) -> bool {
        let is_about_router = |event: &FaultEvent| match event {
            FaultEvent::Down { router: disrupted } | FaultEvent::Up { router: disrupted } => {
                *disrupted == router
            }
            FaultEvent::Partitioned { .. } | FaultEvent::Healed { .. } => false,
        };
        let mut events = self.fault_events.iter();
        !self.network_at(from).is_running[router]
            || events.any(|(at, event)| (from..=to).contains(at) && is_about_router(event))
    }

    /// Returns the number of requests that were sent but not answered, whatever the faults.
    pub fn unanswered(&self) -> usize {
        self.requests.iter().filter(|request| request.outcome == RequestOutcome::NoAnswer).count()
    }

    /// Returns a line for each non-idempotent part that ran more than once.
    pub fn duplicate_effects(&self) -> Vec<String> {
        let is_non_idempotent = |id: &&String| {
            let request_id = id.split('.').next().unwrap_or_default();
            let mut requests = self.requests.iter();
            requests.any(|one| one.id == request_id && one.use_case == NON_IDEMPOTENT_USE_CASE)
        };
        let mut runs: BTreeMap<&String, usize> = BTreeMap::new();
        for id in self.store_calls.iter().flatten().filter(is_non_idempotent) {
            *runs.entry(id).or_insert(0) += 1;
        }
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        repeated.map(|(id, runs)| format!("{id} ran {runs} times")).collect()
    }

    /// Returns a line for each request with several answers, or with a complete answer although a part did not run.
    pub fn wrong_answers(&self) -> Vec<String> {
        let ran = |id: &str, part: u32| {
            self.store_calls.iter().flatten().any(|call| *call == format!("{id}.{part}"))
        };
        let is_wrong = |request: &&Request| {
            let claims_all = request.outcome == RequestOutcome::Answered { status: 200, complete: true };
            let all_ran = || (0..PARTS_PER_REQUEST).all(|part| ran(&request.id, part));
            request.answers > 1 || claims_all && !all_ran()
        };
        self.requests.iter().filter(is_wrong).map(|request| format!("{request:?}")).collect()
    }
}

impl NetworkState {
    fn apply(&mut self, event: &FaultEvent) {
        match event {
            FaultEvent::Down { router } => self.is_running[*router] = false,
            FaultEvent::Up { router } => self.is_running[*router] = true,
            FaultEvent::Partitioned { from, to } => self.set_blocked(from, to, true),
            FaultEvent::Healed { from, to } => self.set_blocked(from, to, false),
        }
    }

    fn set_blocked(&mut self, from: &[usize], to: &[usize], is_blocked: bool) {
        for from in from {
            for to in to {
                self.is_blocked[*from][*to] = is_blocked;
            }
        }
    }

    fn delivers(&self, from: usize, to: usize) -> bool {
        self.is_running[to] && !self.is_blocked[from][to]
    }
}

//! What a test run left behind: requests, calls of stores, status changes and injected faults.

use crate::clients::{Request, RequestOutcome};
use crate::status_names::FAILED;
use std::collections::BTreeMap;
use std::time::Duration;

/// The use case whose parts must run at most once.
const NON_IDEMPOTENT_USE_CASE: &str = "buy";
/// Parts of each request.
const PARTS_PER_REQUEST: u32 = 2;

/// A change of one router's status at another one, from its log.
#[derive(Clone, Debug)]
pub struct StatusChange {
    /// When it was logged, from the start of the run.
    pub at: Duration,
    /// The router that logged it.
    pub observer: usize,
    /// The router whose status it is.
    pub member: usize,
    /// The status before, as the log names it.
    pub from: String,
    /// The status after, as the log names it.
    pub to: String,
    /// The line of the log.
    pub log_line: String,
}

impl StatusChange {
    /// Whether a router counts as failed from here on.
    pub fn is_failure(&self) -> bool {
        self.to == FAILED
    }

    /// Whether a router counts as failed from here on, or no longer does.
    pub fn concerns_failure(&self) -> bool {
        self.to == FAILED || self.from == FAILED
    }
}

/// A fault that was injected, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// A router was killed, suspended or asked to end.
    Down {
        /// The router.
        router: usize,
    },
    /// A router was started or resumed.
    Up {
        /// The router.
        router: usize,
    },
    /// Datagrams are dropped, one way.
    Partitioned {
        /// Their senders.
        from: Vec<usize>,
        /// Their receivers.
        to: Vec<usize>,
    },
    /// Datagrams are no longer dropped, one way.
    Healed {
        /// Their senders.
        from: Vec<usize>,
        /// Their receivers.
        to: Vec<usize>,
    },
}

/// All that was recorded; times from the start of the run.
pub struct History {
    /// How many routers there are; they are numbered from 0.
    pub router_count: usize,
    /// The probe period of their membership protocol.
    pub probe_period: Duration,
    /// The requests of all clients.
    pub requests: Vec<Request>,
    /// For each store, the ids of the parts that it ran.
    pub store_calls: Vec<Vec<String>>,
    /// The status changes that routers logged.
    pub status_changes: Vec<StatusChange>,
    /// The faults that the checker knows of, in the order of time.
    pub fault_events: Vec<(Duration, FaultEvent)>,
}

/// Which routers run, and which links are blocked, at some time.
struct NetworkState {
    is_up: Vec<bool>,
    /// By sender and receiver.
    is_blocked: Vec<Vec<bool>>,
}

impl History {
    fn network_at(&self, at: Duration) -> NetworkState {
        let count = self.router_count;
        let mut network =
            NetworkState { is_up: vec![true; count], is_blocked: vec![vec![false; count]; count] };
        for (_, event) in self.fault_events.iter().filter(|(when, _)| *when <= at) {
            network.apply(event);
        }
        network
    }

    /// Whether a message of `member` could reach `observer`, through whichever routers.
    pub(crate) fn could_hear(&self, observer: usize, member: usize, at: Duration) -> bool {
        let network = self.network_at(at);
        if !network.is_up[member] || !network.is_up[observer] {
            return false;
        }
        let mut reached = vec![member];
        let mut next = 0;
        while next < reached.len() {
            let from = reached[next];
            next += 1;
            let receivers = (0..self.router_count).filter(|to| network.passes(from, *to));
            let new: Vec<usize> = receivers.filter(|to| !reached.contains(to)).collect();
            reached.extend(new);
        }
        reached.contains(&observer)
    }

    /// Whether a router itself was down, or went down or up, between these times.
    pub(crate) fn was_disturbed(&self, router: usize, from: Duration, to: Duration) -> bool {
        let is_about_router = |event: &FaultEvent| match event {
            FaultEvent::Down { router: disturbed } | FaultEvent::Up { router: disturbed } => {
                *disturbed == router
            }
            FaultEvent::Partitioned { .. } | FaultEvent::Healed { .. } => false,
        };
        let mut events = self.fault_events.iter();
        !self.network_at(from).is_up[router]
            || events.any(|(at, event)| (from..=to).contains(at) && is_about_router(event))
    }

    /// Requests that no answer came for.
    pub fn unanswered(&self) -> usize {
        self.requests.iter().filter(|request| request.outcome == RequestOutcome::NoAnswer).count()
    }

    /// Non-idempotent parts that ran more than once, a line each.
    pub fn double_effects(&self) -> Vec<String> {
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

    /// Answers that claim more than what ran, a line each.
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
            FaultEvent::Down { router } => self.is_up[*router] = false,
            FaultEvent::Up { router } => self.is_up[*router] = true,
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

    fn passes(&self, from: usize, to: usize) -> bool {
        self.is_up[to] && !self.is_blocked[from][to]
    }
}

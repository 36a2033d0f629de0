//! Linearizability check of the operators' history against a register with reads and compare-and-swap on its newest
//! version. Stateright's tester searches for an order of the calls; this module splits the history into segments that
//! are short enough for the search.

use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Identity of a version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Epoch chosen by the operator, above that of the version that it replaces.
    pub epoch: u64,
    /// Distinguishes configurations with the same epoch: the index of the operators' change that sent it.
    pub body: u64,
}

/// Operation that a call requests from the controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Replaces the version with the epoch `base`; 0 if there is no version yet.
    Replace {
        /// Epoch of the replaced version.
        base: u64,
        /// New version.
        new: Version,
    },
    /// Reads the newest version.
    Read,
}

/// Result of an operation, from its definitive response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationResult {
    /// The change is in force.
    Committed,
    /// The change was rejected: 412, or 400 for an epoch that is not above the base.
    Rejected,
    /// The newest version; `None` if there is no version yet.
    Value(Option<Version>),
}

/// Completion of a call by a definitive response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Number of the completion in the run's single sequence of events.
    pub at: u64,
    /// Result that the response reports.
    pub result: OperationResult,
}

/// A call to the controllers, including its retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Operation that the call requests.
    pub operation: Operation,
    /// Number of the call's beginning in the run's single sequence of events.
    pub invoked_at: u64,
    /// Completion; `None` if there was no definitive response.
    pub completion: Option<Completion>,
}

impl Call {
    fn has_result(&self, result: OperationResult) -> bool {
        self.completion.is_some_and(|completion| completion.result == result)
    }

    fn replaces_epoch(&self, epoch: u64) -> bool {
        matches!(self.operation, Operation::Replace { base, .. } if base == epoch)
    }
}

/// Number of steps after which a search is aborted.
const MAX_SEARCH_STEPS: u64 = 400_000;

/// Specification of the register, with the state that limits the search.
#[derive(Clone, Debug)]
struct Register {
    newest: Option<Version>,
    /// Index of the last non-mutating call (a read or a rejected change) since the last committed change.
    last_non_mutating: Option<usize>,
    steps: Arc<AtomicU64>,
}

impl SequentialSpec for Register {
    /// Index of the call in the order of beginnings, and its operation.
    type Op = (usize, Operation);
    type Ret = OperationResult;

    fn invoke(&mut self, (_, operation): &(usize, Operation)) -> OperationResult {
        match *operation {
            Operation::Read => OperationResult::Value(self.newest),
            Operation::Replace { base, new } => {
                let epoch = self.newest.map_or(0, |newest| newest.epoch);
                if base != epoch || new.epoch <= epoch {
                    return OperationResult::Rejected;
                }
                (self.newest, self.last_non_mutating) = (Some(new), None);
                OperationResult::Committed
            }
        }
    }

    /// Prunes the search: non-mutating calls commute, so that only their order by beginnings is tried. This order
    /// respects real time, as a call that ended before another began also began before it.
    fn is_valid_step(&mut self, operation: &(usize, Operation), result: &OperationResult) -> bool {
        if self.steps.fetch_add(1, Ordering::Relaxed) > MAX_SEARCH_STEPS {
            return false;
        }
        if self.invoke(operation) != *result {
            return false;
        }
        if *result == OperationResult::Committed {
            return true;
        }
        let position = operation.0;
        let is_sorted = self.last_non_mutating.is_none_or(|last| last < position);
        self.last_non_mutating = Some(position);
        is_sorted
    }
}

/// Result of the linearizability check of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An order of the calls explains all results.
    Linearizable,
    /// No order explains all results.
    NotLinearizable {
        /// Version before these calls; `None` if there was none yet.
        initial: Option<Version>,
        /// Calls that no order explains.
        calls: Vec<Call>,
    },
    /// The search exceeded its step limit.
    Undecided {
        /// Overlapping calls for which the search found no verdict.
        calls: Vec<Call>,
    },
}

/// Checks whether an order of the calls, each taking effect between its beginning and its completion, explains all
/// results. The history is split where no call is in flight: the version at that point is the last committed one. A
/// call without a completion stays in flight until the end of the history.
///
/// Non-mutating calls that are valid in every order of the other calls are removed first, as they do not affect whether
/// the others have an order. Otherwise the search over eight concurrent changes would take too many steps.
pub fn check_linearizability(calls: &[Call]) -> Verdict {
    let mut calls: Vec<Call> = calls.iter().filter(|call| !is_always_valid(call, calls)).cloned().collect();
    calls.sort_by_key(|call| call.invoked_at);
    let mut initial = None;
    let mut unchecked = &calls[..];
    while !unchecked.is_empty() {
        let (segment, others) = unchecked.split_at(segment_length(unchecked));
        match check_segment(initial, segment) {
            Verdict::Linearizable => {}
            other => return other,
        }
        // Committed versions have ascending epochs, as each replaces the previous one.
        initial = segment.iter().filter_map(committed_version).max().or(initial);
        unchecked = others;
    }
    Verdict::Linearizable
}

/// Number of leading calls after which no call is in flight.
fn segment_length(calls: &[Call]) -> usize {
    let mut last_end = 0;
    for (index, call) in calls.iter().enumerate() {
        if index > 0 && call.invoked_at >= last_end {
            return index;
        }
        last_end = last_end.max(call.completion.map_or(u64::MAX, |completion| completion.at));
    }
    calls.len()
}

fn committed_version(call: &Call) -> Option<Version> {
    match call.operation {
        Operation::Replace { new, .. } if call.has_result(OperationResult::Committed) => Some(new),
        _ => None,
    }
}

/// Returns whether a non-mutating call is valid at some point of its duration in every order of the other calls.
fn is_always_valid(call: &Call, all: &[Call]) -> bool {
    let Some(Completion { at: end, result }) = call.completion else { return false };
    match (call.operation, result) {
        // A rejection is valid at its end if another change of the same base was committed before.
        (Operation::Replace { base, .. }, OperationResult::Rejected) => {
            let mut others = all.iter().filter(|other| other.replaces_epoch(base));
            others.any(|other| committed_at(other).is_some_and(|committed_at| committed_at < end))
        }
        // A read is valid after the commit of the version that it found, and before the beginning of any change that
        // replaces this version.
        (Operation::Read, OperationResult::Value(found)) => {
            let since = match found {
                None => Some(0),
                Some(version) => {
                    all.iter().find(|other| committed_version(other) == Some(version)).and_then(committed_at)
                }
            };
            let epoch = found.map_or(0, |version| version.epoch);
            let successors = all
                .iter()
                .filter(|other| other.replaces_epoch(epoch) && !other.has_result(OperationResult::Rejected));
            let until = successors.map(|other| other.invoked_at).min().unwrap_or(u64::MAX).min(end);
            since.is_some_and(|since| since.max(call.invoked_at) < until)
        }
        _ => false,
    }
}

fn committed_at(call: &Call) -> Option<u64> {
    let completion = call.completion?;
    (completion.result == OperationResult::Committed).then_some(completion.at)
}

/// Checks one segment. Calls without a completion need not have taken effect: an order of the others alone suffices.
/// Otherwise the search is repeated with all calls.
fn check_segment(initial: Option<Version>, segment: &[Call]) -> Verdict {
    let ended: Vec<Call> = segment.iter().filter(|call| call.completion.is_some()).cloned().collect();
    match search_order(initial, &ended) {
        Verdict::Linearizable => Verdict::Linearizable,
        _ => search_order(initial, segment),
    }
}

fn search_order(initial: Option<Version>, segment: &[Call]) -> Verdict {
    let steps = Arc::new(AtomicU64::new(0));
    let register = Register { newest: initial, last_non_mutating: None, steps: steps.clone() };
    let mut tester = LinearizabilityTester::new(register);
    for (_, index, result) in events_in_order(segment) {
        // Each call is a thread of its own, since a thread of the tester has only one call in flight. The tester
        // respects real-time order between threads too.
        let is_accepted = match result {
            None => tester.on_invoke(index, (index, segment[index].operation)).is_ok(),
            Some(result) => tester.on_return(index, result).is_ok(),
        };
        if !is_accepted {
            return Verdict::Undecided { calls: segment.to_vec() };
        }
    }
    if tester.is_consistent() {
        Verdict::Linearizable
    } else if steps.load(Ordering::Relaxed) > MAX_SEARCH_STEPS {
        Verdict::Undecided { calls: segment.to_vec() }
    } else {
        Verdict::NotLinearizable { initial, calls: segment.to_vec() }
    }
}

/// Returns the beginnings and completions of all calls in order: sequence number, index of the call, and the result
/// of a completion.
fn events_in_order(segment: &[Call]) -> Vec<(u64, usize, Option<OperationResult>)> {
    let mut events = Vec::new();
    for (index, call) in segment.iter().enumerate() {
        events.push((call.invoked_at, index, None));
        events.extend(call.completion.map(|completion| (completion.at, index, Some(completion.result))));
    }
    events.sort_by_key(|(when, index, result)| (*when, *index, result.is_some()));
    events
}

//! Whether the operators' history is that of one register, which is replaced only by who names its newest version, and
//! read. Stateright's tester searches for an order of the calls; this module cuts the history so that it can.

use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Its number, as operators give it.
    pub epoch: u64,
    /// Which of the configurations with that number.
    pub body: u64,
}

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// To replace the version with the number `base`, 0 for none.
    Replace {
        /// The number of the version that is replaced.
        base: u64,
        /// The version in its place.
        new: Version,
    },
    /// To read the newest version.
    Read,
}

/// What an operator gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationResult {
    /// The change is in force.
    Committed,
    /// 412, or 400 for a number that is not above the base.
    Rejected,
    /// The newest version; none where there is no version yet.
    Value(Option<Version>),
}

/// The end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Its place in the one sequence of all events.
    pub at: u64,
    /// What the operator got.
    pub result: OperationResult,
}

/// One call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// What it asks for.
    pub operation: Operation,
    /// The place of its beginning in the one sequence of all events.
    pub invoked_at: u64,
    /// Its end; none where it had no clear response.
    pub completion: Option<Completion>,
}

impl Call {
    fn has_result(&self, result: OperationResult) -> bool {
        self.completion.is_some_and(|completion| completion.result == result)
    }

    fn replaces(&self, epoch: u64) -> bool {
        matches!(self.operation, Operation::Replace { base, .. } if base == epoch)
    }
}

/// Steps after which a search is given up.
const MAX_SEARCH_STEPS: u64 = 400_000;

/// The specification of the register, with what keeps the search short.
#[derive(Clone, Debug)]
struct Register {
    newest: Option<Version>,
    /// The place of the last call that changed nothing, if none has changed anything since.
    last_unchanging: Option<usize>,
    steps: Arc<AtomicU64>,
}

impl SequentialSpec for Register {
    /// With the call's place among all, by when it began.
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
                (self.newest, self.last_unchanging) = (Some(new), None);
                OperationResult::Committed
            }
        }
    }

    /// Calls that change nothing may trade places: of all their orders only that by their beginnings is tried. It
    /// breaks no order in time, as a call that ended before another began also began before it.
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
        let place = operation.0;
        let is_sorted = self.last_unchanging.is_none_or(|last| last < place);
        self.last_unchanging = Some(place);
        is_sorted
    }
}

/// The result of the search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is an order that explains all results.
    Linearizable,
    /// There is none.
    NotLinearizable {
        /// The version before these calls; none where there was none yet.
        initial: Option<Version>,
        /// The calls that no order explains.
        calls: Vec<Call>,
    },
    /// The search was given up.
    Undecided {
        /// The calls of which nothing is known.
        calls: Vec<Call>,
    },
}

/// Whether one order of the calls, each at a moment between its ends, explains all results. The history is cut where no
/// call is in flight: there the version is known, as it is the last of those committed. A call without an end is never
/// cut off: it stays in flight to the end of the history.
///
/// A call that changes nothing and that fits at one of its moments in every order of the others is left out first:
/// whether the others have an order doesn't depend on it. Without that, eight changes at once overlap too much.
pub fn check_linearizability(calls: &[Call]) -> Verdict {
    let mut calls: Vec<Call> = calls.iter().filter(|call| !always_fits(call, calls)).cloned().collect();
    calls.sort_by_key(|call| call.invoked_at);
    let mut initial = None;
    let mut rest = &calls[..];
    while !rest.is_empty() {
        let (segment, others) = rest.split_at(segment_length(rest));
        match check_segment(initial, segment) {
            Verdict::Linearizable => {}
            other => return other,
        }
        // Committed ones rise in number, each on top of the one before.
        initial = segment.iter().filter_map(committed_version).max().or(initial);
        rest = others;
    }
    Verdict::Linearizable
}

/// How many calls go by until none is in flight.
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

/// Whether a call that changed nothing fits at one of its own moments, whatever the order of the others.
fn always_fits(call: &Call, all: &[Call]) -> bool {
    let Some(Completion { at: end, result }) = call.completion else { return false };
    match (call.operation, result) {
        // At its end: what came on top of its base was committed before.
        (Operation::Replace { base, .. }, OperationResult::Rejected) => {
            let mut others = all.iter().filter(|other| other.replaces(base));
            others.any(|other| committed_at(other).is_some_and(|committed_at| committed_at < end))
        }
        // At a moment after the version's own end and before anything on top of it could begin.
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
                .filter(|other| other.replaces(epoch) && !other.has_result(OperationResult::Rejected));
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

/// Calls without an end need not have happened: where the others have an order by themselves, that is one.
fn check_segment(initial: Option<Version>, segment: &[Call]) -> Verdict {
    let ended: Vec<Call> = segment.iter().filter(|call| call.completion.is_some()).cloned().collect();
    match search_order(initial, &ended) {
        Verdict::Linearizable => Verdict::Linearizable,
        _ => search_order(initial, segment),
    }
}

fn search_order(initial: Option<Version>, segment: &[Call]) -> Verdict {
    let steps = Arc::new(AtomicU64::new(0));
    let register = Register { newest: initial, last_unchanging: None, steps: steps.clone() };
    let mut tester = LinearizabilityTester::new(register);
    for (_, index, result) in events_in_order(segment) {
        // Each call is a thread of its own: order in time binds threads too, and a thread has one call in flight.
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

/// Beginnings and ends in their order: when, of which call, and at an end the result.
fn events_in_order(segment: &[Call]) -> Vec<(u64, usize, Option<OperationResult>)> {
    let mut events = Vec::new();
    for (index, call) in segment.iter().enumerate() {
        events.push((call.invoked_at, index, None));
        events.extend(call.completion.map(|completion| (completion.at, index, Some(completion.result))));
    }
    events.sort_by_key(|(when, index, result)| (*when, *index, result.is_some()));
    events
}

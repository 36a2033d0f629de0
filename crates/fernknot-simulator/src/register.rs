//! The operators' history against what it must be: one register that is replaced only by who names its newest
//! version, and read. Stateright's tester searches for an order; this file cuts the history so that it can.

use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A version: its number, and which of the configurations under that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub epoch: u64,
    pub body: u64,
}

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// On top of the version with the number `base`, 0 for none.
    Replace {
        base: u64,
        new: Version,
    },
    Read,
}

/// What it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OperationResult {
    Committed,
    /// 412, or 400 for a number that is not above.
    Rejected,
    Value(Option<Version>),
}

/// One call. Its ends are places in the one sequence of all events; without a clear end it has none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub operation: Operation,
    pub invoked_at: u64,
    pub completion: Option<(u64, OperationResult)>,
}

/// Steps after which a search is given up.
const MAX_SEARCH_STEPS: u64 = 400_000;

/// The register as it should be, with what keeps the search short.
#[derive(Clone, Debug)]
struct Register {
    newest: Option<Version>,
    /// The last call that changed nothing, since one did.
    last_unchanging: Option<usize>,
    steps: Arc<AtomicU64>,
}

impl SequentialSpec for Register {
    /// With the call's place among all, by when it began.
    type Op = (usize, Operation);
    type Ret = OperationResult;

    fn invoke(&mut self, (_, op): &(usize, Operation)) -> OperationResult {
        match *op {
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
    /// breaks no order in time, as who ended before another began also began before it.
    fn is_valid_step(&mut self, op: &(usize, Operation), ret: &OperationResult) -> bool {
        if self.steps.fetch_add(1, Ordering::Relaxed) > MAX_SEARCH_STEPS {
            return false;
        }
        if self.invoke(op) != *ret {
            return false;
        }
        if *ret == OperationResult::Committed {
            return true;
        }
        let sorted = self.last_unchanging.is_none_or(|idle| idle < op.0);
        self.last_unchanging = Some(op.0);
        sorted
    }
}

/// What became of the search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is an order that explains all.
    Linearizable,
    /// There is none for these calls, which began on this version.
    NotLinearizable { initial: Option<Version>, calls: Vec<Call> },
    /// The search was given up: nothing is known of these.
    Undecided { calls: Vec<Call> },
}

/// Whether one order of the calls, each at a moment between its ends, explains what all were told. The history is cut
/// where no call is in flight: there the version is known, as it is the last of those taken. A call without an end
/// is never cut off: it stays in flight to the end of the history.
///
/// A call that changes nothing and that fits at one of its moments in every order of the others is left out first:
/// whether the others have an order doesn't hang on it. Without that, eight orders at once overlap too much.
pub fn check_linearizability(calls: &[Call]) -> Verdict {
    let mut calls: Vec<Call> = calls.iter().filter(|call| !always_fits(call, calls)).cloned().collect();
    calls.sort_by_key(|call| call.invoked_at);
    let mut on = None;
    let mut begun = 0;
    while begun < calls.len() {
        let mut end = begun;
        let mut last = 0;
        while end < calls.len() && (end == begun || calls[end].invoked_at < last) {
            last = last.max(calls[end].completion.map_or(u64::MAX, |(to, _)| to));
            end += 1;
        }
        let part = &calls[begun..end];
        match check_segment(on, part) {
            Verdict::Linearizable => {}
            other => return other,
        }
        // Taken ones rise in number, each on top of the one before.
        let taken = part.iter().filter_map(|call| match (call.operation, call.completion) {
            (Operation::Replace { new, .. }, Some((_, OperationResult::Committed))) => Some(new),
            _ => None,
        });
        on = taken.max().or(on);
        begun = end;
    }
    Verdict::Linearizable
}

/// Whether a call that changed nothing fits at one of its own moments, whatever the order of the others.
fn always_fits(call: &Call, all: &[Call]) -> bool {
    let Some((to, ret)) = call.completion else { return false };
    let changes = |base: u64| {
        all.iter()
            .filter(move |other| matches!(other.operation, Operation::Replace { base: on, .. } if on == base))
    };
    let taken = |other: &&Call| matches!(other.completion, Some((_, OperationResult::Committed)));
    match (call.operation, ret) {
        // At its end: what came on top of its base was taken before.
        (Operation::Replace { base, .. }, OperationResult::Rejected) => {
            changes(base).filter(taken).any(|other| other.completion.is_some_and(|(end, _)| end < to))
        }
        // At a moment after the version's own end and before anything on top of it could begin.
        (Operation::Read, OperationResult::Value(found)) => {
            let since = match found {
                None => Some(0),
                Some(version) => all
                    .iter()
                    .filter(taken)
                    .find(|other| matches!(other.operation, Operation::Replace { new, .. } if new == version))
                    .and_then(|other| other.completion.map(|(end, _)| end)),
            };
            let epoch = found.map_or(0, |version| version.epoch);
            let refused = |other: &&Call| matches!(other.completion, Some((_, OperationResult::Rejected)));
            let until = changes(epoch).filter(|other| !refused(other)).map(|other| other.invoked_at).min();
            since.is_some_and(|since| since.max(call.invoked_at) < until.unwrap_or(u64::MAX).min(to))
        }
        _ => false,
    }
}

/// Calls without an end need not have happened: where the others have an order by themselves, that is one.
fn check_segment(on: Option<Version>, part: &[Call]) -> Verdict {
    let ended: Vec<Call> = part.iter().filter(|call| call.completion.is_some()).cloned().collect();
    match search_order(on, &ended) {
        Verdict::Linearizable => Verdict::Linearizable,
        _ => search_order(on, part),
    }
}

fn search_order(on: Option<Version>, part: &[Call]) -> Verdict {
    let steps = Arc::new(AtomicU64::new(0));
    let register = Register { newest: on, last_unchanging: None, steps: steps.clone() };
    let mut tester = LinearizabilityTester::new(register);
    // Each call is a thread of its own: order in time binds threads too, and a thread has one call in flight.
    let mut events: Vec<(u64, usize, Option<OperationResult>)> = Vec::new();
    for (at, call) in part.iter().enumerate() {
        events.push((call.invoked_at, at, None));
        events.extend(call.completion.map(|(to, ret)| (to, at, Some(ret))));
    }
    events.sort_by_key(|(when, at, ret)| (*when, *at, ret.is_some()));
    for (_, at, ret) in events {
        let fits = match ret {
            None => tester.on_invoke(at, (at, part[at].operation)).is_ok(),
            Some(ret) => tester.on_return(at, ret).is_ok(),
        };
        if !fits {
            return Verdict::Undecided { calls: part.to_vec() };
        }
    }
    let calls = || part.to_vec();
    if tester.is_consistent() {
        Verdict::Linearizable
    } else if steps.load(Ordering::Relaxed) > MAX_SEARCH_STEPS {
        Verdict::Undecided { calls: calls() }
    } else {
        Verdict::NotLinearizable { initial: on, calls: calls() }
    }
}

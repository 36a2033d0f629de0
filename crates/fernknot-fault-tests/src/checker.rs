//! Judges what clients, stores and routers left behind, against the rules and what membership promises. It shares
//! no code with what it judges.

use crate::clients::{Got, Request, SLACK, WAIT};
use std::collections::BTreeMap;
use std::time::Duration;

/// A router's word on another, from its log.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub at: Duration,
    pub by: usize,
    pub of: usize,
    pub from: String,
    pub to: String,
    pub line: String,
}

/// A fault as the rig caused it.
#[derive(Clone, Debug, PartialEq)]
pub enum Occurred {
    Down { router: usize },
    Up { router: usize },
    Cut { from: Vec<usize>, to: Vec<usize> },
    Mend { from: Vec<usize>, to: Vec<usize> },
}

/// All that was seen; times from the start of the trial.
pub struct History {
    pub routers: usize,
    pub period: Duration,
    pub requests: Vec<Request>,
    /// For each store, the ids of the parts that it ran.
    pub calls: Vec<Vec<String>>,
    pub verdicts: Vec<Verdict>,
    pub occurred: Vec<(Duration, Occurred)>,
}

/// A promise that was not kept, with what shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    pub promise: &'static str,
    pub lines: Vec<String>,
}

/// Periods for which a router must have been within hearing before a verdict on it is wrong.
const HEARD_FOR: f64 = 5.0;

impl History {
    /// Which run, and which ways are cut, at some time.
    fn state(&self, at: Duration) -> (Vec<bool>, Vec<Vec<bool>>) {
        let mut up = vec![true; self.routers];
        let mut cut = vec![vec![false; self.routers]; self.routers];
        for (_, what) in self.occurred.iter().filter(|(when, _)| *when <= at) {
            match what {
                Occurred::Down { router } => up[*router] = false,
                Occurred::Up { router } => up[*router] = true,
                Occurred::Cut { from, to } | Occurred::Mend { from, to } => {
                    let is_cut = matches!(what, Occurred::Cut { .. });
                    from.iter().for_each(|from| to.iter().for_each(|to| cut[*from][*to] = is_cut));
                }
            }
        }
        (up, cut)
    }

    /// Whether word of one that runs could come to another, over whomever.
    fn could_hear(&self, by: usize, of: usize, at: Duration) -> bool {
        let (up, cut) = self.state(at);
        if !up[of] || !up[by] {
            return false;
        }
        let mut reached = vec![of];
        let mut next = 0;
        while next < reached.len() {
            let from = reached[next];
            next += 1;
            let more = (0..self.routers).filter(|to| up[*to] && !cut[from][*to]);
            let more: Vec<usize> = more.filter(|to| !reached.contains(to)).collect();
            reached.extend(more);
        }
        reached.contains(&by)
    }

    /// Something happened to this router itself between these times.
    fn was_disturbed(&self, router: usize, from: Duration, to: Duration) -> bool {
        let (up, _) = self.state(from);
        let touches = |what: &Occurred| matches!(what, Occurred::Down { router: one } | Occurred::Up { router: one } if *one == router);
        !up[router] || self.occurred.iter().any(|(at, what)| (from..=to).contains(at) && touches(what))
    }

    /// Requests of which no answer came.
    pub fn unanswered(&self) -> usize {
        self.requests.iter().filter(|request| request.got == Got::Nothing).count()
    }

    /// Parts of what must run once that ran more often.
    pub fn double_effects(&self) -> Vec<String> {
        let once = |id: &&String| {
            let request = id.split('.').next().unwrap_or_default();
            self.requests.iter().any(|one| one.id == request && one.use_case == "buy")
        };
        let mut ran: BTreeMap<&String, usize> = BTreeMap::new();
        for id in self.calls.iter().flatten().filter(once) {
            *ran.entry(id).or_insert(0) += 1;
        }
        ran.into_iter()
            .filter(|(_, times)| *times > 1)
            .map(|(id, times)| format!("{id} ran {times} times"))
            .collect()
    }

    /// Answers that say more than what ran.
    pub fn answered_wrongly(&self) -> Vec<String> {
        let ran =
            |id: &str, part: u32| self.calls.iter().flatten().any(|call| *call == format!("{id}.{part}"));
        let wrong = |request: &&Request| {
            let whole = request.got == Got::Answer { status: 200, whole: true };
            request.answers > 1 || whole && !(0..2).all(|part| ran(&request.id, part))
        };
        self.requests.iter().filter(wrong).map(|request| format!("{request:?}")).collect()
    }
}

/// The promises that were broken; none if all were kept.
pub fn check(history: &History) -> Vec<Break> {
    let mut breaks = Vec::new();
    let mut add = |promise: &'static str, lines: Vec<String>| {
        if !lines.is_empty() {
            breaks.push(Break { promise, lines });
        }
    };
    // Rule 1: one final answer in the client's time, from each router that nothing happened to.
    let silent = history.requests.iter().filter(|request| {
        let late = request.ended > request.sent + WAIT + SLACK;
        let none = matches!(request.got, Got::Nothing | Got::Refused);
        (late || none) && !history.was_disturbed(request.router, request.sent, request.ended)
    });
    add("one-answer", silent.map(|request| format!("{request:?}")).collect());
    add("no-effect-twice", history.double_effects());
    add("honest-answers", history.answered_wrongly());
    // No router that runs and is within hearing is held for lost.
    let back = history.period.mul_f64(HEARD_FOR);
    let wrong = history.verdicts.iter().filter(|verdict| verdict.to == "lost").filter(|verdict| {
        let since = verdict.at.saturating_sub(back);
        let times = history.occurred.iter().map(|(at, _)| *at).filter(|at| (since..verdict.at).contains(at));
        times.chain([since, verdict.at]).all(|at| history.could_hear(verdict.by, verdict.of, at))
    });
    add("no-false-lost", wrong.map(|verdict| verdict.line.clone()).collect());
    // Verdicts on one router come and go once for each thing that happened to it or to the network.
    let mut changes: BTreeMap<(usize, usize), Vec<&Verdict>> = BTreeMap::new();
    for verdict in history.verdicts.iter().filter(|verdict| verdict.to == "lost" || verdict.from == "lost") {
        changes.entry((verdict.by, verdict.of)).or_default().push(verdict);
    }
    let begins = |what: &Occurred, of: usize| match what {
        Occurred::Down { router } => *router == of,
        Occurred::Cut { .. } => true,
        _ => false,
    };
    for ((_, of), seen) in changes {
        let faults = history.occurred.iter().filter(|(_, what)| begins(what, of)).count().max(1);
        if seen.len() > 2 * faults {
            add("no-flapping", seen.iter().map(|verdict| verdict.line.clone()).collect());
        }
    }
    breaks
}

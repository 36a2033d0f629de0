//! Judges a run by what was seen on the simulated wire alone: what clients sent and got, and what nodes were offered
//! and ran. It shares no code with what it judges.

use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_simulator::wire::Message;
use std::collections::{BTreeMap, BTreeSet};

/// What a request's path stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// May not be repeated.
    Mutating,
    Idempotent,
    /// The first, the second or neither, as versions of the configuration have it.
    Flips,
    /// May not be repeated, and several services share the route.
    Shared,
    Gathered,
}

/// One try of a client.
pub struct Asked {
    pub attempt: String,
    pub kind: Kind,
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    /// The oldest and the newest version that the gateway may have taken it under, as far as is known.
    pub versions: (Option<usize>, Option<usize>),
    /// Repeating it was never allowed under any of these.
    pub once: bool,
}

/// What a node answered to a run.
pub struct Issued {
    attempt: String,
    service: String,
    status: u16,
    body: Vec<u8>,
}

/// What happened in a run, so that one can see that it was not idle.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub counts: BTreeMap<&'static str, u64>,
}

impl Seen {
    pub fn add(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }
}

/// Quorum and number of records of the gathered route.
pub const QUORUM: f64 = 0.5;
pub const TOP: usize = 3;

#[derive(Default)]
pub struct Checker {
    pub asked: Vec<Asked>,
    by_attempt: BTreeMap<String, usize>,
    issued: BTreeMap<String, Issued>,
    runs: BTreeMap<usize, Vec<String>>,
    promised: BTreeMap<usize, u16>,
    /// Hand-offs seen to leave the gateway over a connection that is up, and whether the node's word that it did not
    /// run it has come back.
    offers: BTreeMap<usize, Vec<(ConnectionId, bool)>>,
    /// Offered again although an earlier offer may have run.
    again: BTreeSet<usize>,
    /// Sets of shards that versions named, and services that versions let each kind go to.
    pub sets: Vec<BTreeSet<String>>,
    pub ways: BTreeMap<Kind, BTreeSet<String>>,
    pub seen: Seen,
    pub faults: Vec<String>,
}

impl Checker {
    pub fn fault(&mut self, text: String) {
        if self.faults.len() < 20 {
            self.faults.push(text);
        }
    }

    /// A client makes a try.
    pub fn sends(&mut self, asked: Asked) -> usize {
        let no = self.asked.len();
        self.by_attempt.insert(asked.attempt.clone(), no);
        self.asked.push(asked);
        no
    }

    fn find(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// A whole request left the gateway on a connection to a node that is up.
    pub fn offered(&mut self, now: Nanos, berth: ConnectionId, message: &Message) {
        let Some(no) = self.find(message) else {
            return self.fault(format!("UNASKED: {} at {}", message.start_line, now.as_millis()));
        };
        let before = self.offers.entry(no).or_default();
        let open = before.iter().any(|(_, refused)| !refused);
        if !before.is_empty() {
            self.seen.add("offered again");
        }
        before.push((berth, false));
        // Judged at the end, once it is known under which versions it was taken.
        if open {
            self.seen.add("offered beside one that may run");
            self.again.insert(no);
        }
    }

    /// A node's own word that it did not run an offer has come back over its connection.
    pub fn refused(&mut self, attempt: &str, berth: ConnectionId) {
        let Some(no) = self.by_attempt.get(attempt) else { return };
        let offers = self.offers.entry(*no).or_default();
        if let Some(offer) = offers.iter_mut().rev().find(|(at, refused)| *at == berth && !refused) {
            offer.1 = true;
        }
    }

    /// A node begins to work on what it got.
    pub fn runs(&mut self, service: &str, message: &Message) {
        self.seen.add("runs");
        let Some(no) = self.find(message) else {
            return self.fault(format!("UNASKED: a run of {}", message.start_line));
        };
        let asked = &self.asked[no];
        let same = (message.start_line_part(0), message.start_line_part(1), &message.body)
            == (asked.method, &asked.target, &asked.body);
        if !same {
            let text = format!("UNASKED: {} ran as {}", asked.attempt, message.start_line);
            return self.fault(text);
        }
        let kind = asked.kind;
        if !self.ways.get(&kind).is_some_and(|ways| ways.contains(service)) {
            self.fault(format!("ROUTE: {kind:?} ran at {service}"));
        }
        self.runs.entry(no).or_default().push(service.to_string());
    }

    /// A node answers a run under a seal of its own.
    pub fn issues(&mut self, seal: &str, attempt: &str, service: &str, status: u16, body: &[u8]) {
        let issued = Issued { attempt: attempt.into(), service: service.into(), status, body: body.to_vec() };
        self.issued.insert(seal.into(), issued);
    }

    /// A client got a whole answer, in the place of this request.
    pub fn answered(&mut self, no: usize, message: &Message) {
        let asked = &self.asked[no];
        let (attempt, kind) = (asked.attempt.clone(), asked.kind);
        let status: u16 = message.start_line_part(1).parse().unwrap_or(0);
        if message.header("Attempt-Id").is_some_and(|id| id != attempt) {
            self.fault(format!("MIXED: {attempt} got {:?}", message.header("Attempt-Id")));
        }
        match status {
            200..300 => {
                self.seen.add("successes");
                let fault = match kind {
                    Kind::Gathered => self.gathered(&attempt, message),
                    _ => self.plain(&attempt, status, message),
                };
                fault.into_iter().for_each(|fault| self.fault(fault));
            }
            408 | 421 | 429 | 503 => {
                self.seen.add("promises");
                self.seen.add(if status == 408 { "told 408" } else { "told 503" });
                self.promised.insert(no, status);
            }
            400 if !attempt.is_ascii() => self.seen.add("ids that are no text"),
            404 if kind == Kind::Flips => self.seen.add("no route"),
            500 if message.header("Answer-Seal").is_some() => {
                self.seen.add("failures of nodes");
                let fault = self.plain(&attempt, status, message);
                fault.into_iter().for_each(|fault| self.fault(fault));
            }
            502 | 504 => self.seen.add("without a promise"),
            _ => self.fault(format!("DENIED: {attempt} got {status}")),
        }
    }

    fn plain(&self, attempt: &str, status: u16, message: &Message) -> Option<String> {
        let issued = message.header("Answer-Seal").and_then(|seal| self.issued.get(seal));
        let Some(issued) = issued else {
            return Some(format!("MIXED: {attempt} got {status} without a seal"));
        };
        let same = (issued.attempt.as_str(), issued.status, &issued.body) == (attempt, status, &message.body);
        (!same).then(|| format!("MIXED: {attempt} got what {} was answered", issued.attempt))
    }

    fn gathered(&self, attempt: &str, message: &Message) -> Option<String> {
        let seals = message.header("Part-Seals").unwrap_or_default();
        let mut services = BTreeSet::new();
        let mut records: Vec<&[u8]> = Vec::new();
        for seal in seals.split(',').map(str::trim) {
            let Some(issued) = self.issued.get(seal).filter(|issued| issued.attempt == attempt) else {
                return Some(format!("MIXED: {attempt} got a part under {seal:?}"));
            };
            if !services.insert(issued.service.clone()) || issued.status != 200 {
                return Some(format!("MIXED: {attempt} got two parts of {}", issued.service));
            }
            records.extend(issued.body.chunks_exact(16));
        }
        let missing: usize = message.header("Parts-Missing").map_or(0, |text| text.parse().unwrap_or(99));
        let whole = services.len() + missing;
        let fits = |set: &&BTreeSet<String>| set.len() == whole && services.is_subset(set);
        if !self.sets.iter().any(|set| fits(&set)) {
            return Some(format!("MIXED: {attempt} got {services:?} and {missing} missing"));
        }
        if (services.len() as f64) < QUORUM * whole as f64 {
            return Some(format!("MIXED: {attempt} got a success with {missing} of {whole} missing"));
        }
        records.sort();
        records.reverse();
        records.truncate(TOP);
        (records.concat() != message.body).then(|| format!("MIXED: {attempt} got other records"))
    }

    /// What can be judged only once all has been seen.
    pub fn end(&mut self) {
        for no in std::mem::take(&mut self.again) {
            if self.asked[no].once {
                let Asked { attempt, kind, .. } = &self.asked[no];
                let text = format!("TWICE: {attempt} {kind:?} was offered again although it may have run");
                self.fault(text);
            }
        }
        for (no, runs) in std::mem::take(&mut self.runs) {
            let asked = &self.asked[no];
            let (attempt, once) = (asked.attempt.clone(), asked.once);
            if once && runs.len() > 1 {
                self.fault(format!("TWICE: {attempt} {:?}: {runs:?}", self.asked[no].kind));
            }
            match self.promised.get(&no) {
                // The rules keep this promise for what may not be repeated; the rest is counted.
                Some(status) if once => self.fault(format!("REFUSED: {attempt} got {status}, and {runs:?}")),
                Some(_) => self.seen.add("promises to what may be repeated, and ran"),
                None => {}
            }
        }
    }
}

//! Judges a run by what was seen on the simulated wire alone: what clients sent and received, and what nodes were sent
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
    /// The first, the second or neither, as the configuration in force has it.
    Flips,
    /// May not be repeated, and several services share the route.
    Shared,
    Gathered,
}

/// One request of a client.
pub struct ClientRequest {
    pub attempt: String,
    pub kind: Kind,
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    /// The oldest and the newest configuration that the gateway may have read it under, as far as is known.
    pub versions: (Option<usize>, Option<usize>),
    /// Repeating it was never allowed under any of these.
    pub is_non_idempotent: bool,
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
pub struct Coverage {
    pub counts: BTreeMap<&'static str, u64>,
}

impl Coverage {
    pub fn add(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }
}

/// Quorum and number of records of the gathered route.
pub const QUORUM: f64 = 0.5;
pub const TOP_K: usize = 3;

#[derive(Default)]
pub struct Checker {
    pub requests: Vec<ClientRequest>,
    by_attempt: BTreeMap<String, usize>,
    issued: BTreeMap<String, Issued>,
    runs: BTreeMap<usize, Vec<String>>,
    promised: BTreeMap<usize, u16>,
    /// Attempts seen to leave the gateway over an open connection, and whether the node's response that it did not
    /// execute it has come back.
    offers: BTreeMap<usize, Vec<(ConnectionId, bool)>>,
    /// Sent again although an earlier attempt may have been executed.
    repeated_offers: BTreeSet<usize>,
    /// Sets of shards that configurations have named, and the services that they allow for each kind.
    pub shard_sets: Vec<BTreeSet<String>>,
    pub allowed_services: BTreeMap<Kind, BTreeSet<String>>,
    pub coverage: Coverage,
    pub violations: Vec<String>,
}

impl Checker {
    pub fn violation(&mut self, text: String) {
        if self.violations.len() < 20 {
            self.violations.push(text);
        }
    }

    /// A client sends a request.
    pub fn add_request(&mut self, request: ClientRequest) -> usize {
        let index = self.requests.len();
        self.by_attempt.insert(request.attempt.clone(), index);
        self.requests.push(request);
        index
    }

    fn find(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// A complete request has left the gateway over an open connection to a node.
    pub fn record_offer(&mut self, now: Nanos, id: ConnectionId, message: &Message) {
        let Some(index) = self.find(message) else {
            return self.violation(format!("UNASKED: {} at {}", message.start_line, now.as_millis()));
        };
        let before = self.offers.entry(index).or_default();
        let open = before.iter().any(|(_, rejected)| !rejected);
        if !before.is_empty() {
            self.coverage.add("sent again");
        }
        before.push((id, false));
        // Judged at the end, once it is known under which configurations it was read.
        if open {
            self.coverage.add("sent beside an attempt that may run");
            self.repeated_offers.insert(index);
        }
    }

    /// A node's response that it did not execute an attempt has come back over its connection.
    pub fn record_rejection(&mut self, attempt: &str, id: ConnectionId) {
        let Some(index) = self.by_attempt.get(attempt) else { return };
        let offers = self.offers.entry(*index).or_default();
        if let Some(offer) = offers.iter_mut().rev().find(|(at, rejected)| *at == id && !rejected) {
            offer.1 = true;
        }
    }

    /// A node begins to work on what it got.
    pub fn runs(&mut self, service: &str, message: &Message) {
        self.coverage.add("runs");
        let Some(index) = self.find(message) else {
            return self.violation(format!("UNASKED: a run of {}", message.start_line));
        };
        let request = &self.requests[index];
        let same = (message.start_line_part(0), message.start_line_part(1), &message.body)
            == (request.method, &request.target, &request.body);
        if !same {
            let text = format!("UNASKED: {} ran as {}", request.attempt, message.start_line);
            return self.violation(text);
        }
        let kind = request.kind;
        if !self
            .allowed_services
            .get(&kind)
            .is_some_and(|allowed_services| allowed_services.contains(service))
        {
            self.violation(format!("ROUTE: {kind:?} ran at {service}"));
        }
        self.runs.entry(index).or_default().push(service.to_string());
    }

    /// A node answers a run under a seal of its own.
    pub fn record_answer(&mut self, seal: &str, attempt: &str, service: &str, status: u16, body: &[u8]) {
        let issued = Issued { attempt: attempt.into(), service: service.into(), status, body: body.to_vec() };
        self.issued.insert(seal.into(), issued);
    }

    /// A client has received a complete response, in the place of this request.
    pub fn record_response(&mut self, index: usize, message: &Message) {
        let request = &self.requests[index];
        let (attempt, kind) = (request.attempt.clone(), request.kind);
        let status: u16 = message.start_line_part(1).parse().unwrap_or(0);
        if message.header("Attempt-Id").is_some_and(|id| id != attempt) {
            self.violation(format!("MIXED: {attempt} got {:?}", message.header("Attempt-Id")));
        }
        match status {
            200..300 => {
                self.coverage.add("successes");
                let violation = match kind {
                    Kind::Gathered => self.gathered(&attempt, message),
                    _ => self.plain(&attempt, status, message),
                };
                violation.into_iter().for_each(|violation| self.violation(violation));
            }
            408 | 421 | 429 | 503 => {
                self.coverage.add("rejections");
                self.coverage.add(if status == 408 { "answered 408" } else { "answered 503" });
                self.promised.insert(index, status);
            }
            400 if !attempt.is_ascii() => self.coverage.add("ids that are no text"),
            404 if kind == Kind::Flips => self.coverage.add("no route"),
            500 if message.header("Answer-Seal").is_some() => {
                self.coverage.add("failures of nodes");
                let violation = self.plain(&attempt, status, message);
                violation.into_iter().for_each(|violation| self.violation(violation));
            }
            502 | 504 => self.coverage.add("failures without a rejection"),
            _ => self.violation(format!("DENIED: {attempt} got {status}")),
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
        if !self.shard_sets.iter().any(|set| fits(&set)) {
            return Some(format!("MIXED: {attempt} got {services:?} and {missing} missing"));
        }
        if (services.len() as f64) < QUORUM * whole as f64 {
            return Some(format!("MIXED: {attempt} got a success with {missing} of {whole} missing"));
        }
        records.sort();
        records.reverse();
        records.truncate(TOP_K);
        (records.concat() != message.body).then(|| format!("MIXED: {attempt} got other records"))
    }

    /// What can be judged only once all has been seen.
    pub fn end(&mut self) {
        for index in std::mem::take(&mut self.repeated_offers) {
            if self.requests[index].is_non_idempotent {
                let ClientRequest { attempt, kind, .. } = &self.requests[index];
                let text = format!("TWICE: {attempt} {kind:?} was offered again although it may have run");
                self.violation(text);
            }
        }
        for (index, runs) in std::mem::take(&mut self.runs) {
            let request = &self.requests[index];
            let (attempt, is_non_idempotent) = (request.attempt.clone(), request.is_non_idempotent);
            if is_non_idempotent && runs.len() > 1 {
                self.violation(format!("TWICE: {attempt} {:?}: {runs:?}", self.requests[index].kind));
            }
            match self.promised.get(&index) {
                // The rules keep what the status says for what may not be repeated; the rest is counted.
                Some(status) if is_non_idempotent => {
                    self.violation(format!("REFUSED: {attempt} got {status}, and {runs:?}"))
                }
                Some(_) => self.coverage.add("rejections of what may be repeated, and ran"),
                None => {}
            }
        }
    }
}

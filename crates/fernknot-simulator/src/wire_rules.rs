//! The rules of requests, by what was seen on the simulated wire: who asked, what nodes got and ran, what clients were
//! told. Nothing here is read from a gateway.

use crate::gateways::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Mutating,
    Idempotent,
    /// On the route that only the version with this body has.
    Probe(u64),
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub attempt: String,
    pub kind: RequestKind,
    pub target: String,
    pub body: Vec<u8>,
    pub sent: Nanos,
    pub gateway: usize,
    pub life: u64,
    /// Its gateway was in touch as it was sent.
    pub in_touch: bool,
    arrivals: u64,
    runs: u64,
    promised: Option<u16>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct RequestChecker {
    pub asked: Vec<RequestRecord>,
    by_attempt: BTreeMap<String, usize>,
    /// Answers that nodes gave: seal to attempt and body.
    issued: BTreeMap<String, (String, Vec<u8>)>,
    /// When nodes got a request once more, and by which gateway.
    extra: Vec<(Nanos, usize)>,
    /// The greatest version seen in force through one life of a gateway, and when.
    newest: BTreeMap<(usize, u64), Vec<(u64, Nanos)>>,
    pub counts: BTreeMap<&'static str, u64>,
}

/// What broke.
pub type BrokenRule = Option<(&'static str, String)>;

impl RequestChecker {
    pub fn add(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A client sends a try.
    pub fn asks(
        &mut self,
        asked: (String, RequestKind, String, Vec<u8>),
        sent: Nanos,
        by: (usize, u64, bool),
    ) -> usize {
        let (attempt, kind, target, body) = asked;
        let (gateway, life, in_touch) = by;
        self.add("requests");
        self.by_attempt.insert(attempt.clone(), self.asked.len());
        let (arrivals, runs, promised) = (0, 0, None);
        self.asked.push(RequestRecord {
            attempt,
            kind,
            target,
            body,
            sent,
            gateway,
            life,
            in_touch,
            arrivals,
            runs,
            promised,
        });
        self.asked.len() - 1
    }

    pub fn find(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// A node has read a request.
    pub fn arrives(&mut self, now: Nanos, message: &Message) -> BrokenRule {
        self.add("arrivals");
        let Some(no) = self.find(message) else {
            return Some(("UNASKED", format!("a node got {}", message.first)));
        };
        let asked = &mut self.asked[no];
        asked.arrivals += 1;
        if asked.arrivals > 1 {
            self.extra.push((now, asked.gateway));
            self.add("further tries");
        }
        None
    }

    /// A node begins to work on it.
    pub fn runs(&mut self, message: &Message) -> BrokenRule {
        self.add("runs");
        let no = self.find(message)?;
        let asked = &mut self.asked[no];
        asked.runs += 1;
        let method = if asked.kind == RequestKind::Mutating { "POST" } else { "GET" };
        let got = (message.word(0), message.word(1), &message.body);
        if got != (method, asked.target.as_str(), &asked.body) {
            return Some(("UNASKED", format!("{} ran as {}", asked.attempt, message.first)));
        }
        let twice = asked.kind == RequestKind::Mutating && asked.runs > 1;
        let text = format!("{} ran {} times", asked.attempt, asked.runs);
        twice.then_some(("TWICE", text))
    }

    /// A node's answer to a run.
    pub fn issues(&mut self, seal: String, attempt: &str, body: Vec<u8>) {
        self.issued.insert(seal, (attempt.to_string(), body));
    }

    /// A version was seen in force by a request through a gateway's life: none that was sent `slack` after a newer one
    /// was seen there may show an older one.
    pub fn sees(&mut self, now: Nanos, no: usize, epoch: u64, slack: Nanos) -> BrokenRule {
        let asked = &self.asked[no];
        let (gateway, sent) = (asked.gateway, asked.sent);
        let seen = self.newest.entry((gateway, asked.life)).or_default();
        let newer = seen.iter().find(|(other, at)| *other > epoch && sent > *at + slack).copied();
        if seen.last().is_none_or(|(other, _)| epoch > *other) {
            seen.push((epoch, now));
        }
        let (other, _) = newer?;
        Some(("CONFIG", format!("gateway {gateway} goes back from version {other} to {epoch}")))
    }

    /// A client got a whole answer in the place of this request.
    pub fn answered(&mut self, no: usize, message: &Message) -> BrokenRule {
        let asked = &self.asked[no];
        let (attempt, kind) = (asked.attempt.clone(), asked.kind);
        let status: u16 = message.word(1).parse().unwrap_or(0);
        if message.header("Attempt-Id").is_some_and(|id| id != attempt) {
            return Some(("MIXED", format!("{attempt} got {:?}", message.header("Attempt-Id"))));
        }
        match status {
            200..300 => {
                self.add("successes");
                let issued = message.header("Answer-Seal").and_then(|seal| self.issued.get(seal));
                let same = issued.is_some_and(|(id, body)| *id == attempt && *body == message.body);
                (!same).then(|| ("MIXED", format!("{attempt} got what was answered to another, or less")))
            }
            408 | 421 | 429 | 503 => {
                self.add("promises");
                self.asked[no].promised = Some(status);
                None
            }
            404 if matches!(kind, RequestKind::Probe(_)) => {
                self.add("no route");
                None
            }
            500 | 502 | 504 => {
                self.add("without a promise");
                None
            }
            _ => Some(("DENIED", format!("{attempt} got {status} on a route of every version"))),
        }
    }

    /// What can be judged only once all has been seen.
    pub fn end(&self) -> Vec<(&'static str, String)> {
        let mut broken = Vec::new();
        for asked in &self.asked {
            if let (RequestKind::Mutating, Some(status), 1..) = (asked.kind, asked.promised, asked.runs) {
                broken.push(("REFUSED", format!("{} got {status} and ran", asked.attempt)));
            }
        }
        broken.extend(self.budget().map(|text| ("BUDGET", text)));
        broken
    }

    /// In every window that begins or ends with a further arrival: the requests are those of it, of the one before, or
    /// of that half a window before, whichever are most.
    fn budget(&self) -> Option<String> {
        let all = |_: usize| true;
        let begins: BTreeSet<Nanos> =
            self.extra.iter().flat_map(|(at, _)| [*at, *at - RETRY_WINDOW]).collect();
        begins.into_iter().find_map(|from| {
            let extra = self.tries_from(from, all);
            let requests = self.requests_from(from, all);
            let most = RETRY_RATIO * requests.into_iter().max()? as f64 + RETRY_SLACK;
            if extra as f64 <= most {
                return None;
            }
            let gateways: BTreeSet<usize> = self.asked.iter().map(|asked| asked.gateway).collect();
            let each = gateways.into_iter().map(|at| {
                let is = |gateway: usize| gateway == at;
                let (tries, requests) = (self.tries_from(from, is), self.requests_from(from, is));
                format!("{tries} by gateway {at} for {requests:?}")
            });
            let (at, each) = (from.as_millis(), each.collect::<Vec<_>>().join(", "));
            Some(format!("{extra} further tries from {at:.0} ms on, {most:.1} are free: {each}"))
        })
    }

    /// Further tries in the window that begins here.
    fn tries_from(&self, from: Nanos, by: impl Fn(usize) -> bool) -> usize {
        let is_in = |at: Nanos| from <= at && at <= from + RETRY_WINDOW;
        self.extra.iter().filter(|(at, gateway)| is_in(*at) && by(*gateway)).count()
    }

    /// Requests in the window that begins here, in that half a window before, and in the one before.
    fn requests_from(&self, from: Nanos, by: impl Fn(usize) -> bool) -> [usize; 3] {
        [0.0, 0.5, 1.0].map(|back| {
            let begins = from - RETRY_WINDOW.times(back);
            let is_in = |at: Nanos| begins <= at && at <= begins + RETRY_WINDOW;
            self.asked.iter().filter(|asked| is_in(asked.sent) && by(asked.gateway)).count()
        })
    }
}

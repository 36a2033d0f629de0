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
    pub attempt_id: String,
    pub kind: RequestKind,
    pub target: String,
    pub body: Vec<u8>,
    pub sent_at: Nanos,
    pub gateway: usize,
    pub incarnation: u64,
    /// Its gateway was in touch as it was sent.
    pub is_gateway_in_touch: bool,
    arrivals: u64,
    executions: u64,
    rejected_with: Option<u16>,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct RequestChecker {
    pub requests: Vec<RequestRecord>,
    by_attempt: BTreeMap<String, usize>,
    /// Answers that nodes gave: seal to attempt and body.
    responses: BTreeMap<String, (String, Vec<u8>)>,
    /// When nodes got a request once more, and by which gateway.
    retries: Vec<(Nanos, usize)>,
    /// The greatest version seen in force through one life of a gateway, and when.
    newest_seen: BTreeMap<(usize, u64), Vec<(u64, Nanos)>>,
    pub counts: BTreeMap<&'static str, u64>,
}

/// What broke.
pub type BrokenRule = Option<(&'static str, String)>;

impl RequestChecker {
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A client sends a try.
    pub fn record_request(
        &mut self,
        asked: (String, RequestKind, String, Vec<u8>),
        sent: Nanos,
        by: (usize, u64, bool),
    ) -> usize {
        let (attempt, kind, target, body) = asked;
        let (gateway, life, in_touch) = by;
        self.count("requests");
        self.by_attempt.insert(attempt.clone(), self.requests.len());
        let (arrivals, runs, promised) = (0, 0, None);
        self.requests.push(RequestRecord {
            attempt_id: attempt,
            kind,
            target,
            body,
            sent_at: sent,
            gateway,
            incarnation: life,
            is_gateway_in_touch: in_touch,
            arrivals,
            executions: runs,
            rejected_with: promised,
        });
        self.requests.len() - 1
    }

    pub fn find_request(&self, message: &Message) -> Option<usize> {
        self.by_attempt.get(message.header("Attempt-Id")?).copied()
    }

    /// A node has read a request.
    pub fn record_arrival(&mut self, now: Nanos, message: &Message) -> BrokenRule {
        self.count("arrivals");
        let Some(no) = self.find_request(message) else {
            return Some(("UNASKED", format!("a node got {}", message.start_line)));
        };
        let asked = &mut self.requests[no];
        asked.arrivals += 1;
        if asked.arrivals > 1 {
            self.retries.push((now, asked.gateway));
            self.count("further tries");
        }
        None
    }

    /// A node begins to work on it.
    pub fn record_execution(&mut self, message: &Message) -> BrokenRule {
        self.count("runs");
        let no = self.find_request(message)?;
        let asked = &mut self.requests[no];
        asked.executions += 1;
        let method = if asked.kind == RequestKind::Mutating { "POST" } else { "GET" };
        let got = (message.start_line_part(0), message.start_line_part(1), &message.body);
        if got != (method, asked.target.as_str(), &asked.body) {
            return Some(("UNASKED", format!("{} ran as {}", asked.attempt_id, message.start_line)));
        }
        let twice = asked.kind == RequestKind::Mutating && asked.executions > 1;
        let text = format!("{} ran {} times", asked.attempt_id, asked.executions);
        twice.then_some(("TWICE", text))
    }

    /// A node's answer to a run.
    pub fn record_response(&mut self, seal: String, attempt: &str, body: Vec<u8>) {
        self.responses.insert(seal, (attempt.to_string(), body));
    }

    /// A version was seen in force by a request through a gateway's life: none that was sent `slack` after a newer one
    /// was seen there may show an older one.
    pub fn record_version(&mut self, now: Nanos, no: usize, epoch: u64, slack: Nanos) -> BrokenRule {
        let asked = &self.requests[no];
        let (gateway, sent) = (asked.gateway, asked.sent_at);
        let seen = self.newest_seen.entry((gateway, asked.incarnation)).or_default();
        let newer = seen.iter().find(|(other, at)| *other > epoch && sent > *at + slack).copied();
        if seen.last().is_none_or(|(other, _)| epoch > *other) {
            seen.push((epoch, now));
        }
        let (other, _) = newer?;
        Some(("CONFIG", format!("gateway {gateway} goes back from version {other} to {epoch}")))
    }

    /// A client got a whole answer in the place of this request.
    pub fn check_response(&mut self, no: usize, message: &Message) -> BrokenRule {
        let asked = &self.requests[no];
        let (attempt, kind) = (asked.attempt_id.clone(), asked.kind);
        let status: u16 = message.start_line_part(1).parse().unwrap_or(0);
        if message.header("Attempt-Id").is_some_and(|id| id != attempt) {
            return Some(("MIXED", format!("{attempt} got {:?}", message.header("Attempt-Id"))));
        }
        match status {
            200..300 => {
                self.count("successes");
                let issued = message.header("Answer-Seal").and_then(|seal| self.responses.get(seal));
                let same = issued.is_some_and(|(id, body)| *id == attempt && *body == message.body);
                (!same).then(|| ("MIXED", format!("{attempt} got what was answered to another, or less")))
            }
            408 | 421 | 429 | 503 => {
                self.count("promises");
                self.requests[no].rejected_with = Some(status);
                None
            }
            404 if matches!(kind, RequestKind::Probe(_)) => {
                self.count("no route");
                None
            }
            500 | 502 | 504 => {
                self.count("without a promise");
                None
            }
            _ => Some(("DENIED", format!("{attempt} got {status} on a route of every version"))),
        }
    }

    /// What can be judged only once all has been seen.
    pub fn check_totals(&self) -> Vec<(&'static str, String)> {
        let mut broken = Vec::new();
        for asked in &self.requests {
            if let (RequestKind::Mutating, Some(status), 1..) =
                (asked.kind, asked.rejected_with, asked.executions)
            {
                broken.push(("REFUSED", format!("{} got {status} and ran", asked.attempt_id)));
            }
        }
        broken.extend(self.check_retry_budget().map(|text| ("BUDGET", text)));
        broken
    }

    /// In every window that begins or ends with a further arrival: the requests are those of it, of the one before, or
    /// of that half a window before, whichever are most.
    fn check_retry_budget(&self) -> Option<String> {
        let all = |_: usize| true;
        let begins: BTreeSet<Nanos> =
            self.retries.iter().flat_map(|(at, _)| [*at, *at - RETRY_WINDOW]).collect();
        begins.into_iter().find_map(|from| {
            let extra = self.retries_from(from, all);
            let requests = self.requests_from(from, all);
            let most = RETRY_RATIO * requests.into_iter().max()? as f64 + RETRY_SLACK;
            if extra as f64 <= most {
                return None;
            }
            let gateways: BTreeSet<usize> = self.requests.iter().map(|asked| asked.gateway).collect();
            let each = gateways.into_iter().map(|at| {
                let is = |gateway: usize| gateway == at;
                let (tries, requests) = (self.retries_from(from, is), self.requests_from(from, is));
                format!("{tries} by gateway {at} for {requests:?}")
            });
            let (at, each) = (from.as_millis(), each.collect::<Vec<_>>().join(", "));
            Some(format!("{extra} further tries from {at:.0} ms on, {most:.1} are free: {each}"))
        })
    }

    /// Further tries in the window that begins here.
    fn retries_from(&self, from: Nanos, by: impl Fn(usize) -> bool) -> usize {
        let is_in = |at: Nanos| from <= at && at <= from + RETRY_WINDOW;
        self.retries.iter().filter(|(at, gateway)| is_in(*at) && by(*gateway)).count()
    }

    /// Requests in the window that begins here, in that half a window before, and in the one before.
    fn requests_from(&self, from: Nanos, by: impl Fn(usize) -> bool) -> [usize; 3] {
        [0.0, 0.5, 1.0].map(|back| {
            let begins = from - RETRY_WINDOW.times(back);
            let is_in = |at: Nanos| begins <= at && at <= begins + RETRY_WINDOW;
            self.requests.iter().filter(|asked| is_in(asked.sent_at) && by(asked.gateway)).count()
        })
    }
}

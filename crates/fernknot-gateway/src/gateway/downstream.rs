//! The clients' side of a gateway: requests as they come, and the answers to them.

use super::{Gateway, LOOP_GRANULARITY_MS, SeededBug};
use crate::asks::{FinalResponse, PendingRequest, wire};
use crate::clients::ListenAddress;
use fernknot::decide::FIRST_WAIT;
use fernknot::interface::*;
use fernknot_engine::{AskerId, Verdict};
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::{Answer, GO_ON, Request};
use fernknot_protocol::multiget::{Asked, AskedPart};
use fernknot_schema::RouteTarget;

impl Gateway {
    pub(super) fn client_closed<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ports: &mut P) {
        ports.close(berth);
        let Some(client) = self.clients.remove(berth) else { return };
        let Some(ask) = client.pending.and_then(|asker| self.requests.remove(&asker)) else { return };
        self.request_by_multiget.remove(&ask.multiget);
        if let Some(engine) = &mut self.engine {
            engine.lapsed(now, ask.multiget);
        }
    }

    pub(super) fn read_client<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ports: &mut P) {
        loop {
            let Some(client) = self.clients.get_mut(berth) else { return };
            // One after the other: what comes behind a request waits for its answer.
            if client.pending.is_some() && self.seeded_bug != Some(SeededBug::ConcurrentPipelining) {
                return;
            }
            let Some(input) = ports.input(berth) else { return };
            let read = client.reader.read(input, &self.http_limits);
            let in_part = self.clients.update_partial_body_bytes(berth);
            let most = self.max_partial_body_bytes();
            let Some(client) = self.clients.get_mut(berth) else { return };
            let Some(input) = ports.input(berth) else { return };
            let request = match read {
                Ok(Some(request)) => request,
                // Guards the memory against many clients that each send a body as large as one may be, and slowly.
                Ok(None) if in_part > most => {
                    self.counters.overloaded += 1;
                    client.keep_alive = false;
                    let wait = Some(FIRST_WAIT.as_millis() / 1e3);
                    return self.reply_locally(now, berth, 503, wait, b"too much is coming at once\n", ports);
                }
                Ok(None) => {
                    let coming = client.reader.is_open() || !input.is_empty();
                    if coming && !client.is_receiving {
                        client.waiting_since = now;
                    }
                    client.is_receiving = coming;
                    if client.reader.wants_leave()
                        && let Some(out) = ports.output(berth)
                    {
                        out.push(GO_ON);
                    }
                    return;
                }
                Err(why) => {
                    self.counters.malformed += 1;
                    log::debug!(target: "client", "{} {}", why.status, why.why);
                    client.keep_alive = false;
                    self.reply_locally(now, berth, why.status, None, why.why.as_bytes(), ports);
                    return;
                }
            };
            (client.is_receiving, client.waiting_since) = (false, now);
            (client.keep_alive, client.is_http_1_0) = (request.keep, request.old);
            client.expects_no_body = request.method == "HEAD";
            match client.listen_address {
                ListenAddress::Ready => self.serve_admin(now, berth, &request, ports),
                ListenAddress::Front => self.start_request(now, berth, request, ports),
            }
        }
    }

    /// An answer of our own, at either door.
    pub(super) fn reply_locally<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        status: u16,
        wait: Option<f64>,
        body: &[u8],
        ports: &mut P,
    ) {
        let Some(client) = self.clients.get_mut(berth) else { return };
        let keep = client.keep_alive && self.stop_requested_at.is_none();
        let answer = Answer { status, kind: "text/plain", wait, keep, old: client.is_http_1_0 };
        (client.pending, client.waiting_since) = (None, now);
        let bodiless = std::mem::take(&mut client.expects_no_body);
        if let Some(out) = ports.output(berth) {
            answer.write(out, body);
            // Guards against bytes that a client that asked for a head alone takes for its next answer.
            out.truncate(out.len() - if bodiless { body.len() } else { 0 });
        }
        if !keep {
            self.clients.remove(berth);
            ports.close_after_flush(berth);
        }
    }

    fn serve_admin<P: Network>(&mut self, now: Nanos, berth: ConnectionId, request: &Request, ports: &mut P) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/readiness") if self.is_ready() => {
                self.reply_locally(now, berth, 200, None, b"ready\n", ports)
            }
            ("GET", "/-/readiness") => self.reply_locally(now, berth, 503, None, b"not ready\n", ports),
            ("GET", "/-/counters") => {
                let text = self.counters_text(now);
                self.reply_locally(now, berth, 200, None, text.as_bytes(), ports);
            }
            _ => self.reply_locally(now, berth, 404, None, b"unknown\n", ports),
        }
    }
    fn start_request<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        request: Request,
        ports: &mut P,
    ) {
        self.counters.requests += 1;
        let Some(pinned) = self.config.clone() else {
            self.counters.no_config += 1;
            let wait = Some(FIRST_WAIT.as_millis() / 1e3);
            return self.reply_locally(now, berth, 503, wait, b"no configuration yet\n", ports);
        };
        let host = request.header("host").unwrap_or_default();
        let Some(index) = pinned.find(host, request.path()) else {
            self.counters.unrouted += 1;
            return self.reply_locally(now, berth, 404, None, b"no route\n", ports);
        };
        // Guards against an id that a node would get otherwise than the client sent it.
        let is_fit =
            |id: &&str| (1..=256).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic());
        let Some(attempt) = request.header(wire::ATTEMPT_ID).filter(is_fit) else {
            self.counters.malformed += 1;
            return self.reply_locally(now, berth, 400, None, b"Attempt-Id is missing or unfit\n", ports);
        };
        let attempt = attempt.to_string();
        let route = pinned.route(index);
        let told = request.header(wire::DEADLINE_MS).and_then(|text| text.trim().parse::<u64>().ok());
        let wait = told.unwrap_or(u64::MAX).min(route.deadline_ms);
        let wait = Nanos(wait.saturating_mul(1_000_000));
        let services: Vec<&str> = match &route.target {
            RouteTarget::Service(service) => vec![service],
            RouteTarget::WeightedServices(shares) => vec![self.pick_weighted_service(shares)],
            RouteTarget::Fanout { shards, .. } => shards.iter().map(String::as_str).collect(),
        };
        let weight = 1.0 / services.len().max(1) as f64;
        let part = |service: &str| AskedPart { shard: self.engine_ids.shard(service), weight, effort: None };
        let parts: Vec<AskedPart> = services.into_iter().map(part).collect();
        let asker = AskerId(self.next_request_id);
        self.next_request_id += 1;
        let asked = Asked {
            id: attempt.clone(),
            use_case: pinned.use_case(index),
            key: None,
            wait,
            repeat: false,
            text: String::new(),
            parts,
            second: None,
        };
        let client_end = now + wait;
        let count = asked.parts.len();
        let mut ask = PendingRequest::new(berth, pinned, index, attempt, client_end, request, count);
        let Some(engine) = &mut self.engine else { return };
        ask.multiget = engine.take(now, asker, client_end, asked);
        self.request_by_multiget.insert(ask.multiget, asker);
        self.requests.insert(asker, ask);
        if let Some(client) = self.clients.get_mut(berth) {
            client.pending = Some(asker);
        }
    }

    /// The service that a request goes to where several share a route, by their weights.
    fn pick_weighted_service<'a>(&mut self, shares: &'a [(String, f64)]) -> &'a str {
        let all: f64 = shares.iter().map(|(_, weight)| weight.max(0.0)).sum();
        let mut at = self.rng.share() * all;
        let drawn = shares.iter().find(|(_, weight)| {
            at -= weight.max(0.0);
            at < 0.0 && *weight > 0.0
        });
        drawn.or(shares.iter().rfind(|(_, weight)| *weight > 0.0)).map_or("", |(name, _)| name)
    }

    /// Whether a request that the module breaks off never went out, and never will. Guards against a 502 or 504 where
    /// nothing can have run, and against a promise where something may: only a connection that never came up counts
    /// as one on which nothing was sent, and it is closed before the promise is made.
    fn withdraw_unsent<P: Network>(
        &mut self,
        now: Nanos,
        asker: AskerId,
        verdict: &Verdict,
        ports: &mut P,
    ) -> bool {
        let Some(ask) = self.requests.get(&asker).filter(|_| *verdict == Verdict::BrokenOff) else {
            return false;
        };
        let planted = self.seeded_bug == Some(SeededBug::RejectAfterClose);
        let never_up = |berth: &ConnectionId| ports.is_opening(*berth) || planted && !ports.is_open(*berth);
        if ask.was_sent || !ask.opening_connections.iter().all(never_up) {
            return false;
        }
        let opening = ask.opening_connections.clone();
        self.abandon_unopened(now, opening, ports);
        true
    }

    pub(super) fn complete_request<P: Network>(
        &mut self,
        now: Nanos,
        asker: AskerId,
        verdict: Verdict,
        ports: &mut P,
    ) {
        let never_sent = self.withdraw_unsent(now, asker, &verdict, ports);
        let Some(ask) = self.requests.remove(&asker) else { return };
        self.request_by_multiget.remove(&ask.multiget);
        let berth = ask.client;
        let Some(client) = self.clients.get_mut(berth) else { return };
        let keep = client.keep_alive && !client.is_http_1_0 && self.stop_requested_at.is_none();
        (client.pending, client.waiting_since, client.expects_no_body) = (None, now, false);
        let verdict = match (verdict, self.seeded_bug) {
            (Verdict::BrokenOff, Some(SeededBug::RejectAfterAttempt)) => Verdict::Dismissed { wait: None },
            (Verdict::BrokenOff, _) if never_sent => Verdict::Dismissed { wait: None },
            (verdict, _) => verdict,
        };
        let mut merged = Vec::new();
        let late = if now + Nanos::from_millis(LOOP_GRANULARITY_MS) >= ask.deadline { 504 } else { 502 };
        let answer = match verdict {
            Verdict::Settled { .. } => {
                ask.merged_response(&mut merged).unwrap_or_else(|| ask.error_response(502))
            }
            Verdict::Dismissed { wait } => {
                let wait = wait.unwrap_or(Nanos::from_millis(LOOP_GRANULARITY_MS)).as_millis() / 1e3;
                let headers =
                    vec![(wire::ATTEMPT_ID, ask.attempt_id.clone()), ("Retry-After", format!("{wait:.3}"))];
                FinalResponse { status: 503, headers, body: b"", content_length: None }
            }
            Verdict::BrokenOff => ask.error_response(late),
        };
        let idle_ms = ask.config.config.limits.idle_ms;
        let idle_s = (idle_ms / 1000).saturating_sub(1);
        client.extend_idle_timeout(Nanos::from_millis(idle_ms as f64), idle_s > 0);
        if let Some(out) = ports.output(berth) {
            answer.write(out, keep, idle_s);
        }
        if keep {
            self.read_client(now, berth, ports);
        } else {
            self.clients.remove(berth);
            ports.close_after_flush(berth);
        }
    }
}

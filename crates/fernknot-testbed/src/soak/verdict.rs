//! Verdict on a soak: what clients, nodes and the operator saw, compared with the rules.

use crate::checker::{Expectations, check};
use crate::config_draft::{ConfigDraft, SINGLE_SERVICE};
use crate::execution_log::ExecutionLog;
use crate::load_balancer::GatewayAddrs;
use crate::requests::{AttemptOutcome, Request};
use crate::soak::changes::ChangeLog;
use crate::soak::history::History;
use crate::soak::lag::Lag;
use crate::soak::observers::Sighting;
use fernknot::interface::Nanos;
use fernknot_simulator::linearizability::Version;
use fernknot_simulator::time::millis;
use fernknot_simulator::{RouteObservation, SentVersion, VersionBounds, check_route_versions};
use std::time::{Duration, Instant};

/// Time bounds in the processes' settings.
const APPLY_DEADLINE: Nanos = millis(3000);
const REVERT_SLACK: Nanos = millis(250);
const DRAIN_CUTOFF: Duration = Duration::from_secs(3);

/// Result of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Broken rules, each with the rule's name and what was seen.
    pub violations: Vec<String>,
    /// Number of requests of clients and observers.
    pub requests: usize,
    /// Number of clients' requests that were served.
    pub served: usize,
    /// Number of acknowledged changes.
    pub changes: usize,
    /// Number of responses that showed whether a gateway has a route, and how many of them by a gateway in contact.
    pub sightings: (usize, usize),
    /// Number of faults.
    pub faults: usize,
    /// Longest delays on the machine, as signs of overload.
    pub lag: Lag,
    /// Last log lines of all processes, each after the process's name; empty if no rule is broken.
    pub logs: Vec<String>,
}

/// What was seen in a soak.
pub(crate) struct Evidence {
    pub requests: Vec<Request>,
    pub sightings: Vec<Sighting>,
    pub changes: ChangeLog,
    pub history: History,
    pub gateways: Vec<GatewayAddrs>,
    pub draft: ConfigDraft,
    pub errors: Vec<String>,
    pub faults: usize,
    pub served: usize,
}

impl Evidence {
    /// Judges the soak.
    pub fn judge(mut self, executions: &ExecutionLog) -> SoakReport {
        self.mark_cut_off_attempts();
        let mut violations = std::mem::take(&mut self.errors);
        violations.append(&mut self.changes.errors);
        violations.extend(self.wrong_responses(executions));
        violations.extend(self.rejected_requests());
        violations.extend(self.drained_nodes(executions));
        let observations = self.observations();
        violations.extend(self.old_versions(&observations));
        let in_contact = observations.iter().filter(|observation| observation.is_in_contact).count();
        let acknowledged = self.changes.changes.iter().filter(|change| change.acknowledged_at.is_some());
        SoakReport {
            violations,
            requests: self.requests.len(),
            served: self.served,
            changes: acknowledged.count(),
            sightings: (observations.len(), in_contact),
            faults: self.faults,
            lag: Lag::default(),
            logs: Vec::new(),
        }
    }

    fn mark_cut_off_attempts(&mut self) {
        for attempt in self.requests.iter_mut().flat_map(|request| &mut request.attempts) {
            let Some(timing) = attempt.timing else { continue };
            let gateway = self.gateways.iter().position(|addrs| addrs.front == timing.gateway);
            attempt.may_be_cut_off = gateway.is_some_and(|gateway| {
                self.history.may_lose_response(gateway, timing.sent_at, timing.ended_at)
            });
        }
    }

    fn wrong_responses(&self, executions: &ExecutionLog) -> Vec<String> {
        let expectations = Expectations {
            shard_sets: vec![self.draft.fanout_services()],
            top_k: self.draft.top_k,
            quorum: self.draft.quorum,
            single_service: SINGLE_SERVICE.into(),
        };
        let found = check(&self.requests, executions, &expectations);
        found.into_iter().map(|violation| format!("{}: {}", violation.rule, violation.detail)).collect()
    }

    /// Reports 4xx on routes that every version has.
    fn rejected_requests(&self) -> Vec<String> {
        let mut found = Vec::new();
        for request in
            self.requests.iter().filter(|request| request.target.starts_with(request.kind.prefix()))
        {
            for attempt in &request.attempts {
                let AttemptOutcome::Response(response) = &attempt.outcome else { continue };
                if matches!(response.status, 400..500) && !matches!(response.status, 408 | 421 | 429) {
                    let gateway = attempt.timing.map(|timing| timing.gateway);
                    let (id, status) = (&attempt.id, response.status);
                    found.push(format!("DENIED: {:?} {id}: {status} by {gateway:?}", request.kind));
                }
            }
        }
        found
    }

    /// Reports requests that gateways in contact sent to a node later than the drain cutoff.
    fn drained_nodes(&self, executions: &ExecutionLog) -> Vec<String> {
        let mut found = Vec::new();
        for attempt in self.requests.iter().flat_map(|request| &request.attempts) {
            let Some(timing) = attempt.timing else { continue };
            let gateway = self.gateways.iter().position(|addrs| addrs.front == timing.gateway);
            let is_in_contact = gateway.is_some_and(|gateway| {
                self.history.is_in_contact(gateway, timing.sent_at)
                    && self.history.is_in_contact(gateway, timing.ended_at)
            });
            let late = executions.executions.get(&attempt.id).into_iter().flatten();
            let late = late.filter_map(|execution| execution.since_drain);
            let late = late.filter(|since_drain| is_in_contact && *since_drain > DRAIN_CUTOFF);
            found.extend(late.map(|since_drain| {
                format!("DRAIN: {} reached a node {since_drain:.1?} after its drain", attempt.id)
            }));
        }
        found
    }

    fn observations(&self) -> Vec<RouteObservation> {
        let to_observation = |sighting: &Sighting| {
            let Sighting { gateway, slot, sent_at, ended_at, has_route } = *sighting;
            let incarnation = self.history.incarnation(gateway, sent_at);
            let is_in_contact = incarnation == self.history.incarnation(gateway, ended_at)
                && self.history.is_in_contact(gateway, sent_at)
                && self.history.is_in_contact(gateway, ended_at);
            let (sent_at, observed_at) = (self.time(sent_at), self.time(ended_at));
            RouteObservation { gateway, incarnation, slot, sent_at, observed_at, is_in_contact, has_route }
        };
        self.sightings.iter().map(to_observation).collect()
    }

    fn old_versions(&self, observations: &[RouteObservation]) -> Vec<String> {
        let to_version = |change: &crate::soak::changes::SentChange| SentVersion {
            version: Version { epoch: change.epoch, body: change.number },
            sent_at: self.time(change.sent_at),
            acknowledged_at: change.acknowledged_at.map(|at| self.time(at)),
        };
        let versions: Vec<SentVersion> = self.changes.changes.iter().map(to_version).collect();
        let bounds = VersionBounds { apply_deadline: APPLY_DEADLINE, revert_slack: REVERT_SLACK };
        let found = check_route_versions(observations, &versions, &bounds);
        found.into_iter().map(|violation| format!("{}: {}", violation.rule, violation.text)).collect()
    }

    /// Returns the time since the first change was acknowledged.
    fn time(&self, at: Instant) -> Nanos {
        let origin = self.changes.changes.first().map_or(at, |change| change.sent_at);
        Nanos(at.saturating_duration_since(origin).as_nanos() as u64)
    }
}

//! Checks of drains and configuration versions by means of requests.

use crate::checks::requests::RequestEvent;
use crate::checks::route_versions::{RouteObservation, SentVersion, VersionBounds, check_route_versions};
use crate::checks::rule::Rule;
use crate::checks::sent_request::RequestKind;
use crate::linearizability::Version;
use crate::simulation::Simulation;
use crate::time::millis;
use crate::topology::FIRST_GATEWAY;
use crate::wire::Message;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Time after the first observation of a version at a gateway for which requests may still be sent that the gateway
/// routes by an older version.
const REVERT_SLACK: Nanos = millis(1000);

impl Simulation {
    /// Checks the requests of the complete run.
    pub(crate) fn check_requests(&mut self) {
        self.check_changing_routes();
        for broken in self.traffic.checker.check_complete_run() {
            self.report_broken_rule(Some(broken));
        }
    }

    fn check_changing_routes(&mut self) {
        let acknowledged: BTreeMap<Version, Nanos> = self.observations.acknowledged.iter().copied().collect();
        let changes = self.observations.changes.iter().filter(|change| !change.is_rejected());
        let versions: Vec<SentVersion> = changes
            .map(|change| SentVersion {
                version: change.version,
                sent_at: change.sent_at,
                acknowledged_at: acknowledged.get(&change.version).copied(),
            })
            .collect();
        let bounds =
            VersionBounds { apply_deadline: self.settings.bounds.apply_deadline, revert_slack: REVERT_SLACK };
        let violations = check_route_versions(&self.traffic.checker.route_observations, &versions, &bounds);
        for violation in violations {
            self.trace(|| {
                let (at_ms, rule, text) = (violation.at.as_millis(), violation.rule, &violation.text);
                format!("FOUND at {at_ms:.3} {rule}: {text}")
            });
            self.observations.add_violation(violation);
        }
    }

    /// Records how a gateway handled a request on a route that comes and goes.
    pub(super) fn observe_changing_route(&mut self, request: usize, has_route: bool) {
        let sent = &self.traffic.checker.requests[request].sent;
        let RequestKind::ChangingRoute(slot) = sent.kind else { return };
        let (gateway, incarnation) = (sent.gateway, sent.incarnation);
        let is_same_incarnation = self.gateways.processes[gateway].incarnation == incarnation;
        let observation = RouteObservation {
            gateway,
            incarnation,
            slot,
            sent_at: sent.sent_at,
            observed_at: self.now,
            is_in_contact: sent.is_gateway_in_contact
                && is_same_incarnation
                && self.is_gateway_in_contact(gateway),
            has_route,
        };
        self.traffic.checker.route_observations.push(observation);
        self.traffic.checker.count(RequestEvent::ChangingRouteSeen);
    }

    /// Reports a gateway in contact that has no route of the newest version after the apply deadline.
    pub(super) fn check_route(&mut self, request: usize, status: u16) {
        if status == 404 {
            self.observe_changing_route(request, false);
        }
        let sent = &self.traffic.checker.requests[request].sent;
        let (RequestKind::Probe(body), 404, true) = (sent.kind, status, sent.is_gateway_in_contact) else {
            return;
        };
        let due = self.due_version(sent.sent_at).filter(|version| version.body == body);
        // A newer version that was sent in the meantime may be in force already.
        let is_newest = |version: &Version| {
            self.observations.changes.iter().all(|change| change.version.epoch <= version.epoch)
        };
        if let Some(version) = due.filter(is_newest) {
            let text =
                format!("gateway {} has no route of {version:?} for {}", sent.gateway, sent.attempt_id);
            self.report(Rule::Config, text);
        }
    }

    /// Returns the newest version that gateways in contact must apply to requests sent at this time.
    fn due_version(&self, sent_at: Nanos) -> Option<Version> {
        let apply_deadline = self.settings.bounds.apply_deadline;
        let acknowledged = self.observations.acknowledged.iter();
        let due = acknowledged.filter(|(_, acknowledged_at)| sent_at > *acknowledged_at + apply_deadline);
        due.map(|(version, _)| *version).max()
    }

    /// Reports a gateway in contact that sends a request to a node after the drain cutoff.
    pub(super) fn check_drain(&mut self, gateway: usize, incarnation: &str) {
        let drain_cutoff = self.settings.bounds.drain_cutoff;
        let late = self
            .observations
            .drains
            .iter()
            .find(|drain| drain.node == incarnation && self.now - drain.acknowledged_at > drain_cutoff);
        let Some(drain) = late.filter(|_| self.is_gateway_in_contact(gateway)) else { return };
        let late_ms = (self.now - drain.acknowledged_at).as_millis();
        let text = format!("gateway {gateway} sends to {incarnation} {late_ms:.0} ms after its drain");
        self.report(Rule::Drain, text);
    }

    /// Checks the version by which an executed request was routed, if its route exists in one version only.
    pub(super) fn check_version(&mut self, message: &Message) {
        let Some(request) = self.traffic.checker.find_request(message) else { return };
        let sent = self.traffic.checker.requests[request].sent.clone();
        self.observe_changing_route(request, true);
        let RequestKind::Probe(body) = sent.kind else { return };
        let Some(change) = self.observations.changes.get(body as usize).copied() else { return };
        let (version, gateway) = (change.version, sent.gateway);
        if change.is_rejected() {
            let text = format!("gateway {gateway} serves {version:?}, which was rejected");
            self.report(Rule::Config, text);
        }
        let seen_at = self.next_sequence();
        self.observations.record_observed_version(version, seen_at);
        self.traffic.checker.count(RequestEvent::VersionSeen);
        let broken = self.traffic.checker.record_version(self.now, request, version.epoch, REVERT_SLACK);
        self.report_broken_rule(broken);
        let due = self.due_version(sent.sent_at).filter(|due| due.epoch > version.epoch);
        if let Some(due) = due.filter(|_| sent.is_gateway_in_contact) {
            let position = FIRST_GATEWAY + gateway;
            self.report(Rule::Config, format!("{position} serves {version:?} although {due:?} is due"));
        }
    }
}

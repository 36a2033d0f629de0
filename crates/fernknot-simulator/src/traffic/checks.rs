//! What requests show of drains and versions.

use crate::checks::requests::RequestEvent;
use crate::checks::rule::Rule;
use crate::checks::sent_request::RequestKind;
use crate::linearizability::Version;
use crate::simulation::Simulation;
use crate::time::millis;
use crate::topology::FIRST_GATEWAY;
use crate::wire::Message;
use fernknot::interface::Nanos;

/// Requests that a gateway may still have under way when it has shown a newer version were sent within this.
const REVERT_SLACK: Nanos = millis(1000);

impl Simulation {
    /// Judges the requests of the whole run.
    pub(crate) fn check_requests(&mut self) {
        for broken in self.traffic.checker.check_totals() {
            self.report_broken_rule(Some(broken));
        }
    }

    /// A gateway in touch has the route of the newest version, once it must serve that.
    pub(super) fn check_route(&mut self, request: usize, status: u16) {
        let sent = &self.traffic.checker.requests[request].sent;
        let (RequestKind::Probe(body), 404, true) = (sent.kind, status, sent.is_gateway_in_touch) else {
            return;
        };
        let due = self.due_version(sent.sent_at).filter(|version| version.body == body);
        // Another version, sent by now, may be in force.
        let is_newest = |version: &Version| {
            self.observations.changes.iter().all(|change| change.version.epoch <= version.epoch)
        };
        if let Some(version) = due.filter(is_newest) {
            let text =
                format!("gateway {} has no route of {version:?} for {}", sent.gateway, sent.attempt_id);
            self.report(Rule::Config, text);
        }
    }

    /// The newest version that all in touch must serve for what is sent at this moment.
    fn due_version(&self, sent_at: Nanos) -> Option<Version> {
        let apply_deadline = self.settings.bounds.apply_deadline;
        let acknowledged = self.observations.acknowledged.iter();
        let due = acknowledged.filter(|(_, acknowledged_at)| sent_at > *acknowledged_at + apply_deadline);
        due.map(|(version, _)| *version).max()
    }

    /// A node whose drain was acknowledged gets nothing more from gateways in touch.
    pub(super) fn check_drain(&mut self, gateway: usize, incarnation: &str) {
        let drain_cutoff = self.settings.bounds.drain_cutoff;
        let late = self
            .observations
            .drains
            .iter()
            .find(|drain| drain.node == incarnation && self.now - drain.acknowledged_at > drain_cutoff);
        let Some(drain) = late.filter(|_| self.is_gateway_in_touch(gateway)) else { return };
        let late_ms = (self.now - drain.acknowledged_at).as_millis();
        let text = format!("gateway {gateway} sends to {incarnation} {late_ms:.0} ms after its drain");
        self.report(Rule::Drain, text);
    }

    /// An execution on a route that one version alone has shows that this version is in force.
    pub(super) fn check_version(&mut self, message: &Message) {
        let Some(request) = self.traffic.checker.find_request(message) else { return };
        let sent = self.traffic.checker.requests[request].sent.clone();
        let RequestKind::Probe(body) = sent.kind else { return };
        let Some(change) = self.observations.changes.get(body as usize).copied() else { return };
        let (version, gateway) = (change.version, sent.gateway);
        if change.is_rejected() {
            let text = format!("gateway {gateway} serves {version:?}, which was rejected");
            self.report(Rule::Config, text);
        }
        let seen_at = self.next_sequence();
        self.observations.record_sighting(version, seen_at);
        self.traffic.checker.count(RequestEvent::VersionSeen);
        let broken = self.traffic.checker.record_version(self.now, request, version.epoch, REVERT_SLACK);
        self.report_broken_rule(broken);
        let due = self.due_version(sent.sent_at).filter(|due| due.epoch > version.epoch);
        if let Some(due) = due.filter(|_| sent.is_gateway_in_touch) {
            let position = FIRST_GATEWAY + gateway;
            self.report(Rule::Config, format!("{position} serves {version:?} although {due:?} is due"));
        }
    }
}

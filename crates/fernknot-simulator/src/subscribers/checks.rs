//! Checks that subscribers in contact know acknowledged drains and versions in time.

use crate::checks::rule::Rule;
use crate::simulation::Simulation;
use crate::subscribers::state::Subscriber;
use crate::time::millis;
use crate::topology::FIRST_SUBSCRIBER;
use fernknot::interface::Nanos;
use fernknot_registry::NodeState;

/// Time after the drain cutoff for which an acknowledged drain is still checked.
const DRAIN_RECORD_RETENTION: Nanos = millis(20_000);

impl Simulation {
    pub(crate) fn check_subscribers(&mut self) {
        self.extend_allowed_outage();
        let (now, drain_cutoff) = (self.now, self.settings.bounds.drain_cutoff);
        self.observations
            .drains
            .retain(|drain| now - drain.acknowledged_at < drain_cutoff + DRAIN_RECORD_RETENTION);
        for index in 0..self.subscribers.count() {
            let subscriber = &self.subscribers.list[index];
            if !self.is_in_contact(FIRST_SUBSCRIBER + index, subscriber.disturbed_at) {
                continue;
            }
            let missed_drain = self.missed_drain(index, subscriber);
            let missed_version = self.missed_version(index, subscriber);
            if let Some(text) = missed_drain {
                self.report(Rule::Drain, text);
            }
            if let Some(text) = missed_version {
                self.report(Rule::Apply, text);
            }
        }
    }

    /// Describes a node that the subscriber still considers ready after the drain cutoff.
    fn missed_drain(&self, index: usize, subscriber: &Subscriber) -> Option<String> {
        let is_considered_ready =
            |node: &str| subscriber.nodes.get(node).is_some_and(|record| record.state == NodeState::Ready);
        let drain_cutoff = self.settings.bounds.drain_cutoff;
        let drain = self.observations.drains.iter().find(|drain| {
            is_considered_ready(&drain.node) && self.now - drain.acknowledged_at > drain_cutoff
        })?;
        let late_ms = (self.now - drain.acknowledged_at).as_millis();
        let (node, machine) = (&drain.node, drain.machine);
        Some(format!(
            "subscriber {index} takes {node} for ready {late_ms:.0} ms after {machine} acknowledged its drain"
        ))
    }

    /// Describes the newest version that the subscriber lacks after the apply deadline.
    fn missed_version(&self, index: usize, subscriber: &Subscriber) -> Option<String> {
        let epoch = subscriber.version.map_or(0, |version| version.epoch);
        let apply_deadline = self.settings.bounds.apply_deadline;
        let acknowledged = self.observations.acknowledged.iter();
        let missed = acknowledged.filter(|(version, acknowledged_at)| {
            version.epoch > epoch && self.now - *acknowledged_at > apply_deadline
        });
        let (version, acknowledged_at) = missed.max()?;
        let late_ms = (self.now - *acknowledged_at).as_millis();
        Some(format!(
            "subscriber {index} holds version {epoch}, {late_ms:.0} ms after {version:?} was acknowledged"
        ))
    }
}

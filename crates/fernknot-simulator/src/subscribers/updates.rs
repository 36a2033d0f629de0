//! Messages of controllers to subscribers, and their handling.

use crate::checks::rule::Rule;
use crate::linearizability::Version;
use crate::settings::SeededBug;
use crate::simulation::Simulation;
use crate::subscribers::state::SubscriberEvent;
use crate::time::millis;
use crate::topology::FIRST_SUBSCRIBER;
use fernknot::interface::Nanos;
use fernknot_controller::SubscriberId;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::RoutingConfig;
use std::collections::BTreeMap;

/// Delay after which the seeded bug `ReplaysOldConfig` sends an older configuration again.
const REPLAY_DELAY: Nanos = millis(100);

/// Returns the version of a configuration; `None` if no operator sent it.
fn version_of(config: &RoutingConfig) -> Option<Version> {
    let path = &config.routes.first()?.path_prefix;
    Some(Version { epoch: config.epoch, body: path.trim_matches('/').parse().ok()? })
}

/// Merges an update of a node as a gateway does: a draining or gone node never becomes ready again.
fn apply_update(nodes: &mut BTreeMap<String, NodeRecord>, update: NodeRecord) {
    let Some(known) = nodes.get_mut(&update.id) else {
        nodes.insert(update.id.clone(), update);
        return;
    };
    let is_leaving = matches!(known.state, NodeState::Draining | NodeState::Gone);
    let is_newer = !is_leaving && update.sequence >= known.sequence;
    if is_newer || update.state == NodeState::Gone {
        *known = update;
    } else if update.state == NodeState::Draining {
        known.state = update.state;
    }
}

impl Simulation {
    /// Sends a message of a controller to one of its subscribers.
    pub(crate) fn notify_subscriber(
        &mut self,
        controller: usize,
        incarnation: u64,
        to: SubscriberId,
        message: &ControllerToGateway,
    ) {
        let mut subscribers = self.subscribers.list.iter();
        let addressed = subscribers.position(|subscriber| {
            subscriber.has_subscription(to.0) && subscriber.incarnation == incarnation
        });
        let Some(index) = addressed else { return };
        let delay = self.sample_delay(controller, index);
        let is_partitioned = self.network.is_partitioned(controller, FIRST_SUBSCRIBER + index);
        let subscriber = &mut self.subscribers.list[index];
        subscriber.is_broken |= is_partitioned;
        if subscriber.is_broken {
            return;
        }
        subscriber.last_arrival = subscriber.last_arrival.max(self.now + delay);
        let delay = subscriber.last_arrival - self.now;
        if self.settings.has_bug(SeededBug::ReplaysOldConfig) {
            self.replay_old_config(index, to.0, delay, message);
        }
        self.send_to_subscriber(index, to.0, delay, message.clone());
    }

    fn send_to_subscriber(
        &mut self,
        subscriber: usize,
        subscription: u64,
        delay: Nanos,
        message: ControllerToGateway,
    ) {
        self.schedule_subscriber(delay, SubscriberEvent::Message { subscriber, subscription, message });
    }

    /// Implements the seeded bug `ReplaysOldConfig`: sends the previous configuration again with the next revision.
    fn replay_old_config(
        &mut self,
        index: usize,
        subscription: u64,
        delay: Nanos,
        message: &ControllerToGateway,
    ) {
        let ControllerToGateway::Config { revision, config } = message else { return };
        let subscriber = &mut self.subscribers.list[index];
        if let Some(older) = subscriber.previous_config.replace(config.clone()) {
            let replayed = ControllerToGateway::Config { revision: revision + 1, config: older };
            self.send_to_subscriber(index, subscription, delay + REPLAY_DELAY, replayed);
        }
    }

    pub(super) fn subscriber_receives(&mut self, index: usize, message: ControllerToGateway) {
        let subscriber = &mut self.subscribers.list[index];
        subscriber.last_received = self.now;
        subscriber.has_received = true;
        match message {
            ControllerToGateway::Config { revision, config } => {
                self.subscriber_receives_config(index, revision, &config);
            }
            ControllerToGateway::NodeUpdates(updates) => self.subscriber_receives_nodes(index, updates),
            ControllerToGateway::Heartbeat { holds_lease: true, .. } => subscriber.last_lease = self.now,
            _ => {}
        }
    }

    fn subscriber_receives_config(&mut self, index: usize, revision: u64, config: &RoutingConfig) {
        let subscriber = &mut self.subscribers.list[index];
        if revision <= subscriber.revision {
            return;
        }
        let Some(version) = version_of(config) else {
            let text = format!("subscriber {index} receives a configuration that nobody sent");
            return self.report(Rule::Config, text);
        };
        let before = subscriber.version.replace(version);
        subscriber.revision = revision;
        let seen_at = self.next_sequence();
        self.observations.record_observed_version(version, seen_at);
        self.trace(|| format!("subscriber {index} holds revision {revision}, {version:?}"));
        let is_reverted = |before: Version| before.epoch >= version.epoch && before != version;
        if before.is_some_and(is_reverted) {
            self.report(Rule::Config, format!("subscriber {index} goes back from {before:?} to {version:?}"));
        }
        let agreed = *self.observations.versions_by_revision.entry(revision).or_insert(version);
        if agreed != version {
            self.report(Rule::Config, format!("revision {revision} is {agreed:?} and {version:?}"));
        }
    }

    fn subscriber_receives_nodes(&mut self, index: usize, updates: Vec<NodeRecord>) {
        self.trace(|| {
            let updates = updates.iter();
            let updates = updates.map(|node| format!("{} {:?} {}", node.id, node.state, node.sequence));
            format!("subscriber {index} hears of {}", updates.collect::<Vec<_>>().join(", "))
        });
        let nodes = &mut self.subscribers.list[index].nodes;
        for update in updates {
            apply_update(nodes, update);
        }
    }
}

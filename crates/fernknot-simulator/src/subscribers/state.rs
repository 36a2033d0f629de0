//! State of subscribers.

use crate::linearizability::Version;
use crate::settings::Settings;
use crate::topology::FIRST_SUBSCRIBER;
use fernknot::interface::Nanos;
use fernknot_registry::NodeRecord;
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::RoutingConfig;
use std::collections::BTreeMap;

/// A subscriber, its subscription to one controller, and the configuration and nodes that it has received.
#[derive(Default)]
pub(crate) struct Subscriber {
    /// Id of the current subscription; `None` while there is no controller.
    pub subscription: Option<u64>,
    /// Index of the machine on which the current or last controller runs.
    pub controller: usize,
    /// Incarnation of the controller; 0 until the subscription has arrived there.
    pub incarnation: u64,
    /// Whether the connection no longer delivers messages. It ends once that is detected.
    pub is_broken: bool,
    /// Whether the controller has sent a message on this subscription.
    pub has_received: bool,
    /// Time at which the last sent message arrives, which may lie in the future. No later message arrives before it.
    pub last_arrival: Nanos,
    pub last_received: Nanos,
    /// Time at which the subscription began, or at which the last heartbeat arrived in which the controller reported
    /// the lease: that it is in contact with a majority of its view.
    pub last_lease: Nanos,
    pub revision: u64,
    pub version: Option<Version>,
    pub nodes: BTreeMap<String, NodeRecord>,
    /// Time of the last event that may interrupt the subscriber's contact with the controllers, such as a partition.
    pub disturbed_at: Nanos,
    /// Time at which the subscriber last left each controller or failed to connect to it.
    pub last_failures: BTreeMap<usize, Nanos>,
    /// Previous configuration, for the seeded bug `ReplaysOldConfig`.
    pub previous_config: Option<RoutingConfig>,
}

impl Subscriber {
    /// Returns whether this is the current subscription.
    pub fn has_subscription(&self, subscription: u64) -> bool {
        self.subscription == Some(subscription)
    }
}

/// Scheduled event of a subscriber. Events of a subscription that is no longer the subscriber's current one are
/// ignored.
#[derive(Clone, Debug)]
pub(crate) enum SubscriberEvent {
    /// The connection for a subscription is open.
    Connected {
        subscriber: usize,
        subscription: u64,
    },
    Message {
        subscriber: usize,
        subscription: u64,
        message: ControllerToGateway,
    },
    Disconnected {
        subscriber: usize,
        subscription: u64,
    },
    CheckController {
        subscriber: usize,
    },
}

/// Subscribers of the run.
pub(crate) struct Subscribers {
    pub list: Vec<Subscriber>,
}

impl Subscribers {
    pub fn new(settings: &Settings) -> Subscribers {
        Subscribers { list: (0..settings.subscribers).map(|_| Subscriber::default()).collect() }
    }

    pub fn mark_disturbed(&mut self, position: usize, now: Nanos) {
        let subscriber = position.checked_sub(FIRST_SUBSCRIBER).and_then(|index| self.list.get_mut(index));
        if let Some(subscriber) = subscriber {
            subscriber.disturbed_at = now;
        }
    }

    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Returns the version of each subscriber.
    pub fn versions(&self) -> Vec<Option<Version>> {
        self.list.iter().map(|subscriber| subscriber.version).collect()
    }
}

//! What a subscriber holds.

use crate::linearizability::Version;
use crate::settings::Settings;
use crate::topology::FIRST_SUBSCRIBER;
use fernknot::interface::Nanos;
use fernknot_registry::NodeRecord;
use fernknot_rpc::ControllerToGateway;
use fernknot_schema::RoutingConfig;
use std::collections::BTreeMap;

/// One subscriber.
#[derive(Default)]
pub(crate) struct Subscriber {
    /// The id of its subscription; none while it has no controller.
    pub subscription: Option<u64>,
    /// The controller's machine.
    pub controller: usize,
    /// The controller's incarnation; 0 until the subscription has arrived there.
    pub incarnation: u64,
    /// Something was lost on the connection: it ends once that is noticed.
    pub is_broken: bool,
    /// The controller has sent something.
    pub has_received: bool,
    /// When the last message that was sent to it arrives.
    pub last_arrival: Nanos,
    pub last_received: Nanos,
    /// When the controller last said that it hears a majority.
    pub last_lease: Nanos,
    pub revision: u64,
    pub version: Option<Version>,
    pub nodes: BTreeMap<String, NodeRecord>,
    /// The last moment of anything that puts it out of touch.
    pub disturbed_at: Nanos,
    /// When each controller failed it last.
    pub last_failures: BTreeMap<usize, Nanos>,
    /// The configuration before, for a seeded bug.
    pub previous_config: Option<RoutingConfig>,
}

impl Subscriber {
    /// Whether this is the subscription that it has now.
    pub fn has_subscription(&self, subscription: u64) -> bool {
        self.subscription == Some(subscription)
    }
}

/// What subscribers do next.
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

/// All subscribers.
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

    /// The version that each of them holds.
    pub fn versions(&self) -> Vec<Option<Version>> {
        self.list.iter().map(|subscriber| subscriber.version).collect()
    }
}

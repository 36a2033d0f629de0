//! Topics that gateways subscribe to, and the groups of topics that share a relay.

use fernknot_ownership::key_hash;
use std::sync::Arc;

/// Number of gateways of a zone per topic group, that is, per relay.
const GATEWAYS_PER_TOPIC_GROUP: usize = 64;
/// Maximum number of topic groups of a zone.
const MAX_TOPIC_GROUPS: usize = 8;

/// Subject of an update.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Routing configuration and assignments of keys.
    Configuration,
    /// Nodes of a service.
    Service(ServiceName),
}

/// Name of a service, with its hash. Names are ordered by hash first: a gateway compares those of its services for every
/// heartbeat of a source.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceName {
    hash: u64,
    name: Arc<str>,
}

impl ServiceName {
    fn new(name: &str) -> ServiceName {
        ServiceName { hash: key_hash(name), name: name.into() }
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.name
    }
}

impl Topic {
    /// Creates the topic of a service's nodes.
    pub fn service(name: &str) -> Topic {
        Topic::Service(ServiceName::new(name))
    }

    /// Index of the topic's group among `groups` groups.
    pub(crate) fn group(&self, groups: usize) -> usize {
        match self {
            Topic::Configuration => 0,
            Topic::Service(name) => (name.hash >> 32) as usize % groups.max(1),
        }
    }
}

/// Number of topic groups of a zone with this many gateways. A relay for each topic would cost every gateway one
/// heartbeat per topic; therefore topics share relays, and larger zones have more relays.
pub(crate) fn group_count(gateways: usize) -> usize {
    gateways.div_ceil(GATEWAYS_PER_TOPIC_GROUP).clamp(1, MAX_TOPIC_GROUPS)
}

/// Ownership key of a topic group; the key's owner in a zone is the group's relay there. All gateways of a system have
/// to use the same text, also those of different releases, so that they agree on the relay.
pub(crate) fn group_key(group: usize) -> String {
    format!("home {group}")
}

//! Topics that gateways subscribe to, and the groups of topics that share a relay.

use fernknot_ownership::key_hash;
use std::sync::Arc;

/// Gateways of a zone for each topic group, that is, for each relay.
const GATEWAYS_PER_TOPIC_GROUP: usize = 16;
/// Topic groups of a zone at most.
const MAX_TOPIC_GROUPS: usize = 8;

/// What an update is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The routing configuration, and the assignments of keys.
    Configuration,
    /// The nodes of a service.
    Service(Arc<str>),
}

impl Topic {
    /// The topic of a service's nodes.
    pub fn service(name: &str) -> Topic {
        Topic::Service(name.into())
    }

    /// The index of the group that the topic belongs to, among this many.
    pub(crate) fn group(&self, groups: usize) -> usize {
        match self {
            Topic::Configuration => 0,
            Topic::Service(name) => (key_hash(name) >> 32) as usize % groups.max(1),
        }
    }
}

/// How many topic groups a zone of this many gateways has. A relay for each topic would cost every gateway a heartbeat
/// for each; so topics share relays, and larger zones have more of them.
pub(crate) fn group_count(gateways: usize) -> usize {
    gateways.div_ceil(GATEWAYS_PER_TOPIC_GROUP).clamp(1, MAX_TOPIC_GROUPS)
}

/// The ownership key of a topic group: its owner in a zone is the group's relay there. Builds that run side by side
/// have to agree on its spelling.
pub(crate) fn group_key(group: usize) -> String {
    format!("home {group}")
}

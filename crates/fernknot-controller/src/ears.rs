//! The gateways that listen here, and which news each of them wants.

use crate::registrar::SubscriberId;
use fernknot_ownership::GatewayRecord;
use fernknot_registry::NodeRecord;
use fernknot_rpc::Subscription;
use std::collections::{BTreeMap, BTreeSet};

/// One listener.
#[derive(Clone, Debug)]
pub struct Subscriber {
    pub who: GatewayRecord,
    pub ready: bool,
    pub share: Subscription,
    /// The order of the plan that it was told last.
    pub order: u64,
}

impl Subscriber {
    fn wants(&self, service: &str) -> bool {
        match &self.share {
            Subscription::All => true,
            // A life that is known by its end alone has no service: its end is for all.
            Subscription::Services(named) => service.is_empty() || named.iter().any(|name| name == service),
        }
    }

    /// What of these facts is for it.
    pub fn share_of(&self, facts: &[NodeRecord]) -> Vec<NodeRecord> {
        facts.iter().filter(|fact| self.wants(&fact.service)).cloned().collect()
    }

    pub fn wants_all(&self) -> bool {
        matches!(self.share, Subscription::All)
    }
}

/// All listeners by their connections.
#[derive(Debug, Default)]
pub struct Subscribers {
    pub list: BTreeMap<SubscriberId, Subscriber>,
    /// Those that came while no majority was heard: they have not been told the configuration, nor that this is all.
    pub partly: BTreeSet<SubscriberId>,
}

impl Subscribers {
    pub fn all(&self) -> Vec<SubscriberId> {
        self.list.keys().copied().collect()
    }
}

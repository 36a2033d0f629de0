//! The gateways that listen here, and which news each of them wants.

use crate::controller::SubscriberId;
use fernknot_ownership::GatewayRecord;
use fernknot_registry::NodeRecord;
use fernknot_rpc::Subscription;
use std::collections::{BTreeMap, BTreeSet};

/// One listener.
#[derive(Clone, Debug)]
pub struct Subscriber {
    pub gateway: GatewayRecord,
    pub ready: bool,
    pub subscription: Subscription,
    /// The order of the plan that it was told last.
    pub sent_revision: u64,
}

impl Subscriber {
    fn wants_service(&self, service: &str) -> bool {
        match &self.subscription {
            Subscription::All => true,
            // A life that is known by its end alone has no service: its end is for all.
            Subscription::Services(named) => service.is_empty() || named.iter().any(|name| name == service),
        }
    }

    /// What of these facts is for it.
    pub fn select_records(&self, facts: &[NodeRecord]) -> Vec<NodeRecord> {
        facts.iter().filter(|fact| self.wants_service(&fact.service)).cloned().collect()
    }

    pub fn wants_all_services(&self) -> bool {
        matches!(self.subscription, Subscription::All)
    }
}

/// All listeners by their connections.
#[derive(Debug, Default)]
pub struct Subscribers {
    pub by_id: BTreeMap<SubscriberId, Subscriber>,
    /// Those that came while no majority was heard: they have not been told the configuration, nor that this is all.
    pub awaiting_snapshot: BTreeSet<SubscriberId>,
}

impl Subscribers {
    pub fn ids(&self) -> Vec<SubscriberId> {
        self.by_id.keys().copied().collect()
    }
}

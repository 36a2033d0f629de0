//! The gateways that listen here, and which news each of them wants.

use crate::registrar::Ear;
use fernknot_ownership::Gateway;
use fernknot_registry::NodeFact;
use fernknot_rpc::Share;
use std::collections::{BTreeMap, BTreeSet};

/// One listener.
#[derive(Clone, Debug)]
pub struct Listener {
    pub who: Gateway,
    pub ready: bool,
    pub share: Share,
    /// The order of the plan that it was told last.
    pub order: u64,
}

impl Listener {
    fn wants(&self, service: &str) -> bool {
        match &self.share {
            Share::All => true,
            // A life that is known by its end alone has no service: its end is for all.
            Share::Services(named) => service.is_empty() || named.iter().any(|name| name == service),
        }
    }

    /// What of these facts is for it.
    pub fn share_of(&self, facts: &[NodeFact]) -> Vec<NodeFact> {
        facts.iter().filter(|fact| self.wants(&fact.service)).cloned().collect()
    }

    pub fn wants_all(&self) -> bool {
        matches!(self.share, Share::All)
    }
}

/// All listeners by their connections.
#[derive(Debug, Default)]
pub struct Ears {
    pub list: BTreeMap<Ear, Listener>,
    /// Those that came while no majority was heard: they have not been told the configuration, nor that this is all.
    pub partly: BTreeSet<Ear>,
}

impl Ears {
    pub fn all(&self) -> Vec<Ear> {
        self.list.keys().copied().collect()
    }
}

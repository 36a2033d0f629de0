//! What is put on a cluster to be measured.

use crate::config_draft::{ConfigDraft, SINGLE_SERVICE, shard_name};
use crate::load::LoadSettings;
use crate::nodes::NodeSettings;
use crate::requests::RequestKind;
use std::time::Duration;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Gateways.
    Gateways,
    /// Nodes.
    Nodes,
    /// Routes of the configuration.
    Routes,
    /// Changes of the configuration in a minute.
    Changes,
    /// Queries a second at one gateway.
    Queries,
    /// Shards of each query, at 40 queries a second at one gateway.
    Shards,
}

/// One setting of an experiment.
#[derive(Clone, Debug)]
pub struct Workload {
    /// How many gateways.
    pub gateways: usize,
    /// How many zones.
    pub zones: usize,
    /// How many nodes, of all services together.
    pub nodes: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Changes of the configuration in a minute.
    pub changes_per_min: usize,
    /// Queries a second, of all clients together.
    pub queries_per_s: usize,
    /// Shards of each query.
    pub shards: usize,
}

impl Workload {
    /// The workload in which one figure is varied, and the others are as always.
    pub fn varying(dimension: Dimension, count: usize) -> Workload {
        let base = Workload {
            gateways: 4,
            zones: 3,
            nodes: 50,
            routes: 12,
            changes_per_min: 0,
            queries_per_s: 0,
            shards: 4,
        };
        match dimension {
            Dimension::Gateways => Workload { gateways: count, ..base },
            Dimension::Nodes => Workload { nodes: count, ..base },
            Dimension::Routes => Workload { routes: count, changes_per_min: 30, ..base },
            Dimension::Changes => Workload { routes: 100, changes_per_min: count, ..base },
            Dimension::Queries => Workload { gateways: 1, queries_per_s: count, ..base },
            // Two nodes a shard: a shard without any would be waited for.
            Dimension::Shards => {
                let nodes = 2 * (count + 1);
                Workload { gateways: 1, queries_per_s: 40, shards: count, nodes, ..base }
            }
        }
    }

    /// The first configuration. Three of its routes are called.
    pub(super) fn draft(&self) -> ConfigDraft {
        ConfigDraft {
            shards: self.shards,
            filler_routes: self.routes.saturating_sub(3),
            top_k: 200,
            ..ConfigDraft::default()
        }
    }

    /// The node with this number, in the zone that `zone` names: nodes are spread over services in turn.
    pub(super) fn node_settings(&self, number: usize, zone: impl Fn(usize) -> String) -> NodeSettings {
        let services = self.shards + 1;
        let service = match number % services {
            0 => SINGLE_SERVICE.to_string(),
            place => shard_name(place - 1),
        };
        NodeSettings {
            service,
            zone: zone(number / services),
            capacity: 64,
            queue_capacity: 64,
            service_time: Duration::from_millis(5),
            records: 200,
            accepts_requests: self.queries_per_s > 0,
        }
    }

    /// What clients do; none where there are no queries.
    pub(super) fn load_settings(&self) -> Option<LoadSettings> {
        (self.queries_per_s > 0).then(|| LoadSettings {
            clients: (self.queries_per_s / 5).clamp(4, 64),
            requests_per_s: self.queries_per_s as f64,
            mix: vec![RequestKind::Gather],
            deadline: Duration::from_secs(2),
            keeps_responses: false,
        })
    }

    /// How often the configuration changes; none where it does not.
    pub(super) fn change_interval(&self) -> Option<Duration> {
        (self.changes_per_min > 0).then(|| Duration::from_secs_f64(60.0 / self.changes_per_min as f64))
    }
}

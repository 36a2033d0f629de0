//! Workloads of measurements.

use crate::config_draft::{ConfigDraft, SINGLE_SERVICE, shard_name};
use crate::load::LoadSettings;
use crate::nodes::NodeSettings;
use crate::requests::RequestKind;
use std::time::Duration;

/// Parameter that an experiment varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Number of gateways.
    Gateways,
    /// Number of nodes.
    Nodes,
    /// Number of routes of the configuration.
    Routes,
    /// Configuration changes per minute.
    Changes,
    /// Queries per second, in a system with one gateway.
    Queries,
    /// Number of shards of each query, at 40 queries per second and one gateway.
    Shards,
    /// Number of nodes of each of 30 shards, at one query per second and one gateway: the gateway of a large system, which
    /// sees few requests and knows many nodes.
    Replicas,
}

/// Workload of one measurement.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of nodes of all services together.
    pub nodes: usize,
    /// Number of routes of the configuration.
    pub routes: usize,
    /// Configuration changes per minute.
    pub changes_per_min: usize,
    /// Queries per second of all clients together.
    pub queries_per_s: usize,
    /// Number of shards of each query.
    pub shards: usize,
    /// Time that a node takes for a part.
    pub service_time: Duration,
    /// Time from the start of the load to the start of the measurement, so that the cost of starting is not measured.
    pub warm_up: Duration,
    /// Share of a core that a gateway has in the system that the workload stands for; none where it has a whole one.
    pub gateway_core_share: Option<f64>,
    /// Latency target of a query.
    pub latency_target: Duration,
}

/// Shards of the queries of [`Dimension::Replicas`].
const SPARSE_SHARDS: usize = 30;
/// Shards and the single service are spread over this many nodes each in [`Dimension::Shards`]: the response would wait for
/// a shard without nodes.
const NODES_PER_SHARD: usize = 2;

impl Workload {
    /// Returns the base workload with one parameter set to `count`, and with the other parameters that a measurement of
    /// this dimension needs, such as changes or queries.
    pub fn varying(dimension: Dimension, count: usize) -> Workload {
        let base = Workload {
            gateways: 4,
            zones: 3,
            nodes: 50,
            routes: 12,
            changes_per_min: 0,
            queries_per_s: 0,
            shards: 4,
            service_time: Duration::from_millis(5),
            warm_up: Duration::from_secs(2),
            gateway_core_share: None,
            latency_target: Duration::from_millis(150),
        };
        match dimension {
            Dimension::Gateways => Workload { gateways: count, ..base },
            Dimension::Nodes => Workload { nodes: count, ..base },
            Dimension::Routes => Workload { routes: count, changes_per_min: 30, ..base },
            Dimension::Changes => Workload { routes: 100, changes_per_min: count, ..base },
            Dimension::Queries => Workload { gateways: 1, queries_per_s: count, ..base },
            Dimension::Shards => {
                let nodes = NODES_PER_SHARD * (count + 1);
                Workload { gateways: 1, queries_per_s: 40, shards: count, nodes, ..base }
            }
            Dimension::Replicas => Workload {
                gateways: 1,
                zones: 5,
                queries_per_s: 1,
                shards: SPARSE_SHARDS,
                nodes: count * (SPARSE_SHARDS + 1),
                service_time: Duration::from_micros(6_700),
                warm_up: Duration::from_secs(5),
                gateway_core_share: Some(0.04),
                latency_target: Duration::from_millis(60),
                ..base
            },
        }
    }

    /// Returns the processor time that a gateway may use for a query: what its share of a core gives in the time that the
    /// latency target leaves beside the work of the nodes. None where a gateway has a whole core.
    pub fn max_query_cpu(&self) -> Option<Duration> {
        Some(self.latency_target.saturating_sub(self.service_time).mul_f64(self.gateway_core_share?))
    }

    /// Returns the first configuration. All routes but three are filler routes.
    pub(super) fn draft(&self) -> ConfigDraft {
        ConfigDraft {
            shards: self.shards,
            filler_routes: self.routes.saturating_sub(3),
            top_k: 200,
            target_ms: self.latency_target.as_millis() as u64,
            ..ConfigDraft::default()
        }
    }

    /// Returns the settings of the node with this number; `zone` maps a number to a zone. Nodes are spread over services in
    /// turn.
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
            service_time: self.service_time,
            records: 200,
            accepts_requests: self.queries_per_s > 0,
        }
    }

    /// Returns the settings of the clients; none if there are no queries.
    pub(super) fn load_settings(&self) -> Option<LoadSettings> {
        (self.queries_per_s > 0).then(|| LoadSettings {
            clients: (self.queries_per_s / 5).clamp(4, 64),
            requests_per_s: self.queries_per_s as f64,
            request_mix: vec![RequestKind::Gather],
            deadline: Duration::from_secs(2),
            keeps_responses: false,
        })
    }

    /// Returns the time between two configuration changes; none if there are no changes.
    pub(super) fn change_interval(&self) -> Option<Duration> {
        (self.changes_per_min > 0).then(|| Duration::from_secs_f64(60.0 / self.changes_per_min as f64))
    }
}

//! Functions shared by the tests of this package: they build the programs and start a complete system.
#![allow(dead_code)] // each test file uses some of the functions

mod programs;

pub use programs::build_missing_programs;

use fernknot_testbed::checker::Expectations;
use fernknot_testbed::cluster::{Cluster, ClusterSettings, wait_until};
use fernknot_testbed::config_draft::{ConfigDraft, SINGLE_SERVICE};
use fernknot_testbed::load::{Load, LoadSettings};
use fernknot_testbed::load_balancer::LoadBalancer;
use fernknot_testbed::nodes::{NodeSettings, Nodes};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::requests::RequestKind;
use std::time::Duration;

/// Time-out of all awaited conditions.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Three controllers, two ready gateways, two nodes of each service, and the first configuration.
pub struct System {
    pub cluster: Cluster,
    pub nodes: Nodes,
    pub operator: Operator,
    pub load_balancer: LoadBalancer,
    pub draft: ConfigDraft,
}

impl System {
    pub fn start(seed: u64) -> System {
        build_missing_programs();
        let cluster = Cluster::start(ClusterSettings { seed, ..ClusterSettings::default() }).unwrap();
        cluster.await_controllers(WAIT_TIMEOUT).unwrap();
        let nodes = Nodes::new(
            cluster.node_ip(),
            cluster.control_addrs(),
            cluster.settings().heartbeat_interval,
            seed,
        );
        let draft = ConfigDraft::default();
        let services = draft.services();
        for (number, service) in services.iter().flat_map(|service| [service; 2]).enumerate() {
            let settings = NodeSettings {
                service: service.clone(),
                zone: cluster.zone(number),
                capacity: 4,
                queue_capacity: 4,
                service_time: Duration::from_millis(5),
                records: 30,
                accepts_requests: true,
            };
            nodes.start(settings).unwrap();
        }
        wait_until("all nodes registered", WAIT_TIMEOUT, || {
            nodes.heartbeat_counts().acknowledged >= 2 * services.len()
        })
        .unwrap();
        let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
        let outcome = operator.replace(&draft.to_bytes(), 0);
        assert!(matches!(outcome, CallOutcome::Completed { status: 200, .. }), "{outcome:?}");
        cluster.await_gateways(WAIT_TIMEOUT).unwrap();
        let load_balancer = LoadBalancer::new(&cluster.gateway_addrs(), Duration::from_millis(400), seed);
        System { cluster, nodes, operator, load_balancer, draft }
    }

    pub fn start_load(&self, requests_per_s: f64) -> Load {
        let request_mix =
            vec![RequestKind::Gather, RequestKind::Single, RequestKind::Gather, RequestKind::Mutating];
        let deadline = Duration::from_secs(4);
        Load::start(
            &self.load_balancer,
            &LoadSettings { clients: 6, requests_per_s, request_mix, deadline, keeps_responses: true },
        )
    }

    pub fn expectations(&self) -> Expectations {
        let ConfigDraft { top_k, quorum, .. } = self.draft;
        Expectations {
            shard_sets: vec![self.draft.fanout_services()],
            top_k,
            quorum,
            single_service: SINGLE_SERVICE.into(),
        }
    }
}

/// Returns the version in the body of a configuration; none if the body is invalid.
pub fn epoch(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<serde_json::Value>(body).ok()?["epoch"].as_u64()
}

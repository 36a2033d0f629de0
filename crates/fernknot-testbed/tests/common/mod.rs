//! Functions shared by the tests of this package: they build the programs and start a complete system.
#![allow(dead_code)] // each test file uses some of the functions

use fernknot_testbed::checker::Expectations;
use fernknot_testbed::cluster::{Cluster, ClusterSettings, Role, find_program, wait_until};
use fernknot_testbed::config_draft::{ConfigDraft, SINGLE_SERVICE};
use fernknot_testbed::load::{Load, LoadSettings};
use fernknot_testbed::load_balancer::LoadBalancer;
use fernknot_testbed::nodes::{NodeSettings, Nodes};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::requests::RequestKind;
use std::process::Command;
use std::sync::Once;
use std::time::Duration;

/// Time-out of all awaited conditions.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Builds the controller and gateway programs if they are missing in the directories that the cluster searches.
pub fn build_missing_programs() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let roles = [Role::Controller, Role::Gateway];
        if roles.iter().all(|role| find_program(role.program()).is_ok()) {
            return;
        }
        let test_program = std::env::current_exe().unwrap();
        let profile_directory = test_program.ancestors().nth(2).unwrap();
        let profile_name = profile_directory.file_name().unwrap().to_str().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--profile", if profile_name == "debug" { "dev" } else { profile_name }]);
        roles.iter().for_each(|role| _ = build.args(["-p", role.program()]));
        build.env("CARGO_TARGET_DIR", profile_directory.parent().unwrap());
        assert!(build.status().unwrap().success(), "the programs do not build");
    });
}

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

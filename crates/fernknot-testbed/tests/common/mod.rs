//! What the tests of this package share: the programs, and a system that serves.

use fernknot_testbed::checker::{Expectations, Kind};
use fernknot_testbed::load::{Load, LoadBalancer, LoadSettings};
use fernknot_testbed::nodes::{NodeSettings, Nodes};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::paper::ConfigDraft;
use fernknot_testbed::rig::{Cluster, ClusterSettings, Role, find_program, wait_until};
use std::process::Command;
use std::sync::Once;
use std::time::Duration;

/// Nothing that is awaited takes longer, on a machine however busy.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// Builds the programs where they are missing beside this test.
pub fn programs() {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let roles = [Role::Controller, Role::Gateway];
        if roles.iter().all(|role| find_program(role.program()).is_ok()) {
            return;
        }
        let own = std::env::current_exe().unwrap();
        let profile = own.ancestors().nth(2).unwrap();
        let name = profile.file_name().unwrap().to_str().unwrap();
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--profile", if name == "debug" { "dev" } else { name }]);
        roles.iter().for_each(|role| _ = build.args(["-p", role.program()]));
        build.env("CARGO_TARGET_DIR", profile.parent().unwrap());
        assert!(build.status().unwrap().success(), "the programs do not build");
    });
}

/// Three registrars, gateways, nodes and one configuration that is in force at all gateways.
pub struct System {
    pub rig: Cluster,
    pub nodes: Nodes,
    pub operator: Operator,
    pub platform: LoadBalancer,
    pub draft: ConfigDraft,
}

impl System {
    pub fn start(seed: u64) -> System {
        programs();
        let rig = Cluster::start(ClusterSettings { seed, ..ClusterSettings::default() }).unwrap();
        rig.await_controllers(PATIENCE).unwrap();
        let nodes = Nodes::new(rig.node_ip(), rig.control_addrs(), rig.settings().heartbeat_interval, seed);
        let draft = ConfigDraft::default();
        let services: Vec<String> = draft.fanout_services().into_iter().chain(["single".into()]).collect();
        for (number, service) in services.iter().flat_map(|service| [service; 2]).enumerate() {
            let facts = NodeSettings {
                service: service.clone(),
                zone: rig.zone(number),
                capacity: 4,
                queue_capacity: 4,
                service_time: Duration::from_millis(5),
                records_per_part: 30,
                accepts_requests: true,
            };
            nodes.start(facts).unwrap();
        }
        wait_until("all nodes heard", PATIENCE, || nodes.heartbeat_counts().0 >= 2 * services.len()).unwrap();
        let operator = Operator { addrs: rig.control_addrs(), timeout: PATIENCE };
        let end = operator.replace(&draft.to_bytes(), 0);
        assert!(matches!(end, CallOutcome::Completed { status: 200, .. }), "{end:?}");
        rig.await_gateways(PATIENCE).unwrap();
        let platform = LoadBalancer::new(&rig.gateway_addrs(), Duration::from_millis(400), seed);
        System { rig, nodes, operator, platform, draft }
    }

    pub fn load(&self, per_s: f64) -> Load {
        let mix = vec![Kind::Gather, Kind::One, Kind::Gather, Kind::Order];
        let deadline = Duration::from_secs(4);
        Load::start(
            &self.platform,
            &LoadSettings { clients: 6, requests_per_s: per_s, mix, deadline, keeps_responses: true },
        )
    }

    pub fn allowed(&self) -> Expectations {
        let ConfigDraft { top_k, quorum, .. } = self.draft;
        Expectations {
            shard_sets: vec![self.draft.fanout_services()],
            top_k,
            quorum,
            single_service: "single".into(),
        }
    }
}

/// The version that a body tells.
pub fn epoch(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<serde_json::Value>(body).ok()?["epoch"].as_u64()
}

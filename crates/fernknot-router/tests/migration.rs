//! Migration of a deployment, during which routers with the old and the new settings use the same data nodes.

mod common;

use common::*;
use fernknot_stand_in::{DataNode, Discovery, NodeBehaviour};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the settings after the migration: a ring in which two consecutive places hold a shard, zones, requests whose
/// value grows with their work, and clients that do not mark repeated requests.
fn new_config() -> Value {
    let mut config = config();
    let settings = &mut config["settings"];
    settings["familyInfo"]["width"] = json!(2);
    settings["zones"] = json!(["a", "b"]);
    settings["locality"] = json!(1);
    settings["worthBy"] = json!("work");
    settings["clientHabits"] = json!({"marksRetry": false});
    config
}

fn entry(name: &str, address: SocketAddr, cell: usize, zone: &str, lifecycle: &str, started: u128) -> String {
    json!({"instanceId": name, "hostPort": address, "zone": zone, "machineType": "m", "cell": cell,
           "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started})
    .to_string()
}

struct MigratingDeployment {
    old: Router,
    new: Router,
    nodes: Vec<DataNode>,
    discovery: Discovery,
}

impl MigratingDeployment {
    /// Starts two nodes of each zone at each place, all with all shards, as required while both settings are in use.
    fn start() -> MigratingDeployment {
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let nodes: Vec<DataNode> = (0..8)
            .map(|_| DataNode::start(NodeBehaviour::Delayed(Duration::from_millis(10))).unwrap())
            .collect();
        for (index, node) in nodes.iter().enumerate() {
            let (name, zone) = (format!("s-{index}"), ["a", "b"][index / 4]);
            discovery.put_entry(&name, &entry(&name, node.address, index % 2, zone, "up", 0));
        }
        let old = Router::start(&config(), discovery.address);
        let new = Router::start(&new_config(), discovery.address);
        MigratingDeployment { old, new, nodes, discovery }
    }

    /// Sends `count` multigets to each router concurrently, and returns the numbers of complete answers from the old
    /// and the new router.
    fn run_multigets(&self, count: usize) -> [usize; 2] {
        let count_complete = |router: &Router| {
            let is_complete = |answer: &String| answer.contains(r#""finished":true"#);
            (0..count).map(|_| router.multiget("page", &[0, 1, 2, 3], "3")).filter(is_complete).count()
        };
        std::thread::scope(|scope| {
            let old = scope.spawn(|| count_complete(&self.old));
            let new = count_complete(&self.new);
            [old.join().unwrap(), new]
        })
    }

    /// Changes the entry of a node of the new router's zone, and waits until both routers have received the change.
    fn relist(&self, node: usize, lifecycle: &str, started: u128) {
        let routers = [&self.old, &self.new];
        let before = routers.map(|router| router.counter("lists_changes"));
        let (name, address) = (format!("s-{node}"), self.nodes[node].address);
        self.discovery.put_entry(&name, &entry(&name, address, node % 2, "b", lifecycle, started));
        let has_changes = |(router, before): (&Router, u64)| router.counter("lists_changes") > before;
        wait_until("both routers have received the change", || {
            routers.into_iter().zip(before).all(has_changes)
        });
    }

    fn calls(&self, node: usize) -> usize {
        self.nodes[node].calls().len()
    }
}

#[test]
fn routers_with_old_and_new_settings_both_answer_each_multiget_once() {
    let deployment = MigratingDeployment::start();
    assert_eq!(deployment.run_multigets(40), [40, 40]);
    for router in [&deployment.old, &deployment.new] {
        let final_outcomes = ["settled_whole", "settled_in_part", "dismissed", "broken_off"];
        assert_eq!(final_outcomes.map(|name| router.counter(name)), [40, 0, 0, 0]);
    }
    // The new router prefers nodes of its own zone while all nodes are equally loaded.
    let [near, far] = [4..8, 0..4].map(|range| range.map(|node| deployment.calls(node)).sum::<usize>());
    assert!(near > far, "{near} calls in the zone of the new router, {far} in the other");
}

#[test]
fn a_draining_node_gets_no_new_calls_from_either_router() {
    let deployment = MigratingDeployment::start();
    deployment.run_multigets(5);
    deployment.relist(4, "draining", 0);
    let before = deployment.calls(4);
    assert_eq!(deployment.run_multigets(20), [20, 20]);
    assert_eq!(deployment.calls(4), before);
}

/// A node that has just started is the only remaining replica of a shard for the old router and one of five for the new
/// router, and both routers receive more requests than such a node may get.
#[test]
fn a_cold_node_is_not_overloaded_by_both_routers_together() {
    let deployment = MigratingDeployment::start();
    let start = Instant::now();
    deployment.run_multigets(100);
    let calls = (0..8).map(|node| deployment.calls(node)).max().unwrap();
    let rate = calls as f64 / start.elapsed().as_secs_f64();
    for node in [1, 3, 7] {
        deployment.relist(node, "draining", 0);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    deployment.relist(5, "up", now);
    let (before, start) = (deployment.calls(5), Instant::now());
    std::thread::scope(|scope| {
        for router in [&deployment.old, &deployment.new].repeat(8) {
            scope.spawn(move || (0..60).for_each(|_| drop(router.multiget("page", &[1], "3"))));
        }
    });
    let cold = (deployment.calls(5) - before) as f64;
    // The limit is 2.5 times a node's capacity. The capacity of a cold node starts at 0.18 of that of a warm one, which
    // is assumed to be at most five times its measured rate. A window of two seconds may be used up at once.
    let took = start.elapsed().as_secs_f64();
    let max_calls = 2.5 * (0.18 + 0.82 * took / 17.0) * 5.0 * rate * (took + 2.0);
    assert!(
        cold > 0.0 && cold <= max_calls.min(0.5 * 960.0),
        "{cold} calls in {took} s, {max_calls} allowed"
    );
}

//! During a move some routers run in the old shape and some in the new, before the same data nodes.

mod common;

use common::*;
use fernknot_stand_in::{DataNode, Discovery, NodeBehaviour};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The settings after the move: a ring in which two places in a row hold a shard, zones, earnings by work,
/// clients that do not say that they ask again.
fn new_shape() -> Value {
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

struct Move {
    old: Router,
    new: Router,
    nodes: Vec<DataNode>,
    discovery: Discovery,
}

impl Move {
    /// Two nodes of either zone at either place; all hold all shards, as they must while both shapes run.
    fn start() -> Move {
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let nodes: Vec<DataNode> = (0..8)
            .map(|_| DataNode::start(NodeBehaviour::Delayed(Duration::from_millis(10))).unwrap())
            .collect();
        for (index, node) in nodes.iter().enumerate() {
            let (name, zone) = (format!("s-{index}"), ["a", "b"][index / 4]);
            discovery.put_entry(&name, &entry(&name, node.address, index % 2, zone, "up", 0));
        }
        let old = Router::start(&config(), discovery.address);
        let new = Router::start(&new_shape(), discovery.address);
        Move { old, new, nodes, discovery }
    }

    /// So many multigets by each router at the same time; how many of each were answered whole.
    fn ask(&self, count: usize) -> [usize; 2] {
        let asks = |router: &Router| {
            let whole = |answer: &String| answer.contains(r#""finished":true"#);
            (0..count).map(|_| router.ask("page", &[0, 1, 2, 3], "3")).filter(whole).count()
        };
        std::thread::scope(|scope| {
            let old = scope.spawn(|| asks(&self.old));
            let new = asks(&self.new);
            [old.join().unwrap(), new]
        })
    }

    /// Lists a node of the new router's zone anew and waits until both routers have heard of it.
    fn list_anew(&self, node: usize, lifecycle: &str, started: u128) {
        let routers = [&self.old, &self.new];
        let before = routers.map(|router| router.counter("lists_changes"));
        let (name, address) = (format!("s-{node}"), self.nodes[node].address);
        self.discovery.put_entry(&name, &entry(&name, address, node % 2, "b", lifecycle, started));
        let has_changes = |(router, before): (&Router, u64)| router.counter("lists_changes") > before;
        until("both have the changes", || routers.into_iter().zip(before).all(has_changes));
    }

    fn calls(&self, node: usize) -> usize {
        self.nodes[node].calls().len()
    }
}

#[test]
fn neither_kind_starves_the_other_and_each_multiget_gets_one_answer() {
    let moving = Move::start();
    assert_eq!(moving.ask(40), [40, 40]);
    for router in [&moving.old, &moving.new] {
        let finals = ["settled_whole", "settled_in_part", "dismissed", "broken_off"];
        assert_eq!(finals.map(|name| router.counter(name)), [40, 0, 0, 0]);
    }
    // Beside the old shape's router the new one keeps to its own zone while all are equal.
    let [near, far] = [4..8, 0..4].map(|range| range.map(|node| moving.calls(node)).sum::<usize>());
    assert!(near > far, "{near} calls near the new one, {far} near the old one");
}

#[test]
fn a_draining_node_gets_nothing_new_from_either_kind() {
    let moving = Move::start();
    moving.ask(5);
    moving.list_anew(4, "draining", 0);
    let before = moving.calls(4);
    assert_eq!(moving.ask(20), [20, 20]);
    assert_eq!(moving.calls(4), before);
}

/// The last holder of a shard for the old shape, one of five for the new one, has just started, and both are asked for
/// far more than it may get.
#[test]
fn a_cold_node_is_not_pushed_over_by_both_kinds_together() {
    let moving = Move::start();
    let start = Instant::now();
    moving.ask(100);
    let calls = (0..8).map(|node| moving.calls(node)).max().unwrap();
    let rate = calls as f64 / start.elapsed().as_secs_f64();
    for node in [1, 3, 7] {
        moving.list_anew(node, "draining", 0);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    moving.list_anew(5, "up", now);
    let (before, start) = (moving.calls(5), Instant::now());
    std::thread::scope(|scope| {
        for router in [&moving.old, &moving.new].repeat(8) {
            scope.spawn(move || (0..60).for_each(|_| drop(router.ask("page", &[1], "3"))));
        }
    });
    let cold = (moving.calls(5) - before) as f64;
    // The rule lets a node take 2.5 times what it can do. That starts at 0.18 of what a warm one can, which is held to be
    // at most five times what it was seen to answer, and a window of two seconds may be used at once.
    let took = start.elapsed().as_secs_f64();
    let most = 2.5 * (0.18 + 0.82 * took / 17.0) * 5.0 * rate * (took + 2.0);
    assert!(cold > 0.0 && cold <= most.min(0.5 * 960.0), "{cold} calls in {took} s, {most} allowed");
}

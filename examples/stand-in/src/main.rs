//! Discovery and data nodes of the example configuration, for trying the router by hand.

use fernknot_stand_in::{DataNode, Discovery, NodeBehaviour};
use std::time::Duration;

/// Place of each node, that is, its position in the placement of shards: two nodes, replicas of each other, at each of
/// the example's two places.
const NODE_PLACES: [u32; 4] = [0, 0, 1, 1];

fn main() -> std::io::Result<()> {
    let discovery = Discovery::start("127.0.0.1:8500")?;
    println!("discovery at {}", discovery.address);
    let mut nodes = Vec::new();
    for (index, place) in NODE_PLACES.into_iter().enumerate() {
        let node = DataNode::start(NodeBehaviour::Delayed(Duration::from_millis(20)))?;
        println!("data node s-{index} at {}, place {place}", node.address);
        discovery.put(&format!("s-{index}"), node.address, place, "up");
        nodes.push(node);
    }
    loop {
        std::thread::park();
    }
}

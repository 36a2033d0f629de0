//! Indices, zones and addresses of the simulated processes.
//!
//! A *position* identifies an end of a link that may be partitioned: positions below [`FIRST_SUBSCRIBER`] are
//! controllers' machines, the others are subscribers or gateways.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum number of controllers' machines in a run, including replaced ones.
pub const MAX_MACHINES: usize = 60;
/// Position of the first subscriber; the other subscribers follow in the order of their indices.
pub const FIRST_SUBSCRIBER: usize = 100;
/// Position of the first gateway. Runs with gateways have no subscribers.
pub const FIRST_GATEWAY: usize = FIRST_SUBSCRIBER;
/// Number of zones over which processes are distributed in turn.
pub const ZONES: usize = 3;

/// Port on which a gateway listens for other gateways.
pub const GATEWAY_PEER_PORT: u16 = 7120;
/// Port on which a controller listens for other controllers.
const CONTROLLER_PEER_PORT: u16 = 7121;
const NODE_PORT: u16 = 80;

/// Second octet of an address, which identifies the kind of process.
const CONTROLLER_NETWORK: u8 = 0;
const GATEWAY_NETWORK: u8 = 1;
const NODE_NETWORK: u8 = 9;

/// Process that listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Controller on the machine with this index.
    Controller(usize),
    /// Gateway with this index.
    Gateway(usize),
    /// Node with this index, in any incarnation.
    Node(usize),
    /// No process has this address.
    Nobody,
}

/// Returns the name of the zone of the process with this index or position.
pub fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// Returns the address at which the controller of a machine listens for its peers.
pub fn controller_addr(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, CONTROLLER_NETWORK, 0, machine as u8 + 1), CONTROLLER_PEER_PORT)
}

/// Returns the index of the machine with this controller address.
pub fn machine_index(addr: SocketAddrV4) -> usize {
    (addr.ip().octets()[3] as usize).wrapping_sub(1)
}

/// Returns the address at which a gateway listens for other gateways.
pub fn gateway_addr(gateway: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, GATEWAY_NETWORK, 0, gateway as u8 + 1), GATEWAY_PEER_PORT)
}

/// Returns the address at which a node listens in all its incarnations.
pub fn node_addr(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, NODE_NETWORK, node as u8, 1), NODE_PORT)
}

/// Returns the process with this address, given the number of processes of each kind.
pub fn listener_at(addr: SocketAddrV4, machines: usize, gateways: usize, nodes: usize) -> Listener {
    let [_, network, third, _] = addr.ip().octets();
    let (number, node) = (machine_index(addr), third as usize);
    match network {
        CONTROLLER_NETWORK if number < machines => Listener::Controller(number),
        GATEWAY_NETWORK if number < gateways => Listener::Gateway(number),
        NODE_NETWORK if node < nodes && addr == node_addr(node) => Listener::Node(node),
        _ => Listener::Nobody,
    }
}

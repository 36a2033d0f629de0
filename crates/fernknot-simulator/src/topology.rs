//! Numbers, zones and addresses of the simulated processes.
//!
//! A *position* is a number that identifies each end of a link that may be partitioned: machines of controllers stand below
//! [`FIRST_SUBSCRIBER`], subscribers or gateways from there on.

use std::net::{Ipv4Addr, SocketAddrV4};

/// The most machines of controllers in one run, those that replaced others included.
pub const MAX_MACHINES: usize = 60;
/// The position of the first subscriber.
pub const FIRST_SUBSCRIBER: usize = 100;
/// The position of the first gateway, in runs of the whole system; these have no subscribers.
pub const FIRST_GATEWAY: usize = FIRST_SUBSCRIBER;
/// Zones over which all processes are spread in turn.
pub const ZONES: usize = 3;

/// The port where a gateway listens for its own kind.
pub const GATEWAY_PEER_PORT: u16 = 7120;
/// The port where a controller listens for its own kind.
const CONTROLLER_PEER_PORT: u16 = 7121;
const NODE_PORT: u16 = 80;

/// The second octet of an address says what kind of process has it.
const CONTROLLER_NETWORK: u8 = 0;
const GATEWAY_NETWORK: u8 = 1;
const NODE_NETWORK: u8 = 9;

/// The process that listens at an address, by the scheme of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// The controller's machine with this number.
    Controller(usize),
    /// The gateway with this number.
    Gateway(usize),
    /// The node with this number, whatever incarnation it has.
    Node(usize),
    /// Nobody has this address.
    Nobody,
}

/// The zone of the process with this number, or at this position, among [`ZONES`].
pub fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// The address where the controller of a machine listens for its peers.
pub fn controller_addr(machine: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, CONTROLLER_NETWORK, 0, machine as u8 + 1), CONTROLLER_PEER_PORT)
}

/// The machine that has the address of a controller.
pub fn machine_index(addr: SocketAddrV4) -> usize {
    (addr.ip().octets()[3] as usize).wrapping_sub(1)
}

/// The address of a gateway, with the port where it listens for its own kind.
pub fn gateway_addr(gateway: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, GATEWAY_NETWORK, 0, gateway as u8 + 1), GATEWAY_PEER_PORT)
}

/// Where a node listens, whatever incarnation it has.
pub fn node_addr(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, NODE_NETWORK, node as u8, 1), NODE_PORT)
}

/// Who has this address among so many processes of each kind.
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

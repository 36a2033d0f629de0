//! Loopback addresses of a run. Concurrent processes and runs get different networks or ports, so that they do not
//! conflict.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of /24 networks, from 127.20.0.0 upwards, for the even runs of a process; the odd runs use the same number of
/// networks after these. A process is told apart from others by its id modulo this number.
const NETWORK_COUNT: u32 = 25_000;
const NETWORKS_PER_SECOND_BYTE: u32 = 250;
const FIRST_SECOND_BYTE: u32 = 20;
/// Number of port blocks in a network. Each second run of a process uses the next block of the same network.
const PORT_BLOCK_COUNT: u32 = 1000;
const PORTS_PER_BLOCK: u16 = 8;
/// Last byte of the broadcast address, which no router's address has.
const BROADCAST_HOST: usize = 254;

/// Port of the first run for datagrams to a router, bound by the datagram relay. Later runs add their port block's
/// offset to this port and the next two.
const PUBLIC_DATAGRAM_PORT: u16 = 20_001;
/// Port of the first run on which a router receives datagrams from the datagram relay.
const PRIVATE_DATAGRAM_PORT: u16 = 20_002;
/// Port of the first run on which a router accepts clients.
const CLIENT_PORT: u16 = 20_003;

/// Number of runs of this process so far.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Addresses of one run: a network and ports that no concurrent run uses.
pub(crate) struct RunAddresses {
    network: u32,
    run: u32,
}

impl RunAddresses {
    /// Creates addresses that no earlier run of this process used, unless there were 2,000 of them.
    pub fn new() -> RunAddresses {
        let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        RunAddresses { network: std::process::id() % NETWORK_COUNT + NETWORK_COUNT * (run % 2), run }
    }

    /// Returns a prefix for the names of this run's files, unique among concurrent runs.
    pub fn file_stem(&self) -> String {
        format!("fernknot-fault-test-{}-{}", self.network, self.run)
    }

    /// Returns the address to which other routers send datagrams for a router.
    pub fn public_datagram_address(&self, router: usize) -> SocketAddr {
        self.address(router + 1, PUBLIC_DATAGRAM_PORT)
    }

    /// Returns the address at which a router receives datagrams from the relay.
    pub fn private_datagram_address(&self, router: usize) -> SocketAddr {
        self.address(router + 1, PRIVATE_DATAGRAM_PORT)
    }

    /// Returns the address to which routers send datagrams for all routers.
    pub fn broadcast_address(&self) -> SocketAddr {
        self.address(BROADCAST_HOST, PUBLIC_DATAGRAM_PORT)
    }

    /// Returns the address at which a router accepts clients.
    pub fn client_address(&self, router: usize) -> SocketAddr {
        self.address(router + 1, CLIENT_PORT)
    }

    fn address(&self, host: usize, base_port: u16) -> SocketAddr {
        let second_byte = FIRST_SECOND_BYTE + self.network / NETWORKS_PER_SECOND_BYTE;
        let third_byte = self.network % NETWORKS_PER_SECOND_BYTE;
        let ip = Ipv4Addr::new(127, second_byte as u8, third_byte as u8, host as u8);
        let port = base_port + (self.run / 2 % PORT_BLOCK_COUNT) as u16 * PORTS_PER_BLOCK;
        SocketAddr::from((ip, port))
    }
}

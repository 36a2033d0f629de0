//! Loopback addresses of a run: each process and run has a network of its own, so that no two ask for one port.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Networks of 127.20.0.0 upwards that one half of the runs takes.
const NETWORKS: u32 = 25_000;
const NETWORKS_PER_SECOND_BYTE: u32 = 250;
const FIRST_SECOND_BYTE: u32 = 20;
/// Every second run of a process takes other ports of the same network.
const PORT_BLOCKS: u32 = 1000;
const PORTS_PER_BLOCK: u16 = 8;
/// A host that no router has, for what is sent to all routers.
const BROADCAST_HOST: usize = 254;

/// Where a router's peers send datagrams: a socket of the relay.
const PUBLIC_DATAGRAM_PORT: u16 = 20_001;
/// Where a router receives datagrams from the relay.
const PRIVATE_DATAGRAM_PORT: u16 = 20_002;
/// Where a router listens for clients.
const CLIENT_PORT: u16 = 20_003;

/// Runs of this process so far.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// The addresses of one run.
pub(crate) struct RunAddresses {
    network: u32,
    run: u32,
}

impl RunAddresses {
    /// Addresses that no run of this process had before.
    pub fn new() -> RunAddresses {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        RunAddresses { network: std::process::id() % NETWORKS + NETWORKS * (run % 2), run }
    }

    /// A name for files of this run, unique on the machine.
    pub fn file_stem(&self) -> String {
        format!("fernknot-fault-test-{}-{}", self.network, self.run)
    }

    /// Where peers send datagrams to a router.
    pub fn public_datagrams(&self, router: usize) -> SocketAddr {
        self.address(router + 1, PUBLIC_DATAGRAM_PORT)
    }

    /// Where a router receives datagrams.
    pub fn private_datagrams(&self, router: usize) -> SocketAddr {
        self.address(router + 1, PRIVATE_DATAGRAM_PORT)
    }

    /// Where routers send what is for all of them.
    pub fn broadcast(&self) -> SocketAddr {
        self.address(BROADCAST_HOST, PUBLIC_DATAGRAM_PORT)
    }

    /// Where a router listens for clients.
    pub fn clients(&self, router: usize) -> SocketAddr {
        self.address(router + 1, CLIENT_PORT)
    }

    fn address(&self, host: usize, base_port: u16) -> SocketAddr {
        let second_byte = FIRST_SECOND_BYTE + self.network / NETWORKS_PER_SECOND_BYTE;
        let third_byte = self.network % NETWORKS_PER_SECOND_BYTE;
        let ip = Ipv4Addr::new(127, second_byte as u8, third_byte as u8, host as u8);
        let port = base_port + (self.run / 2 % PORT_BLOCKS) as u16 * PORTS_PER_BLOCK;
        SocketAddr::from((ip, port))
    }
}

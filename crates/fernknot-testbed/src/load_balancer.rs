//! The load balancer in front of the gateways: clients connect to those that are ready.

use crate::http::is_ready;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Checks in a row that a gateway misses before it gets no new connections.
const MAX_MISSED_CHECKS: u32 = 2;

/// Addresses of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddrs {
    /// Where clients connect.
    pub front: SocketAddrV4,
    /// Where readiness is asked.
    pub ready: SocketAddrV4,
}

/// Asks each gateway whether it is ready, and gives clients an address to connect to.
pub struct LoadBalancer {
    gateways: Arc<GatewayList>,
    is_over: Arc<AtomicBool>,
}

/// Gateways, and the randomness of their clients.
pub(crate) struct GatewayList {
    entries: Mutex<Vec<GatewayEntry>>,
    pub rng: Rng,
}

#[derive(Clone, Copy)]
struct GatewayEntry {
    addrs: GatewayAddrs,
    missed_checks: u32,
}

impl LoadBalancer {
    /// Checks all gateways every so often.
    pub fn new(gateways: &[GatewayAddrs], check_interval: Duration, seed: u64) -> LoadBalancer {
        let entry = |addrs: &GatewayAddrs| GatewayEntry { addrs: *addrs, missed_checks: MAX_MISSED_CHECKS };
        let entries = Mutex::new(gateways.iter().map(entry).collect());
        let gateways = Arc::new(GatewayList { entries, rng: Rng::new(seed) });
        let is_over = Arc::new(AtomicBool::new(false));
        let (checked, stop) = (gateways.clone(), is_over.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                checked.check_all();
                thread::sleep(check_interval);
            }
        });
        LoadBalancer { gateways, is_over }
    }

    pub(crate) fn gateways(&self) -> Arc<GatewayList> {
        self.gateways.clone()
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

impl GatewayList {
    fn check_all(&self) {
        let entries = lock(&self.entries).clone();
        let results: Vec<bool> = entries.iter().map(|entry| is_ready(entry.addrs.ready)).collect();
        for (entry, is_ready) in lock(&self.entries).iter_mut().zip(results) {
            entry.missed_checks = if is_ready { 0 } else { entry.missed_checks.saturating_add(1) };
        }
    }

    /// Any gateway that gets new connections. Where none is ready, all do.
    pub fn choose(&self) -> Option<SocketAddrV4> {
        let available = self.available();
        self.rng.choose(&available)
    }

    fn available(&self) -> Vec<SocketAddrV4> {
        let entries = lock(&self.entries);
        let front = |entry: &GatewayEntry| entry.addrs.front;
        let ready: Vec<_> =
            entries.iter().filter(|entry| entry.missed_checks < MAX_MISSED_CHECKS).map(front).collect();
        if ready.is_empty() { entries.iter().map(front).collect() } else { ready }
    }
}

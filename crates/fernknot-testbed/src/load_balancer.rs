//! Load balancer for client connections: chooses a gateway that is ready.

use crate::http::is_ready;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of consecutive failed readiness checks after which a gateway gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;

/// Addresses of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddrs {
    /// Address at which the gateway accepts clients.
    pub front: SocketAddrV4,
    /// Address at which the gateway reports its readiness and its counters.
    pub ready: SocketAddrV4,
}

/// Load balancer that checks the readiness of all gateways from a thread. Dropping it makes the thread stop.
pub struct LoadBalancer {
    gateways: Arc<GatewayList>,
    stop_requested: Arc<AtomicBool>,
}

/// Gateways with the results of their checks, and the random generator that all clients share.
pub(crate) struct GatewayList {
    entries: Mutex<Vec<GatewayEntry>>,
    pub rng: Rng,
}

#[derive(Clone, Copy)]
struct GatewayEntry {
    addrs: GatewayAddrs,
    failed_checks: u32,
}

impl LoadBalancer {
    /// Starts checking all gateways, with `check_interval` between two rounds. No gateway counts as ready before its first
    /// successful check.
    pub fn new(gateways: &[GatewayAddrs], check_interval: Duration, seed: u64) -> LoadBalancer {
        let entry = |addrs: &GatewayAddrs| GatewayEntry { addrs: *addrs, failed_checks: MAX_FAILED_CHECKS };
        let entries = Mutex::new(gateways.iter().map(entry).collect());
        let gateways = Arc::new(GatewayList { entries, rng: Rng::new(seed) });
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (checked_gateways, should_stop) = (gateways.clone(), stop_requested.clone());
        thread::spawn(move || {
            while !should_stop.load(Ordering::Relaxed) {
                checked_gateways.check_all();
                thread::sleep(check_interval);
            }
        });
        LoadBalancer { gateways, stop_requested }
    }

    pub(crate) fn gateways(&self) -> Arc<GatewayList> {
        self.gateways.clone()
    }
}

impl Drop for LoadBalancer {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }
}

impl GatewayList {
    fn check_all(&self) {
        let entries = lock(&self.entries).clone();
        let results: Vec<bool> = entries.iter().map(|entry| is_ready(entry.addrs.ready)).collect();
        for (entry, is_ready) in lock(&self.entries).iter_mut().zip(results) {
            entry.failed_checks = if is_ready { 0 } else { entry.failed_checks.saturating_add(1) };
        }
    }

    /// Returns a random gateway among those that are ready, or among all if none is ready.
    pub fn choose(&self) -> Option<SocketAddrV4> {
        let available = self.available();
        self.rng.choose(&available)
    }

    fn available(&self) -> Vec<SocketAddrV4> {
        let entries = lock(&self.entries);
        let front = |entry: &GatewayEntry| entry.addrs.front;
        let ready: Vec<_> =
            entries.iter().filter(|entry| entry.failed_checks < MAX_FAILED_CHECKS).map(front).collect();
        if ready.is_empty() { entries.iter().map(front).collect() } else { ready }
    }
}

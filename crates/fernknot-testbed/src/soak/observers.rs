//! Clients that observe the configuration of each gateway: they request routes that were added or removed recently.

use crate::client::request_on_route;
use crate::cluster::Cluster;
use crate::requests::{AttemptOutcome, Request};
use crate::soak::changes::ChangeLog;
use crate::sync::lock;
use fernknot_simulator::rng::Rng;
use fernknot_simulator::route_slots::{SLOT_COUNT, changed_slot};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Pause between two requests of an observer.
const PAUSE: Duration = Duration::from_millis(100);
/// Number of the latest changes whose routes count as recently added or removed.
const RECENT_CHANGES: usize = 12;

/// What a response on a route that comes and goes reveals about a gateway's configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sighting {
    pub gateway: usize,
    pub slot: u64,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub has_route: bool,
}

/// Requests of all observers, and what they revealed.
#[derive(Debug, Default)]
pub(crate) struct ObserverLog {
    pub sightings: Vec<Sighting>,
    pub requests: Vec<Request>,
}

/// Threads of the observers, one for each gateway.
pub(crate) struct Observers {
    log: Arc<Mutex<ObserverLog>>,
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Observers {
    /// Starts the observers of all gateways.
    pub fn start(cluster: &Cluster, changes: &Arc<Mutex<ChangeLog>>, seed: u64) -> Observers {
        let log: Arc<Mutex<ObserverLog>> = Arc::default();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let start_thread = |(gateway, addrs): (usize, crate::load_balancer::GatewayAddrs)| {
            let (log, stop_requested, changes) = (log.clone(), stop_requested.clone(), changes.clone());
            let rng = Rng::new(seed ^ (gateway as u64 + 1) << 32);
            thread::spawn(move || {
                while !stop_requested.load(Ordering::Relaxed) {
                    let slot = draw_slot(&rng, &changes);
                    let request = request_on_route(addrs.front, slot, rng.next_u64());
                    let mut log = lock(&log);
                    log.sightings.extend(sighting(gateway, slot, &request));
                    log.requests.push(request);
                    drop(log);
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = cluster.gateway_addrs().into_iter().enumerate().map(start_thread).collect();
        Observers { log, stop_requested, threads }
    }

    /// Stops the observers, and returns what they saw.
    pub fn finish(self) -> ObserverLog {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
        std::mem::take(&mut *lock(&self.log))
    }
}

fn draw_slot(rng: &Rng, changes: &Mutex<ChangeLog>) -> u64 {
    let newest = lock(changes).newest().map_or(0, |change| change.number);
    let recent = newest.saturating_sub(rng.below(RECENT_CHANGES) as u64);
    if rng.one_in(4) { rng.below(SLOT_COUNT as usize) as u64 } else { changed_slot(recent) }
}

fn sighting(gateway: usize, slot: u64, request: &Request) -> Option<Sighting> {
    let attempt = request.attempts.first()?;
    let timing = attempt.timing?;
    let AttemptOutcome::Response(response) = &attempt.outcome else { return None };
    let has_route = response.is_success();
    let is_clear = has_route || response.status == 404;
    let (sent_at, ended_at) = (timing.sent_at, timing.ended_at);
    is_clear.then_some(Sighting { gateway, slot, sent_at, ended_at, has_route })
}

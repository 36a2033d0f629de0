//! Load generator: clients that send requests at a fixed rate.

use crate::client::Client;
use crate::load_balancer::LoadBalancer;
use crate::requests::{AttemptOutcome, Request, RequestKind};
use crate::sync::lock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Settings of the load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Number of clients, at least 1.
    pub clients: usize,
    /// Requests per second of all clients together.
    pub requests_per_s: f64,
    /// Kinds of requests that clients send in turn.
    pub request_mix: Vec<RequestKind>,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Whether seals and bodies of responses are kept for the checker.
    pub keeps_responses: bool,
}

/// Running clients and their completed requests. Dropping the load makes the clients stop.
pub struct Load {
    stop_requested: Arc<AtomicBool>,
    completed: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients.
    pub fn start(load_balancer: &LoadBalancer, settings: &LoadSettings) -> Load {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let completed: Arc<Mutex<Vec<Request>>> = Arc::default();
        let started_at = Instant::now();
        let start_client = |client_number: usize| {
            let schedule = Schedule::new(settings, client_number, started_at);
            let client = Client::new(load_balancer.gateways(), settings.deadline);
            let (stop_requested, completed, settings) =
                (stop_requested.clone(), completed.clone(), settings.clone());
            thread::spawn(move || run_client(client, schedule, &settings, &stop_requested, &completed))
        };
        let threads = (0..settings.clients).map(start_client).collect();
        Load { stop_requested, completed, threads }
    }

    /// Returns the number of completed requests, successful or not.
    pub fn completed_count(&self) -> usize {
        lock(&self.completed).len()
    }

    /// Returns the number of requests that were served, that is, whose last attempt succeeded.
    pub fn served_count(&self) -> usize {
        lock(&self.completed).iter().filter(|request| request.is_served()).count()
    }

    /// Stops the clients after their requests in flight, and returns all completed requests.
    pub fn finish(mut self) -> Vec<Request> {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        std::mem::take(&mut *lock(&self.completed))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop_requested.store(true, Ordering::Relaxed);
    }
}

/// Times at which a client sends its requests.
struct Schedule {
    /// Number of the client, from 0 on.
    client_number: usize,
    next_at: Instant,
    interval: Duration,
}

impl Schedule {
    fn new(settings: &LoadSettings, client_number: usize, started_at: Instant) -> Schedule {
        let clients = settings.clients as f64;
        let interval = Duration::from_secs_f64(clients / settings.requests_per_s.max(0.001));
        Schedule {
            client_number,
            next_at: started_at + interval.mul_f64(client_number as f64 / clients),
            interval,
        }
    }

    fn wait(&mut self) {
        thread::sleep(self.next_at.saturating_duration_since(Instant::now()));
        // A client that fell behind skips the missed requests, to avoid a burst.
        self.next_at = (self.next_at + self.interval).max(Instant::now());
    }
}

fn run_client(
    mut client: Client,
    mut schedule: Schedule,
    settings: &LoadSettings,
    stop_requested: &AtomicBool,
    completed: &Mutex<Vec<Request>>,
) {
    for turn in 0.. {
        schedule.wait();
        if stop_requested.load(Ordering::Relaxed) {
            return;
        }
        let kind = settings.request_mix[(schedule.client_number + turn) % settings.request_mix.len()];
        let mut request = client.send_request(kind);
        if !settings.keeps_responses {
            drop_responses(&mut request);
        }
        lock(completed).push(request);
    }
}

fn drop_responses(request: &mut Request) {
    for attempt in &mut request.attempts {
        if let AttemptOutcome::Response(response) = &mut attempt.outcome {
            response.seals = Vec::new();
            response.body = Vec::new();
        }
    }
}

//! Clients that send requests at a rate.

use crate::client::Client;
use crate::load_balancer::LoadBalancer;
use crate::requests::{AttemptOutcome, Request, RequestKind};
use crate::sync::lock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What clients do.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// How many there are.
    pub clients: usize,
    /// Requests a second of all of them together.
    pub requests_per_s: f64,
    /// What they ask for in turn.
    pub mix: Vec<RequestKind>,
    /// The deadline of each request.
    pub deadline: Duration,
    /// Keep the responses, to be judged; without it only counts and times are kept.
    pub keeps_responses: bool,
}

/// Clients at work.
pub struct Load {
    is_over: Arc<AtomicBool>,
    completed: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients.
    pub fn start(load_balancer: &LoadBalancer, settings: &LoadSettings) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let completed: Arc<Mutex<Vec<Request>>> = Arc::default();
        let started_at = Instant::now();
        let start_client = |number: usize| {
            let schedule = Schedule::new(settings, number, started_at);
            let client = Client::new(load_balancer.gateways(), settings.deadline);
            let (is_over, completed, settings) = (is_over.clone(), completed.clone(), settings.clone());
            thread::spawn(move || run_client(client, schedule, &settings, &is_over, &completed))
        };
        let threads = (0..settings.clients).map(start_client).collect();
        Load { is_over, completed, threads }
    }

    /// Requests that ended so far.
    pub fn completed_count(&self) -> usize {
        lock(&self.completed).len()
    }

    /// Those of them that were served.
    pub fn served_count(&self) -> usize {
        lock(&self.completed).iter().filter(|request| request.is_served()).count()
    }

    /// Ends the clients once what each has in flight is answered.
    pub fn finish(mut self) -> Vec<Request> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        std::mem::take(&mut *lock(&self.completed))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// When a client sends its requests.
struct Schedule {
    /// The number of the client.
    number: usize,
    next_at: Instant,
    interval: Duration,
}

impl Schedule {
    fn new(settings: &LoadSettings, number: usize, started_at: Instant) -> Schedule {
        let clients = settings.clients as f64;
        let interval = Duration::from_secs_f64(clients / settings.requests_per_s.max(0.001));
        Schedule { number, next_at: started_at + interval.mul_f64(number as f64 / clients), interval }
    }

    fn wait(&mut self) {
        thread::sleep(self.next_at.saturating_duration_since(Instant::now()));
        // One that fell behind does not catch up: the rest of its time would be a burst.
        self.next_at = (self.next_at + self.interval).max(Instant::now());
    }
}

fn run_client(
    mut client: Client,
    mut schedule: Schedule,
    settings: &LoadSettings,
    is_over: &AtomicBool,
    completed: &Mutex<Vec<Request>>,
) {
    for turn in 0.. {
        schedule.wait();
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let kind = settings.mix[(schedule.number + turn) % settings.mix.len()];
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
